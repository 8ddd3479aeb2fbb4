"""Hold the open tasks of one pool and their attempts at its hosts."""

import logging
from collections.abc import Iterable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from functools import partial

from gypsumplank.coordination.agent import Agents
from gypsumplank.coordination.placement import Candidate, Eviction, Running
from gypsumplank.coordination.quarantine import Quarantine
from gypsumplank.coordination.sizing import Sizing
from gypsumplank.errors import AgentError, AgentFencedError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.protocol.task import (
    FINAL_STATES,
    URGENT,
    AgentState,
    Renewal,
    Report,
    Start,
    Task,
    TaskState,
    Yield,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.table import Check
from gypsumplank.state.task import HeldTask, TaskStore
from gypsumplank.state.view import View

LEASE_S = 10.0
RENEW_S = 2.0
IDLE_RENEW_S = 10.0
CHECKPOINT_WAIT_S = 1.0
STOP_SHARE = 0.8
LAPSE_MARGIN_S = 2.0
RESCAN_S = 5.0
IDLE_RESCAN_S = 30.0
OVERLAP_MS = 10_000
MAX_FAILED_HOSTS = 3
MAX_SAVED = 300
MAX_MISSED = 2

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Leaving:
    """Hold since when an attempt has been told to end, on the monotonic clock."""

    token: int
    since: float


class HostContact:
    """Remember when a host's leases may last have been renewed."""

    def __init__(self, now: float) -> None:
        self.renewed_at = now
        self.due = now
        self.missed = 0

    @property
    def renewing(self) -> bool:
        """Tell whether leases are still renewed there; a silent host is left to lapse."""
        return self.missed < MAX_MISSED


class TaskPool:
    """Hold the open tasks of one controlled pool."""

    def __init__(self, pool: str, store: TaskStore, agents: Agents, clock: Clock) -> None:
        self._pool = pool
        self._store = store
        self._agents = agents
        self._clock = clock
        self._contacts: dict[str, HostContact] = {}
        self._taken_at = clock.monotonic()
        self._rescan_at = 0.0
        self._reports: dict[str, Report] = {}
        self._leaving: dict[str, Leaving] = {}
        self._draining_since: dict[str, float] = {}
        self.tasks: dict[str, HeldTask] = {}
        self.known = False
        self._mark = 0
        self._hosts: dict[str, list[Task]] | None = None
        self.sizing = Sizing()
        self.quarantine = Quarantine()

    def rescan_soon(self) -> None:
        """Read all open tasks in the next round."""
        self._rescan_at = 0.0

    @property
    def idle(self) -> bool:
        """Tell whether there is neither a task nor an attempt to follow."""
        return not (self.tasks or self._reports or self._missed())

    def read(self, mark: int) -> None:
        """Read new tasks if there are any, and from time to time all of them."""
        now = self._clock.monotonic()
        if now >= self._rescan_at:
            self.tasks = {held.task.id: held for held in self._store.open(self._pool)}
            self._rescan_at = now + (RESCAN_S if self.tasks else IDLE_RESCAN_S)
            self.known = True
        elif mark != self._mark:
            newest_ms = int(self._clock.wall() * 1000) - OVERLAP_MS
            for held in self._store.open(self._pool, f"{newest_ms:013d}"):
                self.tasks[held.task.id] = held
            self._rescan_at = min(self._rescan_at, now + RESCAN_S)
        self._mark = mark
        self._hosts = None

    def running_on(self, host: str) -> list[Task]:
        """Return the tasks whose attempts are at a host."""
        return self._by_host().get(host, [])

    def _by_host(self) -> dict[str, list[Task]]:
        if self._hosts is None:
            self._hosts = {}
            for held in self.tasks.values():
                if held.task.state is TaskState.RUNNING:
                    self._hosts.setdefault(held.task.host, []).append(held.task)
        return self._hosts

    def contact(self, view: View, executor: Executor) -> list[Task]:
        """Renew leases at the hosts that are due and return the tasks that have changed."""
        now = self._clock.monotonic()
        due = [host for host in self._hosts_in_use(view) if self._contact(host).due <= now]
        reports = executor.map(partial(self._renew, view), due)
        changed = [
            task
            for host, held in zip(due, reports, strict=True)
            if held is not None
            for task in self._settle(view, host, held)
        ]
        return [*changed, *self._lapsed(view)]

    def running(self, hosts: Iterable[str]) -> dict[str, list[Running]]:
        """Return the attempts at each host, with the sizes to plan with."""
        return {host: [self._running(task) for task in self.running_on(host)] for host in hosts}

    def candidates(self) -> list[Candidate]:
        """Return the queued tasks with the sizes to plan with."""
        return [
            Candidate(held.task, self.sizing.estimate(held.task.order))
            for held in self.tasks.values()
            if held.task.state is TaskState.QUEUED
        ]

    def urgent_waits(self) -> bool:
        """Tell whether urgent work is queued."""
        return any(cand.task.order.urgency <= URGENT for cand in self.candidates())

    def start(self, view: View, task: Task) -> None:
        """Tell a host to run a task that its row already names as running there."""
        spec = view.hosts.get(task.host)
        if spec is None:
            return
        contact, now = self._contact(task.host), self._clock.monotonic()
        contact.renewed_at = now
        contact.due = min(contact.due, now + RENEW_S)
        start = Start(task.id, task.token, LEASE_S, task.order, task.checkpoint)
        try:
            self._agents.start(spec.agent_address, start)
        except AgentFencedError:
            self.rescan_soon()
        except AgentError as exc:
            _log_agent(task.host, exc)

    def evict(self, view: View, eviction: Eviction) -> None:
        """Tell an attempt to make room."""
        task, address = eviction.task, view.hosts[eviction.task.host].agent_address
        event(logger, Event.TASK_EVICTED, task=task.id, host=task.host, how=eviction.how.value)
        try:
            if eviction.how is Yield.THROTTLE:
                self._agents.throttle(address, task.id, task.token)
                return
            end = self._agents.checkpoint if eviction.how is Yield.CHECKPOINT else self._agents.stop
            end(address, task.id, task.token)
            self._leaving[task.id] = Leaving(task.token, self._clock.monotonic())
        except AgentError as exc:
            _log_agent(task.host, exc)
        finally:
            self._contact(task.host).due = 0.0

    def drain_evictions(self, view: View) -> list[Eviction]:
        """Return what tasks at leaving hosts must do: checkpoint, else stop late in the grace."""
        now = self._clock.monotonic()
        leaving = [
            host
            for host in self._hosts_in_use(view)
            if view.assignment(host).state is not AssignmentState.SERVING
        ]
        self._draining_since = {host: self._draining_since.get(host, now) for host in leaving}
        found = []
        for host in leaving:
            grace_s = view.assignment(host).grace_s
            over = now - self._draining_since[host] >= grace_s * STOP_SHARE
            for task in self.running_on(host):
                if self._is_leaving(task):
                    continue
                if Yield.CHECKPOINT in task.order.yields:
                    found.append(Eviction(task, Yield.CHECKPOINT))
                elif over:
                    found.append(Eviction(task, Yield.STOP))
        return found

    def overdue_evictions(self) -> list[Eviction]:
        """Return the stops of attempts that take too long to save their progress."""
        latest = self._clock.monotonic() - CHECKPOINT_WAIT_S
        held = (self.tasks.get(name) for name in self._leaving)
        return [
            Eviction(one.task, Yield.STOP)
            for one in held
            if one is not None
            and self._is_leaving(one.task)
            and self._leaving[one.task.id].since <= latest
            and Yield.STOP in one.task.order.yields
        ]

    def save(self, changed: Sequence[Task], fence: Check) -> bool:
        """Write changed tasks under the fence; False where some may not have been written."""
        for first in range(0, len(changed), MAX_SAVED):
            part = changed[first : first + MAX_SAVED]
            held = [HeldTask(task, self.tasks[task.id].version) for task in part]
            try:
                version = self._store.save(held, fence)
            except StateError as exc:
                self.rescan_soon()
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="task")
                return False
            for task in part:
                self._keep(task, version)
        return True

    def _is_leaving(self, task: Task) -> bool:
        leaving = self._leaving.get(task.id)
        return leaving is not None and leaving.token == task.token

    def _keep(self, task: Task, version: int) -> None:
        self._hosts = None
        if task.state in FINAL_STATES:
            self.tasks.pop(task.id, None)
        else:
            self.tasks[task.id] = HeldTask(task, version)

    def _contact(self, host: str) -> HostContact:
        if host not in self._contacts:
            self._contacts[host] = HostContact(self._taken_at)
        return self._contacts[host]

    def _hosts_in_use(self, view: View) -> list[str]:
        """Return the hosts with attempts, wanted or not, and those that did not answer."""
        named = set(self._by_host())
        reported = {place.partition("/")[0] for place in self._reports}
        return sorted((named | reported | self._missed()) & view.hosts.keys())

    def _missed(self) -> set[str]:
        return {host for host, contact in self._contacts.items() if contact.missed}

    def _renew(self, view: View, host: str) -> Sequence[Report] | None:
        contact = self._contact(host)
        tokens = {task.id: task.token for task in self.running_on(host)}
        now = self._clock.monotonic()
        contact.due = now + (RENEW_S if tokens else IDLE_RENEW_S)
        if contact.renewing:
            contact.renewed_at = now
        renewal = Renewal(LEASE_S, tokens if contact.renewing else {}, self._settled(host, tokens))
        try:
            reports = self._agents.renew(view.hosts[host].agent_address, renewal)
        except AgentError as exc:
            contact.missed += 1
            _log_agent(host, exc)
            return None
        contact.missed = 0
        return reports

    def _settled(self, host: str, tokens: dict[str, int]) -> dict[str, int]:
        """Return the attempts that the host reported and that are no longer wanted there."""
        prefix = f"{host}/"
        return {
            report.id: report.token
            for place, report in self._reports.items()
            if place.startswith(prefix) and tokens.get(report.id) != report.token
        }

    def _settle(self, view: View, host: str, reports: Sequence[Report]) -> list[Task]:
        """Take in a host's reports; return the tasks that they change."""
        prefix = f"{host}/"
        self._reports = {
            place: report for place, report in self._reports.items() if not place.startswith(prefix)
        }
        self._reports.update((f"{prefix}{report.id}", report) for report in reports)
        known = {report.id: report for report in reports}
        changed = []
        for task in self.running_on(host):
            report = known.get(task.id)
            if report is None or report.token < task.token:
                self.start(view, task)
            elif report.token == task.token and report.state is not AgentState.RUNNING:
                changed.append(self._ended(task, report, len(view.hosts_of(self._pool))))
        return changed

    def _ended(self, task: Task, report: Report, hosts: int) -> Task:
        self._leaving.pop(task.id, None)
        match report.state:
            case AgentState.FINISHED:
                self.sizing.learn(task.order, report.usage)
                self.quarantine.succeeded(task.host)
                return replace(task, state=TaskState.FINISHED, result=report.result)
            case AgentState.FAILED:
                return self._failed(task, hosts)
        return replace(
            task, state=TaskState.QUEUED, host="", checkpoint=report.checkpoint or task.checkpoint
        )

    def _failed(self, task: Task, hosts: int) -> Task:
        elsewhere = bool(set(task.failed_on) - {task.host})
        self.quarantine.failed(task.host, task.id, elsewhere, self._clock.monotonic())
        failed_on = tuple(dict.fromkeys((*task.failed_on, task.host)))
        if len(failed_on) >= min(MAX_FAILED_HOSTS, hosts):
            reason = f"failed on {', '.join(failed_on)}"
            return replace(
                task, state=TaskState.SET_ASIDE, host="", failed_on=failed_on, reason=reason
            )
        return replace(task, state=TaskState.QUEUED, host="", failed_on=failed_on)

    def _lapsed(self, view: View) -> list[Task]:
        """Return to the queue what ran at hosts that have been silent past every lease."""
        oldest = self._clock.monotonic() - LEASE_S - LAPSE_MARGIN_S
        return [
            replace(held.task, state=TaskState.QUEUED, host="")
            for held in self.tasks.values()
            if held.task.state is TaskState.RUNNING
            and self._contact(held.task.host).renewed_at < oldest
            and (not self._contact(held.task.host).renewing or held.task.host not in view.hosts)
        ]

    def silent_hosts(self) -> set[str]:
        """Return the hosts that do not answer."""
        return {host for host, contact in self._contacts.items() if not contact.renewing}

    def _running(self, task: Task) -> Running:
        report = self._reports.get(f"{task.host}/{task.id}")
        size = self.sizing.estimate(task.order)
        throttled = report is not None and report.token == task.token and report.throttled
        return Running(task, size, throttled, self._is_leaving(task))


def _log_agent(host: str, exc: AgentError) -> None:
    event(logger, Event.AGENT_FAILED, logging.WARNING, host=host, code=exc.code, detail=exc.detail)
