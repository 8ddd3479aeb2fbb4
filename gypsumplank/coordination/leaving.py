"""Know which hosts the platform's membership list calls leaving."""

import logging

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.state.membership import Membership, MemberState

logger = logging.getLogger(__name__)


class LeavingHosts:
    """Hold the last list that was read; an outage leaves it as it is."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self.current: frozenset[str] = frozenset()

    def tick(self) -> None:
        """Read the list once."""
        try:
            members = self._membership.members()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="leaving")
            return
        self.current = frozenset(
            member.host for member in members if member.state is MemberState.LEAVING
        )
