from gypsumplank.coordination.job.eviction import make_room
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.site import Site, WorkerClock
from gypsumplank.protocol.job import JobOrder, Room, StepOrder, StoredJob
from gypsumplank.protocol.worker import WorkerEntry, WorkerState

NOW = 10.0


def site(name):
    entry = WorkerEntry(name, "desk", "", "", WorkerState.READY, Room(4000, 8000))
    return Site(entry, 1, WorkerClock(), contacted_at=NOW)


def tasks(name, count=1, cpu=2000, **kind):
    order = JobOrder("1", (StepOrder(count, Room(cpu, 100), **kind),))
    job = Job(StoredJob(name, "proofs", "desk", 0, order), "desk")
    (step,) = job.steps.values()
    return step.tasks


def run(site, task):
    task.assign(site.id, 1, 1)
    task.sent_at = NOW - 1.0
    site.tasks[task.name] = task


def test_room_is_made_at_one_worker_only():
    sites = [site("a"), site("b"), site("c")]
    for index, one in enumerate(sites):
        for task in tasks(f"job{index}", 2):
            run(one, task)
    (lasting,) = tasks("last", lasting=True)
    stopped = make_room(lasting, sites, NOW)
    assert len(stopped) == 1
    stopped[0].wanted, stopped[0].unwanted_at = False, NOW
    assert make_room(lasting, sites, NOW + 1.0) == []
    # The worker did not answer the stop.
    again = make_room(lasting, sites, NOW + 2.0)
    assert len(again) == 1
    assert again[0].worker != stopped[0].worker or again[0] is not stopped[0]


def test_lasting_tasks_are_not_stopped_for_one_another():
    one = site("a")
    for task in tasks("last", 2, lasting=True):
        run(one, task)
    (lasting,) = tasks("more", lasting=True)
    assert make_room(lasting, [one], NOW) == []
