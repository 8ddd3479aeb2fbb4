"""Add the command that shows the fleet at a glance, again and again."""

import argparse
import sys
import time
from typing import Any

from gypsumplank import porcelain_top
from gypsumplank.cli_show import find_server, show

DEFAULT_PERIOD_S = 2.0
MIN_PERIOD_S = 0.1
CLEAR = "\x1b[H\x1b[2J"


def add_commands(commands: Any) -> None:
    """Add `top`."""
    top = commands.add_parser("top", help="watch pools, budgets, queues, waves and revisions")
    top.add_argument("--period", type=float, default=DEFAULT_PERIOD_S, help="seconds")
    top.add_argument("--count", type=int, default=0, help="screens to show; 0 goes on")
    top.set_defaults(run=run_top)


def run_top(args: argparse.Namespace) -> None:
    """Show one screen after another until interrupted."""
    server = find_server(args)
    shown = 0
    try:
        while True:
            _show_once(args, porcelain_top.top(server))
            shown += 1
            if shown == args.count:
                return
            time.sleep(max(args.period, MIN_PERIOD_S))
    except KeyboardInterrupt:
        return


def _show_once(args: argparse.Namespace, held: porcelain_top.Top) -> None:
    if args.output == "json":
        show(args, held, [])
        return
    clear = CLEAR if sys.stdout.isatty() else ""
    at = time.strftime("%H:%M:%S")
    head = f"{at}  revision {held.status.revision} by {held.status.id}"
    sys.stdout.write(f"{clear}{head}\n\n{porcelain_top.screen(held)}\n")
    sys.stdout.flush()
