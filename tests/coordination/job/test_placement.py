from dataclasses import replace

import pytest

from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.placement import PendingStep, PlacementRound, urgency
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.protocol.queue import Queue
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from tests.coordination.job.replay import QUEUE as PROOFS
from tests.coordination.job.replay import WORKER_ROOM, LoadReplay, Turn, offered_cores

QUEUE = Queue("proofs", "h.example", "/p/", "desk")


def make_instance(name, cpu=4000, labels=()):
    entry = WorkerEntry(
        name, "desk", "", "", WorkerState.READY, Resources(cpu, 8000), labels=labels
    )
    return WorkerInstance(entry, 1, WorkerClock(), last_contact_at=1.0)


def make_pending_step(name, cpu, tasks=1, **kind):
    order = JobDefinition("1", (StepDefinition(tasks, Resources(cpu, 100), **kind),))
    job = Job(StoredJob(name, "proofs", "desk", 0, order), "desk")
    (step,) = job.steps.values()
    return PendingStep(job, step, tuple(step.tasks), QUEUE)


def test_smaller_task_is_placed_after_larger_one_did_not_fit():
    placement_round = PlacementRound([make_instance("a")], 1.0)
    assert not placement_round.place(make_pending_step("large", 5000))
    assert placement_round.place(make_pending_step("small", 3000))
    assert not placement_round.place(make_pending_step("again", 5000))


def test_label_mismatch_does_not_block_other_tasks():
    placement_round = PlacementRound([make_instance("a")], 1.0)
    assert not placement_round.place(make_pending_step("labelled", 1000, label="ssd"))
    assert placement_round.place(make_pending_step("plain", 1000))


def test_max_per_worker_does_not_block_other_tasks():
    placement_round = PlacementRound([make_instance("a")], 1.0)
    assert (
        len(placement_round.place(make_pending_step("apart", 1000, tasks=2, max_per_worker=1))) == 1
    )
    assert placement_round.place(make_pending_step("plain", 1000))


def test_rolled_back_gang_frees_its_resources():
    placement_round = PlacementRound([make_instance("a"), make_instance("b")], 1.0)
    assert not placement_round.place(make_pending_step("gang", 3000, tasks=3, gang=True))
    assert placement_round.place(make_pending_step("plain", 4000))


# A queue's turn as logged on the large site: short tasks, twice as many as the pool has room for.
OVERLOAD = Turn(89, 5.0, 0.64, 9000, 13_000, 8)
OVERLOADED_WORKERS = 50


@pytest.mark.parametrize("seed", [1, 2])
def test_overloaded_pool_finishes_in_time_what_it_has_room_for(seed):
    replay = LoadReplay(OVERLOAD, seed, OVERLOADED_WORKERS)
    replay.run(12.0)
    slack_s = (PROOFS.stretch - 1) * OVERLOAD.task_s + PROOFS.objective_ms / 1000
    capacity = OVERLOADED_WORKERS * WORKER_ROOM.cpu / 1000 * (OVERLOAD.length_s + slack_s)
    share = capacity / (offered_cores(OVERLOAD) * OVERLOAD.length_s)
    assert share < 1
    assert replay.outcome.in_time / replay.outcome.jobs >= share


def test_job_without_reserve_comes_after_one_that_can_still_be_in_time():
    now, objective_s = 10.0, (PROOFS.stretch * 1000 + PROOFS.objective_ms) / 1000
    steps = []
    for name, arrived_at in (("tight", now + 1.05 - objective_s), ("fresh", now)):
        pending = make_pending_step(name, 1000, estimate_ms=1000)
        pending.job.arrived_at = arrived_at
        steps.append(replace(pending, queue=PROOFS))
    tight, fresh = steps
    assert urgency(fresh, now, 0.0) < urgency(tight, now, 0.0)


# More steps wait than a full pool has room for, as in the second half of an overloaded turn.
WAITING_STEPS = 100
FULL_WORKERS = 120


@pytest.mark.parametrize("kind", [{}, {"label": "ssd"}, {"gang": True}])
def test_steps_that_fit_nowhere_cost_no_search_of_all_workers_each(monkeypatch, kind):
    instances = [make_instance(f"w{n}", labels=("ssd", "r1")[n % 2 :]) for n in range(FULL_WORKERS)]
    placement_round = PlacementRound(instances, 1.0)
    waiting = [
        make_pending_step(f"{number:016x}", 5000, tasks=2, **kind)
        for number in range(WAITING_STEPS)
    ]
    examined = []
    can_fit = Resources.can_fit

    def counting_can_fit(self, other):
        examined.append(other)
        return can_fit(self, other)

    monkeypatch.setattr(Resources, "can_fit", counting_can_fit)
    assert not any(placement_round.place(pending) for pending in waiting)
    assert len(examined) <= FULL_WORKERS + 2 * WAITING_STEPS


def test_gang_that_is_rolled_back_leaves_room_for_needs_that_failed_before():
    placement_round = PlacementRound([make_instance("a"), make_instance("b")], 1.0)
    filler = placement_round.place(make_pending_step("filler", 1000, tasks=2, max_per_worker=1))
    assert len(filler) == 2
    assert not placement_round.place(make_pending_step("large", 3500))
    assert not placement_round.place(make_pending_step("gang", 3000, tasks=3, gang=True))
    assert placement_round.place(make_pending_step("plain", 3000))
