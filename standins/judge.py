"""Judge from the workers' starts what must never happen, whatever faults there were."""

from collections.abc import Iterable, Iterator, Mapping

from gypsumplank.protocol.job import JobOrder
from standins.farm import Started


def judge(history: Iterable[Started], submitted: Mapping[str, JobOrder]) -> list[str]:
    """Return what the rules about a task's runs forbid."""
    starts = list(history)
    by_task: dict[str, list[Started]] = {}
    for one in starts:
        by_task.setdefault(one.name, []).append(one)
    return [
        *_overlaps(by_task),
        *_after_done(by_task),
        *_out_of_order(starts, submitted),
    ]


def _overlaps(by_task: Mapping[str, list[Started]]) -> Iterator[str]:
    for name, runs in by_task.items():
        for i, first in enumerate(runs):
            for second in runs[i + 1 :]:
                end = first.ended if first.ended is not None else float("inf")
                if second.begun < end:
                    yield f"{name}: run {second.run} begins while run {first.run} is at work"


def _after_done(by_task: Mapping[str, list[Started]]) -> Iterator[str]:
    for name, runs in by_task.items():
        for first in runs:
            if first.kind is None or first.kind.value != "done" or not first.noted:
                continue
            if any(first.ended is not None and one.begun > first.ended for one in runs):
                yield f"{name}: started again after an end that was noted as done"


def _out_of_order(starts: Iterable[Started], submitted: Mapping[str, JobOrder]) -> Iterator[str]:
    done: dict[str, float] = {}
    for one in starts:
        if one.kind is not None and one.kind.value == "done" and one.ended is not None:
            done[one.name] = min(done.get(one.name, one.ended), one.ended)
    for one in starts:
        job, _, step, _ = one.name.split(".")
        order = submitted[job]
        for before in order.steps[int(step)].after:
            for index in range(order.steps[before].tasks):
                ended = done.get(f"{job}.0.{before}.{index}")
                if ended is None or ended > one.begun:
                    yield f"{one.name}: started before step {before} was done"
