from dataclasses import replace

import pytest

from gypsumplank.coordination.job.demand import estimate_loads
from gypsumplank.coordination.job.knownqueue import MAX_DROPPED_QUEUES, KnownQueues
from gypsumplank.coordination.job.model import Job
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob, TaskPhase
from gypsumplank.protocol.queue import Manifest
from gypsumplank.protocol.worker import EndKind
from standins.cluster import (
    MANIFEST,
    QUEUE,
    ROOM,
    SERVICE,
    SimulatedCluster,
    long_running_step,
)

JOB = "a" * 16
STEP = StepDefinition(1, Resources(1000, 100), 500)
WITHOUT_QUEUE = replace(MANIFEST, version=2, queues=())
WITH_QUEUE_AGAIN = replace(MANIFEST, version=3)
WITHOUT_LIMIT = replace(MANIFEST, version=2, queues=(replace(QUEUE, max_attempts=None),))
ONE_ATTEMPT = replace(MANIFEST, version=3, queues=(replace(QUEUE, max_attempts=1),))


@pytest.fixture
def cluster():
    cluster = SimulatedCluster(1)
    cluster.run(1.0)
    return cluster


def submit_failing(cluster, step=STEP, spec="1"):
    """Start a job whose first runs all fail; the runs after those are done."""
    cluster.simulated_workers.failure_share = 1.0
    cluster.submit(JOB, (step,), spec=spec)
    cluster.run(0.3)
    assert cluster.simulated_workers.history
    cluster.simulated_workers.failure_share = 0.0


def runs(cluster):
    return len(cluster.simulated_workers.history)


@pytest.mark.parametrize("gang", [False, True])
def test_job_that_has_begun_keeps_its_attempts_while_its_queue_is_dropped(cluster, gang):
    submit_failing(cluster, replace(STEP, tasks=2, gang=gang))
    cluster.manifest = WITHOUT_QUEUE
    cluster.run(2.0)
    assert cluster.state(JOB) != "failed"
    cluster.manifest = WITH_QUEUE_AGAIN
    cluster.run(4.0)
    assert cluster.state(JOB) == "completed"
    assert not cluster.violations()


def test_job_of_a_dropped_queue_fails_after_the_last_known_limit(cluster):
    submit_failing(cluster)
    cluster.simulated_workers.failure_share = 1.0
    cluster.manifest = WITHOUT_QUEUE
    cluster.run(10.0)
    assert cluster.state(JOB) == "failed"
    assert runs(cluster) == QUEUE.max_attempts


def test_job_that_has_not_begun_waits_until_its_queue_is_back(cluster):
    cluster.manifest = WITHOUT_QUEUE
    cluster.submit(JOB, (STEP,))
    cluster.run(5.0)
    assert cluster.state(JOB) == "queued"
    assert not runs(cluster)
    cluster.manifest = WITH_QUEUE_AGAIN
    cluster.run(3.0)
    assert cluster.state(JOB) == "completed"


def test_long_running_task_of_a_dropped_queue_is_restarted(cluster):
    cluster.submit(JOB, (long_running_step(tasks=1),), spec="10000")
    cluster.run(1.0)
    cluster.manifest = WITHOUT_QUEUE
    cluster.run(1.0)
    cluster.simulated_workers.crash(cluster.simulated_workers.history[0].worker)
    cluster.run(8.0)
    assert runs(cluster) == 2


@pytest.mark.parametrize(
    ("manifest", "state"), [(WITH_QUEUE_AGAIN, "completed"), (ONE_ATTEMPT, "failed")]
)
def test_leader_that_never_saw_the_queue_limits_attempts_once_it_does(cluster, manifest, state):
    submit_failing(cluster)
    cluster.manifest = WITHOUT_QUEUE
    cluster.leader().restart()
    cluster.run(10.0)
    assert cluster.state(JOB) == "running"
    assert runs(cluster) == 1
    cluster.leader().restart()
    cluster.run(10.0)
    assert cluster.state(JOB) == "running"
    cluster.manifest = manifest
    cluster.run(4.0)
    assert cluster.state(JOB) == state
    assert runs(cluster) == (2 if state == "completed" else 1)


