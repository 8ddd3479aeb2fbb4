"""Count and time what the daemon does, by OpenTelemetry."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

SCOPE = "gypsumplank"
DURATION_BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0)

Gauge = Callable[[], Iterable[Observation]]


class Metrics:
    """Hold the daemon's instruments."""

    def __init__(self) -> None:
        self._provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._meter = self._provider.get_meter(SCOPE)
        self._requests = self._meter.create_counter(
            "gypsumplank.requests", unit="{request}", description="Requests by outcome"
        )
        self._duration = self._meter.create_histogram(
            "gypsumplank.request.duration",
            unit="s",
            description="Time from arrival to reply",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )

    def count(self, name: str, description: str) -> Callable[[int, dict[str, str]], None]:
        """Return the add function of a new counter."""
        return self._meter.create_counter(name, unit="1", description=description).add

    def gauge(self, name: str, unit: str, description: str, read: Gauge) -> None:
        """Report what `read` returns whenever metrics are collected."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return read()

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def request(self, service: str, outcome: str, seconds: float) -> None:
        """Count one request and its duration."""
        self._requests.add(1, {"service": service, "outcome": outcome})
        self._duration.record(seconds, {"service": service})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Release the reader."""
        self._provider.shutdown()
