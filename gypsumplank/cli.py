"""Parse the operators' command line and print what the porcelain returns."""

import argparse
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from gypsumplank import cli_config, cli_fleet, cli_report, cli_top, porcelain
from gypsumplank.cli_show import ENV_SERVER, ENV_TOKEN, find_server, show
from gypsumplank.errors import FaultsError, GypsumplankError, ServerError, ServerUnreachableError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_INVALID = 5
EXIT_NOT_IN_FORCE = 6
EXIT_CODES = {
    "revision-conflict": EXIT_CONFLICT,
    "records-invalid": EXIT_INVALID,
    "not-in-force": EXIT_NOT_IN_FORCE,
    "server-unreachable": EXIT_UNREACHABLE,
}
EXAMPLES = """examples:
  gypsumplank validate examples/cartofold
  gypsumplank --server 10.0.0.1:8081 apply --wait 19 examples/cartofold
  gypsumplank diff examples/cartofold
  gypsumplank rollback 41 --if-revision 42
  gypsumplank --output json get host
  gypsumplank describe pool counter-desk
  gypsumplank status
  gypsumplank top --period 5
  gypsumplank report burn --plot burn.html

exit codes: 0 done, 1 failed, 2 wrong usage, 3 no daemon reached,
  4 another revision is in force, 5 records are invalid,
  6 accepted but not yet in force everywhere
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="gypsumplank",
        description="Drive the fleet by its records.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--server", help=f"operators' address of a daemon (or {ENV_SERVER})")
    parser.add_argument("--token", help=f"bearer token (or {ENV_TOKEN})")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    commands = parser.add_subparsers(dest="command", required=True)
    apply = _add_files(commands, "apply", "put records in force, all or none", run_apply)
    apply.add_argument("--if-revision", type=int, help="refuse unless this revision is the newest")
    cli_config.add_wait(apply)
    _add_files(commands, "validate", "check records without a daemon", run_validate)
    get = commands.add_parser("get", help="list records in force")
    get.add_argument("kind", nargs="?", default="")
    get.add_argument("--schema", type=int, help="schema version to show records in")
    get.set_defaults(run=run_get)
    for name, text, run in (
        ("describe", "show one record", run_describe),
        ("delete", "delete one record", run_delete),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("kind")
        command.add_argument("name")
        command.set_defaults(run=run)
    cli_config.add_commands(commands)
    cli_report.add_commands(commands)
    cli_top.add_commands(commands)
    commands.add_parser("status", help="show the fleet").set_defaults(run=run_status)
    cli_fleet.add_commands(commands, find_server, show)
    return parser


def _add_files(
    commands: Any, name: str, text: str, run: Callable[..., None]
) -> argparse.ArgumentParser:
    command: argparse.ArgumentParser = commands.add_parser(name, help=text)
    command.add_argument("files", nargs="+", type=Path, help="files or folders of JSON records")
    command.set_defaults(run=run)
    return command


def run_apply(args: argparse.Namespace) -> None:
    """Put records in force."""
    server = find_server(args)
    receipt = porcelain.apply(server, args.files, args.if_revision)
    show(args, receipt, [asdict(receipt)])
    cli_config.wait(server, receipt.revision, args.wait)


def run_validate(args: argparse.Namespace) -> None:
    """Check records."""
    records = porcelain.validate(args.files)
    for warning in porcelain.warnings(args.files):
        sys.stderr.write(f"gypsumplank: warning: {warning}\n")
    show(args, {"valid": len(records)}, [{"valid": len(records)}])


def run_get(args: argparse.Namespace) -> None:
    """List records."""
    found = porcelain.get(find_server(args), args.kind, args.schema)
    rows = [
        {"kind": rec.kind.value, "name": rec.name, "schema": rec.schema, "origin": rec.origin}
        for rec in found.records
    ]
    show(args, found, rows)


def run_describe(args: argparse.Namespace) -> None:
    """Show one record."""
    found = porcelain.describe(find_server(args), args.kind, args.name)
    fields = {"kind": found.kind.value, "name": found.name, "schema": found.schema, **found.spec}
    show(args, found, [{"field": name, "value": value} for name, value in fields.items()])


def run_delete(args: argparse.Namespace) -> None:
    """Delete one record."""
    receipt = porcelain.delete(find_server(args), args.kind, args.name)
    show(args, receipt, [asdict(receipt)])


def run_status(args: argparse.Namespace) -> None:
    """Show the fleet."""
    found = porcelain.status(find_server(args))
    if args.output == "json":
        show(args, found, [])
        return
    for rows in (found.daemons, found.pools):
        show(args, found, [asdict(row) for row in rows])


def main(argv: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    args = make_parser().parse_args(argv)
    try:
        args.run(args)
    except GypsumplankError as exc:
        faults = exc.faults if isinstance(exc, FaultsError | ServerError) else ()
        lines = [str(fault) for fault in faults] or [f"{exc.detail} [{exc.code}]"]
        sys.stderr.writelines(f"gypsumplank: {line}\n" for line in lines)
        unreachable = isinstance(exc, ServerUnreachableError)
        return EXIT_UNREACHABLE if unreachable else EXIT_CODES.get(exc.code, EXIT_FAILED)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
