from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.placement import PendingStep, PlacementRound
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.protocol.queue import Queue
from gypsumplank.protocol.worker import WorkerEntry, WorkerState

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
