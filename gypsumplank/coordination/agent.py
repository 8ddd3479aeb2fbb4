"""Define the port to the agents that run tasks on workers, with an in-memory variant."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from gypsumplank.errors import AgentError, AgentFencedError
from gypsumplank.protocol.task import AgentState, Renewal, Report, Size, Start
from gypsumplank.state.clock import Clock


class Agents(Protocol):
    """Drive tasks on workers; every call may raise AgentError, its effect then unknown."""

    def start(self, address: str, start: Start) -> None:
        """Run a task; harmless to repeat; raise AgentFencedError where a newer token is known."""

    def renew(self, address: str, renewal: Renewal) -> Sequence[Report]:
        """Renew leases, forget settled attempts, and return what the worker has."""

    def throttle(self, address: str, task: str, token: int) -> None:
        """Give an attempt fewer cores."""

    def checkpoint(self, address: str, task: str, token: int) -> None:
        """Save an attempt's progress and end it."""

    def stop(self, address: str, task: str, token: int) -> None:
        """End an attempt."""


@dataclass
class Attempt:
    """Hold one attempt at a worker; `lease_until` is on the worker's monotonic clock."""

    start: Start
    lease_until: float
    report: Report


class Agent:
    """Hold the attempts of one worker; an attempt whose lease ends is stopped."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens: dict[str, int] = {}
        self.attempts: dict[str, Attempt] = {}

    def start(self, start: Start) -> None:
        """Run a task unless a newer token is known."""
        self.expire()
        known = self._tokens.get(start.id, 0)
        if start.token == known and start.id in self.attempts:
            return
        if start.token <= known:
            raise AgentFencedError(f"token {start.token} has run here; {known} is the newest")
        self._tokens[start.id] = start.token
        report = Report(start.id, start.token, AgentState.RUNNING, start.order.size)
        until = self._clock.monotonic() + start.lease_s
        self.attempts[start.id] = Attempt(start, until, report)

    def renew(self, renewal: Renewal) -> tuple[Report, ...]:
        """Renew, forget what is settled, and report all attempts."""
        self.expire()
        for task, token in renewal.settled.items():
            if task in self.attempts and self.attempts[task].report.token <= token:
                del self.attempts[task]
        until = self._clock.monotonic() + renewal.lease_s
        for task, token in renewal.tokens.items():
            attempt = self.attempts.get(task)
            if attempt is not None and attempt.report.token == token:
                attempt.lease_until = until
        return tuple(attempt.report for attempt in self.attempts.values())

    def end(self, task: str, token: int, state: AgentState, checkpoint: str = "") -> None:
        """Put a running attempt of this token into a last state."""
        attempt = self.attempts.get(task)
        if attempt is None or attempt.report.token != token:
            return
        if attempt.report.state is AgentState.RUNNING:
            attempt.report = replace(attempt.report, state=state, checkpoint=checkpoint)

    def throttle(self, task: str, token: int) -> None:
        """Mark an attempt as throttled."""
        attempt = self.attempts.get(task)
        if attempt is not None and attempt.report.token == token:
            attempt.report = replace(attempt.report, throttled=True)

    def use(self, task: str, usage: Size) -> None:
        """Set what an attempt is seen to use."""
        attempt = self.attempts[task]
        attempt.report = replace(attempt.report, usage=usage)

    def running(self) -> tuple[str, ...]:
        """Return the tasks that run now."""
        self.expire()
        return tuple(
            name
            for name, attempt in self.attempts.items()
            if attempt.report.state is AgentState.RUNNING
        )

    def expire(self) -> None:
        """Stop attempts whose lease has ended."""
        now = self._clock.monotonic()
        for attempt in self.attempts.values():
            if attempt.lease_until <= now and attempt.report.state is AgentState.RUNNING:
                attempt.report = replace(attempt.report, state=AgentState.STOPPED)


class MemoryAgents:
    """Reach agents within one process; those named in `unreachable` do not answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.agents: dict[str, Agent] = {}
        self.unreachable: set[str] = set()

    def at(self, address: str) -> Agent:
        """Return the agent at an address; raise AgentError."""
        if address in self.unreachable:
            raise AgentError(f"{address} does not answer")
        return self.agents.setdefault(address, Agent(self._clock))

    def start(self, address: str, start: Start) -> None:
        """Run a task."""
        self.at(address).start(start)

    def renew(self, address: str, renewal: Renewal) -> tuple[Report, ...]:
        """Renew leases and return what the worker has."""
        return self.at(address).renew(renewal)

    def throttle(self, address: str, task: str, token: int) -> None:
        """Give an attempt fewer cores."""
        self.at(address).throttle(task, token)

    def checkpoint(self, address: str, task: str, token: int) -> None:
        """Save an attempt's progress and end it."""
        self.at(address).end(task, token, AgentState.CHECKPOINTED, f"{task}-{token}")

    def stop(self, address: str, task: str, token: int) -> None:
        """End an attempt."""
        self.at(address).end(task, token, AgentState.STOPPED)
