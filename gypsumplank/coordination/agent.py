"""Define the interface to the agents that run tasks on workers, and an in-memory implementation."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from gypsumplank.errors import AgentError, AgentFencedError
from gypsumplank.protocol.task import (
    AgentState,
    AttemptReport,
    RenewalRequest,
    StartRequest,
    TaskResources,
)
from gypsumplank.state.clock import Clock


class Agents(Protocol):
    """Control task attempts on workers; after an AgentError a call may still have taken effect."""

    def start(self, address: str, start: StartRequest) -> None:
        """Start an attempt idempotently; raise AgentFencedError if a newer token is known."""

    def renew(self, address: str, renewal: RenewalRequest) -> Sequence[AttemptReport]:
        """Renew attempt leases, delete settled attempts and return the reports of the others."""

    def throttle(self, address: str, task: str, token: int) -> None:
        """Reduce an attempt's cores."""

    def checkpoint(self, address: str, task: str, token: int) -> None:
        """Checkpoint an attempt and end it."""

    def stop(self, address: str, task: str, token: int) -> None:
        """End an attempt without a checkpoint."""


@dataclass
class Attempt:
    """Represent an attempt on a worker; `lease_expires_at` is in seconds of its monotonic clock."""

    start: StartRequest
    lease_expires_at: float
    report: AttemptReport


class WorkerAgent:
    """Store the attempts of one worker and stop each whose lease expires."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest_tokens: dict[str, int] = {}
        self.attempts: dict[str, Attempt] = {}

    def start(self, start: StartRequest) -> None:
        """Start an attempt idempotently; raise AgentFencedError if its token is stale."""
        self.stop_expired()
        newest = self._newest_tokens.get(start.id, 0)
        if start.token == newest and start.id in self.attempts:
            return
        if start.token <= newest:
            raise AgentFencedError(f"token {start.token} is stale; {newest} is the newest")
        self._newest_tokens[start.id] = start.token
        report = AttemptReport(start.id, start.token, AgentState.RUNNING, start.order.size)
        expires_at = self._clock.monotonic() + start.lease_s
        self.attempts[start.id] = Attempt(start, expires_at, report)

    def renew(self, renewal: RenewalRequest) -> tuple[AttemptReport, ...]:
        """Delete settled attempts, renew the given leases and return a report of each attempt."""
        self.stop_expired()
        for task, token in renewal.settled.items():
            if task in self.attempts and self.attempts[task].report.token <= token:
                del self.attempts[task]
        expires_at = self._clock.monotonic() + renewal.lease_s
        for task, token in renewal.tokens.items():
            attempt = self.attempts.get(task)
            if attempt is not None and attempt.report.token == token:
                attempt.lease_expires_at = expires_at
        return tuple(attempt.report for attempt in self.attempts.values())

    def end(self, task: str, token: int, state: AgentState, checkpoint: str = "") -> None:
        """Move the running attempt with this token to a final state."""
        attempt = self.attempts.get(task)
        if attempt is None or attempt.report.token != token:
            return
        if attempt.report.state is AgentState.RUNNING:
            attempt.report = replace(attempt.report, state=state, checkpoint=checkpoint)

    def throttle(self, task: str, token: int) -> None:
        """Mark the attempt with this token as throttled."""
        attempt = self.attempts.get(task)
        if attempt is not None and attempt.report.token == token:
            attempt.report = replace(attempt.report, throttled=True)

    def set_usage(self, task: str, usage: TaskResources) -> None:
        """Set the resource usage that an attempt reports."""
        attempt = self.attempts[task]
        attempt.report = replace(attempt.report, usage=usage)

    def running(self) -> tuple[str, ...]:
        """Return the ids of the running tasks."""
        self.stop_expired()
        return tuple(
            task
            for task, attempt in self.attempts.items()
            if attempt.report.state is AgentState.RUNNING
        )

    def stop_expired(self) -> None:
        """Stop running attempts whose lease has expired."""
        now = self._clock.monotonic()
        for attempt in self.attempts.values():
            if attempt.lease_expires_at <= now and attempt.report.state is AgentState.RUNNING:
                attempt.report = replace(attempt.report, state=AgentState.STOPPED)


class MemoryAgents:
    """Call agents within one process; the addresses in `unreachable` raise AgentError."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.agents: dict[str, WorkerAgent] = {}
        self.unreachable: set[str] = set()

    def agent_at(self, address: str) -> WorkerAgent:
        """Return the agent at an address, created on first use; raise AgentError if unreachable."""
        if address in self.unreachable:
            raise AgentError(f"{address} is unreachable")
        return self.agents.setdefault(address, WorkerAgent(self._clock))

    def start(self, address: str, start: StartRequest) -> None:
        """Start an attempt; raise AgentError or AgentFencedError."""
        self.agent_at(address).start(start)

    def renew(self, address: str, renewal: RenewalRequest) -> tuple[AttemptReport, ...]:
        """Renew attempt leases and return the reports of all remaining attempts."""
        return self.agent_at(address).renew(renewal)

    def throttle(self, address: str, task: str, token: int) -> None:
        """Mark an attempt as throttled."""
        self.agent_at(address).throttle(task, token)

    def checkpoint(self, address: str, task: str, token: int) -> None:
        """End an attempt with a checkpoint."""
        self.agent_at(address).end(task, token, AgentState.CHECKPOINTED, f"{task}-{token}")

    def stop(self, address: str, task: str, token: int) -> None:
        """End an attempt without a checkpoint."""
        self.agent_at(address).end(task, token, AgentState.STOPPED)
