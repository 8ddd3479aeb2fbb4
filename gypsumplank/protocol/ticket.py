"""Define the position of a request in the queue for a slot."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.exchange import Refusal


class TicketState(StrEnum):
    """List the states of a ticket."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"
    FINISHED = "finished"


ALLOWED_TRANSITIONS: Mapping[TicketState, frozenset[TicketState]] = {
    TicketState.WAITING: frozenset(
        {TicketState.GRANTED, TicketState.REFUSED, TicketState.WITHDRAWN}
    ),
    TicketState.GRANTED: frozenset({TicketState.FINISHED}),
}


@dataclass(eq=False)
class Ticket:
    """Represent a request that waits for or has a slot; times are in monotonic seconds.

    `on_decided` is called once, with None if a slot was granted and with the refusal otherwise.
    """

    service: str
    team: str
    urgency: int
    arrived_at: float
    deadline: float
    on_decided: Callable[["Ticket", Refusal | None], None]
    state: TicketState = TicketState.WAITING
    pool: str = ""
    started_at: float = 0.0
    number: int = 0

    def transition(self, state: TicketState) -> None:
        """Change to a state; raise InvariantError if the current state does not allow it."""
        if state not in ALLOWED_TRANSITIONS.get(self.state, frozenset()):
            raise InvariantError(f"a ticket cannot change from {self.state} to {state}")
        self.state = state
