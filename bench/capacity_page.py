"""Estimate the cost of the target fleet from the measurements and update the capacity page."""

import json
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from bench.fit import Fit
from demo.cluster import ROOT
from gypsumplank.porcelain import format_table
from reference.block import replace_block

RESULT = ROOT / "docs" / "measurements" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"

FLEET_WORKERS = 1_700
FLEET_POOLS = 21
FLEET_TEAMS = 120
CHANGES_PER_DAY = 6_300
RESTARTS_PER_DAY = 410
FAILURES_PER_DAY = 15
MAINTENANCE_INTERVAL_DAYS = 42
CHANGES_PER_MAINTENANCE = 4
CHANGES_PER_RESTART = 2
SLOTS_PER_WORKER = 8
DAEMON_COUNTS = (7, 20, 60)
MEAN_RUN_TIMES_S = (10.0, 2.0, 1.0, 0.5)
BUSY_FRACTION = 0.6
DAEMON_HEADROOM = 1.25
SECONDS_PER_DAY = 86_400
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_000
MAX_CPU_PERCENT = 1.3
MAX_MEMORY_MB = 32
MAX_KB_PER_S = 10
RECORD_COUNT = 2 * FLEET_WORKERS + 3 * FLEET_POOLS + FLEET_TEAMS + 1
RELAXED_LABEL = ", relaxed periods"
HEARTBEAT_INTERVAL_S = {"": 1.0, RELAXED_LABEL: 3.0}
BASE64_FACTOR = 4 / 3

Rows = Iterator[dict[str, Any]]


def system_changes_per_day() -> float:
    """Return the changes that daemons write per day for maintenance, restarts and failures."""
    maintenance_changes = FLEET_WORKERS / MAINTENANCE_INTERVAL_DAYS * CHANGES_PER_MAINTENANCE
    return maintenance_changes + (RESTARTS_PER_DAY + FAILURES_PER_DAY) * CHANGES_PER_RESTART


@dataclass(frozen=True)
class Measured:
    """Read the stored measurements and scale them to the target fleet."""

    raw: Mapping[str, Any]

    def slope(self, name: str) -> Mapping[str, Any]:
        """Return one measured cost with its points and its fitted line."""
        (slope,) = [slope for slope in self.raw["slopes"] if slope["name"] == name]
        return slope

    def fit(self, name: str) -> Fit:
        """Return the line fitted to one measured cost."""
        return Fit(**self.slope(name)["fit"])

    def change_cpu_ms(self) -> float:
        """Return the CPU time in ms of one change to the view at the target fleet size."""
        return self.fit("view change").at(RECORD_COUNT)

    def change_cpu_percent(self) -> float:
        """Return the percentage of a core used to apply changes, averaged over a day."""
        changes = CHANGES_PER_DAY + system_changes_per_day()
        return self.change_cpu_ms() * changes / SECONDS_PER_DAY / 1000 * 100

    def idle_cpu_percent(self, daemons: int, label: str) -> float:
        """Return the percentage of a core that an idle daemon uses."""
        record_percent = self.fit("daemon at rest by records").slope * RECORD_COUNT
        return self.fit(f"daemon at rest by sessions{label}").at(daemons) + record_percent

    def control_mb(self) -> float:
        """Return the memory of a daemon in MB, excluding its imported libraries."""
        return (
            self.fit("daemon memory").at(RECORD_COUNT) - self.raw["imports_bytes"]
        ) / BYTES_PER_MB

    def control_kb_per_s(self, daemons: int, label: str) -> float:
        """Return the control-plane traffic of a daemon, sent and received, in KB/s."""
        platform_bytes = sum(
            self.fit(f"{part} to and from the platform{label}").at(daemons)
            for part in ("bodies", "HTTP headers")
        )
        change_bytes = self.raw["encoded_bytes"]["change of one host"] * BASE64_FACTOR
        hello_bytes = self.raw["encoded_bytes"]["hello between daemons, sealed"]
        hello_bytes_per_s = 2 * (daemons - 1) * hello_bytes / HEARTBEAT_INTERVAL_S[label]
        changes_per_s = (CHANGES_PER_DAY + system_changes_per_day()) / SECONDS_PER_DAY
        return (platform_bytes + hello_bytes_per_s + change_bytes * changes_per_s) / BYTES_PER_KB

    def requests_per_core_s(self) -> float:
        """Return the requests per second that one core can forward."""
        return 1 / self.fit("requests carried").slope


def slope_rows(measured: Measured) -> Rows:
    """Yield one row per measured cost: points, fitted line and standard error of the slope."""
    for cost in measured.raw["slopes"]:
        fit = Fit(**cost["fit"])
        points = (f"{point['size']:g}: {point['value']:.4g}" for point in cost["points"])
        yield {
            "cost": cost["name"],
            "unit": cost["unit"],
            "at size": "; ".join(points),
            "over": cost["size"],
            "intercept": f"{fit.intercept:.4g}",
            "slope": f"{fit.slope:.4g}",
            "spread": f"{fit.spread:.2g}",
        }


def encoded_rows(measured: Measured) -> Rows:
    """Yield the encoded size of each kind of row and message."""
    for name, size in measured.raw["encoded_bytes"].items():
        yield {"what": name, "bytes": f"{size:,}"}


