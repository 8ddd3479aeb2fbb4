"""Delete claims of idempotency keys after their retention time."""

from gypsumplank.coordination.claim import RowWriter, SessionLease
from gypsumplank.errors import StateError
from gypsumplank.state.claim import ClaimRow, ClaimStore, release_change
from gypsumplank.state.clock import Clock

PAGE_SIZE = 200


class ClaimExpiry:
    """Scan all claims, one page per tick; only the live daemon with the lowest id does so."""

    def __init__(
        self,
        store: ClaimStore,
        writer: RowWriter,
        clock: Clock,
        lease: SessionLease,
        retention_s: float,
    ) -> None:
        self._store = store
        self._writer = writer
        self._clock = clock
        self._lease = lease
        self._retention_s = retention_s
        self._resume_key = ""

    def tick(self) -> None:
        """Delete the next page's expired claims; a later scan deletes those missed in an outage."""
        if not self._lease.lease_valid or not self._has_lowest_id():
            return
        try:
            page = self._store.page(self._resume_key, PAGE_SIZE)
            self._resume_key = page.resume_key
            for found in page.claims:
                self._remove_if_expired(found)
        except StateError:
            return

    def _has_lowest_id(self) -> bool:
        own = self._lease.session.id
        return own == min((session.id for session in self._lease.live), default=own)

    def _remove_if_expired(self, found: ClaimRow) -> None:
        oldest = self._clock.wall() - self._retention_s
        if max(found.claim.opened_at, found.claim.until) < oldest:
            self._store.delete_object(found.claim)
            self._writer.submit(release_change(found.claim, found.version))
