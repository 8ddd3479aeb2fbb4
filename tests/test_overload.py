"""Test floods and failing or leaving hosts with real processes."""

import json
import threading
import time

import pytest
import urllib3

from bench.live import write_records
from demo.cluster import free_addresses, post
from gypsumplank import porcelain

pytestmark = pytest.mark.process
TIMEOUT_S = 20.0


@pytest.fixture
def fleet(cluster, tmp_path):
    cluster.start_platform()
    cluster.workers = {"quotes": free_addresses(3), "rounds": free_addresses(1)}
    cluster.start_workers(
        "workers", [address for group in cluster.workers.values() for address in group]
    )
    cluster.start_daemon("entry-0", "z")
    server = porcelain.OperatorClient(cluster.operators("entry-0"))
    porcelain.apply(server, [write_records(tmp_path, cluster.workers)])
    wait_until(lambda: send(cluster, "quotes").status == 200)
    return cluster


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.05)
    assert condition()


def send(cluster, service, **headers):
    url = f"http://{cluster.callers('entry-0')}/{service}/work"
    return urllib3.request(
        "POST", url, body=b"x", headers=headers, retries=False, timeout=TIMEOUT_S
    )


def burst(cluster, count, service, **headers):
    statuses = []
    threads = [
        threading.Thread(target=lambda: statuses.append(send(cluster, service, **headers).status))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    return threads, statuses


def burst_logs_event(cluster, name):
    threads, _ = burst(cluster, 24, "quotes", **{"X-Work-Ms": "50"})
    for thread in threads:
        thread.join()
    return f"event={name}" in cluster.log("entry-0")


def count_runs(address):
    page = urllib3.request("GET", f"http://{address}/_runs", retries=False)
    return len(json.loads(page.data))


def test_flood_of_one_service_does_not_affect_other_service_or_operators(fleet):
    headers = {"X-Work-Ms": "1500", "Request-Timeout-Ms": "4000", "Priority": "u=0"}
    threads, statuses = burst(fleet, 250, "quotes", **headers)
    server = porcelain.OperatorClient(fleet.operators("entry-0"))
    for _ in range(10):
        assert send(fleet, "rounds", **{"Request-Timeout-Ms": "3000"}).status == 200
        assert porcelain.status(server).ready
    for thread in threads:
        thread.join()
    assert set(statuses) <= {200, 503, 504}
    assert statuses.count(200) >= 24
    stats = [
        json.loads(urllib3.request("GET", f"http://{address}/_stats").data)
        for address in fleet.workers["quotes"]
    ]
    assert max(worker["most_connections"] for worker in stats) <= 64


def test_failing_host_is_ejected_and_returns_after_recovery(fleet):
    bad = fleet.workers["quotes"][0]
    post(bad, "/_fault", {"mode": "fail", "times": 1_000_000})
    wait_until(lambda: burst_logs_event(fleet, "endpoint-ejected"))
    post(bad, "/_fault", {"mode": "", "times": 0})
    wait_until(lambda: burst_logs_event(fleet, "endpoint-returned"))
    assert send(fleet, "quotes").status == 200


def test_host_listed_as_leaving_gets_no_new_requests(fleet):
    leaving = fleet.workers["quotes"][1]
    members = [{"host": "quotes-1", "state": "leaving"}]
    post(fleet.platform, "/members", members)

    def gets_requests():
        before = count_runs(leaving)
        assert {send(fleet, "quotes").status for _ in range(40)} == {200}
        return count_runs(leaving) > before

    wait_until(lambda: not gets_requests())
    assert not gets_requests()
