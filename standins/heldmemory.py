"""Measure what a process and, for its connections, the kernel hold; stands in for the machine."""

import socket
from collections.abc import Iterable
from pathlib import Path

KIB = 1 << 10
TCP_LISTEN = "0A"


class HeldMemory:
    """Keep the peaks of a process's memory, with its sockets' bytes, and of its descriptors."""

    def __init__(self, pid: int, addresses: Iterable[str]) -> None:
        self._folder = Path(f"/proc/{pid}")
        self._addresses = {_hex_address(address) for address in addresses}
        self.peak_bytes = 0
        self.peak_descriptors = 0

    def sample(self) -> bool:
        """Return whether more is held than ever before."""
        fields = (self._folder / "status").read_text(encoding="ascii").split("VmRSS:")
        # A process that has ended has no memory.
        resident = int(fields[1].split()[0]) * KIB if len(fields) > 1 else 0
        descriptors = len(list((self._folder / "fd").iterdir()))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        held_bytes, last_peak = resident + self._kernel_bytes(), self.peak_bytes
        self.peak_bytes = max(held_bytes, last_peak)
        return held_bytes > last_peak

    def _kernel_bytes(self) -> int:
        """Return the bytes that were received and not read, or sent and not acknowledged."""
        total = 0
        rows = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
        for row in rows:
            _, local, _, state, queues, *_ = row.split()
            if local in self._addresses and state != TCP_LISTEN:
                total += sum(int(number, 16) for number in queues.split(":"))
        return total


def _hex_address(address: str) -> str:
    """Return an IPv4 address as /proc/net/tcp writes it."""
    host, _, port = address.rpartition(":")
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{int(port):04X}"
