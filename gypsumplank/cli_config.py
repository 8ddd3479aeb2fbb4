"""Add the commands on configuration to the operators' command line."""

import argparse
import sys
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from gypsumplank import porcelain_config
from gypsumplank.cli_show import find_server, show
from gypsumplank.errors import NotInForceError
from gypsumplank.porcelain import Server

HISTORY_LIMIT = 20
WAIT_S = 19.0


def add_commands(commands: Any) -> None:
    """Add the commands."""
    diff = commands.add_parser("diff", help="show what an apply would change")
    diff.add_argument("files", nargs="+", type=Path, help="files or folders of JSON records")
    diff.set_defaults(run=run_diff)
    history = commands.add_parser("history", help="list accepted changes, newest first")
    history.add_argument("--limit", type=int, default=HISTORY_LIMIT)
    history.set_defaults(run=run_history)
    rollback = commands.add_parser(
        "rollback", help="put the records of an older revision in force as a new one"
    )
    rollback.add_argument("revision", type=int)
    rollback.add_argument(
        "--if-revision", type=int, help="refuse unless this revision is the newest"
    )
    add_wait(rollback)
    rollback.set_defaults(run=run_rollback)


def add_wait(command: argparse.ArgumentParser) -> None:
    """Add the option to wait until a change is in force everywhere."""
    command.add_argument(
        "--wait",
        type=float,
        nargs="?",
        const=WAIT_S,
        metavar="SECONDS",
        help=f"wait until every live daemon has it in force ({WAIT_S:g} s unless given)",
    )


def wait(server: Server, revision: int, timeout_s: float | None) -> None:
    """Wait as asked; raise NotInForceError with the daemons that are behind."""
    if timeout_s is None:
        return
    found = porcelain_config.wait_in_force(server, revision, timeout_s)
    if found.behind:
        names = ", ".join(found.behind)
        raise NotInForceError(f"revision {revision} is accepted but not in force at {names}")
    sys.stderr.write(f"in force at {', '.join(found.in_force)}\n")


def run_diff(args: argparse.Namespace) -> None:
    """Show differences."""
    found = porcelain_config.diff(find_server(args), args.files)
    show(args, found, [asdict(difference) for difference in found])


def run_history(args: argparse.Namespace) -> None:
    """List accepted changes."""
    found = porcelain_config.history(find_server(args), args.limit)
    rows = [
        {
            "revision": entry.revision,
            "accepted": datetime.fromtimestamp(entry.accepted_at, UTC).isoformat("T", "seconds"),
            "actor": entry.actor,
            "written": len(entry.puts),
            "deleted": len(entry.deletes),
            "records": " ".join((*entry.puts, *entry.deletes)[:3]),
        }
        for entry in found
    ]
    show(args, found, rows)


def run_rollback(args: argparse.Namespace) -> None:
    """Go back to the records of an older revision."""
    server = find_server(args)
    receipt = porcelain_config.rollback(server, args.revision, args.if_revision)
    show(args, receipt, [asdict(receipt)])
    wait(server, receipt.revision, args.wait)
