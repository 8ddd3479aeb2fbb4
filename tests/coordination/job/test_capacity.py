import random
from dataclasses import replace

import pytest

from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition
from gypsumplank.protocol.queue import ServicePolicy
from gypsumplank.protocol.worker import StartCommand
from standins.cluster import (
    MANIFEST,
    ROOM,
    SERVICE,
    Daemon,
    SimulatedCluster,
    long_running_step,
)
from standins.simulator import HEARTBEAT_INTERVAL_S
from standins.violations import SHRINK_GRACE_S, find_overfull_starts

SMALL_ROOM = Resources(1000, 8000)
STEP = StepDefinition(1, Resources(1000, 100), 500)
UNCHECKED = replace(MANIFEST, services={SERVICE: ServicePolicy(SERVICE, checks_capacity=False)})


def make_cluster(seed=1, workers=1, daemons=2):
    cluster = SimulatedCluster(seed, daemons, workers)
    cluster.manifest = UNCHECKED
    cluster.run(1.0)
    return cluster


def overfull_starts(cluster):
    workers = cluster.simulated_workers
    return find_overfull_starts(workers.history, cluster.submitted, workers.room_changes)


def set_store_unavailable(cluster, unavailable):
    cluster.simulated_workers.registry_unavailable = unavailable
    for daemon in cluster.daemons:
        daemon.table.unavailable = unavailable


def test_worker_that_shrank_gets_no_task_over_its_capacity_and_more_once_it_grew():
    cluster = make_cluster()
    cluster.simulated_workers.set_room("w0", SMALL_ROOM)
    cluster.run(HEARTBEAT_INTERVAL_S + 0.1)
    for number in range(3):
        cluster.submit(f"{number:016x}", (STEP,), spec="20")
    cluster.run(5.0)
    assert len(cluster.simulated_workers.history) == 1
    cluster.simulated_workers.set_room("w0", ROOM)
    cluster.run(HEARTBEAT_INTERVAL_S + 0.5)
    assert len(cluster.simulated_workers.history) == 3


def test_run_that_is_being_stopped_counts_against_a_worker_that_shrank():
    cluster = make_cluster()
    running = [f"{number:016x}" for number in range(8)]
    for job in running:
        cluster.submit(job, (STEP,), spec="60")
    cluster.run(1.0)
    cluster.simulated_workers.set_room("w0", Resources(4000, 8000))
    cluster.run(SHRINK_GRACE_S + 0.5)
    cluster.submit("a" * 16, (STEP,))
    for job in running[:5]:
        cluster.daemons[0].job_service.cancel(job)
    cluster.run(1.0)
    assert any(start.name.startswith("a" * 16) for start in cluster.simulated_workers.history)
    assert not overfull_starts(cluster)


@pytest.mark.parametrize("outage_s", [SHRINK_GRACE_S + tenths / 10 for tenths in range(0, 20, 2)])
def test_worker_that_shrank_during_a_store_outage_is_not_overfilled_after_it(outage_s, caplog):
    cluster = make_cluster()
    cluster.submit("a" * 16, (STEP,), spec="60")
    cluster.run(1.0)
    set_store_unavailable(cluster, True)
    cluster.simulated_workers.set_room("w0", SMALL_ROOM)
    cluster.run(outage_s)
    set_store_unavailable(cluster, False)
    cluster.submit("c" * 16, (STEP,), spec="60")
    cluster.run(5.0)
    assert not overfull_starts(cluster)
    assert "task-refused" not in caplog.text


def test_assignment_that_was_stored_late_is_not_sent_to_a_worker_that_shrank(monkeypatch):
    cluster = make_cluster()
    cluster.submit("a" * 16, (STEP,), spec="60")
    cluster.run(1.0)
    store = cluster.leader().store
    commit = store.commit

    def fail(*_):
        raise StateUnavailableError("out")

    monkeypatch.setattr(store, "commit", fail)
    cluster.submit("b" * 16, (STEP,), spec="60")
    cluster.run(0.3)
    cluster.simulated_workers.set_room("w0", SMALL_ROOM)
    cluster.run(SHRINK_GRACE_S + 1.0)
    monkeypatch.setattr(store, "commit", commit)
    cluster.run(3.0)
    assert not overfull_starts(cluster)
    assert len(cluster.simulated_workers.history) == 1


def test_next_instance_of_a_worker_gets_no_task_until_its_capacity_is_known(monkeypatch):
    cluster = make_cluster()
    cluster.submit("a" * 16, (replace(STEP, tasks=2),), spec="60")
    cluster.run(1.0)
    workers = cluster.simulated_workers
    with monkeypatch.context() as patch:
        patch.setattr(Daemon, "_send_snapshot", lambda _: None)
        workers.crash("w0")
        workers.set_room("w0", SMALL_ROOM)
        workers.restart("w0")
        cluster.run(1.0)
    cluster.run(3.0)
    assert not overfull_starts(cluster)
    assert len(workers.history) == 3


def test_run_that_is_not_assigned_counts_until_it_has_ended():
    cluster = make_cluster()
    unassigned = "e" * 16
    cluster.submitted[unassigned] = JobDefinition("30", (replace(STEP, need=Resources(7000, 100)),))
    worker = cluster.simulated_workers.workers["w0"]
    token = worker.token
    cluster.submit("a" * 16, (STEP,), spec="60")
    cluster.run(0.5)
    entry = worker.entry
    cluster.simulated_workers.start(
        entry, StartCommand(f"{unassigned}.0.0.0", 1, "30", 60_000, token, "", "")
    )
    cluster.submit("b" * 16, (STEP,), spec="60")
    cluster.run(5.0)
    assert len(cluster.simulated_workers.history) == 3
    assert not overfull_starts(cluster)


@pytest.mark.parametrize("seed", range(12))
def test_workers_that_shrink_and_grow_are_not_overfilled(seed):
    cluster = make_cluster(seed, workers=3)
    rng = random.Random(seed)
    for number in range(50):
        cluster.simulated_workers.response_loss_share = rng.choice((0.0, 0.0, 0.2))
        job = f"{number:016x}"
        step = rng.choice((replace(STEP, tasks=3), STEP, long_running_step()))
        cluster.submit(job, (step,), spec="100000" if step.lasting else rng.choice(("0.3", "3")))
        for name in list(cluster.simulated_workers.workers):
            if rng.random() < 0.3:
                room = Resources(rng.randrange(1000, 9000, 500), 8000)
                cluster.simulated_workers.set_room(name, room)
        if rng.random() < 0.3:
            cluster.daemons[0].job_service.cancel(f"{rng.randrange(number + 1):016x}")
        if rng.random() < 0.1:
            set_store_unavailable(cluster, True)
            cluster.run(rng.uniform(0.5, 9.0))
            set_store_unavailable(cluster, False)
        if rng.random() < 0.1 and cluster.leader():
            cluster.leader().restart()
        cluster.run(rng.uniform(0.1, 1.0))
    cluster.run(10.0)
    assert not overfull_starts(cluster)
    assert not cluster.violations()
