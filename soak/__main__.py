"""Run seeded faults against a real fleet and check the promises; exit 1 on a breach."""

import argparse
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from demo.cluster import ROOT, Cluster, own_loopback
from soak.callers import Callers
from soak.fleet import DAEMONS, SERVICES, Fleet, in_threads
from soak.ledger import Breach, Ledger, check_all
from soak.plan import Trace, draw_trace, load_trace, save_trace, smaller

CALLERS = 8
PHASE_S = 4.0
LULL_S = 1.0
WATCH_S = 0.25
OUT = ROOT / "out"


@dataclass(frozen=True)
class Report:
    """Hold what one run tried and found."""

    trace: Trace
    requests: Counter[str]
    ran: int
    breaches: tuple[Breach, ...]

    def text(self) -> str:
        """Return a summary."""
        kinds = Counter(
            " + ".join(sorted(fault.kind for fault in phase.faults)) for phase in self.trace.phases
        )
        lines = [f"seed {self.trace.seed}, {len(self.trace.phases)} phases"]
        lines += [f"  {count} x {kinds_of}" for kinds_of, count in sorted(kinds.items())]
        told = ", ".join(f"{count} {name or 'hung up'}" for name, count in self.requests.items())
        lines += [f"callers were told: {told}; {self.ran} ran at endpoints"]
        lines += [f"BREACH {held.promise}: {held.detail}" for held in self.breaches]
        return "\n".join([*lines, f"{len(self.breaches)} breaches", ""])


def run_trace(trace: Trace, folder: Path) -> Report:
    """Run every phase of a trace under load and return what was found."""
    ledger = Ledger()
    with Cluster(folder, own_loopback()) as cluster:
        fleet = Fleet(cluster, trace.seed, ledger)
        fleet.start()
        callers = Callers(fleet.callers_at, SERVICES, ledger, trace.seed)
        callers.start(CALLERS)
        watching = threading.Event()
        watcher = threading.Thread(target=_watch, args=(fleet, watching))
        watcher.start()
        for phase in trace.phases:
            faults = (threading.Thread(target=fleet.run_fault, args=(one,)) for one in phase.faults)
            in_threads(list(faults))
            time.sleep(LULL_S)
        callers.stop()
        watching.set()
        watcher.join()
        runs = fleet.runs()
        newest = max(fleet.observe(name) for name in DAEMONS)
        for name in DAEMONS:
            fleet.wait_revision(name, newest)
    found = (*fleet.breaches, *check_all(ledger.told, runs, fleet.seen))
    return Report(trace, Counter(held.outcome for held in ledger.told), len(runs), found)


def _watch(fleet: Fleet, stop: threading.Event) -> None:
    while not stop.wait(WATCH_S):
        for name in DAEMONS:
            fleet.observe(name)


def try_trace(trace: Trace) -> Report:
    """Run a trace in a folder of its own and print the summary."""
    with tempfile.TemporaryDirectory() as folder:
        report = run_trace(trace, Path(folder))
    sys.stdout.write(report.text())
    return report


def shrink(report: Report) -> Trace:
    """Return the smallest trace found that still breaks the same promise."""
    broken = {held.promise for held in report.breaches}
    for candidate in smaller(report.trace):
        found = try_trace(candidate)
        if broken & {held.promise for held in found.breaches}:
            return shrink(found)
    return report.trace


def main() -> None:
    """Run the soak."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--trace", type=Path, help="run the schedule in this file instead")
    parser.add_argument("--shrink", action="store_true", help="look for a smaller failing one")
    args = parser.parse_args()
    phases = max(1, round(args.minutes * 60 / PHASE_S))
    trace = load_trace(args.trace) if args.trace else draw_trace(args.seed, phases)
    report = try_trace(trace)
    if not report.breaches:
        return
    OUT.mkdir(exist_ok=True)
    path = OUT / f"soak-{trace.seed}.json"
    save_trace(shrink(report) if args.shrink else trace, path)
    sys.stdout.write(f"run it again with --trace {path.relative_to(ROOT)}\n")
    sys.exit(1)


if __name__ == "__main__":
    main()
