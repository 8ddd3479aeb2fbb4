"""Offer the operators' reports as functions."""

from collections.abc import Iterator
from typing import Any

from gypsumplank.porcelain import Server
from gypsumplank.protocol.burn import BurnReport, Measures, ServiceBurn, WindowBurn
from gypsumplank.protocol.operator import PATH_BURN

NONE = "-"


def burn(server: Server) -> BurnReport:
    """Return the burn of every service and the four measures."""
    return server.call("GET", PATH_BURN, BurnReport)


def window_name(window_s: int) -> str:
    """Return a window as operators name it."""
    return f"{window_s // 3600}h" if window_s >= 3600 else f"{window_s // 60}m"


def burn_rows(report: BurnReport) -> Iterator[dict[str, Any]]:
    """Yield one row a service and window."""
    for service in report.services:
        for window in service.windows:
            yield _burn_row(service, window)


def _burn_row(service: ServiceBurn, window: WindowBurn) -> dict[str, Any]:
    spent = sorted(window.spent.items(), key=lambda item: -item[1])
    return {
        "service": service.service,
        "objective": f"{service.target:.3%}",
        "window": window_name(window.window_s),
        "requests": window.total,
        "on time": f"{window.on_time / window.total:.3%}" if window.total else NONE,
        "burn": f"{window.burn_rate:g}",
        "spent by": ", ".join(f"{count} {result}" for result, count in spent) or NONE,
    }


def measure_rows(measures: Measures) -> Iterator[dict[str, Any]]:
    """Yield one row for each of the four measures."""
    median, longest = measures.rollout_median_s, measures.rollout_longest_s
    times = NONE if median is None else f"median {median:.2f} s, longest {longest:.2f} s"
    yield {"measure": "buffer cost", "value": _share(measures.buffer_share, "of all hosts")}
    yield {"measure": "roll-out time", "value": times}
    yield {"measure": "moves", "value": measures.moves}
    kept = _share(measures.flood_kept, "on time at services not flooded")
    yield {"measure": "flood protection", "value": kept}


def _share(share: float | None, text: str) -> str:
    return NONE if share is None else f"{share:.1%} {text}"
