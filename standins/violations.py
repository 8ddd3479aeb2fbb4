"""Check recorded starts of runs for violations that no injected fault may cause."""

from collections.abc import Iterable, Iterator, Mapping

from gypsumplank.protocol.job import JobDefinition
from standins.simulator import StartRecord


def find_violations(
    history: Iterable[StartRecord], submitted: Mapping[str, JobDefinition]
) -> list[str]:
    """Return a description of each violated rule.

    Runs of one task must not overlap, a task must not run again after an acknowledged success,
    and a step must not start before the steps it depends on are done.
    """
    starts = list(history)
    by_task: dict[str, list[StartRecord]] = {}
    for start in starts:
        by_task.setdefault(start.name, []).append(start)
    return [
        *_overlapping_runs(by_task),
        *_restarts_after_done(by_task),
        *_starts_before_dependencies(starts, submitted),
    ]


def _overlapping_runs(by_task: Mapping[str, list[StartRecord]]) -> Iterator[str]:
    for name, runs in by_task.items():
        for i, first in enumerate(runs):
            for second in runs[i + 1 :]:
                ended = first.ended if first.ended is not None else float("inf")
                if second.started_at < ended:
                    yield f"{name}: run {second.run} begins while run {first.run} is at work"


def _restarts_after_done(by_task: Mapping[str, list[StartRecord]]) -> Iterator[str]:
    for name, runs in by_task.items():
        for first in runs:
            if first.kind is None or first.kind.value != "done" or not first.acknowledged:
                continue
            if any(first.ended is not None and later.started_at > first.ended for later in runs):
                yield f"{name}: started again after an end that was noted as done"


def _starts_before_dependencies(
    starts: Iterable[StartRecord], submitted: Mapping[str, JobDefinition]
) -> Iterator[str]:
    done_at: dict[str, float] = {}
    for start in starts:
        if start.kind is not None and start.kind.value == "done" and start.ended is not None:
            done_at[start.name] = min(done_at.get(start.name, start.ended), start.ended)
    for start in starts:
        job, _, step, _ = start.name.split(".")
        order = submitted[job]
        for dependency in order.steps[int(step)].after:
            for index in range(order.steps[dependency].tasks):
                ended = done_at.get(f"{job}.0.{dependency}.{index}")
                if ended is None or ended > start.started_at:
                    yield f"{start.name}: started before step {dependency} was done"
