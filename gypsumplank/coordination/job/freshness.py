"""Decide whether the manifest in force was confirmed recently enough to accept an API key by it.

Answers the failure of a daemon that is cut off from the store, or whose process was suspended: it
must not go on to accept keys that were withdrawn meanwhile. Times are in seconds of a clock that
goes on during a suspension, as `steady_s` does.

A manifest counts as valid as of the time at which the last full read that returned it was sent, as
the store answers a call after it was sent. A key that was withdrawn was so after that time. Nothing
but a full read confirms a manifest: the change feed may miss a change.
"""

from dataclasses import dataclass, field, replace
from enum import StrEnum

from gypsumplank.coordination.job.identity import KeyTable, build_key_table
from gypsumplank.errors import KeyRejectedError, KeyUnverifiedError
from gypsumplank.protocol.queue import Manifest, Queue

# Share of the time limit of a withdrawal in which keys are accepted without a new confirmation;
# the rest covers clocks of callers and machines that run at different rates.
ACCEPTED_SHARE = 0.95
# Interval between full reads as a share of the time limit of a withdrawal. A read, a feed call and
# the next read, whose answer may be lost, have to fit into the difference between ACCEPTED_SHARE
# and the 0.6 for which keys are accepted after the store is lost: 1.75 s of 5 s.
READ_INTERVAL_SHARE = 0.1
# Told to callers whose key cannot be verified, seconds; the manifest may be confirmed by then.
UNVERIFIED_RETRY_S = 1.0


@dataclass(frozen=True)
class KeyPolicy:
    """State the time limits, in seconds, for keys that are withdrawn and added.

    Without `strict_revoke`, keys are judged by the manifest in force, however old it is.
    """

    strict_revoke: bool = False
    revoke_s: float = 5.0
    config_apply_s: float = 2.0

    def limit_interval_s(self, interval_s: float) -> float:
        """Return the interval between full reads that these limits ask for, at most this one."""
        if not self.strict_revoke:
            return interval_s
        return min(interval_s, READ_INTERVAL_SHARE * self.revoke_s)


@dataclass(frozen=True)
class ConfirmedManifest:
    """Store a manifest, its keys, and the time as of which the store is known to have held it.

    It is replaced as a whole, so that a call is judged by the keys and the age of one version.
    """

    manifest: Manifest
    keys: KeyTable = field(default_factory=KeyTable)
    confirmed_at: float = 0.0

    def identify(self, queue: Queue, digest: bytes | None, now: float, policy: KeyPolicy) -> str:
        """Return the account of a call, empty if it has none.

        Raise KeyRejectedError, or KeyUnverifiedError if the manifest is too old to tell. `now` is
        when the request was complete, or later.
        """
        account = self.keys.find(digest)
        if self.manifest.accounts is None or queue.public:
            return account or ""
        if digest is None:
            raise KeyRejectedError("the call has no API key")
        # An unknown key may have been added since the manifest was confirmed.
        limit_s = policy.config_apply_s if account is None else ACCEPTED_SHARE * policy.revoke_s
        if policy.strict_revoke and now >= self.confirmed_at + limit_s:
            detail = "the manifest has not been confirmed recently enough to verify the API key"
            raise KeyUnverifiedError(detail, UNVERIFIED_RETRY_S)
        if account is None:
            raise KeyRejectedError("the API key is unknown")
        return account


class ReadOutcome(StrEnum):
    """State what a full read of the manifest shows of the one in force."""

    IN_FORCE = "in-force"
    CONFIRMED = "confirmed"
    MISSING = "missing"
    OLDER = "older"
    LATE = "late"


class ManifestFreshness:
    """Keep the newest manifest that was read, and as of when it was confirmed."""

    def __init__(self) -> None:
        self.in_force: ConfirmedManifest | None = None

    def record_read(self, found: Manifest | None, sent_at: float) -> ReadOutcome:
        """Record what a full read returned; `found` is None if there is no valid manifest."""
        present = self.in_force
        if present is not None and sent_at < present.confirmed_at:
            return ReadOutcome.LATE
        if found is None:
            return ReadOutcome.MISSING
        if present is not None and found.version < present.manifest.version:
            return ReadOutcome.OLDER
        if present is not None and not _replaces(found, present.manifest):
            self.in_force = replace(present, confirmed_at=sent_at)
            return ReadOutcome.CONFIRMED
        self.in_force = ConfirmedManifest(found, build_key_table(found), sent_at)
        return ReadOutcome.IN_FORCE


def _replaces(found: Manifest, present: Manifest) -> bool:
    """Return whether a manifest takes the place of one with the same or an older version.

    Keys may have been withdrawn by a row that was written again under the same version.
    """
    if found.version > present.version:
        return True
    has_accounts = found.accounts is not None or present.accounts is not None
    return has_accounts and found != present
