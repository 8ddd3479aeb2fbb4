"""Track the hosts that the platform's membership list marks as leaving."""

import logging

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.state.membership import Membership, MemberState

logger = logging.getLogger(__name__)


class LeavingHosts:
    """Store the leaving hosts of the last list read; an outage keeps them unchanged."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self.current: frozenset[str] = frozenset()

    def tick(self) -> None:
        """Read the membership list once."""
        try:
            members = self._membership.members()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="leaving")
            return
        self.current = frozenset(
            member.host for member in members if member.state is MemberState.LEAVING
        )
