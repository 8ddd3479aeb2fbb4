"""Define the interface to the platform's membership list, with an in-memory implementation."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class MemberState(StrEnum):
    """List the states of a host in the membership list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """Represent an entry of the membership list, which may be out of date."""

    host: str
    state: MemberState = MemberState.LIVE


class Membership(Protocol):
    """Read the platform's list of live and leaving hosts."""

    def members(self) -> tuple[Member, ...]:
        """Return the platform's current list; may raise StateUnavailableError."""


class MemoryMembership:
    """Provide a membership list that tests set."""

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self.entries = tuple(members)

    def members(self) -> tuple[Member, ...]:
        """Return the set list."""
        return self.entries