@pytest.mark.parametrize(
    ("manifest", "state"), [(WITH_QUEUE_AGAIN, "completed"), (ONE_ATTEMPT, "failed")]
)
def test_run_that_fails_under_a_leader_that_never_saw_the_queue_ends_no_job(
    cluster, manifest, state
):
    """Guard against LOST: a leader that does not know the limit fails the job (review case 5)."""
    cluster.simulated_workers.failure_share = 1.0
    cluster.submit(JOB, (STEP,), spec="4")
    cluster.run(1.0)
    cluster.manifest = WITHOUT_QUEUE
    cluster.leader().restart()
    cluster.run(14.0)
    cluster.simulated_workers.failure_share = 0.0
    assert [start.kind for start in cluster.simulated_workers.history] == [EndKind.FAILED]
    assert cluster.state(JOB) == "running"
    cluster.manifest = manifest
    cluster.run(8.0)
    assert cluster.state(JOB) == state
    assert runs(cluster) == (2 if state == "completed" else 1)


def test_run_at_work_goes_on_when_its_limit_turns_out_to_be_used_up(cluster):
    """Guard against LOST: a run that may still end done is given up by a limit read late."""
    submit_failing(cluster, spec="8")
    cluster.run(9.0)
    assert runs(cluster) == 2
    cluster.manifest = WITHOUT_QUEUE
    cluster.leader().restart()
    cluster.run(4.0)
    cluster.manifest = ONE_ATTEMPT
    cluster.run(6.0)
    assert cluster.state(JOB) == "completed"
    assert runs(cluster) == 2


def test_long_running_task_is_restarted_by_a_leader_that_never_saw_the_queue(cluster):
    """Guard against LOST: the queue's limit does not apply to a task that lasts."""
    cluster.submit(JOB, (long_running_step(tasks=1),), spec="10000")
    cluster.run(1.0)
    cluster.manifest = WITHOUT_QUEUE
    cluster.leader().restart()
    cluster.run(10.0)
    cluster.simulated_workers.crash(cluster.simulated_workers.history[0].worker)
    cluster.run(8.0)
    assert runs(cluster) == 2
    assert not cluster.violations()


def test_later_steps_are_started_by_a_leader_that_never_saw_the_queue(cluster):
    """Guard against LOST: a task that has not failed needs no limit."""
    cluster.submit(JOB, (STEP, replace(STEP, after=(0,))), spec="4")
    cluster.run(1.0)
    cluster.manifest = WITHOUT_QUEUE
    cluster.leader().restart()
    cluster.run(20.0)
    assert cluster.state(JOB) == "completed"


def set_cordoned(cluster, cordoned):
    for instance in cluster.leader().scheduler_leader._term.scheduler.instances.values():
        instance.cordoned = cordoned


def test_task_whose_limit_was_lowered_while_it_waited_is_not_started_again(cluster):
    """Guard against BUDGET: the limit in force counts when a run starts."""
    submit_failing(cluster)
    set_cordoned(cluster, True)
    cluster.run(2.0)
    assert cluster.state(JOB) == "running"
    cluster.manifest = ONE_ATTEMPT
    set_cordoned(cluster, False)
    cluster.run(4.0)
    assert cluster.state(JOB) == "failed"
    assert runs(cluster) == 1


@pytest.mark.parametrize(("failure_share", "state"), [(0.0, "completed"), (1.0, "failed")])
def test_queue_without_a_limit_keeps_the_last_known_one(cluster, failure_share, state):
    """Guard against LOST: a limit that a manifest lacks is taken for 1 (review case 5)."""
    submit_failing(cluster)
    cluster.simulated_workers.failure_share = failure_share
    cluster.manifest = WITHOUT_LIMIT
    cluster.run(10.0)
    assert cluster.state(JOB) == state
    assert runs(cluster) == (QUEUE.max_attempts if failure_share else 2)


def test_failed_task_waits_while_no_manifest_has_given_a_limit(cluster):
    cluster.manifest = WITHOUT_LIMIT
    cluster.leader().restart()
    cluster.run(10.0)
    submit_failing(cluster)
    cluster.run(5.0)
    assert cluster.state(JOB) == "running"
    assert runs(cluster) == 1
    cluster.manifest = WITH_QUEUE_AGAIN
    cluster.run(4.0)
    assert cluster.state(JOB) == "completed"


