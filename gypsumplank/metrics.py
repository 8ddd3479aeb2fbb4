"""Record metrics with OpenTelemetry and render them for Prometheus."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

METER_NAME = "gypsumplank"
DURATION_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0)

REQUESTS_DESCRIPTION = "Requests by service and outcome"
DURATION_DESCRIPTION = "Time from arrival to reply, by service"

ReadObservations = Callable[[], Iterable[Observation]]


@dataclass(frozen=True)
class Instrument:
    """Describe one metric instrument for the reference page."""

    name: str
    kind: str
    unit: str
    description: str


class Metrics:
    """Create and record the daemon's metric instruments; `catalogue` describes each of them."""

    def __init__(self) -> None:
        self.catalogue = [
            Instrument("gypsumplank.requests", "counter", "{request}", REQUESTS_DESCRIPTION),
            Instrument("gypsumplank.request.duration", "histogram", "s", DURATION_DESCRIPTION),
        ]
        self._provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._meter = self._provider.get_meter(METER_NAME)
        self._requests = self._meter.create_counter(
            "gypsumplank.requests", unit="{request}", description=REQUESTS_DESCRIPTION
        )
        self._duration = self._meter.create_histogram(
            "gypsumplank.request.duration",
            unit="s",
            description=DURATION_DESCRIPTION,
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
        )

    def counter(self, name: str, description: str) -> Callable[[int, dict[str, str]], None]:
        """Create a counter and return its add function."""
        self.catalogue.append(Instrument(name, "counter", "1", description))
        return self._meter.create_counter(name, unit="1", description=description).add

    def histogram(self, name: str, description: str) -> Callable[[float, dict[str, str]], None]:
        """Create a histogram of durations in seconds and return its record function."""
        self.catalogue.append(Instrument(name, "histogram", "s", description))
        histogram = self._meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
        )
        return histogram.record

    def gauge(self, name: str, unit: str, description: str, read: ReadObservations) -> None:
        """Create a gauge whose values `read` returns whenever metrics are collected."""
        self.catalogue.append(Instrument(name, "gauge", unit, description))

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return read()

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def observable_counter(self, name: str, description: str, read: ReadObservations) -> None:
        """Create a counter whose values `read` returns whenever metrics are collected."""
        self.catalogue.append(Instrument(name, "counter", "1", description))

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return read()

        self._meter.create_observable_counter(name, [observe], "1", description)

    def record_request(self, service: str, outcome: str, seconds: float) -> None:
        """Count one request and record its duration."""
        self._requests.add(1, {"service": service, "outcome": outcome})
        self._duration.record(seconds, {"service": service})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()
