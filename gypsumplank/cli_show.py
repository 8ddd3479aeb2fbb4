"""Find the daemon that commands go to, and print what they return."""

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from gypsumplank import porcelain
from gypsumplank.settings import read_json

ENV_SERVER = "GYPSUMPLANK_SERVER"
ENV_TOKEN = "GYPSUMPLANK_TOKEN"
DEFAULT_SERVER = "127.0.0.1:8081"
CLIENT_SETTINGS = Path("~/.config/gypsumplank/client.json")


def find_server(args: argparse.Namespace) -> porcelain.Server:
    """Return the server from the options, the environment or the client settings."""
    path = CLIENT_SETTINGS.expanduser()
    saved = read_json(path) if path.exists() else {}
    address = args.server or os.environ.get(ENV_SERVER) or saved.get("server", DEFAULT_SERVER)
    token = args.token or os.environ.get(ENV_TOKEN) or saved.get("token", "")
    return porcelain.Server(address, token)


def show(args: argparse.Namespace, value: Any, rows: Sequence[dict[str, Any]]) -> None:
    """Print a value as JSON, or rows as a table."""
    text = msgspec.json.encode(value).decode() if args.output == "json" else porcelain.table(rows)
    sys.stdout.write(f"{text}\n")
