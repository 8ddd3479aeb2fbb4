"""Keep the configuration in force up with the newest accepted revision."""

import logging

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.view import ViewHolder

logger = logging.getLogger(__name__)


class Follower:
    """Pull what changed and put it in force."""

    def __init__(self, store: ConfigStore, holder: ViewHolder) -> None:
        self._store = store
        self._holder = holder
        self.caught_up = False

    def tick(self) -> None:
        """Pull once; a platform outage leaves what is in force."""
        try:
            view = self._store.refresh(self._holder.current)
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="follower")
            return
        if view is not self._holder.current:
            self._holder.advance(view)
            event(logger, Event.CONFIG_IN_FORCE, revision=view.revision)
        self.caught_up = True
