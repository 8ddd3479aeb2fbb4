"""Work out the fleet's size from the measured slopes and write it into the capacity page."""

import json
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from bench.fit import Fit
from demo.cluster import ROOT
from gypsumplank.porcelain import table
from reference.block import replace_block

RESULT = ROOT / "docs" / "measurements" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"

WORKERS = 1_700
POOLS = 21
TEAMS = 120
CHANGES_A_DAY = 6_300
RESTARTS_A_DAY = 410
FAILURES_A_DAY = 15
MAINTENANCE_DAYS = 42
STEPS_A_MAINTENANCE = 4
STEPS_A_RESTART = 2
SLOTS = 8
DAEMONS = (7, 20, 60)
RUN_TIMES_S = (10.0, 2.0, 1.0, 0.5)
BUSY_SHARE = 0.6
SPARE_DAEMONS = 1.25
DAY_S = 86_400
MB = 1_000_000
KB = 1_000
MAX_CPU_PERCENT = 1.3
MAX_MEMORY_MB = 32
MAX_KB_A_SECOND = 10
RECORDS = 2 * WORKERS + 3 * POOLS + TEAMS + 1
RELAXED = ", relaxed periods"
HEARTBEAT_S = {"": 1.0, RELAXED: 3.0}
BASE64 = 4 / 3

Rows = Iterator[dict[str, Any]]


def system_changes_a_day() -> float:
    """Return the changes that the system writes itself for maintenance, restarts and failures."""
    maintained = WORKERS / MAINTENANCE_DAYS * STEPS_A_MAINTENANCE
    return maintained + (RESTARTS_A_DAY + FAILURES_A_DAY) * STEPS_A_RESTART


@dataclass(frozen=True)
class Measured:
    """Hold the kept measurements."""

    raw: Mapping[str, Any]

    def slope(self, name: str) -> Mapping[str, Any]:
        """Return one slope with its points."""
        (found,) = [held for held in self.raw["slopes"] if held["name"] == name]
        return found

    def fit(self, name: str) -> Fit:
        """Return the line of one slope."""
        return Fit(**self.slope(name)["fit"])

    def change_ms(self) -> float:
        """Return the processor time of one change to the view at the fleet's size."""
        return self.fit("view change").at(RECORDS)

    def changes_percent(self) -> float:
        """Return the share of a core that a day's changes take."""
        changes = CHANGES_A_DAY + system_changes_a_day()
        return self.change_ms() * changes / DAY_S / 1000 * 100

    def rest_percent(self, daemons: int, label: str) -> float:
        """Return the share of a core that a daemon spends at rest."""
        records = self.fit("daemon at rest by records").slope * RECORDS
        return self.fit(f"daemon at rest by sessions{label}").at(daemons) + records

    def control_mb(self) -> float:
        """Return the memory of a daemon beside its libraries."""
        return (self.fit("daemon memory").at(RECORDS) - self.raw["imports_bytes"]) / MB

    def kb_a_second(self, daemons: int, label: str) -> float:
        """Return what a daemon sends and receives for control."""
        rest = sum(
            self.fit(f"{part} to and from the platform{label}").at(daemons)
            for part in ("bodies", "HTTP headers")
        )
        entry = self.raw["encoded_bytes"]["change of one host"] * BASE64
        hello = self.raw["encoded_bytes"]["hello between daemons, sealed"]
        hellos = 2 * (daemons - 1) * hello / HEARTBEAT_S[label]
        changes = (CHANGES_A_DAY + system_changes_a_day()) / DAY_S
        return (rest + hellos + entry * changes) / KB

    def rate_a_core(self) -> float:
        """Return the requests that one core carries in a second."""
        return 1 / self.fit("requests carried").slope


def slope_rows(measured: Measured) -> Rows:
    """Yield every slope with its points, line and spread."""
    for held in measured.raw["slopes"]:
        fit = Fit(**held["fit"])
        points = (f"{point['size']:g}: {point['value']:.4g}" for point in held["points"])
        yield {
            "cost": held["name"],
            "unit": held["unit"],
            "at size": "; ".join(points),
            "over": held["size"],
            "intercept": f"{fit.intercept:.4g}",
            "slope": f"{fit.slope:.4g}",
            "spread": f"{fit.spread:.2g}",
        }


def encoded_rows(measured: Measured) -> Rows:
    """Yield the bytes of each row and message."""
    for name, size in measured.raw["encoded_bytes"].items():
        yield {"what": name, "bytes": f"{size:,}"}


