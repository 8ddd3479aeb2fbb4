"""Add the commands on hosts, pools and waves to the command line."""

import argparse
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from gypsumplank import porcelain_fleet
from gypsumplank.porcelain import Server
from gypsumplank.protocol.fleet import HostAction, PoolReport, WaveAction, WaveReport
from gypsumplank.protocol.spec import DEFAULT_GRACE_S

Find = Callable[[argparse.Namespace], Server]
Show = Callable[[argparse.Namespace, Any, list[dict[str, Any]]], None]


class FleetCommands:
    """Run the commands with the command line's own way to find a server and to print."""

    def __init__(self, find: Find, show: Show) -> None:
        self._find = find
        self._show = show

    def host(self, args: argparse.Namespace) -> None:
        """Drain, undrain or move a host."""
        receipt = porcelain_fleet.order_host(
            self._find(args),
            HostAction(args.action),
            args.host,
            getattr(args, "pool", ""),
            getattr(args, "grace", DEFAULT_GRACE_S),
            getattr(args, "override", False),
        )
        self._show(args, receipt, [asdict(receipt)])

    def pool(self, args: argparse.Namespace) -> None:
        """Show how pools stand."""
        found = porcelain_fleet.pools(self._find(args), args.pool)
        self._show(args, found, [row for held in found for row in _pool_rows(held)])

    def wave(self, args: argparse.Namespace) -> None:
        """Start, pause, resume or abort a wave."""
        found = porcelain_fleet.order_wave(self._find(args), WaveAction(args.action), args.wave)
        self._show(args, found, _wave_rows(found))

    def wave_plan(self, args: argparse.Namespace) -> None:
        """Show the order of a wave."""
        found = porcelain_fleet.waves(self._find(args), args.wave)
        rows = [
            {"wave": held.wave, "step": number, "host": host}
            for held in found
            for number, host in enumerate(held.order, 1)
        ]
        self._show(args, found, rows)

    def wave_status(self, args: argparse.Namespace) -> None:
        """Show how far waves are."""
        found = porcelain_fleet.waves(self._find(args), args.wave)
        self._show(args, found, [row for held in found for row in _wave_rows(held)])

    def plan(self, args: argparse.Namespace) -> None:
        """Show what each pool needs and which hosts would move."""
        found = porcelain_fleet.plan(self._find(args))
        rows = [{**asdict(held), "surplus": held.surplus} for held in found.pools]
        self._show(args, found, rows)
        if args.output == "table":
            self._show(args, found, [asdict(move) for move in found.moves])
            self._show(args, found, [{"note": note} for note in found.notes])


def add_commands(commands: Any, find: Find, show: Show) -> None:
    """Register `host`, `pool`, `wave` and `plan`."""
    run = FleetCommands(find, show)
    _add_host(commands, run)
    pool = commands.add_parser("pool", help="show pools' budgets and who is out")
    actions = pool.add_subparsers(dest="action", required=True)
    status = actions.add_parser("status", help="show how pools stand")
    status.add_argument("pool", nargs="?", default="")
    status.set_defaults(run=run.pool)
    wave = commands.add_parser("wave", help="drive maintenance waves")
    actions = wave.add_subparsers(dest="action", required=True)
    for action in WaveAction:
        command = actions.add_parser(action.value, help=f"{action.value} a wave")
        command.add_argument("wave")
        command.set_defaults(run=run.wave)
    for name, text, show_wave in (
        ("plan", "show the order of hosts", run.wave_plan),
        ("status", "show progress, what waits and a forecast of the end", run.wave_status),
    ):
        command = actions.add_parser(name, help=text)
        command.add_argument("wave", nargs="?", default="")
        command.set_defaults(run=show_wave)
    commands.add_parser("plan", help="show what pools need and why").set_defaults(run=run.plan)


def _add_host(commands: Any, run: FleetCommands) -> None:
    host = commands.add_parser("host", help="drain, undrain or move a host")
    actions = host.add_subparsers(dest="action", required=True)
    for action in HostAction:
        command = actions.add_parser(action.value, help=f"{action.value} a host")
        command.add_argument("host")
        command.set_defaults(run=run.host)
        if action is HostAction.UNDRAIN:
            continue
        command.add_argument("--grace", type=float, default=DEFAULT_GRACE_S, help="seconds")
        command.add_argument(
            "--override", action="store_true", help="although the pool's budget forbids it"
        )
        if action is HostAction.MOVE:
            command.add_argument("--pool", required=True, help="pool to move to")


def _pool_rows(held: PoolReport) -> list[dict[str, Any]]:
    shown = {
        "pool": held.pool,
        "in service": f"{held.in_service}/{held.hosts}",
        "promised": held.floor,
        "room": held.room,
        "controller": held.holder or "-",
        "flood": "yes" if held.flooded else "-",
    }
    hosts = [
        {
            "out": out.host,
            "state": out.state,
            "why": " ".join(filter(None, (out.reason, out.run, out.target_pool))),
            "override": "yes" if out.override else "-",
            "waits for": out.wait or "-",
        }
        for out in held.out
    ]
    none = {"out": "-", "state": "-", "why": "-", "override": "-", "waits for": "-"}
    return [{**shown, **host} for host in hosts or [none]]


def _wave_rows(held: WaveReport) -> list[dict[str, Any]]:
    waits = "; ".join(held.waits.values())
    return [
        {
            "wave": held.run or held.wave,
            "state": held.state,
            "done": f"{held.done}/{held.total}",
            "out": ",".join(held.out) or "-",
            "next": ",".join(held.next) or "-",
            "ends within s": round(held.left_s),
            "override": "yes" if held.override else "-",
            "why": held.reason or waits or "-",
        }
    ]
