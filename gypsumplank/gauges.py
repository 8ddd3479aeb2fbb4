"""Report the daemon's levels as gauges."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields

from opentelemetry.metrics import Observation

from gypsumplank.metrics import Metrics

Level = Callable[[], float]


@dataclass(frozen=True)
class Gauge:
    """Hold what names and explains one gauge."""

    name: str
    unit: str
    description: str


@dataclass(frozen=True)
class Levels:
    """Read one level each; the fields have the names of GAUGES."""

    revision: Level
    newest: Level
    unreadable: Level
    peers: Level
    held: Level
    reachable: Level
    in_flight: Level


GAUGES = {
    "revision": Gauge(
        "gypsumplank.config.revision", "{revision}", "Configuration revision in force"
    ),
    "newest": Gauge(
        "gypsumplank.config.newest",
        "{revision}",
        "Newest revision that any live daemon is known to have in force",
    ),
    "unreadable": Gauge(
        "gypsumplank.config.unreadable", "{record}", "Records in force by their last known form"
    ),
    "peers": Gauge("gypsumplank.peers.known", "{daemon}", "Daemons that messages go to"),
    "held": Gauge("gypsumplank.session.held", "1", "1 while this daemon's lease is in force"),
    "reachable": Gauge(
        "gypsumplank.state.reachable",
        "1",
        "0 while calls to the platform are refused after failures in a row",
    ),
    "in_flight": Gauge("gypsumplank.requests.in_flight", "{request}", "Requests in flight"),
}


def add_gauges(metrics: Metrics, levels: Levels) -> None:
    """Report every level whenever metrics are collected."""
    for spec in fields(levels):
        gauge = GAUGES[spec.name]
        read = _observe(getattr(levels, spec.name))
        metrics.gauge(gauge.name, gauge.unit, gauge.description, read)


def _observe(level: Level) -> Callable[[], Iterable[Observation]]:
    return lambda: [Observation(level())]
