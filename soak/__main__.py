"""Inject seeded faults into a real fleet and check its guarantees; exit 1 on a breach."""

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
from soak.calllog import Breach, CallLog, check_all
from soak.fleet import DAEMONS, SERVICES, Fleet, run_threads
from soak.schedule import Trace, generate_trace, load_trace, save_trace, shrink_candidates

CALLERS = 8
EXPECTED_PHASE_S = 4.0
PAUSE_BETWEEN_PHASES_S = 1.0
REVISION_POLL_INTERVAL_S = 0.25
OUTPUT_DIR = ROOT / "out"


@dataclass(frozen=True)
class Report:
    """Store the schedule, the request outcomes and the breaches of one run."""

    trace: Trace
    requests: Counter[str]
    executed_count: int
    breaches: tuple[Breach, ...]

    def summary(self) -> str:
        """Return the summary that is printed."""
        kinds = Counter(
            " + ".join(sorted(fault.kind for fault in phase.faults)) for phase in self.trace.phases
        )
        lines = [f"seed {self.trace.seed}, {len(self.trace.phases)} phases"]
        lines += [f"  {count} x {combination}" for combination, count in sorted(kinds.items())]
        outcomes = ", ".join(
            f"{count} {name or 'hung up'}" for name, count in self.requests.items()
        )
        lines += [f"callers were told: {outcomes}; {self.executed_count} ran at endpoints"]
        lines += [f"BREACH {breach.guarantee}: {breach.detail}" for breach in self.breaches]
        return "\n".join([*lines, f"{len(self.breaches)} breaches", ""])


def run_trace(trace: Trace, folder: Path) -> Report:
    """Run every phase of a trace under load and return the report."""
    call_log = CallLog()
    with Cluster(folder, own_loopback()) as cluster:
        fleet = Fleet(cluster, trace.seed, call_log)
        fleet.start()
        callers = Callers(fleet.caller_addresses, SERVICES, call_log, trace.seed)
        callers.start(CALLERS)
        stop_polling = threading.Event()
        poller = threading.Thread(target=_poll_revisions, args=(fleet, stop_polling))
        poller.start()
        for phase in trace.phases:
            fault_threads = (
                threading.Thread(target=fleet.inject_fault, args=(fault,)) for fault in phase.faults
            )
            run_threads(list(fault_threads))
            time.sleep(PAUSE_BETWEEN_PHASES_S)
        callers.stop()
        stop_polling.set()
        poller.join()
        executed = fleet.executed_requests()
        newest = max(fleet.observe_revision(name) for name in DAEMONS)
        for name in DAEMONS:
            fleet.wait_revision(name, newest)
    breaches = (*fleet.breaches, *check_all(call_log.calls, executed, fleet.observed_revisions))
    return Report(trace, Counter(call.outcome for call in call_log.calls), len(executed), breaches)


def _poll_revisions(fleet: Fleet, stop: threading.Event) -> None:
    while not stop.wait(REVISION_POLL_INTERVAL_S):
        for name in DAEMONS:
            fleet.observe_revision(name)


def run_and_print(trace: Trace) -> Report:
    """Run a trace in a temporary folder and print the summary."""
    with tempfile.TemporaryDirectory() as folder:
        report = run_trace(trace, Path(folder))
    sys.stdout.write(report.summary())
    return report


def shrink(report: Report) -> Trace:
    """Return the smallest trace found that still violates one of the same guarantees."""
    violated = {breach.guarantee for breach in report.breaches}
    for candidate in shrink_candidates(report.trace):
        smaller_report = run_and_print(candidate)
        if violated & {breach.guarantee for breach in smaller_report.breaches}:
            return shrink(smaller_report)
    return report.trace


def main() -> None:
    """Run the soak test from the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--trace", type=Path, help="run the fault schedule in this file instead")
    parser.add_argument(
        "--shrink", action="store_true", help="on a breach, search for a smaller failing schedule"
    )
    args = parser.parse_args()
    phases = max(1, round(args.minutes * 60 / EXPECTED_PHASE_S))
    trace = load_trace(args.trace) if args.trace else generate_trace(args.seed, phases)
    report = run_and_print(trace)
    if not report.breaches:
        return
    OUTPUT_DIR.mkdir(exist_ok=True)
    path = OUTPUT_DIR / f"soak-{trace.seed}.json"
    save_trace(shrink(report) if args.shrink else trace, path)
    sys.stdout.write(f"run it again with --trace {path.relative_to(ROOT)}\n")
    sys.exit(1)


if __name__ == "__main__":
    main()
