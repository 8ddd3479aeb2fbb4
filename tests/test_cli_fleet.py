"""Drive hosts and waves on real daemons."""

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
from gypsumplank.porcelain import Server, get
from gypsumplank.protocol.fleet import HostAction, WaveAction

pytestmark = pytest.mark.process

NAMES = ("entry-0", "entry-1", "entry-2")
BOUND_S = 40.0


@pytest.fixture
def fleet(cluster, tmp_path):
    cluster.start_platform()
    addresses = {"counter-desk": free_addresses(4), "harbour-desk": free_addresses(4)}
    cluster.start_workers("workers", [a for held in addresses.values() for a in held])
    for name in NAMES:
        cluster.start_daemon(name, "kochi-a")
    paths = [*make_records(tmp_path, addresses), write_wave(tmp_path, addresses)]
    assert cli.main(["--server", cluster.operators("entry-0"), "apply", *map(str, paths)]) == 0
    wait(lambda: all(get(server(cluster, name)).revision == 1 for name in NAMES))
    wait(lambda: all(pool.holder for pool in porcelain_fleet.pools(server(cluster, "entry-0"))))
    return cluster


def wait(condition):
    until = time.monotonic() + BOUND_S
    while not condition():
        assert time.monotonic() < until, "bound passed"
        time.sleep(0.1)


def server(cluster, name):
    return Server(cluster.operators(name))


def pool_of(cluster, name, pool):
    (found,) = porcelain_fleet.pools(server(cluster, name), pool)
    return found


def test_move_outlives_its_controller_and_cuts_off_nothing(fleet):
    replies = []

    def slow():
        url = f"http://{fleet.callers('entry-0')}/counter-desk/orders"
        headers = {"X-Work-Ms": "4000"}
        resp = urllib3.request("POST", url, body=b"x", headers=headers, retries=False, timeout=30.0)
        replies.append(resp)

    threads = [threading.Thread(target=slow) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    porcelain_fleet.order_host(
        server(fleet, "entry-1"), HostAction.MOVE, "counter-desk-0", "harbour-desk", 30.0
    )
    holder = pool_of(fleet, "entry-0", "counter-desk").holder
    killed = holder if holder != "entry-0" else "entry-2"
    fleet.kill(killed)
    for thread in threads:
        thread.join()
    assert [(resp.status, resp.data) for resp in replies] == [(200, b"x")] * 8
    wait(lambda: pool_of(fleet, "entry-0", "harbour-desk").in_service == 5)
    assert pool_of(fleet, "entry-0", "counter-desk").hosts == 3


def test_wave_and_budget_by_the_command_line(fleet, capsys):
    at = ["--server", fleet.operators("entry-1")]
    assert cli.main([*at, "host", "drain", "harbour-desk-1", "--grace", "5"]) == 0
    assert cli.main([*at, "host", "drain", "harbour-desk-2"]) == cli.EXIT_FAILED
    assert "3 promised" in capsys.readouterr().err
    assert cli.main([*at, "host", "undrain", "harbour-desk-1"]) == 0
    assert cli.main([*at, "wave", "start", "kernel-update"]) == 0
    with pytest.raises(ServerError, match="running already"):
        porcelain_fleet.order_wave(server(fleet, "entry-2"), WaveAction.START, "kernel-update")
    capsys.readouterr()
    assert cli.main([*at, "--output", "json", "wave", "status", "kernel-update"]) == 0
    assert json.loads(capsys.readouterr().out)[0]["total"] == 8
    wait(lambda: porcelain_fleet.waves(server(fleet, "entry-0"))[0].state == "finished")
    for command in (["wave", "plan"], ["pool", "status"], ["plan"]):
        assert cli.main([*at, *command]) == 0
        assert "harbour-desk" in capsys.readouterr().out


def test_assignments_are_not_for_operators(fleet, tmp_path, capsys):
    path = tmp_path / "assignment.json"
    record = {"kind": "assignment", "name": "counter-desk-0", "schema": 2}
    path.write_text(json.dumps({**record, "spec": {"pool": "harbour-desk"}}))
    assert cli.main(["--server", fleet.operators("entry-0"), "apply", str(path)]) != 0
    assert "host move" in capsys.readouterr().err


def test_outage_of_the_platform_with_a_crash_stops_no_request(fleet):
    urllib3.request("POST", f"http://{fleet.platform}/faults", json={"outage": True})
    fleet.kill("entry-2")
    until = time.monotonic() + 8.0
    while time.monotonic() < until:
        for name in NAMES[:2]:
            url = f"http://{fleet.callers(name)}/counter-desk/orders"
            resp = urllib3.request("POST", url, body=b"x", retries=False)
            assert (resp.status, resp.data) == (200, b"x"), (name, resp.data)
        time.sleep(0.2)
    urllib3.request("POST", f"http://{fleet.platform}/faults", json={"outage": False})
    wait(lambda: pool_of(fleet, "entry-0", "counter-desk").holder)
