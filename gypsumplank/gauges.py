"""Define the daemon's gauges and register them with the metrics."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields

from opentelemetry.metrics import Observation

from gypsumplank.metrics import Metrics

ReadGauge = Callable[[], float]


@dataclass(frozen=True)
class GaugeSpec:
    """Describe one gauge."""

    name: str
    unit: str
    description: str


@dataclass(frozen=True)
class GaugeReaders:
    """Store the function that reads each gauge; the field names are the keys of GAUGES."""

    revision: ReadGauge
    newest: ReadGauge
    unreadable: ReadGauge
    peers: ReadGauge
    held: ReadGauge
    reachable: ReadGauge
    in_flight: ReadGauge


GAUGES = {
    "revision": GaugeSpec(
        "gypsumplank.config.revision", "{revision}", "Configuration revision in force"
    ),
    "newest": GaugeSpec(
        "gypsumplank.config.newest",
        "{revision}",
        "Newest revision that any live daemon is known to have in force",
    ),
    "unreadable": GaugeSpec(
        "gypsumplank.config.unreadable",
        "{record}",
        "Records in force by their last known form",
    ),
    "peers": GaugeSpec("gypsumplank.peers.known", "{daemon}", "Daemons that messages go to"),
    "held": GaugeSpec("gypsumplank.session.held", "1", "1 while this daemon's lease is in force"),
    "reachable": GaugeSpec(
        "gypsumplank.state.reachable",
        "1",
        "0 while calls to the platform are refused after failures in a row",
    ),
    "in_flight": GaugeSpec("gypsumplank.requests.in_flight", "{request}", "Requests in flight"),
}


def add_gauges(metrics: Metrics, readers: GaugeReaders) -> None:
    """Register every gauge; its value is read whenever metrics are collected."""
    for reader in fields(readers):
        gauge = GAUGES[reader.name]
        observe = _make_callback(getattr(readers, reader.name))
        metrics.gauge(gauge.name, gauge.unit, gauge.description, observe)


def _make_callback(read_gauge: ReadGauge) -> Callable[[], Iterable[Observation]]:
    return lambda: [Observation(read_gauge())]
