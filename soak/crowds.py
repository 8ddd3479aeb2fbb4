"""Add crowds of clients that don't behave to a soak, on daemons with little memory."""

import contextlib
import random
from collections.abc import Iterator, Sequence

from standins.crowd import CrowdThread, Load, chunked_body, head, plain_body

# Even seeds from this one have a crowd at every daemon.
FIRST_SEED = 7001
# Low enough that the crowds meet every limit that follows from it.
LIMITS = {"memory-mb": 32}
LOADS = (
    Load(150, chunked_body(50_000, 1)[:-1], 4096),
    Load(150, plain_body(200_000)[:-1]),
    Load(100, head(method="GET") * 2000),
    Load(60, plain_body(60_000) * 5),
    Load(150, b"P"),
)


def has_crowd(seed: int) -> bool:
    """Return whether a seed has a crowd beside its callers."""
    return seed >= FIRST_SEED and seed % 2 == 0


def choose_load(seed: int) -> Load:
    """Return what the crowd of a seed sends."""
    return random.Random(seed).choice(LOADS)


@contextlib.contextmanager
def crowd_beside(seed: int, addresses: Sequence[str]) -> Iterator[None]:
    """Run a seed's crowd, if it has one, while the callers call."""
    if not has_crowd(seed):
        yield
        return
    crowd = CrowdThread(addresses, choose_load(seed))
    crowd.start()
    try:
        yield
    finally:
        crowd.stop()
