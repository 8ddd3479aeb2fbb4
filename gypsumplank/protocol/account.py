"""Define client accounts: which keys identify them, and what they may use."""

import hashlib
from dataclasses import dataclass, field

from gypsumplank.protocol.job import Resources

KEY_DIGEST_BYTES = 16


@dataclass(frozen=True)
class Account:
    """Describe a client account.

    `weight` is the number of jobs per second that it is owed when capacity is short. `cap` limits
    what it may have running on all workers together; a resource of 0 has no limit.
    """

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    priority: int = 0
    weight: float = 0.0
    cap: Resources = Resources()


def hash_key(key: str) -> bytes:
    """Return the digest by which an API key is stored and compared."""
    return hash_key_bytes(key.encode())


def hash_key_bytes(raw: bytes) -> bytes:
    """Return the digest of an API key that is given as UTF-8."""
    return hashlib.blake2b(raw, digest_size=KEY_DIGEST_BYTES).digest()
