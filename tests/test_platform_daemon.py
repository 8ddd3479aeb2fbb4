"""Test the job-scheduling daemon with real processes on a stand-in of the users' platform."""

import json
import re
import signal
import time

import pytest
import urllib3

from demo.cluster import free_addresses
from demo.job import JOB, PREFIX, STEPS, JobCluster, call, wait_for_state
from gypsumplank.composition.platform import METRICS_PORT

pytestmark = pytest.mark.process


@pytest.fixture
def cluster(tmp_path):
    with JobCluster(tmp_path) as running:
        running.start_users_platform()
        yield running


@pytest.fixture(params=["one partition", "submissions"])
def any_cluster(request, tmp_path):
    """Return a cluster that stores jobs for the scheduler at once, or as submissions first."""
    rates = {"writes-per-s": 1200, "partition-writes-s": 200}
    has_submissions = request.param == "submissions"
    with JobCluster(tmp_path, rates if has_submissions else None) as running:
        running.has_submissions = has_submissions
        running.start_users_platform()
        yield running


def submit(address, job=JOB, spec="0.2"):
    return call(address, "POST", f"{PREFIX}{job}", {"spec": spec, "steps": STEPS})[0]


def test_job_runs_from_submission_to_completion(any_cluster):
    cluster = any_cluster
    first, second = cluster.start_entry(0), cluster.start_entry(1)
    assert submit(first) == 200
    assert submit(second) == 200
    assert wait_for_state(second, JOB, "completed")
    # The count may be 2 s old while submissions wait for their removal.
    time.sleep(2.0 if cluster.has_submissions else 0.0)
    assert call(first, "GET", PREFIX) == (200, {"pending-count": 0})
    assert call(first, "GET", f"{PREFIX}{'0' * 16}")[0] == 410
    assert call(first, "GET", "/nowhere/x")[0] == 404
    assert [cluster.stop(name) for name in ("entry-0", "entry-1")] == [0, 0]
    text = cluster.log("entry-0") + cluster.log("entry-1")
    events = [json.loads(line)["event"] for line in text.splitlines()]
    assert events.count("task-started") == events.count("task-ended") == 3


def test_cancelled_job_is_reported_and_stopped(any_cluster):
    cluster = any_cluster
    address = cluster.start_entry(0)
    assert submit(address, spec="1000") == 200
    assert wait_for_state(address, JOB, "running")
    assert call(address, "DELETE", f"{PREFIX}{JOB}")[0] == 200
    assert call(address, "GET", f"{PREFIX}{JOB}")[1] == {"state": "cancelled"}
    assert wait_for_log(cluster, "entry-0", '"how": "stopped"')


def test_jobs_continue_after_scheduler_crash(any_cluster):
    cluster = any_cluster
    first, second = cluster.start_entry(0), cluster.start_entry(1)
    leader = "entry-0" if wait_for_log(cluster, "entry-0", "scheduler-loaded", 1.0) else "entry-1"
    other = second if leader == "entry-0" else first
    assert submit(other, spec="2") == 200
    assert wait_for_state(other, JOB, "running")
    cluster.kill(leader)
    assert wait_for_state(other, JOB, "completed")


def test_clusters_that_run_at_once_share_no_metrics_address(cluster, tmp_path):
    """Guard against daemons that end with an address in use, as their metrics port is fixed."""
    folder = tmp_path / "second"
    folder.mkdir()
    cluster.start_entry(0)
    with JobCluster(folder) as second:
        second.start_users_platform()
        address = second.start_entry(0)
        assert submit(address) == 200
        assert wait_for_state(address, JOB, "completed")


@pytest.mark.parametrize("taken", ["callers", "metrics", "peers"])
def test_daemon_whose_address_is_taken_ends_with_one_line_that_names_it(cluster, taken):
    """Guard against a bare traceback, which does not tell an operator which address is in use."""
    cluster.start_entry(0)
    settings = json.loads((cluster.folder / "entry-0.json").read_text())
    addresses = {
        "callers": settings["listen"]["front"],
        "metrics": f"{settings['ip']}:{METRICS_PORT}",
        "peers": f"{settings['ip']}:{settings['port-range'][0]}",
    }
    first_port = settings["port-range"][0]
    if taken != "peers":
        settings["port-range"] = [first_port + 1, first_port + 15]
    if taken == "metrics":
        settings["listen"] = dict(zip(("front", "ready"), free_addresses(2), strict=True))
    (cluster.folder / "second.json").write_text(json.dumps(settings))
    cluster.restart_entry("second")
    assert cluster.processes["second"].wait(20.0) == 4
    (line,) = cluster.log("second").splitlines()
    assert json.loads(line)["event"] == "listen-failed"
    assert addresses[taken] in json.loads(line)["detail"]


def test_settings_reload_and_graceful_stop(cluster):
    cluster.start_entry(0)
    path = cluster.folder / "entry-0.json"
    settings = json.loads(path.read_text())
    settings["bounds"]["max-hold-ms"] = 5000
    path.write_text(json.dumps(settings))
    cluster.signal("entry-0", signal.SIGHUP)
    assert wait_for_log(cluster, "entry-0", '"reloaded", "max_lease_s": 5.0')
    assert cluster.stop("entry-0") == 0
    assert '"stopped", "cut_off": 0' in cluster.log("entry-0")


def wait_for_log(cluster, name, text, seconds=15.0):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if text in cluster.log(name):
            return True
        time.sleep(0.05)
    return False


def test_keys_are_refused_once_the_store_has_been_silent_for_the_time_limit(tmp_path):
    """Guard against a daemon that goes on to accept keys, as it cannot see them withdrawn."""
    with JobCluster(tmp_path) as keyed:
        keyed.bounds = {"strict-revoke": True, "revoke-ms": 2000, "config-apply-ms": 3000}
        tenants = [{"name": "team-a", "api-keys": ["secret-one"]}]
        keyed.start_users_platform("--tenants", json.dumps(tenants))
        address = keyed.start_entry(0)
        job = {"spec": "0.2", "steps": STEPS}
        path = f"{PREFIX}{JOB}"
        assert call(address, "POST", path, job)[0] == 401
        assert call(address, "POST", path, job, "secret-none")[0] == 401
        assert call(address, "POST", path, job, "secret-one")[0] == 200
        keyed.signal("platform", signal.SIGSTOP)
        time.sleep(2.0)
        status, body = call(address, "GET", path, key="secret-one")
        assert (status, body["error"]) == (503, "key-unverified")
        keyed.signal("platform", signal.SIGCONT)
        deadline = time.monotonic() + 10.0
        while call(address, "GET", path, key="secret-one")[0] != 200:
            assert time.monotonic() < deadline
            time.sleep(0.1)
        ip = json.loads((keyed.folder / "entry-0.json").read_text())["ip"]
        metrics = urllib3.request("GET", f"http://{ip}:{METRICS_PORT}/metrics").data.decode()
        rejected = r'gypsumplank_requests_rejected_total{.*reason="([a-z-]+)"} ([0-9.]+)'
        counts = {reason: float(count) for reason, count in re.findall(rejected, metrics)}
        assert counts["unknown-key"] == 2
        assert counts["unverified-key"] >= 1
        assert "gypsumplank_manifest_age_seconds" in metrics
        assert "secret" not in metrics + keyed.log("entry-0")
