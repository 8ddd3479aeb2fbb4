"""Poll the store and put the newest accepted configuration revision in force."""

import logging
import threading
from collections.abc import Callable

from gypsumplank.errors import InvariantError, RevisionReversedError, StateError
from gypsumplank.log import Event, event
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.view import CurrentView, View

logger = logging.getLogger(__name__)

OnInForce = Callable[[int], None]
NewestRevision = Callable[[], int]


class ConfigFollower:
    """Pull configuration changes from the store and put them in force.

    `caught_up` is whether the revision in force was the newest accepted one at some moment since
    this daemon started; `reachable` is whether the last pull reached the store.
    """

    def __init__(
        self,
        reader: ConfigReader,
        current_view: CurrentView,
        on_in_force: OnInForce = lambda _revision: None,
        newest_revision: NewestRevision = lambda: 0,
    ) -> None:
        self._reader = reader
        self._current_view = current_view
        self._on_in_force = on_in_force
        self._newest_revision = newest_revision
        self._lock = threading.Lock()
        self.caught_up = False
        self.reachable = True

    def tick(self) -> None:
        """Pull once; keep the revision in force while the store is unavailable."""
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
        """Put a peer's view in force if it is newer, and return whether it was."""
        with self._lock:
            if view.revision <= self._current_view.view.revision:
                return False
            self._put_in_force(view)
            return True

    def mark_caught_up(self) -> None:
        """Set `caught_up` without a pull, after peers confirmed that no newer revision is known."""
        self.caught_up = True

    def _pull(self) -> None:
        newest = self._newest_revision()
        view = self._reader.refresh(self._current_view.view)
        if view.revision < newest:
            detail = f"the store is at revision {view.revision}, but a daemon is at {newest}"
            raise InvariantError(detail)
        if view is not self._current_view.view:
            self._put_in_force(view)
        self.caught_up = True

    def _put_in_force(self, view: View) -> None:
        known_unreadable = self._current_view.view.unreadable
        self._current_view.replace(view)
        event(logger, Event.CONFIG_IN_FORCE, revision=view.revision)
        for key in sorted({*view.unreadable} - {*known_unreadable}):
            event(
                logger, Event.CONFIG_UNREADABLE, logging.ERROR, record=key, revision=view.revision
            )
        self._on_in_force(view.revision)
