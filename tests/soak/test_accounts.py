import pytest

from gypsumplank.platform.app import decode_job
from gypsumplank.protocol.job import Resources
from soak.accounts import (
    CONFIG_APPLY_S,
    FIRST_SEED,
    KEYS,
    REVOKE_S,
    KeyedCall,
    WrittenManifest,
    check_caps,
    check_found,
    check_keys,
    find_accounts,
    generate_steps,
    has_accounts,
)
from soak.jobs import JobFault, ScheduledFault, run_seed
from standins.simulator import StartRecord
from standins.violations import CapChange

JOB = "a" * 16
ORDER = decode_job(b'{"spec":"1","steps":[{"replicas":4,"cpu":1000}]}')
# "old" is withdrawn and "new" added at 10 s; "moved" changes its account.
WRITTEN = [
    WrittenManifest({"old": "a", "moved": "a", "kept": "a"}, 0.0, 0.1),
    WrittenManifest({"new": "a", "moved": "b", "kept": "a"}, 10.0, 10.1),
]


def call(key, sent_at, status, public=False, answered_at=None, method="GET"):
    answered_at = sent_at + 0.1 if answered_at is None else answered_at
    return KeyedCall(JOB, key, public, method, 0, sent_at, answered_at, status)


def violated_guarantees(*calls):
    return [breach.guarantee for breach in check_keys(calls, WRITTEN)]


def test_success_with_a_withdrawn_key_is_reported_after_the_time_limit():
    late = 10.1 + REVOKE_S
    assert violated_guarantees(call("old", late - 0.01, 200, answered_at=late + 5)) == []
    assert violated_guarantees(call("old", late + 0.01, 200)) == ["a withdrawn key never succeeds"]
    assert violated_guarantees(call("old", late + 0.01, 401), call("old", late + 1, 503)) == []


@pytest.mark.parametrize("key", ["never", "", None])
def test_success_with_an_unknown_key_is_reported(key):
    assert violated_guarantees(call(key, 5.0, 200)) == ["an unknown key never succeeds"]
    assert violated_guarantees(call(key, 5.0, 200, public=True)) == []


def test_success_with_a_key_before_its_manifest_was_written_is_reported():
    assert violated_guarantees(call("new", 5.0, 200)) == ["a withdrawn key never succeeds"]


def test_denial_of_a_valid_key_is_reported_after_the_time_limit():
    late = 10.1 + CONFIG_APPLY_S
    assert violated_guarantees(call("new", late - 0.01, 401)) == []
    assert violated_guarantees(call("new", late + 0.01, 401)) == ["a valid key is not denied"]
    assert violated_guarantees(call("kept", 10.05, 401)) == ["a valid key is not denied"]
    assert violated_guarantees(call("never", 5.0, 401, public=True)) == [
        "a public route needs no key"
    ]


def test_accepted_job_that_is_not_found_is_reported():
    early = call("kept", 1.0, 410)
    submitted, late = call("kept", 2.0, 200, method="POST"), call("kept", 3.0, 410)
    assert [breach.detail for breach in check_found([early, submitted, late])] == [str(late)]


def test_jobs_of_either_of_two_accounts_belong_to_none():
    submitted = [("kept", 10.5), ("moved", 9.0), ("moved", 9.99), ("moved", 13.0)]
    found = [
        find_accounts([call(key, sent_at, 200, method="POST")], WRITTEN)
        for key, sent_at in submitted
    ]
    assert found == [{JOB: "a"}, {JOB: "a"}, {}, {JOB: "b"}]


def test_starts_above_a_lowered_cap_are_reported():
    history = [StartRecord("w0", 1, f"{JOB}.0.0.{n}", 1, 10.0 + n, 30.0) for n in range(4)]
    changes = [CapChange(0.0, {"a": Resources(4000)}), CapChange(9.9, {"a": Resources(1000)})]
    found = list(check_caps(history, {JOB: ORDER}, {JOB: "a"}, changes))
    assert [breach.detail.partition(":")[0] for breach in found] == [f"{JOB}.0.0.3"]


def test_seeds_with_records_have_no_accounts():
    """Guard against recorded seeds that no longer mean what they were recorded for."""
    assert not any(map(has_accounts, range(FIRST_SEED)))
    assert [has_accounts(FIRST_SEED + n) for n in range(3)] == [True, False, True]


def test_same_seed_generates_the_same_manifests():
    assert generate_steps(5001, 9, 3) == generate_steps(5001, 9, 3)
    steps = [step for phase in generate_steps(5001, 40, 3) for step in phase]
    assert {key for step in steps for key in step.keys} == set(KEYS)
    assert {len(step.daemons) for step in steps} == {0, 1, 2, 3}


@pytest.mark.process
def test_short_run_with_accounts_has_no_breaches(tmp_path, monkeypatch):
    """Guard against a daemon that accepts withdrawn keys while it is cut off from the store."""
    phases = [(ScheduledFault(JobFault.KILL, 0, 0.5),)]
    monkeypatch.setattr("soak.jobs.generate_phases", lambda _seed, _phases: phases)
    found, text = run_seed(FIRST_SEED, 1, tmp_path)
    assert found == []
    assert "0 breaches" in text