def test_successor_that_saw_the_queue_knows_its_limit(cluster):
    """Guard against LOST: what a daemon has read of queues is lost with a change of leader."""
    submit_failing(cluster)
    cluster.manifest = WITHOUT_QUEUE
    cluster.run(0.1)
    cluster.leader().suspended = True
    cluster.run(14.0)
    assert cluster.state(JOB) == "completed"
    assert runs(cluster) == 2


def test_job_that_waits_for_its_queue_demands_only_what_it_runs():
    steps = (STEP, replace(STEP, tasks=4), long_running_step(tasks=3))
    job = Job(StoredJob(JOB, QUEUE.name, SERVICE, 0, JobDefinition("", steps)), SERVICE)
    next(job.tasks()).phase = TaskPhase.ASSIGNED
    for now in (0.1, 60.0):
        job.waits_for_queue = True
        assert estimate_loads([job], now, 0.0)[SERVICE].total == STEP.need
        job.waits_for_queue = False
        assert estimate_loads([job], now, 0.0)[SERVICE].total != STEP.need


def test_waiting_job_of_a_dropped_queue_is_left_out_of_the_demand(cluster):
    cluster.manifest = WITHOUT_QUEUE
    cluster.submit(JOB, (STEP,))
    cluster.run(1.0)
    scheduler = cluster.leader().scheduler_leader._term.scheduler
    loads = estimate_loads(scheduler.workload.jobs.values(), scheduler.now(), scheduler.wall_ms())
    assert loads[SERVICE].total == Resources()


def test_job_is_failed_in_the_round_in_which_its_limit_is_reached(cluster):
    """Guard against LOST and UNASKED: other tasks start although the job can't be done."""
    first = replace(STEP, tasks=3, max_per_worker=1)
    second = replace(STEP, tasks=3, need=ROOM, max_per_worker=1)
    cluster.manifest = ONE_ATTEMPT
    cluster.simulated_workers.failure_share = 1.0
    cluster.submit(JOB, (first, second), spec="1")
    cluster.run(0.3)
    job = cluster.leader().scheduler_leader._term.scheduler.workload.jobs[JOB]
    while not any(task.phase is TaskPhase.FAILED for task in job.tasks()):
        cluster.run(0.05)
    assert cluster.state(JOB) == "failed"
    assert [task.run for task in job.steps[0, 1].tasks] == [0, 0, 0]


def test_queue_that_was_never_seen_has_the_lowest_priority():
    queues = KnownQueues(lambda: Manifest(1, (QUEUE, replace(QUEUE, name="late", priority=2))))
    queues.update([])
    job = Job(StoredJob(JOB, "unseen", SERVICE, 0, JobDefinition("", (STEP,))), SERVICE)
    assert queues.find_for_start(job) is None
    job.started = True
    found = queues.find_for_start(job)
    assert (found.priority, found.max_attempts) == (2, None)


def test_queues_that_a_follower_remembers_are_bounded():
    versions = [
        Manifest(number, (replace(QUEUE, name=f"q{number}"),))
        for number in range(MAX_DROPPED_QUEUES + 2)
    ]
    queues = KnownQueues(lambda: versions[0])
    while len(versions) > 1:
        queues.update()
        del versions[0]
    queues.update()
    known = [queues.max_attempts(f"q{number}") for number in range(MAX_DROPPED_QUEUES + 2)]
    assert known == [None, *[QUEUE.max_attempts] * (MAX_DROPPED_QUEUES + 1)]


def test_dropped_queue_is_forgotten_once_it_has_no_jobs():
    manifests = [MANIFEST, WITHOUT_QUEUE, Manifest(4), Manifest(5)]
    queues = KnownQueues(lambda: manifests[0])
    job = Job(StoredJob(JOB, QUEUE.name, SERVICE, 0, JobDefinition("", (STEP,))), SERVICE)
    known = []
    for jobs in ([], [job], [job], []):
        queues.update(jobs)
        known.append(queues.max_attempts(QUEUE.name))
        del manifests[:1]
    assert known == [3, 3, 3, None]
