from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.model import MAX_FAILED_ON, Job
from gypsumplank.coordination.job.preemption import choose_preemptions, stalled_runs
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


def start_run(instance, name, estimate_s, **kind):
    (task,) = make_tasks(name, estimate_ms=int(estimate_s * 1000), **kind)
    assign_run(instance, task)
    return task


def report_progress(instance, task, seconds_per_percent, until_s, start_s=NOW):
    """Report the run's percentage each second until a time, and once at that time."""
    for second in range(int(start_s), int(until_s) + 1):
        task.record_progress(int((second - start_s) / seconds_per_percent), float(second))
        task.last_reported_at = instance.last_contact_at = float(second)


def stand_still(instance, tasks, until_s):
    for task in tasks:
        task.last_reported_at = float(until_s)
    instance.last_contact_at = float(until_s)


def stalled_at(instance, now):
    return list(stalled_runs([instance], now))


def test_run_that_is_held_at_no_speed_is_not_stalled():
    worker = make_instance("a")
    task = start_run(worker, "job", 1.0, fills=True)
    report_progress(worker, task, 0.01, NOW + 1)
    task.speed_limit_percent, task.speed_limit_set_at = 0, NOW + 1
    stand_still(worker, [task], NOW + 60)
    assert stalled_at(worker, NOW + 60) == []
    task.speed_limit_percent, task.speed_limit_set_at = 100, NOW + 60
    stand_still(worker, [task], NOW + 61)
    assert stalled_at(worker, NOW + 61) == []
    stand_still(worker, [task], NOW + 62)
    assert stalled_at(worker, NOW + 62) == [task]


def test_run_at_a_quarter_of_its_speed_is_not_stalled():
    worker = make_instance("a")
    task = start_run(worker, "job", 10.0, fills=True)
    task.speed_limit_percent = 25
    report_progress(worker, task, 5.0, NOW + 4)
    assert stalled_at(worker, NOW + 4) == []


def test_stuck_run_is_found_sooner_beside_runs_that_progress():
    worker = make_instance("a")
    stuck = start_run(worker, "stuck", 600.0, cpu=1000)
    other = start_run(worker, "other", 600.0, cpu=1000)
    report_progress(worker, stuck, 6.0, NOW + 60)
    report_progress(worker, other, 6.0, NOW + 84)
    stand_still(worker, [stuck], NOW + 84)
    assert stalled_at(worker, NOW + 84) == [stuck]


def test_run_that_slows_down_with_the_others_of_its_worker_is_not_stalled():
    worker = make_instance("a")
    runs = [start_run(worker, name, 600.0, cpu=1000) for name in ("b", "c")]
    for run in runs:
        report_progress(worker, run, 6.0, NOW + 60)
    # The worker turns slow right after one of them has progressed once more.
    runs[1].record_progress(11, NOW + 61)
    for second in range(61, 100):
        stand_still(worker, runs, NOW + second)
        assert stalled_at(worker, NOW + second) == []


def test_gang_that_waits_for_a_slow_worker_is_not_stalled():
    worker = make_instance("a")
    member = start_run(worker, "gang", 600.0, cpu=1000, gang=True)
    other = start_run(worker, "other", 600.0, cpu=1000)
    report_progress(worker, member, 6.0, NOW + 60)
    report_progress(worker, other, 6.0, NOW + 100)
    stand_still(worker, [member], NOW + 100)
    assert stalled_at(worker, NOW + 100) == []


def test_workers_that_a_task_has_failed_on_for_weeks_are_bounded():
    (task,) = make_tasks("last", lasting=True)
    for life in range(1000):
        task.record_failure_on(f"w{life}")
    assert task.failed_on == tuple(f"w{life}" for life in range(1000 - MAX_FAILED_ON, 1000))
    task.record_failure_on("w999")
    assert task.failed_on[-1] == "w999"
    assert len(task.failed_on) == MAX_FAILED_ON
    assert len(task.record.failed_on) <= MAX_FAILED_ON
