"""Describe steps that wait because of their account."""

from dataclasses import dataclass
from enum import StrEnum

from gypsumplank.coordination.job.placement import PendingStep


class HoldCause(StrEnum):
    """Enumerate why a job waits for its account; the value is logged."""

    CAP = "cap"
    TURN = "turn"
    TOO_LARGE = "gang-above-cap"
    UNCONFIRMED = "manifest-unconfirmed"
    EXCESS = "excess"


@dataclass
class HeldStep:
    """Represent a step none of whose tasks may start; times are monotonic seconds.

    `turn_since` is when it got the turn among the steps of its account, 0 if it has not.
    """

    pending: PendingStep
    since: float
    tried_at: float
    turn_since: float = 0.0


def held_key(pending: PendingStep) -> tuple[str, int]:
    """Return what identifies a step, and its group of tasks, from round to round."""
    return pending.step.key, int(pending.has_suspects)
