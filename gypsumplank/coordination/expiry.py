"""Remove claims that are older than repeats may be."""

from gypsumplank.coordination.claim import Lease, Writer
from gypsumplank.errors import StateError
from gypsumplank.state.claim import ClaimStore, Found, releasing
from gypsumplank.state.clock import Clock

PAGE = 200


class Expiry:
    """Walk over all claims, a page each tick; only the live daemon of the least id does so."""

    def __init__(
        self, store: ClaimStore, writer: Writer, clock: Clock, lease: Lease, keep_s: float
    ) -> None:
        self._store = store
        self._writer = writer
        self._clock = clock
        self._lease = lease
        self._keep_s = keep_s
        self._after = ""

    def tick(self) -> None:
        """Remove the expired claims of the next page."""
        if not self._lease.held or not self._leads():
            return
        try:
            page = self._store.page(self._after, PAGE)
            self._after = page[-1].claim.row_key if len(page) == PAGE else ""
            for found in page:
                self._expire(found)
        except StateError:
            return

    def _leads(self) -> bool:
        own = self._lease.session.id
        return own == min((session.id for session in self._lease.live), default=own)

    def _expire(self, found: Found) -> None:
        oldest = self._clock.wall() - self._keep_s
        if max(found.claim.opened_at, found.claim.until) < oldest:
            self._store.drop_object(found.claim)
            self._writer.submit(releasing(found.claim, found.version))
