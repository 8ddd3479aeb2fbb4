"""Gather the overviews of all daemons into one screen of text."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from gypsumplank import porcelain
from gypsumplank.errors import GypsumplankError
from gypsumplank.porcelain import Server
from gypsumplank.protocol.operator import DaemonStatus, Status
from gypsumplank.protocol.overview import PATH_OVERVIEW, Overview

ASKED_AT_ONCE = 16
HOLDS = {True: "holds", False: "BROKEN"}
NO_ROWS = "none"


@dataclass(frozen=True)
class Answered:
    """Hold one daemon and its overview, or the code of why there is none."""

    daemon: DaemonStatus
    overview: Overview | None
    code: str = ""


@dataclass(frozen=True)
class Top:
    """Hold the status that one daemon told and the overviews of all."""

    status: Status
    answered: tuple[Answered, ...]

    @property
    def newest(self) -> Overview | None:
        """Return the overview at the newest revision."""
        found = [held.overview for held in self.answered if held.overview]
        return max(found, key=lambda overview: overview.revision, default=None)


def top(server: Server) -> Top:
    """Return what all daemons tell; those that do not answer are named."""
    status = porcelain.status(server)

    def ask(daemon: DaemonStatus) -> Answered:
        try:
            other = Server(daemon.operators, server.token)
            return Answered(daemon, other.call("GET", PATH_OVERVIEW, Overview))
        except GypsumplankError as exc:
            return Answered(daemon, None, exc.code)

    with ThreadPoolExecutor(ASKED_AT_ONCE) as executor:
        return Top(status, tuple(executor.map(ask, status.daemons)))


def pool_rows(held: Top) -> Iterator[dict[str, Any]]:
    """Yield one row a pool; requests are summed over the daemons."""
    in_flight: Counter[str] = Counter()
    for overview in _overviews(held):
        in_flight.update({pool.name: pool.in_flight for pool in overview.pools})
    for pool in held.newest.pools if held.newest else ():
        yield {
            "pool": pool.name,
            "hosts": pool.hosts,
            "serving": pool.serving,
            "draining": pool.draining,
            "out": pool.out,
            "promised": pool.promised,
            "budget": HOLDS[pool.holds],
            "in flight": in_flight[pool.name],
        }


def queue_rows(held: Top) -> Iterator[dict[str, Any]]:
    """Yield one row a service that has requests waiting at any daemon."""
    waiting: Counter[str] = Counter()
    for overview in _overviews(held):
        waiting.update(overview.waiting)
    for service, count in waiting.most_common():
        yield {"service": service, "waiting": count}


def wave_rows(held: Top) -> Iterator[dict[str, Any]]:
    """Yield one row a wave."""
    for wave in held.newest.waves if held.newest else ():
        yield {
            "wave": wave.name,
            "hosts": wave.hosts,
            "draining": wave.draining,
            "out": wave.out,
        }


def daemon_rows(held: Top) -> Iterator[dict[str, Any]]:
    """Yield one row a live daemon."""
    newest = max((one.daemon.revision for one in held.answered), default=0)
    for one in held.answered:
        revision = one.overview.revision if one.overview else one.daemon.revision
        behind = max(newest, held.status.revision) - revision
        yield {
            "daemon": one.daemon.id,
            "zone": one.daemon.zone,
            "revision": revision,
            "behind": max(0, behind),
            "answers": one.code or "yes",
        }


def screen(held: Top) -> str:
    """Return all sections as text that needs no colour."""
    sections = (
        ("pools", pool_rows(held)),
        ("queues", queue_rows(held)),
        ("waves", wave_rows(held)),
        ("daemons", daemon_rows(held)),
    )
    return "\n\n".join(_section(title, list(rows)) for title, rows in sections)


def _section(title: str, rows: Sequence[dict[str, Any]]) -> str:
    return f"== {title}\n{porcelain.table(rows) or NO_ROWS}"


def _overviews(held: Top) -> Iterable[Overview]:
    return (one.overview for one in held.answered if one.overview)
