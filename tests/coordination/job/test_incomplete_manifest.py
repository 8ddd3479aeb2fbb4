"""Test that what a manifest lacks is not taken for a fact about services and their pools."""

from collections import Counter
from dataclasses import replace

import msgspec
import pytest

from gypsumplank.coordination.job.maintenance import MaintenanceWave
from gypsumplank.platform.directory import decode_manifest
from gypsumplank.protocol.job import Resources, StepDefinition
from gypsumplank.protocol.queue import Manifest, ServicePolicy
from standins.cluster import MANIFEST, QUEUE, SERVICE, STANDBY, SimulatedCluster
from standins.simulator import HEARTBEAT_INTERVAL_S
from standins.violations import find_overfull_starts

STEP = StepDefinition(1, Resources(1000, 100), 500)
SERVICES = {**MANIFEST.services, STANDBY: ServicePolicy(STANDBY, standby=True)}
COMPLETE = Manifest(2, (QUEUE,), SERVICES)


def make_cluster(manifest, workers=6, standby=4):
    cluster = SimulatedCluster(1, workers=workers)
    cluster.manifest = manifest
    cluster.run(2.0)
    for number in range(standby):
        cluster.machines.standby[f"m-{number}"] = True
    return cluster


def submit_backlog(cluster, queue=QUEUE):
    second = StepDefinition(4, Resources(4000, 100), 2000, after=(0,))
    for number in range(12):
        cluster.submit(f"{number:016x}", (STEP, second), spec="4", queue=queue)


def pool_sizes(cluster):
    return Counter(machine.pool for machine in cluster.machines.list_machines())


@pytest.mark.parametrize(
    "manifest",
    [Manifest(3, (QUEUE,)), Manifest(3), Manifest(3, (), SERVICES)],
    ids=["without services", "empty", "without queues"],
)
def test_pool_gets_machines_for_jobs_that_have_begun(manifest):
    """Guard against LOST: the pool of a service that the manifest lacks takes no machine more."""
    cluster = make_cluster(COMPLETE)
    submit_backlog(cluster)
    cluster.run(0.2)
    assert {cluster.state(job) for job in cluster.submitted} == {"running"}
    cluster.manifest = manifest
    cluster.run(8.0)
    assert pool_sizes(cluster)[SERVICE] == 10
    cluster.run(60.0)
    assert {cluster.state(job) for job in cluster.submitted} == {"completed"}
    assert pool_sizes(cluster) == {SERVICE: 6, STANDBY: 4}


def test_no_machine_is_moved_to_a_pool_that_does_not_exist():
    """Guard against waste: standby machines wait for moves that the machine service refuses."""
    cluster = make_cluster(replace(COMPLETE, queues=(replace(QUEUE, service="gone"),)), workers=3)
    submit_backlog(cluster, replace(QUEUE, service="gone"))
    cluster.run(1.0)
    cluster.manifest = replace(COMPLETE, version=3)
    cluster.run(5.0)
    assert cluster.machines.orders == []


def test_machines_are_not_listed_if_there_is_nothing_to_move():
    cluster = make_cluster(MANIFEST, standby=0)
    listed = []
    list_machines = cluster.machines.list_machines
    cluster.machines.list_machines = lambda: listed.append(1) or list_machines()
    cluster.run(5.0)
    assert not listed


def cordon_by_moves(cluster):
    """Let moves to the standby pool wait for runs; return the machines that are to be moved."""
    submit_backlog(cluster)
    cluster.run(8.0)
    assert pool_sizes(cluster)[SERVICE] == 10
    cluster.submit("f" * 16, (replace(STEP, tasks=10, max_per_worker=1),), spec="40")
    cluster.run(10.0)
    scheduler = cluster.leader().scheduler_leader._term.scheduler
    machines = {each.entry.machine for each in scheduler.instances.values() if each.cordoned}
    assert machines
    return machines


@pytest.mark.parametrize("services", [{STANDBY: ServicePolicy(STANDBY)}, {}])
def test_planned_moves_end_if_the_manifest_names_no_standby_pool(services):
    """Guard against LOST and MIXED: workers that wait for a move take no tasks and no wave."""
    cluster = make_cluster(COMPLETE)
    machines = cordon_by_moves(cluster)
    cluster.manifest = replace(COMPLETE, version=3, services=services)
    cluster.run(50.0)
    cordoned = {
        instance.entry.machine
        for instance in cluster.leader().scheduler_leader._term.scheduler.instances.values()
        if instance.cordoned
    }
    assert not cordoned & machines
    assert pool_sizes(cluster)[SERVICE] == (10 if services else 6)
    wave = MaintenanceWave(1, tuple(machines), 30.0, 4)
    cluster.waves.append(wave)
    cluster.run(20.0)
    assert {order[1] for order in cluster.machines.orders if order[0] == "upkeep"} == machines


@pytest.mark.parametrize("restarts", [False, True])
def test_worker_of_a_service_that_the_manifest_lacks_is_not_relied_on_to_check(restarts):
    """Guard against LIMIT: a start by an old entry at a worker that takes whatever it is told."""
    services = {SERVICE: ServicePolicy(SERVICE, checks_capacity=False)}
    cluster = make_cluster(replace(MANIFEST, services=services), workers=1, standby=0)
    cluster.submit("a" * 16, (STEP,), spec="60")
    cluster.run(1.0)
    cluster.manifest = replace(MANIFEST, version=2, services={})
    if restarts:
        cluster.leader().restart()
    cluster.run(4.0)
    workers = cluster.simulated_workers
    workers.registry_unavailable = True
    workers.set_room("w0", Resources(1000, 8000))
    cluster.run(3 * HEARTBEAT_INTERVAL_S)
    cluster.submit("b" * 16, (STEP,), spec="1")
    cluster.run(2.0)
    assert len(workers.history) == 1
    assert not find_overfull_starts(workers.history, cluster.submitted, workers.room_changes)
    workers.registry_unavailable = False


def test_service_that_does_not_say_so_is_not_relied_on_to_check_capacity():
    """Guard against LIMIT: a field that the manifest lacks is taken for true."""
    wire = {"version": 1, "services": [{"name": "a"}, {"name": "b", "enforces-capacity": True}]}
    services = decode_manifest(msgspec.json.encode(wire)).services
    assert not services["a"].checks_capacity
    assert services["b"].checks_capacity


def test_limit_that_a_queue_lacks_is_not_taken_for_one_attempt():
    """Guard against LOST: a job fails with its first failed run (review case 5)."""
    route = {"name": "r", "host": "h", "prefix": "/p/", "service": "a"}
    wire = {"version": 1, "routes": [route, {**route, "name": "s", "max-attempts": 0}]}
    unlimited, limited = decode_manifest(msgspec.json.encode(wire)).queues
    assert unlimited.max_attempts is None
    assert limited.max_attempts == 1
