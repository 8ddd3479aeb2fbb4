import ast
from dataclasses import replace
from pathlib import Path

import pytest

import gypsumplank.coordination.job as coordination
from gypsumplank.coordination.job.evidence import Proof, find_proof_in_lease
from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.report import apply_report
from gypsumplank.protocol.job import (
    JobDefinition,
    Resources,
    StepDefinition,
    StepRecord,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.worker import (
    EndedTask,
    EndKind,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from gypsumplank.state.jobrow import TABLE_STEPS, decode
from standins.cluster import (
    CHAIN_ORDER,
    QUEUE,
    ROOM,
    SERVICE,
    SimulatedCluster,
    long_running_step,
)

MODULES = sorted(Path(coordination.__file__).parent.glob("*.py"))
ENTRY = WorkerEntry("w", SERVICE, "w:80", "z", WorkerState.READY, ROOM, born=1)


def attributes_by_module():
    """Return the attributes that each module of coordination/job reads, with what they are of."""
    return {
        path.name: {
            (ast.unparse(node.value), node.attr)
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Attribute)
        }
        for path in MODULES
    }


def test_only_evidence_declares_a_run_over():
    """Guard against beliefs about runs that rest on something else than proof."""
    attributes = attributes_by_module()
    naming = {name for name, found in attributes.items() if ("Proof", "UNLISTED") in found}
    assert naming == {"evidence.py"}
    proofs = {(of, attr) for found in attributes.values() for of, attr in found if of == "Proof"}
    assert {name for name, found in attributes.items() if found & proofs} == {"evidence.py"}
    requeuing = {name for name, found in attributes.items() if ("task", "requeue") in found}
    assert requeuing == {"report.py"}


def test_evidence_has_no_sockets_rows_threads_or_clock():
    (path,) = (path for path in MODULES if path.name == "evidence.py")
    imported = {
        node.module
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom)
    }
    forbidden = (
        "threading",
        "time",
        "gypsumplank.state",
        "gypsumplank.transport",
        "gypsumplank.log",
    )
    assert not [name for name in imported if name and name.startswith(forbidden)]


def test_run_beyond_a_cut_off_list_of_ends_is_not_queued_again():
    """Guard against TWICE: a worker lists a limited number of its ends at a time."""
    job = Job(StoredJob("a" * 16, QUEUE.name, SERVICE, 0, CHAIN_ORDER), SERVICE)
    instance = WorkerInstance(ENTRY, 1, WorkerClock())
    first, second = job.steps[0, 0].tasks
    for task in (first, second):
        task.assign("w", 1, 1)
        task.sent_at, task.start_confirmed_at = 1.0, 1.1
        instance.tasks[task.name] = task
    ends = (EndedTask(1, first.name, 1, EndKind.DONE),)
    cut_off = WorkerReport(1, 500, (), ends, ends_complete=False)
    assert not list(apply_report(instance, ReceivedReport(cut_off, 2.0, 2.1)))
    assert (first.phase, second.phase) == (TaskPhase.DONE, TaskPhase.ASSIGNED)
    whole = replace(cut_off, ends_complete=True, ended=())
    assert not list(apply_report(instance, ReceivedReport(whole, 3.0, 3.1)))
    assert second.phase is TaskPhase.WAITING


def test_store_outage_with_more_ends_than_a_report_lists_repeats_no_run():
    """Guard against TWICE: while nothing is committed, no end is acknowledged."""
    cluster = SimulatedCluster(1, workers=2)
    cluster.simulated_workers.max_listed_ends = 3
    cluster.run(1.0)
    jobs = [f"{number:016x}" for number in range(8)]
    for job in jobs:
        cluster.submit(job)
    cluster.run(0.3)
    for daemon in cluster.daemons:
        daemon.table.unavailable = True
    cluster.run(2.5)
    for daemon in cluster.daemons:
        daemon.table.unavailable = False
    cluster.run(8.0)
    assert not cluster.violations()
    assert [cluster.state(job) for job in jobs] == ["completed"] * len(jobs)


@pytest.mark.parametrize("seed", range(12))
def test_workers_that_restart_unheard_of_run_nothing_twice(seed):
    """Guard against TWICE: idle workers are not polled, and a cut keeps their entries."""
    cluster = SimulatedCluster(seed, workers=4, polls_idle=False)
    workers, rng = cluster.simulated_workers, cluster.rng
    cluster.run(1.0)
    for number in range(40):
        name = f"w{rng.randrange(4)}"
        if rng.random() < 0.4:
            workers.cut_from_registry(name)
            workers.crash(name)
            workers.restart(name)
        for each in workers.workers:
            if rng.random() < 0.1:
                workers.reconnect_registry(each)
        workers.response_loss_share = 0.2 if rng.random() < 0.2 else 0.0
        cluster.submit(f"{number:016x}")
        cluster.run(rng.random() * 1.5)
    workers.response_loss_share = 0.0
    for name in workers.workers:
        workers.reconnect_registry(name)
    cluster.run(20.0)
    assert not cluster.violations()
    assert {cluster.state(f"{number:016x}") for number in range(40)} == {"completed"}


