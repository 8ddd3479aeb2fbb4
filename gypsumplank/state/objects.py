"""Define the interface to the platform's object store, with an in-memory implementation."""

import threading
from typing import Protocol


class ObjectStore(Protocol):
    """Store objects by name; every call may raise StateUnavailableError."""

    def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""

    def put(self, name: str, value: bytes) -> None:
        """Write an object; may raise StateUnknownError."""

    def delete(self, name: str) -> None:
        """Delete an object if it exists; may raise StateUnknownError."""


class MemoryObjectStore:
    """Store objects in memory."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._objects: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        with self._lock:
            return self._objects.get(name)

    def put(self, name: str, value: bytes) -> None:
        """Write an object."""
        with self._lock:
            self._objects[name] = value

    def delete(self, name: str) -> None:
        """Delete an object if it exists."""
        with self._lock:
            self._objects.pop(name, None)
