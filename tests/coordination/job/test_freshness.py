import pytest

from gypsumplank.coordination.job.freshness import (
    ConfirmedManifest,
    KeyPolicy,
    ManifestFreshness,
    ReadOutcome,
)
from gypsumplank.coordination.job.identity import SharedKeys, build_key_table
from gypsumplank.errors import KeyRejectedError, KeyUnverifiedError
from gypsumplank.protocol.account import Account, hash_key
from gypsumplank.protocol.queue import Manifest, Queue

CLOSED, PUBLIC = Queue("q", "h", "/q/", "desk"), Queue("p", "h", "/p/", "desk", public=True)
KNOWN, UNKNOWN = hash_key("k1"), hash_key("k2")
STRICT = KeyPolicy(True, 5.0, 3.0)
ACCOUNTS = (Account("team-b", frozenset({KNOWN})), Account("team-a", frozenset({hash_key("k3")})))


def manifest(version=1, accounts=ACCOUNTS):
    return Manifest(version, (CLOSED, PUBLIC), {}, accounts)


def confirmed(accounts=ACCOUNTS):
    found = manifest(accounts=accounts)
    return ConfirmedManifest(found, build_key_table(found), 100.0)


def test_key_of_two_accounts_belongs_to_the_first_by_name_and_is_reported():
    shared = Account("team-a", frozenset({KNOWN, UNKNOWN}))
    for accounts in ((ACCOUNTS[0], shared), (shared, ACCOUNTS[0])):
        table = build_key_table(manifest(accounts=accounts))
        assert table.find(KNOWN) == "team-a"
        assert table.shared == (SharedKeys("team-a", "team-b", 1),)


def test_descriptions_of_accounts_and_tables_show_no_digests():
    """Guard against digests in a log line or an error that describes a manifest."""
    text = repr(confirmed()) + repr(ACCOUNTS) + str(confirmed().keys)
    assert repr(KNOWN)[2:-1] not in text
    assert KNOWN.hex() not in text


@pytest.mark.parametrize(
    ("policy", "age_s", "digest", "expected"),
    [
        (STRICT, 4.74, KNOWN, "team-b"),
        (STRICT, 4.75, KNOWN, KeyUnverifiedError),
        (STRICT, 2.99, UNKNOWN, KeyRejectedError),
        # The key may have been added since.
        (STRICT, 3.0, UNKNOWN, KeyUnverifiedError),
        (STRICT, 1000.0, None, KeyRejectedError),
        (KeyPolicy(), 1000.0, KNOWN, "team-b"),
        (KeyPolicy(), 1000.0, UNKNOWN, KeyRejectedError),
    ],
)
def test_call_is_judged_by_its_key_and_the_age_of_the_manifest(policy, age_s, digest, expected):
    def identify():
        return confirmed().identify(CLOSED, digest, 100.0 + age_s, policy)

    if isinstance(expected, str):
        assert identify() == expected
    else:
        with pytest.raises(expected):
            identify()


@pytest.mark.parametrize(("digest", "account"), [(KNOWN, "team-b"), (UNKNOWN, ""), (None, "")])
def test_public_queue_needs_no_key_however_old_the_manifest_is(digest, account):
    assert confirmed().identify(PUBLIC, digest, 1e9, STRICT) == account


def test_manifest_without_accounts_asks_for_no_key_and_an_empty_list_takes_none():
    assert confirmed(None).identify(CLOSED, KNOWN, 1e9, STRICT) == ""
    with pytest.raises(KeyRejectedError):
        confirmed(()).identify(CLOSED, KNOWN, 100.0, STRICT)


@pytest.mark.parametrize(
    ("found", "sent_at", "outcome", "version", "confirmed_at"),
    [
        (manifest(2), 101.0, ReadOutcome.CONFIRMED, 2, 101.0),
        (manifest(3), 101.0, ReadOutcome.IN_FORCE, 3, 101.0),
        (manifest(2, ()), 101.0, ReadOutcome.IN_FORCE, 2, 101.0),
        (manifest(1), 101.0, ReadOutcome.OLDER, 2, 100.0),
        (None, 101.0, ReadOutcome.MISSING, 2, 100.0),
        # Sent before the read that confirmed the manifest in force.
        (manifest(2), 99.0, ReadOutcome.LATE, 2, 100.0),
        (manifest(1), 99.0, ReadOutcome.LATE, 2, 100.0),
        (manifest(2, ()), 99.0, ReadOutcome.LATE, 2, 100.0),
    ],
)
def test_only_a_full_read_of_the_manifest_in_force_confirms_it(
    found, sent_at, outcome, version, confirmed_at
):
    freshness = ManifestFreshness()
    freshness.record_read(manifest(2), 100.0)
    before = freshness.in_force
    assert freshness.record_read(found, sent_at) is outcome
    after = freshness.in_force
    assert (after.manifest.version, after.confirmed_at) == (version, confirmed_at)
    assert before.confirmed_at == 100.0
    expected = None if after.manifest.accounts == () else "team-b"
    assert after.keys.find(KNOWN) == expected


def test_same_version_with_other_queues_is_ignored_without_accounts():
    """Guard against a change for deployments whose manifests have no accounts."""
    freshness = ManifestFreshness()
    freshness.record_read(Manifest(2, (CLOSED,)), 100.0)
    assert freshness.record_read(Manifest(2, (PUBLIC,)), 101.0) is ReadOutcome.CONFIRMED
    assert freshness.in_force.manifest.queues == (CLOSED,)
