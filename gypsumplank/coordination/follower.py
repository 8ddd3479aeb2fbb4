"""Keep the configuration in force up with the newest accepted revision."""

import logging
import threading
from collections.abc import Callable

from gypsumplank.errors import InvariantError, RevisionReversedError, StateError
from gypsumplank.log import Event, event
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.view import View, ViewHolder

logger = logging.getLogger(__name__)

Announce = Callable[[int], None]
Ahead = Callable[[], int]


class Follower:
    """Pull what changed and put it in force.

    `caught_up` tells that what is in force was the newest accepted revision at some moment
    since this daemon started; `reachable` tells whether the last pull reached the store.
    """

    def __init__(
        self,
        reader: ConfigReader,
        holder: ViewHolder,
        announce: Announce = lambda _revision: None,
        ahead: Ahead = lambda: 0,
    ) -> None:
        self._reader = reader
        self._holder = holder
        self._announce = announce
        self._ahead = ahead
        self._lock = threading.Lock()
        self.caught_up = False
        self.reachable = True

    def tick(self) -> None:
        """Pull once; a platform outage leaves what is in force."""
        with self._lock:
            try:
                self._pull()
                self.reachable = True
            except StateError as exc:
                self.reachable = False
                event(
                    logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="follower"
                )
            except (RevisionReversedError, InvariantError) as exc:
                self.caught_up = False
                event(logger, Event.CONFIG_REVERSED, logging.ERROR, code=exc.code, detail=str(exc))

    def adopt(self, view: View) -> bool:
        """Put a view in force that a peer has, and return whether it is newer."""
        with self._lock:
            if view.revision <= self._holder.current.revision:
                return False
            self._put_in_force(view)
            return True

    def trust_peers(self) -> None:
        """Take what is in force as the newest revision, as all live daemons told."""
        self.caught_up = True

    def _pull(self) -> None:
        ahead = self._ahead()
        view = self._reader.refresh(self._holder.current)
        if view.revision < ahead:
            detail = f"the store is at revision {view.revision}, a daemon at {ahead}"
            raise InvariantError(detail)
        if view is not self._holder.current:
            self._put_in_force(view)
        self.caught_up = True

    def _put_in_force(self, view: View) -> None:
        known = self._holder.current.unreadable
        self._holder.advance(view)
        event(logger, Event.CONFIG_IN_FORCE, revision=view.revision)
        for key in sorted({*view.unreadable} - {*known}):
            event(
                logger, Event.CONFIG_UNREADABLE, logging.ERROR, record=key, revision=view.revision
            )
        self._announce(view.revision)
