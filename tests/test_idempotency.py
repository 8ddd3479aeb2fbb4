"""Test idempotency keys with real daemons that are killed, paused or cut off from the store."""

import itertools
import json
import signal
import threading
import time

import pytest
import urllib3

from demo.__main__ import make_records
from demo.cluster import free_addresses, post
from gypsumplank import porcelain

pytestmark = pytest.mark.process

TIMEOUT_S = 20.0
SESSION_SETTINGS = {"heartbeat_s": 0.3, "lease_s": 1.5}
NAMES = ("entry-0", "entry-1")


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError("condition not met before the timeout")


@pytest.fixture
def addresses():
    return free_addresses(8)


@pytest.fixture
def fleet(cluster, tmp_path, addresses):
    cluster.start_platform()
    cluster.start_workers("workers", addresses)
    for name in NAMES:
        cluster.start_daemon(name, "kochi-a", session=SESSION_SETTINGS)
    servers = [porcelain.OperatorClient(cluster.operators(name)) for name in NAMES]
    pools = {"counter-desk": addresses[:4], "harbour-desk": addresses[4:]}
    porcelain.apply(servers[0], make_records(tmp_path, pools))
    for server in servers:
        wait_for(lambda server=server: porcelain.status(server).revision)
    return cluster


def send(cluster, name, key, body=b"order", **headers):
    url = f"http://{cluster.callers(name)}/counter-desk/orders"
    headers = {"Idempotency-Key": key, **headers}
    return urllib3.request(
        "POST", url, body=body, headers=headers, retries=False, timeout=TIMEOUT_S
    )


def code_and_outcome(resp):
    return json.loads(resp.data)["code"], json.loads(resp.data)["outcome"]


def count_runs(addresses, key):
    logs = [urllib3.request("GET", f"http://{address}/_runs").json() for address in addresses]
    return sum(run["key"] == key for log in logs for run in log)


def test_retry_through_another_daemon_returns_stored_reply(fleet, addresses):
    first = send(fleet, "entry-0", "k1")
    retry = send(fleet, "entry-1", "k1", **{"X-Request-Id": "another"})
    assert (first.status, first.data) == (retry.status, retry.data) == (200, b"order")
    assert retry.headers["X-Request-Id"] == "another"
    assert send(fleet, "entry-1", "k1", b"other").status == 422
    assert count_runs(addresses, "k1") == 1


def test_daemon_killed_mid_request(fleet, addresses):
    def send_expecting_failure():
        with pytest.raises(urllib3.exceptions.HTTPError):
            send(fleet, "entry-0", "k2", **{"X-Work-Ms": "3000"})

    thread = threading.Thread(target=send_expecting_failure)
    thread.start()
    wait_for(lambda: count_runs(addresses, "k2"))
    fleet.kill("entry-0")
    thread.join()
    assert send(fleet, "entry-1", "k2").status == 409
    resp = wait_for(lambda: (result := send(fleet, "entry-1", "k2")).status != 409 and result)
    assert code_and_outcome(resp) == ("claim-abandoned", "unknown")
    assert send(fleet, "entry-1", "k2").status == 504
    fleet.start_daemon("entry-0", "kochi-a")
    assert code_and_outcome(send(fleet, "entry-0", "k2")) == ("claim-abandoned", "unknown")
    assert count_runs(addresses, "k2") == 1


def test_daemon_paused_past_its_lease_mid_request(fleet, addresses):
    replies = []
    work = {"X-Work-Ms": "500"}
    thread = threading.Thread(target=lambda: replies.append(send(fleet, "entry-0", "k3", **work)))
    thread.start()
    wait_for(lambda: count_runs(addresses, "k3"))
    fleet.signal("entry-0", signal.SIGSTOP)
    resp = wait_for(lambda: (result := send(fleet, "entry-1", "k3")).status != 409 and result)
    assert code_and_outcome(resp) == ("claim-abandoned", "unknown")
    fleet.signal("entry-0", signal.SIGCONT)
    thread.join()
    assert (replies[0].status, replies[0].data) == (200, b"order")
    retry = wait_for(lambda: (result := send(fleet, "entry-1", "k3")).status == 200 and result)
    assert retry.data == b"order"
    assert count_runs(addresses, "k3") == 1


def test_store_outage(fleet, addresses):
    replies = []
    work = {"X-Work-Ms": "1000"}
    thread = threading.Thread(target=lambda: replies.append(send(fleet, "entry-0", "k4", **work)))
    thread.start()
    wait_for(lambda: count_runs(addresses, "k4"))
    post(fleet.platform, "/faults", {"outage": True})
    thread.join()
    assert replies[0].status == 200
    assert code_and_outcome(send(fleet, "entry-0", "k5")) == ("claim-unavailable", "not-run")
    url = f"http://{fleet.callers('entry-0')}/counter-desk/orders"
    assert urllib3.request("POST", url, body=b"order", retries=False).status == 200
    post(fleet.platform, "/faults", {})
    retry = wait_for(lambda: (result := send(fleet, "entry-1", "k4")).status == 200 and result)
    assert retry.data == b"order"
    wait_for(lambda: send(fleet, "entry-0", "k5").status == 200)
    assert [count_runs(addresses, key) for key in ("k4", "k5")] == [1, 1]


def test_lost_store_responses(fleet, addresses):
    post(fleet.platform, "/faults", {"lose_answers": 0.5})
    replies = {}
    for number in range(12):
        key = f"lost-{number}"
        replies[key] = wait_for(
            lambda key=key: (result := send(fleet, NAMES[0], key)).status == 200 and result
        )
    post(fleet.platform, "/faults", {})
    for key in replies:
        wait_for(lambda key=key: send(fleet, NAMES[1], key).status == 200)
        assert count_runs(addresses, key) == 1


def test_slow_store_does_not_block_another_service(fleet, addresses):
    post(fleet.platform, "/faults", {"delay_s": 0.8})
    stopped = threading.Event()

    def flood(number):
        for serial in itertools.takewhile(lambda _: not stopped.is_set(), itertools.count()):
            send(fleet, "entry-0", f"slow-{number}-{serial}")

    threads = [threading.Thread(target=flood, args=(number,)) for number in range(24)]
    for thread in threads:
        thread.start()
    url = f"http://{fleet.callers('entry-0')}/harbour-desk/orders"
    statuses = [
        urllib3.request("POST", url, body=b"order", retries=False).status for _ in range(30)
    ]
    stopped.set()
    post(fleet.platform, "/faults", {})
    for thread in threads:
        thread.join()
    assert statuses == [200] * 30
