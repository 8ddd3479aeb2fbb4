"""Bring about floods, hang-ups and failing or leaving hosts on real processes."""

import json
import threading
import time

import pytest
import urllib3

from bench.live import write_records
from demo.cluster import free_addresses, post
from gypsumplank import porcelain

pytestmark = pytest.mark.process
WAIT_S = 20.0


@pytest.fixture
def fleet(cluster, tmp_path):
    cluster.start_platform()
    cluster.workers = {"quotes": free_addresses(3), "rounds": free_addresses(1)}
    cluster.start_workers("workers", [a for held in cluster.workers.values() for a in held])
    cluster.start_daemon("entry-0", "z")
    server = porcelain.Server(cluster.operators("entry-0"))
    porcelain.apply(server, [write_records(tmp_path, cluster.workers)])
    until(lambda: send(cluster, "quotes").status == 200)
    return cluster


def until(condition):
    end = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < end:
        time.sleep(0.05)
    assert condition()


def send(cluster, service, **headers):
    url = f"http://{cluster.callers('entry-0')}/{service}/work"
    return urllib3.request("POST", url, body=b"x", headers=headers, retries=False, timeout=WAIT_S)


def burst(cluster, count, service, **headers):
    statuses = []
    threads = [
        threading.Thread(target=lambda: statuses.append(send(cluster, service, **headers).status))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    return threads, statuses


def logs_after_burst(cluster, name):
    threads, _ = burst(cluster, 24, "quotes", **{"X-Work-Ms": "50"})
    for thread in threads:
        thread.join()
    return f"event={name}" in cluster.log("entry-0")


def runs(address):
    page = urllib3.request("GET", f"http://{address}/_runs", retries=False)
    return len(json.loads(page.data))


def test_flood_of_one_service_leaves_the_other_and_operators_alone(fleet):
    headers = {"X-Work-Ms": "1500", "Request-Timeout-Ms": "4000", "Priority": "u=0"}
    threads, statuses = burst(fleet, 250, "quotes", **headers)
    server = porcelain.Server(fleet.operators("entry-0"))
    for _ in range(10):
        assert send(fleet, "rounds", **{"Request-Timeout-Ms": "3000"}).status == 200
        assert porcelain.status(server).ready
    for thread in threads:
        thread.join()
    assert set(statuses) <= {200, 503, 504}
    assert statuses.count(200) >= 24
    stats = [
        json.loads(urllib3.request("GET", f"http://{a}/_stats").data)
        for a in fleet.workers["quotes"]
    ]
    assert max(one["most_connections"] for one in stats) <= 64


def test_host_that_fails_everything_is_ejected_and_comes_back(fleet):
    bad = fleet.workers["quotes"][0]
    post(bad, "/_fault", {"mode": "fail", "times": 1_000_000})
    until(lambda: logs_after_burst(fleet, "endpoint-ejected"))
    post(bad, "/_fault", {"mode": "", "times": 0})
    until(lambda: logs_after_burst(fleet, "endpoint-returned"))
    assert send(fleet, "quotes").status == 200


def test_host_that_the_membership_list_calls_leaving_gets_no_new_work(fleet):
    leaving = fleet.workers["quotes"][1]
    members = [{"host": "quotes-1", "state": "leaving"}]
    post(fleet.platform, "/members", members)

    def gets_work():
        before = runs(leaving)
        assert {send(fleet, "quotes").status for _ in range(40)} == {200}
        return runs(leaving) > before

    until(lambda: not gets_work())
    assert not gets_work()
