import pytest

from gypsumplank.platform.app import decode_job
from soak.crowds import LOADS, choose_load, has_crowd
from soak.jobs import (
    JobFault,
    ScheduledFault,
    SubmittedJob,
    check_history,
    generate_phases,
    run_seed,
)
from standins.simulator import StartRecord
from standins.users_platform import UsersPlatform

ORDER = decode_job(b'{"spec":"1","steps":[{"replicas":1,"cpu":500}]}')
JOB = "a" * 16


def history(*starts):
    users = UsersPlatform()
    users.simulated_workers.history = [
        StartRecord("w0", 1, f"{JOB}.0.0.0", 1, begun, begun + 1.0) for begun in starts
    ]
    return users


def violated_guarantees(users, submitted):
    return [breach.guarantee for breach in check_history(users, {JOB: submitted})]


def test_overlapping_runs_are_reported():
    found = violated_guarantees(history(1.0, 1.5), SubmittedJob(ORDER, [200]))
    assert found == ["each task runs once at a time, in order"]


def test_start_of_a_job_refused_on_every_attempt_is_reported():
    assert violated_guarantees(history(1.0), SubmittedJob(ORDER, [503, 503])) == [
        "a refused job never runs"
    ]
    assert violated_guarantees(history(1.0), SubmittedJob(ORDER, [503, 504])) == []


def test_start_long_after_a_cancellation_is_reported_unless_delayed():
    submitted = SubmittedJob(ORDER, [200], cancel_requested=True, cancelled_at_s=1.0)
    assert violated_guarantees(history(2.0), submitted) == []
    assert violated_guarantees(history(9.0), submitted) == ["nothing of a cancelled job starts"]
    delayed = history(9.0)
    delayed.simulated_workers.history[0].delayed = True
    assert violated_guarantees(delayed, submitted) == []


def test_same_seed_generates_the_same_faults():
    assert generate_phases(5, 20) == generate_phases(5, 20)
    assert {fault.kind for phase in generate_phases(5, 40) for fault in phase} == set(JobFault)


@pytest.mark.process
def test_short_run_has_no_breaches(tmp_path, monkeypatch):
    phases = [
        (ScheduledFault(JobFault.KILL, 0, 0.5), ScheduledFault(JobFault.ANSWERS_LOST, 0, 0.5)),
        (ScheduledFault(JobFault.OUTAGE, 0, 1.0), ScheduledFault(JobFault.WORKER_LOST, 1, 0.5)),
    ]
    monkeypatch.setattr("soak.jobs.generate_phases", lambda _seed, _phases: phases)
    found, text = run_seed(1, 2, tmp_path)
    assert found == []
    assert "0 breaches" in text


def test_seeds_with_a_crowd_cover_every_load():
    seeds = [seed for seed in range(6990, 7101) if has_crowd(seed)]
    assert seeds[0] == 7002
    assert {choose_load(seed) for seed in seeds} == set(LOADS)


@pytest.mark.process
def test_short_run_beside_a_crowd_has_no_breaches(tmp_path, monkeypatch):
    """Guard against promises that hold only while all clients behave."""
    phases = [
        (ScheduledFault(JobFault.STOP, 0, 0.5), ScheduledFault(JobFault.ANSWERS_LOST, 0, 0.5)),
        (ScheduledFault(JobFault.KILL, 1, 0.5), ScheduledFault(JobFault.RESET, 2, 1.0)),
    ]
    monkeypatch.setattr("soak.jobs.generate_phases", lambda _seed, _phases: phases)
    found, text = run_seed(7004, 2, tmp_path)
    assert found == []
    assert "0 breaches" in text
