"""Provide the operators' reports as functions and format them as table rows."""

from collections.abc import Iterator
from typing import Any

from gypsumplank.porcelain import OperatorClient
from gypsumplank.protocol.burn import BurnReport, FleetMeasures, ServiceBurn, WindowBurn
from gypsumplank.protocol.operator import PATH_BURN

NO_VALUE = "-"


def burn(server: OperatorClient) -> BurnReport:
    """Return every service's error budget burn and the four fleet measures."""
    return server.call("GET", PATH_BURN, BurnReport)


def window_name(window_s: int) -> str:
    """Format a window in seconds as whole hours or minutes, such as `1h` or `5m`."""
    return f"{window_s // 3600}h" if window_s >= 3600 else f"{window_s // 60}m"


def burn_rows(report: BurnReport) -> Iterator[dict[str, Any]]:
    """Yield one row per service and window."""
    for service in report.services:
        for window in service.windows:
            yield _burn_row(service, window)


def _burn_row(service: ServiceBurn, window: WindowBurn) -> dict[str, Any]:
    spent_by = sorted(window.spent.items(), key=lambda item: -item[1])
    return {
        "service": service.service,
        "objective": f"{service.target:.3%}",
        "window": window_name(window.window_s),
        "requests": window.total,
        "on time": f"{window.on_time / window.total:.3%}" if window.total else NO_VALUE,
        "burn": f"{window.burn_rate:g}",
        "spent by": ", ".join(f"{count} {result}" for result, count in spent_by) or NO_VALUE,
    }


def measure_rows(measures: FleetMeasures) -> Iterator[dict[str, Any]]:
    """Yield one row for each of the four measures."""
    median, longest = measures.rollout_median_s, measures.rollout_longest_s
    rollout_times = (
        NO_VALUE if median is None else f"median {median:.2f} s, longest {longest:.2f} s"
    )
    yield {"measure": "buffer cost", "value": _format_share(measures.buffer_share, "of all hosts")}
    yield {"measure": "roll-out time", "value": rollout_times}
    yield {"measure": "moves", "value": measures.moves}
    flood_share = _format_share(measures.flood_kept, "on time at services not flooded")
    yield {"measure": "flood protection", "value": flood_share}


def _format_share(share: float | None, text: str) -> str:
    return NO_VALUE if share is None else f"{share:.1%} {text}"
