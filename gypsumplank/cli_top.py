"""Add the `top` command, which refreshes an overview of the fleet periodically."""

import argparse
import sys
import time
from typing import Any

from gypsumplank import porcelain_top
from gypsumplank.cli_show import find_server, print_result

DEFAULT_PERIOD_S = 2.0
MIN_PERIOD_S = 0.1
CLEAR_SCREEN = "\x1b[H\x1b[2J"


def add_commands(commands: Any) -> None:
    """Add `top`."""
    top = commands.add_parser("top", help="watch pools, budgets, queues, waves and revisions")
    top.add_argument("--period", type=float, default=DEFAULT_PERIOD_S, help="seconds")
    top.add_argument("--count", type=int, default=0, help="screens to show; 0 means no limit")
    top.set_defaults(run=run_top)


def run_top(args: argparse.Namespace) -> None:
    """Print screens until `--count` is reached or the user interrupts."""
    server = find_server(args)
    printed = 0
    try:
        while True:
            _print_screen(args, porcelain_top.top(server))
            printed += 1
            if printed == args.count:
                return
            time.sleep(max(args.period, MIN_PERIOD_S))
    except KeyboardInterrupt:
        return


def _print_screen(args: argparse.Namespace, fleet: porcelain_top.FleetOverview) -> None:
    if args.output == "json":
        print_result(args, fleet, [])
        return
    prefix = CLEAR_SCREEN if sys.stdout.isatty() else ""
    now = time.strftime("%H:%M:%S")
    heading = f"{now}  revision {fleet.status.revision} by {fleet.status.id}"
    sys.stdout.write(f"{prefix}{heading}\n\n{porcelain_top.screen(fleet)}\n")
    sys.stdout.flush()
