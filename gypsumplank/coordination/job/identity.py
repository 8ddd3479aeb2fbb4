"""Find the client account of an API key.

Answers the load of every call on a route that needs a key, with thousands of keys in the manifest:
a look-up takes the same time whatever their number. Keys are known by their digests only.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from gypsumplank.protocol.queue import Manifest


@dataclass(frozen=True)
class SharedKeys:
    """Describe keys that two accounts list; they belong to `account`, the first one by name."""

    account: str
    other: str
    keys: int


@dataclass(frozen=True)
class KeyTable:
    """Map the digests of one version's keys to the names of their accounts."""

    _names: dict[bytes, str] = field(default_factory=dict, repr=False)
    shared: tuple[SharedKeys, ...] = ()

    def find(self, digest: bytes | None) -> str | None:
        """Return the name of the account of a key, None if the key is missing or unknown."""
        return None if digest is None else self._names.get(digest)


def build_key_table(manifest: Manifest) -> KeyTable:
    """Build the table of one version of the manifest."""
    names: dict[bytes, str] = {}
    shared: defaultdict[tuple[str, str], int] = defaultdict(int)
    for account in sorted(manifest.accounts or (), key=lambda each: each.name):
        for digest in account.key_digests:
            first = names.setdefault(digest, account.name)
            if first != account.name:
                shared[first, account.name] += 1
    return KeyTable(names, tuple(SharedKeys(*pair, keys) for pair, keys in shared.items()))
