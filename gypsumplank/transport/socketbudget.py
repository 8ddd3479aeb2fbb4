"""Divide a machine's memory for the kernel's buffers among the connections of a process.

Answers clients that send faster than they are read: the kernel keeps what was received and not yet
read, and it counts toward the machine's memory as the process does. Buffers of a set size bound it
by the number of connections, accepted or not.
"""

from dataclasses import dataclass

KIB = 1 << 10
# The kernel allots twice the size that is set (socket(7)), for its own records.
ALLOTTED_FACTOR = 2
# Smallest buffer; an ordinary request arrives whole without a window update.
MIN_BUFFER_BYTES = 8 * KIB
MAX_BUFFER_BYTES = 64 * KIB
# Receive buffer of a connection that sends a large body of known length, which is read at once.
WIDE_BUFFER_BYTES = 64 * KIB
# Shares of the memory for kernel buffers: wide receive buffers of all connections, and each service
# listener. Callers have the rest.
WIDE_SHARE = 1 / 16
SERVICE_SHARE = 1 / 16
SERVICE_CONNECTIONS = 128
MIN_CONNECTIONS = 16
# Connections that may wait to be accepted, for each that is accepted.
BACKLOG_SHARE = 1 / 4


@dataclass(frozen=True)
class SocketLimits:
    """Store the limits of a listener's sockets; sizes in bytes, as set by socket options."""

    connections: int = 2000
    backlog: int = 500
    receive_bytes: int = MAX_BUFFER_BYTES
    send_bytes: int = MAX_BUFFER_BYTES
    wide_connections: int = 0

    @property
    def kernel_bytes(self) -> int:
        """Return the most that the kernel holds for the listener's connections."""
        accepted = self.connections * (self.receive_bytes + self.send_bytes)
        waiting = self.backlog * self.receive_bytes
        wide = self.wide_connections * max(WIDE_BUFFER_BYTES - self.receive_bytes, 0)
        return ALLOTTED_FACTOR * (accepted + waiting + wide)


@dataclass(frozen=True)
class SocketPlan:
    """Store the limits of the callers' listener and those of each service listener."""

    callers: SocketLimits
    service: SocketLimits


def plan_sockets(kernel_bytes: int, max_callers: int, service_listeners: int) -> SocketPlan:
    """Divide the memory; callers have at most `max_callers` connections."""
    service_bytes = int(kernel_bytes * SERVICE_SHARE)
    wide_bytes = int(kernel_bytes * WIDE_SHARE)
    rest = kernel_bytes - service_listeners * service_bytes - wide_bytes
    return SocketPlan(
        _plan_listener(rest, max_callers, wide_bytes),
        _plan_listener(service_bytes, SERVICE_CONNECTIONS, 0),
    )


def _plan_listener(kernel_bytes: int, max_connections: int, wide_bytes: int) -> SocketLimits:
    """Fit as many connections as the smallest buffers allow, then enlarge the buffers."""
    buffers = ALLOTTED_FACTOR * (2 + BACKLOG_SHARE)
    fitting = int(kernel_bytes / (buffers * MIN_BUFFER_BYTES))
    connections = min(max(fitting, MIN_CONNECTIONS), max_connections)
    size = int(kernel_bytes / (buffers * connections))
    buffer_bytes = min(max(size, MIN_BUFFER_BYTES), MAX_BUFFER_BYTES)
    wider_bytes = ALLOTTED_FACTOR * (WIDE_BUFFER_BYTES - buffer_bytes)
    return SocketLimits(
        connections,
        max(1, int(connections * BACKLOG_SHARE)),
        buffer_bytes,
        buffer_bytes,
        wide_bytes // wider_bytes if wider_bytes else 0,
    )
