"""Add the commands that report on the fleet."""

import argparse
import sys
from pathlib import Path
from typing import Any

from gypsumplank import porcelain_report
from gypsumplank.cli_show import find_server, show
from gypsumplank.errors import PlotUnavailableError

INCOMPLETE = "the platform was not reached: these are the counts of one daemon only\n"


def add_commands(commands: Any) -> None:
    """Add `report` with its sub-commands."""
    report = commands.add_parser("report", help="report on the fleet")
    reports = report.add_subparsers(dest="report", required=True)
    burn = reports.add_parser("burn", help="show what spent the services' error budgets")
    burn.add_argument("--plot", type=Path, metavar="FILE", help="write a .png or .html file")
    burn.set_defaults(run=run_burn)


def run_burn(args: argparse.Namespace) -> None:
    """Show the burn of every service and the four measures."""
    found = porcelain_report.burn(find_server(args))
    if not found.complete:
        sys.stderr.write(f"gypsumplank: warning: {INCOMPLETE}")
    show(args, found, list(porcelain_report.burn_rows(found)))
    if args.output != "json":
        sys.stdout.write("\n")
        show(args, found, list(porcelain_report.measure_rows(found.measures)))
    if args.plot:
        _plot(found, args.plot)


def _plot(found: Any, path: Path) -> None:
    try:
        from gypsumplank import plot
    except ImportError as exc:
        raise PlotUnavailableError("install gypsumplank[report] for plots") from exc
    plot.save(found, path)
