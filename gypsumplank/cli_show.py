"""Provide what all commands share: finding the server and printing the result."""

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from gypsumplank import porcelain
from gypsumplank.settings import read_json

SERVER_ENV_VAR = "GYPSUMPLANK_SERVER"
TOKEN_ENV_VAR = "GYPSUMPLANK_TOKEN"
DEFAULT_SERVER = "127.0.0.1:8081"
CLIENT_SETTINGS_PATH = Path("~/.config/gypsumplank/client.json")


def find_server(args: argparse.Namespace) -> porcelain.OperatorClient:
    """Return the server from the options, the environment or the client settings, in this order."""
    path = CLIENT_SETTINGS_PATH.expanduser()
    saved = read_json(path) if path.exists() else {}
    address = args.server or os.environ.get(SERVER_ENV_VAR) or saved.get("server", DEFAULT_SERVER)
    token = args.token or os.environ.get(TOKEN_ENV_VAR) or saved.get("token", "")
    return porcelain.OperatorClient(address, token)


def print_result(args: argparse.Namespace, value: Any, rows: Sequence[dict[str, Any]]) -> None:
    """Print the value as JSON or the rows as a table, as `--output` asks."""
    text = (
        msgspec.json.encode(value).decode()
        if args.output == "json"
        else porcelain.format_table(rows)
    )
    sys.stdout.write(f"{text}\n")