def control_rows(measured: Measured) -> Rows:
    """Yield control's share of one daemon at the fleet's size against its limits."""
    for daemons in DAEMONS:
        for label in ("", RELAXED):
            cpu = measured.rest_percent(daemons, label) + measured.changes_percent()
            sent = measured.kb_a_second(daemons, label)
            fits = cpu <= MAX_CPU_PERCENT and sent <= MAX_KB_A_SECOND
            fits = fits and measured.control_mb() <= MAX_MEMORY_MB
            yield {
                "daemons": daemons,
                "periods": "relaxed" if label else "default",
                f"% of a core (at most {MAX_CPU_PERCENT})": f"{cpu:.2f}",
                f"MB beside libraries (at most {MAX_MEMORY_MB})": f"{measured.control_mb():.1f}",
                f"KB/s (at most {MAX_KB_A_SECOND})": f"{sent:.1f}",
                "fits": "yes" if fits else "NO",
            }


def memory_rows(measured: Measured) -> Rows:
    """Yield where a daemon's memory goes at the fleet's size."""
    libraries = measured.raw["imports_bytes"] / MB
    view = measured.fit("view memory").at(RECORDS) / MB
    whole = measured.fit("daemon memory").at(RECORDS) / MB
    yield {"part": "libraries once imported", "MB": f"{libraries:.1f}"}
    yield {"part": f"view of {RECORDS:,} records", "MB": f"{view:.1f}"}
    yield {"part": "the rest of the daemon", "MB": f"{whole - libraries - view:.1f}"}
    yield {"part": "whole process", "MB": f"{whole:.1f}"}


def platform_rows(measured: Measured) -> Rows:
    """Yield the load of all daemons on the table service."""
    changes = (CHANGES_A_DAY + system_changes_a_day()) / DAY_S
    for daemons in DAEMONS:
        for label in ("", RELAXED):
            reads = measured.fit(f"reads of the platform{label}").at(daemons)
            writes = measured.fit(f"writes to the platform{label}").at(daemons)
            yield {
                "daemons": daemons,
                "periods": "relaxed" if label else "default",
                "reads/s (of 2,000)": f"{(reads + changes) * daemons:.0f}",
                "writes/s (of several hundred)": f"{writes * daemons + changes:.0f}",
                "KB/s": f"{measured.kb_a_second(daemons, label) * daemons:,.0f}",
            }


def daemon_rows(measured: Measured) -> Rows:
    """Yield how many daemons carry the fleet's requests, by their mean run time."""
    rate = measured.rate_a_core()
    for run_s in RUN_TIMES_S:
        demand = WORKERS * SLOTS * BUSY_SHARE / run_s
        yield {
            "mean run time, s": run_s,
            "requests/s": f"{demand:,.0f}",
            "daemons": f"{demand / rate * SPARE_DAEMONS:.0f}",
        }


def figure_rows(measured: Measured) -> Rows:
    """Yield the fleet's size and what follows from it."""
    changes = CHANGES_A_DAY + system_changes_a_day()
    yield {"what": "records in force", "value": f"{RECORDS:,}"}
    yield {"what": "changes by operators a day", "value": f"{CHANGES_A_DAY:,}"}
    yield {"what": "changes by the system a day", "value": f"{system_changes_a_day():,.0f}"}
    yield {"what": "one change to the view in force, ms", "value": f"{measured.change_ms():.1f}"}
    yield {"what": "all changes, % of a core", "value": f"{measured.changes_percent():.3f}"}
    yield {
        "what": "all changes, at once an hour, % of a core",
        "value": f"{measured.changes_percent() * 24:.2f}",
    }
    entry = measured.raw["encoded_bytes"]["change of one host"]
    yield {"what": "change log a day, MB", "value": f"{entry * changes / MB:.1f}"}
    yield {"what": "requests a core carries in a second", "value": f"{measured.rate_a_core():,.0f}"}


BLOCKS: Mapping[str, Callable[[Measured], Rows]] = {
    "figures": figure_rows,
    "control": control_rows,
    "memory": memory_rows,
    "platform": platform_rows,
    "daemons": daemon_rows,
    "encoded": encoded_rows,
    "slopes": slope_rows,
}


def render_page(page: str, raw: Mapping[str, Any]) -> str:
    """Return the page with every generated block made from the measurements."""
    measured = Measured(raw)
    for name, rows in BLOCKS.items():
        page = replace_block(page, name, rows(measured))
    stamp = f"Measured {raw['measured_at']} UTC, Python {raw['python']}."
    return re.sub(r"^Measured .*$", stamp, page, flags=re.MULTILINE)


def write_page() -> str:
    """Bring the page up to date; return the slopes as a text table."""
    raw = json.loads(RESULT.read_text(encoding="utf-8"))
    PAGE.write_text(render_page(PAGE.read_text(encoding="utf-8"), raw), encoding="utf-8")
    text = f"{table(slope_rows(Measured(raw)))}\n"
    RESULT.with_suffix(".txt").write_text(text, encoding="utf-8")
    return text
