"""Add the `report` command with its subcommands."""

import argparse
import sys
from pathlib import Path
from typing import Any

from gypsumplank import porcelain_report
from gypsumplank.cli_show import find_server, print_result
from gypsumplank.errors import PlotUnavailableError

INCOMPLETE_WARNING = "the platform was unreachable: these are the counts of one daemon only\n"


def add_commands(commands: Any) -> None:
    """Add `report` with its subcommands."""
    report_command = commands.add_parser("report", help="report on the fleet")
    subcommands = report_command.add_subparsers(dest="report", required=True)
    burn = subcommands.add_parser("burn", help="show how services' error budgets were spent")
    burn.add_argument("--plot", type=Path, metavar="FILE", help="write a .png or .html file")
    burn.set_defaults(run=run_burn)


def run_burn(args: argparse.Namespace) -> None:
    """Show every service's error budget burn and the four fleet measures."""
    report = porcelain_report.burn(find_server(args))
    if not report.complete:
        sys.stderr.write(f"gypsumplank: warning: {INCOMPLETE_WARNING}")
    print_result(args, report, list(porcelain_report.burn_rows(report)))
    if args.output != "json":
        sys.stdout.write("\n")
        print_result(args, report, list(porcelain_report.measure_rows(report.measures)))
    if args.plot:
        _write_plot(report, args.plot)


def _write_plot(report: Any, path: Path) -> None:
    try:
        from gypsumplank import plot
    except ImportError as exc:
        raise PlotUnavailableError("install gypsumplank[report] for plots") from exc
    plot.save(report, path)
