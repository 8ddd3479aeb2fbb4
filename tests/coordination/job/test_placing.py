from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.placing import Board, Waiting
from gypsumplank.coordination.job.site import Site, WorkerClock
from gypsumplank.protocol.job import JobOrder, Room, StepOrder, StoredJob
from gypsumplank.protocol.queue import Queue
from gypsumplank.protocol.worker import WorkerEntry, WorkerState

QUEUE = Queue("proofs", "h.example", "/p/", "desk")


def site(name, cpu=4000, labels=()):
    entry = WorkerEntry(name, "desk", "", "", WorkerState.READY, Room(cpu, 8000), labels=labels)
    return Site(entry, 1, WorkerClock(), contacted_at=1.0)


def waiting(name, cpu, tasks=1, **kind):
    order = JobOrder("1", (StepOrder(tasks, Room(cpu, 100), **kind),))
    job = Job(StoredJob(name, "proofs", "desk", 0, order), "desk")
    (step,) = job.steps.values()
    return Waiting(job, step, tuple(step.tasks), QUEUE)


def test_a_smaller_task_is_placed_after_a_larger_one_found_no_room():
    board = Board([site("a")], 1.0)
    assert not board.place(waiting("large", 5000))
    assert board.place(waiting("small", 3000))
    assert not board.place(waiting("again", 5000))


def test_a_task_that_needs_a_label_does_not_stand_for_others():
    board = Board([site("a")], 1.0)
    assert not board.place(waiting("labelled", 1000, label="ssd"))
    assert board.place(waiting("plain", 1000))


def test_a_task_that_may_not_share_a_worker_does_not_stand_for_others():
    board = Board([site("a")], 1.0)
    assert len(board.place(waiting("apart", 1000, tasks=2, max_per_worker=1))) == 1
    assert board.place(waiting("plain", 1000))


def test_room_of_a_gang_that_was_taken_back_is_there_for_others():
    board = Board([site("a"), site("b")], 1.0)
    assert not board.place(waiting("gang", 3000, tasks=3, gang=True))
    assert board.place(waiting("plain", 4000))
