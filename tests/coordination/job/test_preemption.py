from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.preemption import choose_preemptions
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.protocol.worker import WorkerEntry, WorkerState

NOW = 10.0


def make_instance(name):
    entry = WorkerEntry(name, "desk", "", "", WorkerState.READY, Resources(4000, 8000))
    return WorkerInstance(entry, 1, WorkerClock(), last_contact_at=NOW)


def make_tasks(name, count=1, cpu=2000, **kind):
    order = JobDefinition("1", (StepDefinition(count, Resources(cpu, 100), **kind),))
    job = Job(StoredJob(name, "proofs", "desk", 0, order), "desk")
    (step,) = job.steps.values()
    return step.tasks


def assign_run(instance, task):
    task.assign(instance.id, 1, 1)
    task.sent_at = NOW - 1.0
    instance.tasks[task.name] = task


def test_preemption_is_limited_to_one_worker():
    instances = [make_instance("a"), make_instance("b"), make_instance("c")]
    for index, worker in enumerate(instances):
        for task in make_tasks(f"job{index}", 2):
            assign_run(worker, task)
    (long_running,) = make_tasks("last", lasting=True)
    stopped = choose_preemptions(long_running, instances, NOW)
    assert len(stopped) == 1
    stopped[0].should_run, stopped[0].stop_requested_at = False, NOW
    assert choose_preemptions(long_running, instances, NOW + 1.0) == []
    # The stop took longer than STOP_TIMEOUT_S, so it counts as failed.
    again = choose_preemptions(long_running, instances, NOW + 2.0)
    assert len(again) == 1
    assert again[0].worker != stopped[0].worker or again[0] is not stopped[0]


def test_long_running_tasks_do_not_preempt_each_other():
    worker = make_instance("a")
    for task in make_tasks("last", 2, lasting=True):
        assign_run(worker, task)
    (long_running,) = make_tasks("more", lasting=True)
    assert choose_preemptions(long_running, [worker], NOW) == []
