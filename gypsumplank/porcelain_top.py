"""Collect the overviews of all daemons and render them as one screen of text."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from gypsumplank import porcelain
from gypsumplank.errors import GypsumplankError
from gypsumplank.porcelain import OperatorClient
from gypsumplank.protocol.operator import DaemonStatus, Status
from gypsumplank.protocol.overview import PATH_OVERVIEW, Overview

MAX_CONCURRENT_REQUESTS = 16
BUDGET_LABELS = {True: "holds", False: "BROKEN"}
NO_ROWS = "none"


@dataclass(frozen=True)
class DaemonReply:
    """Store one daemon's overview, or the error code of the failed request."""

    daemon: DaemonStatus
    overview: Overview | None
    code: str = ""


@dataclass(frozen=True)
class FleetOverview:
    """Store one daemon's status report and the overviews of all daemons that it lists."""

    status: Status
    answered: tuple[DaemonReply, ...]

    @property
    def newest(self) -> Overview | None:
        """Return the overview with the highest revision, None if no daemon answered."""
        overviews = [reply.overview for reply in self.answered if reply.overview]
        return max(overviews, key=lambda overview: overview.revision, default=None)


def top(server: OperatorClient) -> FleetOverview:
    """Request the overviews of all live daemons; failed requests are included with their code."""
    status = porcelain.status(server)

    def fetch(daemon: DaemonStatus) -> DaemonReply:
        try:
            target = OperatorClient(daemon.operators, server.token)
            return DaemonReply(daemon, target.call("GET", PATH_OVERVIEW, Overview))
        except GypsumplankError as exc:
            return DaemonReply(daemon, None, exc.code)

    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as executor:
        return FleetOverview(status, tuple(executor.map(fetch, status.daemons)))


def pool_rows(fleet: FleetOverview) -> Iterator[dict[str, Any]]:
    """Yield one row per pool; requests are summed over the daemons."""
    in_flight: Counter[str] = Counter()
    for overview in _received_overviews(fleet):
        in_flight.update({pool.name: pool.in_flight for pool in overview.pools})
    for pool in fleet.newest.pools if fleet.newest else ():
        yield {
            "pool": pool.name,
            "hosts": pool.hosts,
            "serving": pool.serving,
            "draining": pool.draining,
            "out": pool.out,
            "promised": pool.promised,
            "budget": BUDGET_LABELS[pool.meets_budget],
            "in flight": in_flight[pool.name],
        }


def queue_rows(fleet: FleetOverview) -> Iterator[dict[str, Any]]:
    """Yield one row per service with queued requests, summed over the daemons."""
    waiting: Counter[str] = Counter()
    for overview in _received_overviews(fleet):
        waiting.update(overview.waiting)
    for service, count in waiting.most_common():
        yield {"service": service, "waiting": count}


def wave_rows(fleet: FleetOverview) -> Iterator[dict[str, Any]]:
    """Yield one row per wave."""
    for wave in fleet.newest.waves if fleet.newest else ():
        yield {
            "wave": wave.name,
            "hosts": wave.hosts,
            "draining": wave.draining,
            "out": wave.out,
        }


def daemon_rows(fleet: FleetOverview) -> Iterator[dict[str, Any]]:
    """Yield one row per live daemon."""
    newest = max((reply.daemon.revision for reply in fleet.answered), default=0)
    for reply in fleet.answered:
        revision = reply.overview.revision if reply.overview else reply.daemon.revision
        behind = max(newest, fleet.status.revision) - revision
        yield {
            "daemon": reply.daemon.id,
            "zone": reply.daemon.zone,
            "revision": revision,
            "behind": max(0, behind),
            "answers": reply.code or "yes",
        }


def screen(fleet: FleetOverview) -> str:
    """Return all sections as plain text without escape sequences."""
    sections = (
        ("pools", pool_rows(fleet)),
        ("queues", queue_rows(fleet)),
        ("waves", wave_rows(fleet)),
        ("daemons", daemon_rows(fleet)),
    )
    return "\n\n".join(_section(title, list(rows)) for title, rows in sections)


def _section(title: str, rows: Sequence[dict[str, Any]]) -> str:
    return f"== {title}\n{porcelain.format_table(rows) or NO_ROWS}"


def _received_overviews(fleet: FleetOverview) -> Iterable[Overview]:
    return (reply.overview for reply in fleet.answered if reply.overview)
