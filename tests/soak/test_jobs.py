import pytest

from gypsumplank.platform.front import decode_job
from soak.jobs import Blow, JobFault, Sent, check, draw, run
from standins.farm import Started
from standins.users_platform import UsersPlatform

ORDER = decode_job(b'{"spec":"1","steps":[{"replicas":1,"cpu":500}]}')
JOB = "a" * 16


def history(*starts):
    users = UsersPlatform()
    users.farm.history = [Started("w0", 1, f"{JOB}.0.0.0", 1, at, at + 1.0) for at in starts]
    return users


def promises(users, sent):
    return [one.promise for one in check(users, {JOB: sent})]


def test_a_run_beside_another_is_found():
    found = promises(history(1.0, 1.5), Sent(ORDER, [200]))
    assert found == ["each task runs once at a time, in order"]


def test_a_start_of_a_job_that_was_always_refused_is_found():
    assert promises(history(1.0), Sent(ORDER, [503, 503])) == ["a refused job never runs"]
    assert promises(history(1.0), Sent(ORDER, [503, 504])) == []


def test_a_late_start_of_a_cancelled_job_is_found():
    sent = Sent(ORDER, [200], cancel_sent=True, cancel_at=1.0)
    assert promises(history(2.0), sent) == []
    assert promises(history(9.0), sent) == ["nothing of a cancelled job starts"]
    late = history(9.0)
    late.farm.history[0].late = True
    assert promises(late, sent) == []


def test_a_seed_gives_the_same_faults():
    assert draw(5, 20) == draw(5, 20)
    assert {one.kind for blows in draw(5, 40) for one in blows} == set(JobFault)


@pytest.mark.process
def test_a_short_run_keeps_every_promise(tmp_path, monkeypatch):
    blows = [
        (Blow(JobFault.KILL, 0, 0.5), Blow(JobFault.ANSWERS_LOST, 0, 0.5)),
        (Blow(JobFault.OUTAGE, 0, 1.0), Blow(JobFault.WORKER_LOST, 1, 0.5)),
    ]
    monkeypatch.setattr("soak.jobs.draw", lambda _seed, _phases: blows)
    found, text = run(1, 2, tmp_path)
    assert found == []
    assert "0 breaches" in text
