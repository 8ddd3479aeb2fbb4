"""Remember which worker lives no holder of the lease reaches, so that a take-over waits no anew."""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from gypsumplank.coordination.job.site import Site
from gypsumplank.state.table import Check

# Time after a take-over at which a worker that has not answered counts as silent, seconds; the
# first look at it has failed by then.
SILENT_AFTER_S = 2.5
MS = 1000.0


class SilenceStore(Protocol):
    """Keep since when worker lives are silent, by the store's clock; may raise StateError."""

    def silences(self) -> dict[str, int]:
        """Return since when each life is silent, in ms of the store's clock."""

    def write_silences(self, fence: Check, since: Mapping[str, int], ended: Iterable[str]) -> None:
        """Add silent lives and remove others, under the fence."""


class Silences:
    """Hold one term's silent lives; used by the scheduler's thread only.

    A life that is on record gets no longer lease from anybody: its record goes before the first
    extension. So its leases end within the longest time that the first of these holders has waited.
    """

    def __init__(self, store: SilenceStore, store_ms: Callable[[], int]) -> None:
        self._store = store
        self._store_ms = store_ms
        self._since: dict[str, int] = {}
        self._began = 0.0
        self._began_ms = 0
        self._noted = False

    def begin(self, sites: Iterable[Site], cover_s: float, now: float) -> None:
        """Shorten the wait for lives that were silent before; raise StateError."""
        self._since = self._store.silences()
        self._began, self._began_ms, self._noted = now, self._store_ms(), False
        for site in sites:
            since_ms = self._since.get(site.life)
            if since_ms is None:
                continue
            site.held_back = True
            if self._began_ms:
                age_s = max(0.0, (self._began_ms - since_ms) / MS)
                site.covered_until = now
                site.covers(now, cover_s - age_s)

    def step(self, fence: Check, sites: Iterable[Site], now: float) -> None:
        """Put silent lives on record, and take those off that have answered; raise StateError."""
        if not self._began_ms:
            return
        present = {site.life: site for site in sites if site.tasks}
        answered = [life for life in self._since if life in present and present[life].contacted_at]
        ended = [*answered, *(life for life in self._since if self._noted and life not in present)]
        silent: dict[str, int] = {}
        if not self._noted and now >= self._began + SILENT_AFTER_S:
            quiet = [site for site in present.values() if not site.contacted_at]
            silent = {site.life: self._began_ms for site in quiet if site.life not in self._since}
            for site in quiet:
                site.held_back = True
        if silent or ended:
            self._store.write_silences(fence, silent, ended)
        self._noted = self._noted or now >= self._began + SILENT_AFTER_S
        self._since.update(silent)
        for life in ended:
            del self._since[life]
            if life in present:
                present[life].held_back = False
