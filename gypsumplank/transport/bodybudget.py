"""Decide which requests are refused, and which replies dropped, as they hold too much or too long.

Answers clients that keep many large requests open just short of their end, that send faster than
they are read, or that do not read their replies, and so would use up the memory of the machine.
"""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

K = TypeVar("K")

MIB = 1 << 20
# Share of a machine's memory for incomplete requests, and again for complete ones that wait or run.
# Half of the memory is the process itself.
MEMORY_SHARE = 1 / 8
# Share of a machine's memory for what the kernel holds for the connections.
KERNEL_SHARE = 3 / 16
# Share of a machine's memory for replies that the kernel does not take, as clients do not read.
REPLY_SHARE = 1 / 16
# Time after which a reply is dropped of which nothing is read, seconds; as for a body.
REPLY_TIMEOUT_S = 30.0
# Body time in seconds. Callers give up after 3 s, and the longest time limit in use is 10 s.
BODY_TIMEOUT_S = 30.0
# A connection makes room for others once it has made no progress for this long, seconds.
STALLED_S = 1.0
# Shortest time over which the speed of an arrival is measured, seconds.
MIN_ARRIVAL_S = 0.001


class RefusalCause(StrEnum):
    """Enumerate why a request is refused before it is run; metrics and answers carry the value."""

    MEMORY = "memory"
    HEADER_TIME = "header-time"
    BODY_TIME = "body-time"
    CONNECTIONS = "connections"
    HEADER_SIZE = "header-size"
    BODY_SIZE = "body-size"
    MALFORMED = "malformed"
    HEAD = "head"


class DropCause(StrEnum):
    """Enumerate why a reply that its client does not read is dropped, with its connection."""

    TIME = "time"
    MEMORY = "memory"
    CONNECTIONS = "connections"


@dataclass(frozen=True)
class RequestLimits:
    """Store the limits of requests that are received; sizes in bytes, times in seconds.

    `incomplete_bytes` and `complete_bytes` hold for all listeners of a process together; complete
    requests count until they are answered. `kernel_bytes` bounds what the kernel holds for their
    connections, `reply_bytes` the replies that wait in the process. A connection without a request
    may be closed after `idle_s`, but only where no other connection could be accepted. A reply of
    which nothing is read for `reply_s` is dropped.
    """

    incomplete_bytes: int = 64 * MIB
    complete_bytes: int = 256 * MIB
    kernel_bytes: int = 240 * MIB
    reply_bytes: int = 80 * MIB
    header_bytes: int = 16_384
    header_s: float = 3.0
    body_s: float = BODY_TIMEOUT_S
    idle_s: float = 15.0
    reply_s: float = REPLY_TIMEOUT_S


@dataclass(frozen=True)
class Held:
    """Store the bytes that a connection's requests, incomplete and complete, and replies hold."""

    incomplete: int = 0
    complete: int = 0
    reply: int = 0


@dataclass(frozen=True)
class Arrival:
    """Store what an incomplete request holds, and when its first byte arrived."""

    held_bytes: int
    since_s: float

    def bytes_per_s(self, now_s: float) -> float:
        """Return how fast the request has arrived."""
        return self.held_bytes / max(now_s - self.since_s, MIN_ARRIVAL_S)


@dataclass(frozen=True)
class UnreadInput:
    """Store what of a connection waits unread, and what was read since it was accepted."""

    unread_bytes: int
    read_bytes: int
    age_s: float

    @property
    def drain_s(self) -> float:
        """Return how long reading the rest would take at the speed so far."""
        return self.unread_bytes * self.age_s / max(self.read_bytes, 1)


def limits_of_memory(memory_bytes: int) -> RequestLimits:
    """Return the limits for a process whose machine has this much memory."""
    share = int(memory_bytes * MEMORY_SHARE)
    return RequestLimits(
        incomplete_bytes=share,
        complete_bytes=share,
        kernel_bytes=int(memory_bytes * KERNEL_SHARE),
        reply_bytes=int(memory_bytes * REPLY_SHARE),
    )


def excess_bytes(limits: RequestLimits, incomplete: int, complete: int) -> int:
    """Return how many bytes of incomplete requests are to be freed; 0 or less if none."""
    total = limits.incomplete_bytes + limits.complete_bytes
    return max(incomplete - limits.incomplete_bytes, incomplete + complete - total)


def choose_slowest(arrivals: Iterable[tuple[K, Arrival]], excess: int, now_s: float) -> list[K]:
    """Return the slowest arrivals that together hold at least `excess` bytes."""
    chosen = []
    for key, arrival in sorted(arrivals, key=lambda pair: pair[1].bytes_per_s(now_s)):
        if excess <= 0:
            break
        chosen.append(key)
        excess -= arrival.held_bytes
    return chosen


def choose_stalled(replies: Iterable[tuple[K, int, float]], excess: int) -> list[K]:
    """Return the connections whose replies, given as bytes and stalled seconds, free `excess`.

    The longest stalled are first; a client that reads now and then is not among them.
    """
    stalled = [reply for reply in replies if reply[2] > STALLED_S]
    stalled.sort(key=lambda reply: reply[2], reverse=True)
    held_before = itertools.accumulate((held for _, held, _ in stalled), initial=0)
    return [
        key for (key, _, _), before in zip(stalled, held_before, strict=False) if before < excess
    ]


def choose_backlogged(inputs: Iterable[tuple[K, UnreadInput]], count: int) -> list[K]:
    """Return the connections that hold the most unread bytes for their progress."""
    waiting = [pair for pair in inputs if pair[1].unread_bytes]
    waiting.sort(key=lambda pair: pair[1].drain_s, reverse=True)
    return [key for key, _ in waiting[:count]]


def overdue(
    limits: RequestLimits, since_s: float, in_body: bool, now_s: float
) -> RefusalCause | None:
    """Return why a request that is still incomplete is refused now, or None."""
    age_s = now_s - since_s
    if in_body:
        return RefusalCause.BODY_TIME if age_s > limits.body_s else None
    return RefusalCause.HEADER_TIME if age_s > limits.header_s else None