ONE_TASK = (StepDefinition(1, Resources(1000, 100), 500),)


def restart_unheard_of(cluster, name="w0"):
    """Restart an idle worker under its id while it is cut from the registry."""
    workers = cluster.simulated_workers
    workers.cut_from_registry(name)
    workers.crash(name)
    workers.restart(name)


@pytest.mark.parametrize("spec", ["0.03", "0.2"])
def test_acknowledgement_of_the_last_instance_forgets_no_end_of_the_next(spec):
    """Guard against TWICE: each instance of a worker numbers its ends from 1."""
    cluster = SimulatedCluster(1, workers=1, polls_idle=False)
    cluster.run(1.0)
    jobs = [f"{number:016x}" for number in range(4)]
    for job in jobs[:3]:
        cluster.submit(job, ONE_TASK)
    cluster.run(3.0)
    restart_unheard_of(cluster)
    cluster.submit(jobs[3], ONE_TASK, spec=spec)
    cluster.run(0.15)
    cluster.simulated_workers.response_loss_share = 1.0
    cluster.run(0.3)
    cluster.simulated_workers.response_loss_share = 0.0
    cluster.simulated_workers.reconnect_registry("w0")
    cluster.run(10.0)
    assert not cluster.violations()
    assert {cluster.state(job) for job in jobs} == {"completed"}


@pytest.mark.parametrize(
    ("now", "missed_polls", "cursor"), [(10.5, 0, 7), (11.5, 0, 0), (10.5, 1, 0)]
)
def test_ends_are_acknowledged_only_to_an_instance_that_answered_lately(now, missed_polls, cursor):
    """Guard against TWICE: a daemon that was suspended, or got no answer, forgets unseen ends."""
    instance = WorkerInstance(ENTRY, 1, WorkerClock(), verified_at=10.0, last_acked_end=7)
    instance.missed_polls = missed_polls
    assert instance.sendable_ack_cursor(now) == cursor
    assert instance.is_busy


@pytest.mark.parametrize("seed", range(20))
def test_acknowledgement_without_an_answer_forgets_no_end_of_the_next_instance(seed):
    """Guard against TWICE: an end is forgotten unseen, its run counts as missing."""
    cluster = SimulatedCluster(seed, workers=1, polls_idle=False)
    workers = cluster.simulated_workers
    cluster.run(1.0)
    (instance,) = cluster.leader().scheduler_leader._term.scheduler.instances.values()
    cluster.submit("a" * 16, ONE_TASK, spec="0.2")
    while not instance.last_acked_end:
        cluster.run(0.05)
    # The worker restarts before the acknowledgement is sent, and answers nothing for a while.
    restart_unheard_of(cluster)
    workers.response_loss_share = 1.0
    cluster.submit("b" * 16, ONE_TASK, spec="0.5")
    cluster.run(0.1)
    workers.response_loss_share = 0.0
    workers.workers["w0"].reachable = False
    cluster.run(3.0)
    workers.workers["w0"].reachable = True
    workers.reconnect_registry("w0")
    cluster.run(30.0)
    assert cluster.state("b" * 16) == "completed"
    assert not cluster.violations()


@pytest.mark.parametrize("seed", range(20))
def test_late_start_at_a_restarted_worker_does_not_outlast_the_lease_waited_for(seed):
    """Guard against TWICE: a start's deadline is on the clock of the instance that was known."""
    cluster = SimulatedCluster(seed, workers=1, polls_idle=False)
    workers = cluster.simulated_workers
    cluster.run(20.0)
    restart_unheard_of(cluster)
    workers.response_loss_share = 1.0
    cluster.submit("a" * 16, ONE_TASK, spec="6")
    cluster.run(0.5)
    workers.workers["w0"].reachable = False
    workers.response_loss_share = 0.0
    workers.add("w9", SERVICE, ROOM)
    cluster.run(30.0)
    assert not cluster.violations()
    assert cluster.state("a" * 16) == "completed"


def test_crash_before_a_start_is_not_blamed_on_the_task():
    cluster = SimulatedCluster(3, workers=4, polls_idle=False)
    cluster.run(1.0)
    for name in cluster.simulated_workers.workers:
        restart_unheard_of(cluster, name)
        cluster.simulated_workers.reconnect_registry(name)
    cluster.submit("a" * 16, ONE_TASK, spec="3")
    cluster.run(0.5)
    (record,) = (decode(row.value, StepRecord) for row in cluster.table.scan(TABLE_STEPS))
    assert [task.crashes for task in record.tasks] == [0]


