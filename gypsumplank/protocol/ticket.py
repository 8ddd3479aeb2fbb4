"""Define the place of one request in the queue for a slot."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.exchange import Refusal


class TicketState(StrEnum):
    """Tell how far a ticket has come."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"
    FINISHED = "finished"


NEXT_STATES: Mapping[TicketState, frozenset[TicketState]] = {
    TicketState.WAITING: frozenset(
        {TicketState.GRANTED, TicketState.REFUSED, TicketState.WITHDRAWN}
    ),
    TicketState.GRANTED: frozenset({TicketState.FINISHED}),
}


@dataclass(eq=False)
class Ticket:
    """Hold a request's claim to a slot; times are in seconds of the monotonic clock.

    `settle` is called once, with None for a grant and with the refusal otherwise.
    """

    service: str
    team: str
    urgency: int
    arrived: float
    deadline: float
    settle: Callable[["Ticket", Refusal | None], None]
    state: TicketState = TicketState.WAITING
    pool: str = ""
    started: float = 0.0
    number: int = 0

    def move(self, state: TicketState) -> None:
        """Go on to a state; raise InvariantError where the present one forbids it."""
        if state not in NEXT_STATES.get(self.state, frozenset()):
            raise InvariantError(f"a ticket cannot go from {self.state} to {state}")
        self.state = state
