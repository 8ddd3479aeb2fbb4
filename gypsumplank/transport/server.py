"""Run the server thread of one address: turns, accepts, and the time limits of its connections.

Answers hundreds of connections at once: several are accepted a turn, the cost of parsing is bounded
to a share of the thread's time, and slow or idle connections make room when none can be accepted.
"""

import heapq
import socket
import time
from typing import Any

from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer

from gypsumplank.transport.bodybudget import (
    STALLED_S,
    DropCause,
    RefusalCause,
    choose_backlogged,
    choose_stalled,
)
from gypsumplank.transport.requestledger import RequestLedger
from gypsumplank.transport.requestparser import HeadCheck, HeadPolicy
from gypsumplank.transport.socketbudget import SocketLimits

# Longest turn, seconds. A longer one counts as this, so that a process that was not scheduled finds
# what its clients sent meanwhile before it refuses them.
MAX_TURN_S = 1.0
SWEEP_INTERVAL_S = 0.25
CLEANUP_INTERVAL_S = 30.0
ACCEPTS_PER_TURN = 64
# Connections closed per turn while none can be accepted.
CLOSED_PER_TURN = 16
# Share of the server thread's time for input that is costly to parse.
COSTLY_SHARE = 0.5


class BoundedServer(TcpWSGIServer):
    """Serve one address; `turn_s` is when the turn began, `clock_s` time spent."""

    def __init__(
        self,
        app: Any,
        dispatcher: Any,
        adj: Adjustments,
        ledger: RequestLedger,
        head_check: HeadCheck | None,
        sockets: SocketLimits,
    ) -> None:
        self.ledger = ledger
        self.sockets = sockets
        self._wide_connections = 0
        self.policy = HeadPolicy(ledger.is_full, head_check)
        self.clock_s = 0.0
        self.turn_s = time.monotonic()
        self._reserved_s = 0.0
        self._resumes: list[float] = []
        self._next_sweep_s = 0.0
        self._next_cleanup_s = self.turn_s + CLEANUP_INTERVAL_S
        super().__init__(app, dispatcher=dispatcher, adj=adj, sockinfo=adj.listen[0])

    def accept_connections(self) -> None:
        """Listen with buffers of a set size, which accepted connections inherit."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.sockets.receive_bytes)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.sockets.send_bytes)
        super().accept_connections()

    def run(self) -> None:
        """Serve until no socket is left."""
        while self._map:
            wasyncore.poll2(self._start_turn(), self._map)

    def _start_turn(self) -> float:
        """Do what is due and return how long the turn may wait for input, seconds."""
        now_s = time.monotonic()
        self.clock_s += min(now_s - self.turn_s, MAX_TURN_S)
        self.turn_s = now_s
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + SWEEP_INTERVAL_S
            self._sweep()
        if self.accepting and self._is_full():
            self._make_room()
        while self._resumes and self._resumes[0] <= now_s:
            heapq.heappop(self._resumes)
        wait_s = self._resumes[0] - now_s if self._resumes else MAX_TURN_S
        # poll counts in milliseconds and would round down to a busy loop.
        return min(wait_s + 0.001, MAX_TURN_S)

    def _sweep(self) -> None:
        for channel in list(self.active_channels.values()):
            channel.check_time()
        self._drop_replies()
        if self.turn_s >= self._next_cleanup_s:
            self._next_cleanup_s = self.turn_s + CLEANUP_INTERVAL_S
            self.maintenance(time.time())
        self.ledger.log_refusals()

    def _drop_replies(self) -> None:
        """Drop the replies that are read least if all of them hold too much memory."""
        excess = self.ledger.reply_excess()
        if excess <= 0:
            return
        channels = list(self.active_channels.values())
        replies = ((each, each.total_outbufs_len, each.stalled_s) for each in channels)
        for channel in choose_stalled(replies, excess):
            channel.drop_reply(DropCause.MEMORY)

    def add_task(self, task: Any) -> None:
        """Let a thread run a connection's next request, once the last reply is sent."""
        if not task.waits_for_flush():
            super().add_task(task)

    def _make_room(self) -> None:
        """Close idle connections, or else those that make the least progress."""
        now, limits = time.time(), self.ledger.limits
        channels = sorted(self.active_channels.values(), key=lambda channel: channel.last_activity)
        idle = [channel for channel in channels if channel.is_idle(limits, now)]
        for channel in idle[:CLOSED_PER_TURN]:
            channel.handle_close()
        if idle:
            return
        stalled = [channel for channel in channels if channel.stalled_s > STALLED_S]
        for channel in stalled[:CLOSED_PER_TURN]:
            channel.drop_reply(DropCause.CONNECTIONS)
        if stalled:
            return
        slowest = self.ledger.slowest(set(channels), CLOSED_PER_TURN)
        for channel in slowest:
            channel.refuse(RefusalCause.CONNECTIONS)
        if not slowest:
            self._finish_backlogged(channels)

    def _finish_backlogged(self, channels: list[Any]) -> None:
        """Let connections end whose requests wait behind others of the same connection."""
        finishing = sum(channel.is_finishing() for channel in channels)
        inputs = ((each, each.unread_input()) for each in channels if not each.is_finishing())
        for channel in choose_backlogged(inputs, max(0, CLOSED_PER_TURN - finishing)):
            channel.finish()

    def _is_full(self) -> bool:
        return len(self._map) >= self.adj.connection_limit

    def reserve(self, cost_s: float) -> float:
        """Return when a connection may be read again whose last read cost this much CPU time."""
        self._reserved_s = max(self._reserved_s, self.turn_s) + cost_s / COSTLY_SHARE
        heapq.heappush(self._resumes, self._reserved_s)
        return self._reserved_s

    def take_wide(self) -> bool:
        """Return whether one more connection may have a wide receive buffer, and count it."""
        if self._wide_connections >= self.sockets.wide_connections:
            return False
        self._wide_connections += 1
        return True

    def give_back_wide(self) -> None:
        """Count a connection with a wide receive buffer as closed."""
        self._wide_connections -= 1

    def readable(self) -> bool:
        """Return whether connections may be accepted."""
        return self.accepting and not self._is_full()

    def handle_accept(self) -> None:
        """Accept the connections that wait, up to a bound."""
        for _ in range(ACCEPTS_PER_TURN):
            before = len(self._map)
            super().handle_accept()
            if len(self._map) == before or self._is_full():
                return