def control_rows(measured: Measured) -> Rows:
    """Yield the control-plane cost of one daemon at the target fleet size and its limits."""
    for daemons in DAEMON_COUNTS:
        for label in ("", RELAXED_LABEL):
            cpu_percent = measured.idle_cpu_percent(daemons, label) + measured.change_cpu_percent()
            kb_per_s = measured.control_kb_per_s(daemons, label)
            fits = cpu_percent <= MAX_CPU_PERCENT and kb_per_s <= MAX_KB_PER_S
            fits = fits and measured.control_mb() <= MAX_MEMORY_MB
            yield {
                "daemons": daemons,
                "periods": "relaxed" if label else "default",
                f"% of a core (at most {MAX_CPU_PERCENT})": f"{cpu_percent:.2f}",
                f"MB excluding libraries (at most {MAX_MEMORY_MB})": f"{measured.control_mb():.1f}",
                f"KB/s (at most {MAX_KB_PER_S})": f"{kb_per_s:.1f}",
                "fits": "yes" if fits else "NO",
            }


def memory_rows(measured: Measured) -> Rows:
    """Yield a daemon's memory by component at the target fleet size."""
    libraries_mb = measured.raw["imports_bytes"] / BYTES_PER_MB
    view_mb = measured.fit("view memory").at(RECORD_COUNT) / BYTES_PER_MB
    process_mb = measured.fit("daemon memory").at(RECORD_COUNT) / BYTES_PER_MB
    yield {"part": "imported libraries", "MB": f"{libraries_mb:.1f}"}
    yield {"part": f"view of {RECORD_COUNT:,} records", "MB": f"{view_mb:.1f}"}
    yield {"part": "rest of the daemon", "MB": f"{process_mb - libraries_mb - view_mb:.1f}"}
    yield {"part": "whole process", "MB": f"{process_mb:.1f}"}


def platform_load_rows(measured: Measured) -> Rows:
    """Yield the load that all daemons together place on the table service."""
    changes_per_s = (CHANGES_PER_DAY + system_changes_per_day()) / SECONDS_PER_DAY
    for daemons in DAEMON_COUNTS:
        for label in ("", RELAXED_LABEL):
            reads = measured.fit(f"reads of the platform{label}").at(daemons)
            writes = measured.fit(f"writes to the platform{label}").at(daemons)
            yield {
                "daemons": daemons,
                "periods": "relaxed" if label else "default",
                "reads/s (of 2,000)": f"{(reads + changes_per_s) * daemons:.0f}",
                "writes/s (of several hundred)": f"{writes * daemons + changes_per_s:.0f}",
                "KB/s": f"{measured.control_kb_per_s(daemons, label) * daemons:,.0f}",
            }


def daemon_count_rows(measured: Measured) -> Rows:
    """Yield the number of daemons needed for the fleet's requests, by mean run time."""
    requests_per_core = measured.requests_per_core_s()
    for run_s in MEAN_RUN_TIMES_S:
        demand_per_s = FLEET_WORKERS * SLOTS_PER_WORKER * BUSY_FRACTION / run_s
        yield {
            "mean run time, s": run_s,
            "requests/s": f"{demand_per_s:,.0f}",
            "daemons": f"{demand_per_s / requests_per_core * DAEMON_HEADROOM:.0f}",
        }


def fleet_rows(measured: Measured) -> Rows:
    """Yield the target fleet size and the load derived from it."""
    changes_per_day = CHANGES_PER_DAY + system_changes_per_day()
    yield {"what": "records in force", "value": f"{RECORD_COUNT:,}"}
    yield {"what": "operator changes per day", "value": f"{CHANGES_PER_DAY:,}"}
    yield {"what": "system changes per day", "value": f"{system_changes_per_day():,.0f}"}
    yield {
        "what": "CPU time of one change to the view in force, ms",
        "value": f"{measured.change_cpu_ms():.1f}",
    }
    yield {"what": "all changes, % of a core", "value": f"{measured.change_cpu_percent():.3f}"}
    yield {
        "what": "all changes of a day within one hour, % of a core",
        "value": f"{measured.change_cpu_percent() * 24:.2f}",
    }
    change_bytes = measured.raw["encoded_bytes"]["change of one host"]
    yield {
        "what": "change log per day, MB",
        "value": f"{change_bytes * changes_per_day / BYTES_PER_MB:.1f}",
    }
    yield {
        "what": "requests per second per core",
        "value": f"{measured.requests_per_core_s():,.0f}",
    }


PAGE_BLOCKS: Mapping[str, Callable[[Measured], Rows]] = {
    "figures": fleet_rows,
    "control": control_rows,
    "memory": memory_rows,
    "platform": platform_load_rows,
    "daemons": daemon_count_rows,
    "encoded": encoded_rows,
    "slopes": slope_rows,
}


def render_page(page: str, raw: Mapping[str, Any]) -> str:
    """Return the page with every generated block rendered from the measurements."""
    measured = Measured(raw)
    for name, rows in PAGE_BLOCKS.items():
        page = replace_block(page, name, rows(measured))
    stamp = f"Measured {raw['measured_at']} UTC, Python {raw['python']}."
    return re.sub(r"^Measured .*$", stamp, page, flags=re.MULTILINE)


def write_page() -> str:
    """Update the capacity page; write and return the measured costs as a text table."""
    raw = json.loads(RESULT.read_text(encoding="utf-8"))
    PAGE.write_text(render_page(PAGE.read_text(encoding="utf-8"), raw), encoding="utf-8")
    text = f"{format_table(slope_rows(Measured(raw)))}\n"
    RESULT.with_suffix(".txt").write_text(text, encoding="utf-8")
    return text
