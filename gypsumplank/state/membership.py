"""Define the port to the platform's membership list, with an in-memory variant."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class MemberState(StrEnum):
    """Tell what the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """Hold one line of the membership list, which lags."""

    host: str
    state: MemberState = MemberState.LIVE


class Membership(Protocol):
    """Read the platform's list of live and leaving hosts."""

    def members(self) -> tuple[Member, ...]:
        """Return the list as the platform has it now; may raise StateUnavailableError."""


class MemoryMembership:
    """Hold a list that a test has set."""

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self.listed = tuple(members)

    def members(self) -> tuple[Member, ...]:
        """Return the set list."""
        return self.listed
