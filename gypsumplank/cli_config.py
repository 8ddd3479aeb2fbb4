"""Add the configuration commands: `config`, `diff`, `history`, `rollback` and option `--wait`."""

import argparse
import sys
from dataclasses import asdict
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Any

from gypsumplank import porcelain_config
from gypsumplank.cli_show import find_server, print_result
from gypsumplank.coordination.job.manifestcheck import Severity
from gypsumplank.errors import NotInForceError, RecordsError
from gypsumplank.porcelain import OperatorClient

DEFAULT_HISTORY_LIMIT = 20
DEFAULT_WAIT_S = 19.0


def add_commands(commands: Any, reader: porcelain_config.ManifestReader) -> None:
    """Add `config`, `diff`, `history` and `rollback`."""
    _add_check_command(commands, reader)
    diff = commands.add_parser("diff", help="show what an apply would change")
    diff.add_argument("files", nargs="+", type=Path, help="files or folders of JSON records")
    diff.set_defaults(run=run_diff)
    history = commands.add_parser("history", help="list accepted changes, newest first")
    history.add_argument("--limit", type=int, default=DEFAULT_HISTORY_LIMIT)
    history.set_defaults(run=run_history)
    rollback = commands.add_parser(
        "rollback", help="put the records of an older revision in force as a new one"
    )
    rollback.add_argument("revision", type=int)
    rollback.add_argument(
        "--if-revision", type=int, help="refuse unless this revision is the newest"
    )
    add_wait_option(rollback)
    rollback.set_defaults(run=run_rollback)


def _add_check_command(commands: Any, reader: porcelain_config.ManifestReader) -> None:
    config = commands.add_parser("config", help="check the platform's manifest")
    subcommands = config.add_subparsers(dest="config", required=True)
    check = subcommands.add_parser("check", help="check a manifest before it is sent")
    check.add_argument("file", type=Path, help="file of the manifest's JSON document")
    check.add_argument(
        "--against",
        metavar="VERSION",
        help="compare with the version in force: its file or, on an entry host, its number",
    )
    check.set_defaults(run=partial(run_check, reader))


def run_check(reader: porcelain_config.ManifestReader, args: argparse.Namespace) -> None:
    """Show what differs from the version in force; print warnings to stderr, raise errors."""
    result = porcelain_config.check(reader, args.file, args.against)
    source = str(args.file)
    if args.output == "json" or args.against is not None:
        print_result(args, result, [asdict(change) for change in result.changes])
    for warning in result.faults(source, Severity.WARNING):
        sys.stderr.write(f"gypsumplank: warning: {warning}\n")
    if errors := result.faults(source, Severity.ERROR):
        raise RecordsError(errors)


def add_wait_option(command: argparse.ArgumentParser) -> None:
    """Add the option to wait until a change is in force everywhere."""
    command.add_argument(
        "--wait",
        type=float,
        nargs="?",
        const=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help=f"wait until every live daemon has it in force ({DEFAULT_WAIT_S:g} s if omitted)",
    )


def wait_in_force(server: OperatorClient, revision: int, timeout_s: float | None) -> None:
    """Wait up to the timeout, if any; raise NotInForceError naming the daemons that are behind."""
    if timeout_s is None:
        return
    rollout = porcelain_config.wait_in_force(server, revision, timeout_s)
    if rollout.behind:
        names = ", ".join(rollout.behind)
        raise NotInForceError(f"revision {revision} is accepted but not in force at {names}")
    sys.stderr.write(f"in force at {', '.join(rollout.in_force)}\n")


def run_diff(args: argparse.Namespace) -> None:
    """Show the fields that applying the files would change."""
    differences = porcelain_config.diff(find_server(args), args.files)
    print_result(args, differences, [asdict(difference) for difference in differences])


def run_history(args: argparse.Namespace) -> None:
    """List accepted changes, newest first."""
    entries = porcelain_config.history(find_server(args), args.limit)
    rows = [
        {
            "revision": entry.revision,
            "accepted": datetime.fromtimestamp(entry.accepted_at, UTC).isoformat("T", "seconds"),
            "actor": entry.actor,
            "written": len(entry.puts),
            "deleted": len(entry.deletes),
            "records": " ".join((*entry.puts, *entry.deletes)[:3]),
        }
        for entry in entries
    ]
    print_result(args, entries, rows)


def run_rollback(args: argparse.Namespace) -> None:
    """Put the records of an older revision in force as a new revision."""
    server = find_server(args)
    receipt = porcelain_config.rollback(server, args.revision, args.if_revision)
    print_result(args, receipt, [asdict(receipt)])
    wait_in_force(server, receipt.revision, args.wait)
