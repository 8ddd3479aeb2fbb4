"""Test that long-running tasks are interrupted only while their step's budget allows it."""

import logging
from dataclasses import replace

from gypsumplank.coordination.job.maintenance import drain_instance
from gypsumplank.log import Event
from gypsumplank.protocol.worker import WorkerState
from standins.cluster import SimulatedCluster, long_running_step

JOB = "a" * 16


def set_store_outage(cluster, unavailable):
    for daemon in cluster.daemons:
        daemon.table.unavailable = unavailable


def make_cluster_with_stop_that_waits():
    """Return a cluster where two of four tasks are away, and a third one is to be stopped."""
    cluster = SimulatedCluster(1, workers=4)
    workers = cluster.simulated_workers
    cluster.run(2.0)
    step = replace(long_running_step(4, may_miss=2), max_per_worker=1)
    cluster.submit(JOB, (step,), spec="10000")
    cluster.run(3.0)
    scheduler = cluster.leader().scheduler_leader._term.scheduler
    set_store_outage(cluster, True)
    # Nothing tells yet that the tasks of these two are away, so the budget allows another stop.
    for name in ("w0", "w1"):
        workers.workers[name].reachable = False
    drain_instance(scheduler, scheduler.instances["w2"], 0.0)
    (task,) = scheduler.instances["w2"].tasks.values()
    assert not task.should_run
    # Commands wait as long as a change is not stored.
    task.step.dirty = True
    cluster.run(2.5)
    return cluster, task


def test_stop_that_waited_for_the_store_is_withdrawn_once_others_are_away():
    """Guard against AVAIL: the permission to interrupt may run out before the stop is sent."""
    cluster, task = make_cluster_with_stop_that_waits()
    set_store_outage(cluster, False)
    cluster.run(2.0)
    assert task.name in cluster.simulated_workers.workers["w2"].running


def test_stop_of_a_cancelled_job_is_not_withdrawn(caplog):
    """Guard against UNASKED: a cancelled job's stop is sent whatever else of its step is away."""
    caplog.set_level(logging.INFO)
    cluster, task = make_cluster_with_stop_that_waits()
    set_store_outage(cluster, False)
    cluster.daemons[0].job_service.cancel(JOB)
    cluster.run(2.0)
    assert task.name not in cluster.simulated_workers.workers["w2"].running
    assert not [one for one in caplog.records if one.msg == Event.STOP_WITHDRAWN.value]


def test_task_leaves_a_draining_worker_although_others_are_away():
    """Guard against LOST: a stop that is withdrawn again and again, until the worker has left."""
    cluster, task = make_cluster_with_stop_that_waits()
    worker = cluster.simulated_workers.workers["w2"]
    worker.entry = replace(worker.entry, state=WorkerState.DRAINING)
    set_store_outage(cluster, False)
    cluster.run(2.0)
    assert task.name not in worker.running
