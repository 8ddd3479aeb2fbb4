"""Test requests and operator commands with real daemons and stand-ins on loopback."""

import json
import signal
import threading
import time

import pytest
import urllib3

from demo.__main__ import make_records
from demo.cluster import free_addresses
from gypsumplank import cli

pytestmark = pytest.mark.process


@pytest.fixture
def fleet(cluster, tmp_path, capsys):
    cluster.start_platform()
    addresses = {"counter-desk": free_addresses(4), "harbour-desk": free_addresses(4)}
    cluster.start_workers("workers", [address for group in addresses.values() for address in group])
    for name in ("entry-0", "entry-1"):
        cluster.start_daemon(name, "kochi-a")
    paths = make_records(tmp_path, addresses)
    assert cli.main(["--server", cluster.operators("entry-0"), "apply", *map(str, paths)]) == 0
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline and revision_in_force(cluster, "entry-1", capsys) < 1:
        time.sleep(0.05)
    return cluster


def revision_in_force(cluster, name, capsys):
    capsys.readouterr()
    cli.main(["--server", cluster.operators(name), "--output", "json", "status"])
    return json.loads(capsys.readouterr().out)["revision"]


def send(cluster, name, path="/counter-desk/orders", **headers):
    url = f"http://{cluster.callers(name)}{path}"
    return urllib3.request("POST", url, body=b"order", headers=headers, retries=False)


def test_request_through_each_daemon(fleet):
    for name in ("entry-0", "entry-1"):
        resp = send(fleet, name, **{"X-Request-Id": "r-1"})
        assert (resp.status, resp.data) == (200, b"order")
        assert resp.headers["X-Request-Id"] == "r-1"


def test_unknown_service_is_rejected(fleet):
    resp = send(fleet, "entry-0", "/nothing/here")
    assert resp.status == 404
    assert resp.headers["Content-Type"] == "application/problem+json"
    assert json.loads(resp.data)["outcome"] == "not-run"


def test_graceful_stop_finishes_requests_in_flight(fleet):
    replies = []

    def send_slow_request():
        replies.append(send(fleet, "entry-0", **{"X-Work-Ms": "1500"}))

    threads = [threading.Thread(target=send_slow_request) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    assert fleet.stop("entry-0") == 0
    for thread in threads:
        thread.join()
    assert [(resp.status, resp.data) for resp in replies] == [(200, b"order")] * 8


def test_operator_commands(fleet, capsys):
    server = ["--server", fleet.operators("entry-1")]
    capsys.readouterr()
    assert cli.main([*server, "get", "service"]) == 0
    assert "harbour-desk" in capsys.readouterr().out
    assert cli.main([*server, "describe", "pool", "counter-desk"]) == 0
    assert "min_in_service" in capsys.readouterr().out
    assert cli.main([*server, "delete", "pool", "counter-desk"]) == cli.EXIT_INVALID
    assert "pool-unknown" in capsys.readouterr().err
    assert cli.main([*server, "describe", "pool", "none"]) == cli.EXIT_FAILED
    assert cli.main(["--server", "127.0.0.1:1", "status"]) == cli.EXIT_UNREACHABLE


def test_metrics_and_log(fleet):
    send(fleet, "entry-0")
    page = urllib3.request("GET", f"http://{fleet.operators('entry-0')}/metrics").data.decode()
    assert "gypsumplank_requests_total{" in page
    assert "event=config-in-force" in fleet.log("entry-0")


def test_hangup_signal_is_answered_by_a_log_line_and_ends_nothing(fleet):
    """Guard against an operator who takes changed settings for being in force."""
    for count in (1, 2):
        fleet.signal("entry-0", signal.SIGHUP)
        deadline = time.monotonic() + 10
        while fleet.log("entry-0").count("event=reloaded") < count and time.monotonic() < deadline:
            time.sleep(0.05)
    assert fleet.log("entry-0").count("restart the daemon") == 2
    assert send(fleet, "entry-0").status == 200
    assert fleet.stop("entry-0") == 0


@pytest.mark.parametrize("taken", ["callers", "operators", "peers"])
def test_daemon_whose_address_is_taken_ends_with_one_line_that_names_it(cluster, taken):
    """Guard against a bare traceback, which does not tell an operator which address is in use."""
    cluster.start_platform()
    cluster.start_daemon("entry-0", "kochi-a")
    listen = dict(zip(("callers", "operators", "peers"), free_addresses(3), strict=True))
    listen[taken] = cluster.settings["entry-0"]["listen"][taken]
    cluster.settings["entry-1"] = {**cluster.settings["entry-0"], "listen": listen}
    cluster.start_daemon_process("entry-1")
    assert cluster.processes["entry-1"].wait(20.0) == 4
    (line,) = cluster.log("entry-1").splitlines()
    assert "listen-failed" in line
    assert listen[taken] in line
