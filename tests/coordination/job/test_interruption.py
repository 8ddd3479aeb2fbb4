"""Test that long-running tasks are interrupted only while their step's budget allows it."""

from dataclasses import replace

from gypsumplank.coordination.job.maintenance import drain_instance
from standins.cluster import SimulatedCluster, long_running_step


def set_store_outage(cluster, unavailable):
    for daemon in cluster.daemons:
        daemon.table.unavailable = unavailable


def test_stop_that_waited_for_the_store_is_withdrawn_once_others_are_away():
    """Guard against AVAIL: the permission to interrupt may run out before the stop is sent."""
    cluster = SimulatedCluster(1, workers=4)
    workers = cluster.simulated_workers
    cluster.run(2.0)
    step = replace(long_running_step(4, may_miss=2), max_per_worker=1)
    cluster.submit("a" * 16, (step,), spec="10000")
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
    set_store_outage(cluster, False)
    cluster.run(2.0)
    assert task.name in workers.workers["w2"].running
