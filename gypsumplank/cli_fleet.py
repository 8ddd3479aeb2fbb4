"""Add the `host`, `pool`, `wave` and `plan` commands to the command line."""

import argparse
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from gypsumplank import porcelain_fleet
from gypsumplank.porcelain import OperatorClient
from gypsumplank.protocol.fleet import HostAction, PoolReport, WaveAction, WaveReport
from gypsumplank.protocol.spec import DEFAULT_GRACE_S

FindServer = Callable[[argparse.Namespace], OperatorClient]
PrintResult = Callable[[argparse.Namespace, Any, list[dict[str, Any]]], None]


class FleetCommands:
    """Run the fleet commands; finding the server and printing are injected."""

    def __init__(self, find_server: FindServer, print_result: PrintResult) -> None:
        self._find_server = find_server
        self._print_result = print_result

    def host(self, args: argparse.Namespace) -> None:
        """Drain, undrain or move a host."""
        receipt = porcelain_fleet.change_host(
            self._find_server(args),
            HostAction(args.action),
            args.host,
            getattr(args, "pool", ""),
            getattr(args, "grace", DEFAULT_GRACE_S),
            getattr(args, "override", False),
        )
        self._print_result(args, receipt, [asdict(receipt)])

    def pool(self, args: argparse.Namespace) -> None:
        """Show pools' budgets and the hosts out of service."""
        reports = porcelain_fleet.pools(self._find_server(args), args.pool)
        self._print_result(args, reports, [row for report in reports for row in _pool_rows(report)])

    def wave(self, args: argparse.Namespace) -> None:
        """Start, pause, resume or abort a wave."""
        report = porcelain_fleet.change_wave(
            self._find_server(args), WaveAction(args.action), args.wave
        )
        self._print_result(args, report, _wave_rows(report))

    def wave_plan(self, args: argparse.Namespace) -> None:
        """Show in which order a wave takes its hosts."""
        reports = porcelain_fleet.waves(self._find_server(args), args.wave)
        rows = [
            {"wave": report.wave, "step": number, "host": host}
            for report in reports
            for number, host in enumerate(report.order, 1)
        ]
        self._print_result(args, reports, rows)

    def wave_status(self, args: argparse.Namespace) -> None:
        """Show the progress of waves."""
        reports = porcelain_fleet.waves(self._find_server(args), args.wave)
        self._print_result(args, reports, [row for report in reports for row in _wave_rows(report)])

    def plan(self, args: argparse.Namespace) -> None:
        """Show the hosts that each pool needs and the moves that the planner proposes."""
        plan = porcelain_fleet.plan(self._find_server(args))
        rows = [{**asdict(pool), "surplus": pool.surplus} for pool in plan.pools]
        self._print_result(args, plan, rows)
        if args.output == "table":
            self._print_result(args, plan, [asdict(move) for move in plan.moves])
            self._print_result(args, plan, [{"note": note} for note in plan.notes])


def add_commands(commands: Any, find_server: FindServer, print_result: PrintResult) -> None:
    """Add `host`, `pool`, `wave` and `plan`."""
    handlers = FleetCommands(find_server, print_result)
    _add_host_commands(commands, handlers)
    pool = commands.add_parser("pool", help="show pools' budgets and the hosts out of service")
    actions = pool.add_subparsers(dest="action", required=True)
    status = actions.add_parser("status", help="show one pool or all of them")
    status.add_argument("pool", nargs="?", default="")
    status.set_defaults(run=handlers.pool)
    wave = commands.add_parser("wave", help="manage maintenance waves")
    actions = wave.add_subparsers(dest="action", required=True)
    for action in WaveAction:
        command = actions.add_parser(action.value, help=f"{action.value} a wave")
        command.add_argument("wave")
        command.set_defaults(run=handlers.wave)
    for name, text, run_wave_command in (
        ("plan", "show the order of hosts", handlers.wave_plan),
        ("status", "show progress, what it waits for and the estimated end", handlers.wave_status),
    ):
        command = actions.add_parser(name, help=text)
        command.add_argument("wave", nargs="?", default="")
        command.set_defaults(run=run_wave_command)
    commands.add_parser("plan", help="show how many hosts pools need and why").set_defaults(
        run=handlers.plan
    )


def _add_host_commands(commands: Any, handlers: FleetCommands) -> None:
    host = commands.add_parser("host", help="drain, undrain or move a host")
    actions = host.add_subparsers(dest="action", required=True)
    for action in HostAction:
        command = actions.add_parser(action.value, help=f"{action.value} a host")
        command.add_argument("host")
        command.set_defaults(run=handlers.host)
        if action is HostAction.UNDRAIN:
            continue
        command.add_argument("--grace", type=float, default=DEFAULT_GRACE_S, help="seconds")
        command.add_argument(
            "--override", action="store_true", help="proceed even if the pool's budget forbids it"
        )
        if action is HostAction.MOVE:
            command.add_argument("--pool", required=True, help="pool to move to")


def _pool_rows(report: PoolReport) -> list[dict[str, Any]]:
    pool_columns = {
        "pool": report.pool,
        "in service": f"{report.in_service}/{report.hosts}",
        "promised": report.floor,
        "room": report.room,
        "controller": report.holder or "-",
        "flood": "yes" if report.flooded else "-",
    }
    hosts = [
        {
            "out": out.host,
            "state": out.state,
            "why": " ".join(filter(None, (out.reason, out.run, out.target_pool))),
            "override": "yes" if out.override else "-",
            "waits for": out.wait or "-",
        }
        for out in report.out
    ]
    none = {"out": "-", "state": "-", "why": "-", "override": "-", "waits for": "-"}
    return [{**pool_columns, **host} for host in hosts or [none]]


def _wave_rows(report: WaveReport) -> list[dict[str, Any]]:
    waits = "; ".join(report.waits.values())
    return [
        {
            "wave": report.run or report.wave,
            "state": report.state,
            "done": f"{report.done}/{report.total}",
            "out": ",".join(report.out) or "-",
            "next": ",".join(report.next) or "-",
            "ends within s": round(report.left_s),
            "override": "yes" if report.override else "-",
            "why": report.reason or waits or "-",
        }
    ]
