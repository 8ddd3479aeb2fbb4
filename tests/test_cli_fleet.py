"""Test the host and wave commands with real daemon processes."""

import json
import threading
import time

import pytest
import urllib3

from demo.__main__ import make_records
from demo.cluster import free_addresses
from demo.wave import write_wave
from gypsumplank import cli, porcelain_fleet
from gypsumplank.errors import ServerError
from gypsumplank.porcelain import OperatorClient, get
from gypsumplank.protocol.fleet import HostAction, WaveAction

pytestmark = pytest.mark.process

NAMES = ("entry-0", "entry-1", "entry-2")
TIMEOUT_S = 40.0


@pytest.fixture
def fleet(cluster, tmp_path):
    cluster.start_platform()
    addresses = {"counter-desk": free_addresses(4), "harbour-desk": free_addresses(4)}
    cluster.start_workers("workers", [address for group in addresses.values() for address in group])
    for name in NAMES:
        cluster.start_daemon(name, "kochi-a")
    paths = [*make_records(tmp_path, addresses), write_wave(tmp_path, addresses)]
    assert cli.main(["--server", cluster.operators("entry-0"), "apply", *map(str, paths)]) == 0
    wait_for(lambda: all(get(server(cluster, name)).revision == 1 for name in NAMES))
    wait_for(lambda: all(pool.holder for pool in porcelain_fleet.pools(server(cluster, "entry-0"))))
    return cluster


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met before the timeout"
        time.sleep(0.1)


def server(cluster, name):
    return OperatorClient(cluster.operators(name))


def pool_report(cluster, name, pool):
    (report,) = porcelain_fleet.pools(server(cluster, name), pool)
    return report


def test_move_survives_controller_crash_without_failed_requests(fleet):
    replies = []

    def send_slow_request():
        url = f"http://{fleet.callers('entry-0')}/counter-desk/orders"
        headers = {"X-Work-Ms": "4000"}
        resp = urllib3.request("POST", url, body=b"x", headers=headers, retries=False, timeout=30.0)
        replies.append(resp)

    threads = [threading.Thread(target=send_slow_request) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    porcelain_fleet.change_host(
        server(fleet, "entry-1"), HostAction.MOVE, "counter-desk-0", "harbour-desk", 30.0
    )
    holder = pool_report(fleet, "entry-0", "counter-desk").holder
    victim = holder if holder != "entry-0" else "entry-2"
    fleet.kill(victim)
    for thread in threads:
        thread.join()
    assert [(resp.status, resp.data) for resp in replies] == [(200, b"x")] * 8
    wait_for(lambda: pool_report(fleet, "entry-0", "harbour-desk").in_service == 5)
    assert pool_report(fleet, "entry-0", "counter-desk").hosts == 3


def test_wave_and_budget_commands(fleet, capsys):
    server_args = ["--server", fleet.operators("entry-1")]
    assert cli.main([*server_args, "host", "drain", "harbour-desk-1", "--grace", "5"]) == 0
    assert cli.main([*server_args, "host", "drain", "harbour-desk-2"]) == cli.EXIT_FAILED
    assert "3 promised" in capsys.readouterr().err
    assert cli.main([*server_args, "host", "undrain", "harbour-desk-1"]) == 0
    assert cli.main([*server_args, "wave", "start", "kernel-update"]) == 0
    with pytest.raises(ServerError, match="running already"):
        porcelain_fleet.change_wave(server(fleet, "entry-2"), WaveAction.START, "kernel-update")
    capsys.readouterr()
    assert cli.main([*server_args, "--output", "json", "wave", "status", "kernel-update"]) == 0
    assert json.loads(capsys.readouterr().out)[0]["total"] == 8
    wait_for(lambda: porcelain_fleet.waves(server(fleet, "entry-0"))[0].state == "finished")
    for command in (["wave", "plan"], ["pool", "status"], ["plan"]):
        assert cli.main([*server_args, *command]) == 0
        assert "harbour-desk" in capsys.readouterr().out


def test_operator_cannot_apply_assignments(fleet, tmp_path, capsys):
    path = tmp_path / "assignment.json"
    record = {"kind": "assignment", "name": "counter-desk-0", "schema": 2}
    path.write_text(json.dumps({**record, "spec": {"pool": "harbour-desk"}}))
    assert cli.main(["--server", fleet.operators("entry-0"), "apply", str(path)]) != 0
    assert "host move" in capsys.readouterr().err


def test_requests_succeed_during_platform_outage_and_daemon_crash(fleet):
    urllib3.request("POST", f"http://{fleet.platform}/faults", json={"outage": True})
    fleet.kill("entry-2")
    deadline = time.monotonic() + 8.0
    while time.monotonic() < deadline:
        for name in NAMES[:2]:
            url = f"http://{fleet.callers(name)}/counter-desk/orders"
            resp = urllib3.request("POST", url, body=b"x", retries=False)
            assert (resp.status, resp.data) == (200, b"x"), (name, resp.data)
        time.sleep(0.2)
    urllib3.request("POST", f"http://{fleet.platform}/faults", json={"outage": False})
    wait_for(lambda: pool_report(fleet, "entry-0", "counter-desk").holder)
