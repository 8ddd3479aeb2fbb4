"""Define the port to the platform's object store, with an in-memory variant."""

import threading
from typing import Protocol


class ObjectStore(Protocol):
    """Keep whole objects by name; every call may raise StateUnavailableError."""

    def get(self, name: str) -> bytes | None:
        """Return an object."""

    def put(self, name: str, value: bytes) -> None:
        """Set an object; may raise StateUnknownError."""

    def delete(self, name: str) -> None:
        """Remove an object if it is there; may raise StateUnknownError."""


class MemoryObjectStore:
    """Keep objects in memory."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._objects: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | None:
        """Return an object."""
        with self._lock:
            return self._objects.get(name)

    def put(self, name: str, value: bytes) -> None:
        """Set an object."""
        with self._lock:
            self._objects[name] = value

    def delete(self, name: str) -> None:
        """Remove an object if it is there."""
        with self._lock:
            self._objects.pop(name, None)
