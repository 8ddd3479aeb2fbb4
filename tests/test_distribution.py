"""Test the distribution of configuration between real daemon processes on loopback."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from demo.cluster import post
from gypsumplank import cli, porcelain, porcelain_config
from gypsumplank.porcelain import OperatorClient
from gypsumplank.protocol.operator import PATH_CHANGES, ChangeRequest
from gypsumplank.protocol.record import Kind, Record

pytestmark = pytest.mark.process

NAMES = ("entry-0", "entry-1", "entry-2")
TIMEOUT_S = 30.0


@pytest.fixture
def fleet(cluster):
    cluster.start_platform()
    for name in NAMES:
        cluster.start_daemon(name, "kochi-a")
    wait_for(lambda: all(len(daemon_status(cluster, name).daemons) == 3 for name in NAMES))
    return cluster


def daemon_status(cluster, name):
    return porcelain.status(OperatorClient(cluster.operators(name)))


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def write_pools(folder, *names, schema=2, **spec):
    path = folder / "pools.json"
    records = [{"kind": "pool", "name": name, "schema": schema, "spec": spec} for name in names]
    path.write_text(json.dumps(records), encoding="utf-8")
    return path


def run_cli(cluster, *args, name="entry-0"):
    return cli.main(["--server", cluster.operators(name), *map(str, args)])


def test_apply_wait_lists_daemons_in_force_and_behind(fleet, tmp_path, capsys):
    assert run_cli(fleet, "apply", "--wait", "20", write_pools(tmp_path, "a")) == cli.EXIT_OK
    assert "in force at entry-0, entry-1, entry-2" in capsys.readouterr().err
    fleet.signal("entry-2", signal.SIGSTOP)
    code = run_cli(fleet, "apply", "--wait", "1", write_pools(tmp_path, "b"))
    assert code == cli.EXIT_NOT_IN_FORCE
    assert "accepted but not in force at entry-2" in capsys.readouterr().err
    fleet.signal("entry-2", signal.SIGCONT)
    wait_for(lambda: daemon_status(fleet, "entry-2").revision == 2)
    result = porcelain_config.wait_in_force(
        OperatorClient(fleet.operators("entry-0")), 2, TIMEOUT_S
    )
    assert result.behind == ()


def test_daemon_started_during_outage_gets_newest_revision_from_peer(fleet, tmp_path):
    assert run_cli(fleet, "apply", "--wait", "20", write_pools(tmp_path, "a", "b")) == cli.EXIT_OK
    post(fleet.platform, "/faults", {"outage": True})
    seeds = [fleet.settings["entry-0"]["listen"]["peers"]]
    fleet.start_daemon("late", "kochi-a", peers={"seeds": seeds})
    assert daemon_status(fleet, "late").revision == 1
    assert "event=config-from-peer" in fleet.log("late")
    assert run_cli(fleet, "apply", write_pools(tmp_path, "c")) == cli.EXIT_FAILED
    post(fleet.platform, "/faults", {})
    assert run_cli(fleet, "apply", "--wait", "20", write_pools(tmp_path, "c")) == cli.EXIT_OK
    wait_for(lambda: daemon_status(fleet, "late").revision == 2)


def test_restarted_daemon_becomes_ready_only_on_newest_revision(fleet, tmp_path):
    assert run_cli(fleet, "apply", "--wait", "20", write_pools(tmp_path, "a")) == cli.EXIT_OK
    fleet.kill("entry-1")
    assert run_cli(fleet, "apply", write_pools(tmp_path, "b")) == cli.EXIT_OK
    fleet.start_daemon("entry-1", "kochi-a")
    assert daemon_status(fleet, "entry-1").revision == 2


def test_diff_history_and_rollback(fleet, tmp_path, capsys):
    first = write_pools(tmp_path, "a", budget={"max_out_per_rack": 1})
    assert run_cli(fleet, "apply", "--wait", "20", first) == cli.EXIT_OK
    capsys.readouterr()
    second = write_pools(tmp_path, "a", "b", schema=1, min_in_service=0, spare=True)
    assert run_cli(fleet, "--output", "json", "diff", second) == cli.EXIT_OK
    changed = {(row["record"], row["field"]) for row in json.loads(capsys.readouterr().out)}
    assert ("pool/a", "spec.spare") in changed
    assert ("pool/a", "spec.budget.max_out_per_rack") not in changed
    assert ("pool/b", "schema") in changed
    assert run_cli(fleet, "apply", "--wait", "20", second) == cli.EXIT_OK
    assert run_cli(fleet, "rollback", "1", "--if-revision", "1") == cli.EXIT_CONFLICT
    assert run_cli(fleet, "rollback", "1", "--wait", "20", "--if-revision", "2") == cli.EXIT_OK
    result = porcelain.get(OperatorClient(fleet.operators("entry-1")))
    assert result.revision == 3
    assert [(rec.name, rec.spec) for rec in result.records] == [
        ("a", {"budget": {"max_out_per_rack": 1}})
    ]
    assert run_cli(fleet, "rollback", "9") == cli.EXIT_FAILED
    capsys.readouterr()
    assert run_cli(fleet, "--output", "json", "history") == cli.EXIT_OK
    entries = json.loads(capsys.readouterr().out)
    assert [entry["revision"] for entry in entries] == [3, 2, 1]
    assert entries[0]["deletes"] == ["pool/b"]


def test_faults_name_file_record_field_and_code(fleet, tmp_path, capsys):
    path = write_pools(tmp_path, "a", spare="yes", guarded=3)
    assert run_cli(fleet, "apply", path) == cli.EXIT_INVALID
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert f"{path}: pool/a: spec.guarded: " in lines[0]
    assert lines[0].endswith("[field-invalid]")


def test_caller_listener_does_not_serve_operator_paths(fleet, tmp_path):
    run_cli(fleet, "apply", "--wait", "20", write_pools(tmp_path, "a"))
    for method, path in (
        ("GET", "/v1/status"),
        ("GET", "/v1/records"),
        ("POST", "/v1/changes"),
        ("GET", "/metrics"),
        ("GET", "/healthz"),
        ("GET", "/x/../v1/status"),
        ("GET", "//v1/status"),
        ("GET", "/%76%31/status"),
    ):
        url = f"http://{fleet.callers('entry-0')}"
        pool = urllib3.connection_from_url(url, retries=False)
        resp = pool.urlopen(method, path, body=b"{}")
        assert resp.status == 404
        assert json.loads(resp.data)["code"] == "service-unknown"


def test_concurrent_changes_at_several_daemons_are_all_accepted(fleet):
    def accept(number):
        record = Record(Kind.TEAM, f"t{number}", 2)
        order = ChangeRequest(f"op-{number}", (record,))
        address = fleet.operators(NAMES[number % len(NAMES)])
        return OperatorClient(address).submit_change(PATH_CHANGES, order).revision

    with ThreadPoolExecutor(50) as executor:
        revisions = list(executor.map(accept, range(50)))
    assert sorted(revisions) == list(range(1, 51))
    for name in NAMES:
        wait_for(lambda name=name: daemon_status(fleet, name).revision == 50)
        result = porcelain.get(OperatorClient(fleet.operators(name)), "team").records
        assert {record.name for record in result} == {f"t{number}" for number in range(50)}


def test_daemon_paused_past_its_lease_expires_and_gets_new_epoch(cluster):
    cluster.start_platform()
    for name in NAMES:
        cluster.start_daemon(name, "kochi-a", session={"lease_s": 1.5, "heartbeat_s": 0.3})

    def epochs():
        return {daemon.id: daemon.epoch for daemon in daemon_status(cluster, "entry-0").daemons}

    wait_for(lambda: set(epochs()) == set(NAMES))
    before = epochs()
    cluster.signal("entry-1", signal.SIGSTOP)
    wait_for(lambda: set(epochs()) == {"entry-0", "entry-2"})
    cluster.signal("entry-1", signal.SIGCONT)
    wait_for(lambda: epochs().get("entry-1", 0) > before["entry-1"])
    assert "event=session-lapsed" in cluster.log("entry-1")
    assert epochs()["entry-0"] == before["entry-0"]
