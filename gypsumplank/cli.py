"""Parse the operators' command line, run the command and print its result."""

import argparse
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from gypsumplank import cli_config, cli_fleet, cli_report, cli_top, porcelain
from gypsumplank.cli_show import SERVER_ENV_VAR, TOKEN_ENV_VAR, find_server, print_result
from gypsumplank.composition.manifestsource import ManifestSource
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
  gypsumplank config check manifest.json --against in-force.json
  gypsumplank rollback 41 --if-revision 42
  gypsumplank --output json get host
  gypsumplank describe pool counter-desk
  gypsumplank status
  gypsumplank top --period 5
  gypsumplank report burn --plot burn.html

exit codes: 0 success, 1 failure, 2 usage error, 3 no daemon reached,
  4 another revision is in force, 5 records are invalid,
  6 accepted but not yet in force everywhere
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser for all commands."""
    parser = argparse.ArgumentParser(
        prog="gypsumplank",
        description="Manage the fleet through its configuration records.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--server", help=f"operators' address of a daemon, ip:port (or {SERVER_ENV_VAR})"
    )
    parser.add_argument("--token", help=f"bearer token (or {TOKEN_ENV_VAR})")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    commands = parser.add_subparsers(dest="command", required=True)
    apply = _add_files_command(commands, "apply", "put records in force, all or none", run_apply)
    apply.add_argument("--if-revision", type=int, help="refuse unless this revision is the newest")
    cli_config.add_wait_option(apply)
    _add_files_command(commands, "validate", "check records without a daemon", run_validate)
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
    cli_config.add_commands(commands, ManifestSource())
    cli_report.add_commands(commands)
    cli_top.add_commands(commands)
    commands.add_parser("status", help="show the fleet").set_defaults(run=run_status)
    cli_fleet.add_commands(commands, find_server, print_result)
    return parser


def _add_files_command(
    commands: Any, name: str, text: str, run: Callable[..., None]
) -> argparse.ArgumentParser:
    command: argparse.ArgumentParser = commands.add_parser(name, help=text)
    command.add_argument("files", nargs="+", type=Path, help="files or folders of JSON records")
    command.set_defaults(run=run)
    return command


def run_apply(args: argparse.Namespace) -> None:
    """Put records in force; with `--wait`, until every live daemon has them."""
    server = find_server(args)
    receipt = porcelain.apply(server, args.files, args.if_revision)
    print_result(args, receipt, [asdict(receipt)])
    cli_config.wait_in_force(server, receipt.revision, args.wait)


def run_validate(args: argparse.Namespace) -> None:
    """Check records without a daemon and print warnings to stderr."""
    records = porcelain.validate(args.files)
    for warning in porcelain.warnings(args.files):
        sys.stderr.write(f"gypsumplank: warning: {warning}\n")
    print_result(args, {"valid": len(records)}, [{"valid": len(records)}])


def run_get(args: argparse.Namespace) -> None:
    """List the records in force."""
    listed = porcelain.get(find_server(args), args.kind, args.schema)
    rows = [
        {
            "kind": record.kind.value,
            "name": record.name,
            "schema": record.schema,
            "origin": record.origin,
        }
        for record in listed.records
    ]
    print_result(args, listed, rows)


def run_describe(args: argparse.Namespace) -> None:
    """Show one record."""
    record = porcelain.describe(find_server(args), args.kind, args.name)
    fields = {
        "kind": record.kind.value,
        "name": record.name,
        "schema": record.schema,
        **record.spec,
    }
    print_result(args, record, [{"field": name, "value": value} for name, value in fields.items()])


def run_delete(args: argparse.Namespace) -> None:
    """Delete one record."""
    receipt = porcelain.delete(find_server(args), args.kind, args.name)
    print_result(args, receipt, [asdict(receipt)])


def run_status(args: argparse.Namespace) -> None:
    """Show the fleet's daemons and pools."""
    status = porcelain.status(find_server(args))
    if args.output == "json":
        print_result(args, status, [])
        return
    for rows in (status.daemons, status.pools):
        print_result(args, status, [asdict(row) for row in rows])


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
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