def restart_after_report(cluster, name="w0"):
    """Restart a worker under its id within a second after its last report."""
    cluster.submit("b" * 16, ONE_TASK, spec="0.2")
    while cluster.state("b" * 16) != "completed":
        cluster.run(0.05)
    restart_unheard_of(cluster, name)


@pytest.mark.parametrize("seed", range(20))
def test_start_at_a_worker_that_restarted_after_its_report_does_not_outlast_the_lease(seed):
    """Guard against TWICE: no report tells that the start will meet the next instance."""
    cluster = SimulatedCluster(seed, workers=1, polls_idle=False)
    workers = cluster.simulated_workers
    cluster.run(20.0)
    restart_after_report(cluster)
    workers.response_loss_share = 1.0
    cluster.submit("a" * 16, ONE_TASK, spec="6")
    cluster.run(0.1)
    workers.workers["w0"].reachable = False
    workers.response_loss_share = 0.0
    workers.add("w9", SERVICE, ROOM)
    cluster.run(40.0)
    assert not cluster.violations()
    assert cluster.state("a" * 16) == "completed"


@pytest.mark.parametrize("seed", range(20))
def test_late_start_at_an_instance_that_was_heard_of_does_not_outlast_the_lease(seed):
    """Guard against TWICE: the next instance's first report does not show a start that is late."""
    cluster = SimulatedCluster(seed, workers=1, polls_idle=False)
    workers = cluster.simulated_workers
    cluster.run(20.0)
    restart_after_report(cluster)
    workers.response_loss_share = 1.0
    cluster.submit("a" * 16, ONE_TASK, spec="6")
    cluster.run(0.1)
    workers.response_loss_share = 0.0
    workers.reconnect_registry("w0")
    cluster.run(0.05)
    workers.workers["w0"].reachable = False
    workers.add("w9", SERVICE, ROOM)
    cluster.run(40.0)
    assert not cluster.violations()
    assert cluster.state("a" * 16) == "completed"


# A start of instance 1 that was found to be unanswered at 10 s, with leases of 6 s.
UNANSWERED_AT, START_LEASE_S = 10.0, 6.0


@pytest.mark.parametrize(
    ("incarnation", "last_request_at", "now", "expected"),
    [
        (1, 9.9, 28.2, True),
        (1, 9.9, 28.3, False),
        # The instance that the deadline is for has received the start.
        (1, 10.1, 16.5, False),
        # The start went over to the next instance, whose clock is another.
        (2, 10.1, 16.5, True),
    ],
)
def test_deadline_of_a_start_binds_only_the_instance_that_received_it(
    incarnation, last_request_at, now, expected
):
    job = Job(StoredJob("a" * 16, QUEUE.name, SERVICE, 0, CHAIN_ORDER), SERVICE)
    task = next(job.tasks())
    task.assign("w", 1, 1)
    task.sent_to, task.unconfirmed_since = 1, UNANSWERED_AT
    instance = WorkerInstance(ENTRY, incarnation, WorkerClock(), last_request_at=last_request_at)
    proof = find_proof_in_lease(task, instance, START_LEASE_S, now)
    assert proof is (None if expected else Proof.LEASE_OVER)
    task.start_confirmed_at = UNANSWERED_AT
    assert find_proof_in_lease(task, instance, START_LEASE_S, now) is Proof.LEASE_OVER


def test_long_running_task_of_a_silent_worker_waits_for_its_lease_only():
    """Guard against LOST: its users miss it while it waits."""
    order = JobDefinition("1", (long_running_step(1),))
    job = Job(StoredJob("a" * 16, QUEUE.name, SERVICE, 0, order), SERVICE)
    task = next(job.tasks())
    task.assign("w", 1, 1)
    task.sent_to, task.unconfirmed_since = 1, UNANSWERED_AT
    instance = WorkerInstance(ENTRY, 1, WorkerClock())
    now = UNANSWERED_AT + START_LEASE_S
    assert find_proof_in_lease(task, instance, START_LEASE_S, now) is Proof.LEASE_OVER


@pytest.mark.parametrize("seed", range(20))
def test_start_that_outlives_its_worker_is_refused_by_the_next_instance(seed):
    """Guard against TWICE: a start that was refused in advance may reach the next instance."""
    cluster = SimulatedCluster(seed, workers=2, polls_idle=False)
    workers = cluster.simulated_workers
    workers.orders_outlive_workers = workers.keeps_id = True
    workers.return_delay_s = 1.0
    cluster.run(1.0)
    workers.response_loss_share = 1.0
    cluster.submit("a" * 16, ONE_TASK, spec="30")
    cluster.run(0.1)
    workers.response_loss_share = 0.0
    cluster.run(1.0)
    first = {order[1].entry.id for order in workers.delayed_starts}
    for name in first:
        workers.crash_and_return(name)
    cluster.run(60.0)
    assert not cluster.violations()
    assert cluster.state("a" * 16) == "completed"
