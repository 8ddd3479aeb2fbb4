"""Test that tasks run exactly once with real daemons when their controller is killed."""

import itertools
import json
import time

import pytest
import urllib3

from demo.cluster import free_addresses
from gypsumplank import porcelain

pytestmark = pytest.mark.process

TIMEOUT_S = 60
DAEMONS = ("entry-0", "entry-1", "entry-2")


def call(method, url, body=None):
    resp = urllib3.request(method, url, json=body, retries=False, timeout=10.0)
    return json.loads(resp.data)


@pytest.fixture
def fleet(cluster, tmp_path):
    cluster.start_platform()
    cluster.agents = free_addresses(3)
    listen = itertools.chain.from_iterable(("--listen", address) for address in cluster.agents)
    cluster.start_module("agents", "standins.agent", *listen)
    for address in cluster.agents:
        cluster.wait_http(f"http://{address}/")
    for name in DAEMONS:
        cluster.start_daemon(name, "kochi-a", session={"lease_s": 2.0, "heartbeat_s": 0.3})
    hosts = [
        {
            "kind": "host",
            "name": f"h{number}",
            "schema": 2,
            "spec": {
                "address": address,
                "pool": "renders",
                "zone": "z",
                "rack": f"r{number}",
                "cores": 4,
                "memory_gb": 8,
            },
        }
        for number, address in enumerate(cluster.agents)
    ]
    records = [
        {"kind": "pool", "name": "renders", "schema": 2, "spec": {}},
        {"kind": "service", "name": "renders", "schema": 2, "spec": {"pool": "renders"}},
        *hosts,
    ]
    path = tmp_path / "records.json"
    path.write_text(json.dumps(records))
    porcelain.apply(porcelain.OperatorClient(cluster.operators("entry-0")), [path])
    deadline = time.monotonic() + TIMEOUT_S
    while any(revision(cluster, name) < 1 for name in DAEMONS):
        assert time.monotonic() < deadline
        time.sleep(0.05)
    return cluster


def revision(cluster, name):
    return porcelain.status(porcelain.OperatorClient(cluster.operators(name))).revision


def lease_holder(fleet):
    """Return the daemon that acquired the pool's lease last, empty if none has."""
    holders = [name for name in DAEMONS if "lease=renders" in fleet.log(name)]
    return holders[-1] if holders else ""


def test_tasks_run_once_when_controller_is_killed(fleet):
    callers = [fleet.callers(name) for name in DAEMONS]
    ids = [
        call(
            "POST",
            f"http://{callers[number % 3]}/-/tasks",
            {"service": "renders", "payload": "1.5", "size": {"cores": 1, "memory_gb": 1}},
        )["id"]
        for number in range(18)
    ]
    deadline = time.monotonic() + TIMEOUT_S
    while not any(call("GET", f"http://{address}/")["running"] for address in fleet.agents):
        assert time.monotonic() < deadline
        time.sleep(0.05)
    victim = lease_holder(fleet)
    fleet.kill(victim)
    survivor = next(name for name in DAEMONS if name != victim)
    states = {
        call("GET", f"http://{fleet.callers(survivor)}/-/tasks/{task}?wait_ms=25000")["state"]
        for task in ids
    }
    assert states == {"finished"}
    starts = [
        (start["id"], start["token"])
        for address in fleet.agents
        for start in call("GET", f"http://{address}/")["starts"]
    ]
    assert len(set(starts)) == len(starts)
    assert {task for task, _ in starts} == set(ids)
