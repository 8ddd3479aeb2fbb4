"""Track the open tasks of one pool and their attempts on its hosts."""

import logging
from collections.abc import Iterable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from functools import partial

from gypsumplank.coordination.agent import Agents
from gypsumplank.coordination.placement import Candidate, Eviction, RunningAttempt
from gypsumplank.coordination.quarantine import Quarantine
from gypsumplank.coordination.sizing import SizeEstimator
from gypsumplank.errors import AgentError, AgentFencedError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.protocol.task import (
    FINAL_STATES,
    MAX_URGENT_LEVEL,
    AgentState,
    AttemptReport,
    PreemptionMethod,
    RenewalRequest,
    StartRequest,
    Task,
    TaskState,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.table import Check
from gypsumplank.state.task import TaskRow, TaskStore
from gypsumplank.state.view import View

ATTEMPT_LEASE_S = 10.0
RENEW_INTERVAL_S = 2.0
# Interval at hosts that no running task is assigned to.
IDLE_RENEW_INTERVAL_S = 10.0
CHECKPOINT_TIMEOUT_S = 1.0
# Share of a drain's grace period after which tasks that cannot checkpoint are stopped.
STOP_AFTER_GRACE_SHARE = 0.8
# Time past the end of an attempt's lease after which its task is queued again.
LEASE_LAPSE_MARGIN_S = 2.0
RESCAN_INTERVAL_S = 5.0
IDLE_RESCAN_INTERVAL_S = 30.0
# How far back new tasks are searched by id, which starts with the time of submission in ms.
NEW_TASKS_OVERLAP_MS = 10_000
# A task that failed on this many hosts, or on as many as a smaller pool has, is set aside.
MAX_FAILED_HOSTS = 3
MAX_TASKS_PER_SAVE = 300
MAX_MISSED_RENEWALS = 2

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class EndingAttempt:
    """Store the token of an attempt and when it was ordered to end, in monotonic seconds."""

    token: int
    since: float


class HostRenewals:
    """Track the lease renewals of the attempts on a host; times are in monotonic seconds."""

    def __init__(self, now: float) -> None:
        self.renewed_at = now
        self.due_at = now
        self.missed = 0

    @property
    def renewing(self) -> bool:
        """Return whether leases are renewed; those on an unresponsive host expire."""
        return self.missed < MAX_MISSED_RENEWALS


class TaskPool:
    """Manage the open tasks of one pool whose lease this daemon holds."""

    def __init__(self, pool: str, store: TaskStore, agents: Agents, clock: Clock) -> None:
        self._pool = pool
        self._store = store
        self._agents = agents
        self._clock = clock
        self._renewals: dict[str, HostRenewals] = {}
        self._acquired_at = clock.monotonic()
        self._rescan_at = 0.0
        self._reports: dict[str, AttemptReport] = {}
        self._ending: dict[str, EndingAttempt] = {}
        self._draining_since: dict[str, float] = {}
        self.tasks: dict[str, TaskRow] = {}
        self.loaded = False
        self._submission_version = 0
        self._running_cache: dict[str, list[Task]] | None = None
        self.size_estimator = SizeEstimator()
        self.quarantine = Quarantine()

    def request_rescan(self) -> None:
        """Make the next round read all open tasks."""
        self._rescan_at = 0.0

    @property
    def idle(self) -> bool:
        """Return whether there is no open task and no attempt to monitor."""
        return not (self.tasks or self._reports or self._hosts_with_missed_renewals())

    def read(self, submission_version: int) -> None:
        """Read new tasks if the submission version changed, and all open tasks periodically."""
        now = self._clock.monotonic()
        if now >= self._rescan_at:
            self.tasks = {row.task.id: row for row in self._store.list_open(self._pool)}
            self._rescan_at = now + (RESCAN_INTERVAL_S if self.tasks else IDLE_RESCAN_INTERVAL_S)
            self.loaded = True
        elif submission_version != self._submission_version:
            oldest_ms = int(self._clock.wall() * 1000) - NEW_TASKS_OVERLAP_MS
            for row in self._store.list_open(self._pool, f"{oldest_ms:013d}"):
                self.tasks[row.task.id] = row
            self._rescan_at = min(self._rescan_at, now + RESCAN_INTERVAL_S)
        self._submission_version = submission_version
        self._running_cache = None

    def running_on(self, host: str) -> list[Task]:
        """Return the running tasks that are assigned to a host."""
        return self._running_by_host().get(host, [])

    def _running_by_host(self) -> dict[str, list[Task]]:
        if self._running_cache is None:
            self._running_cache = {}
            for row in self.tasks.values():
                if row.task.state is TaskState.RUNNING:
                    self._running_cache.setdefault(row.task.host, []).append(row.task)
        return self._running_cache

    def renew_leases(self, view: View, executor: Executor) -> list[Task]:
        """Renew leases on the hosts that are due and return the tasks that have changed."""
        now = self._clock.monotonic()
        due = [host for host in self._hosts_in_use(view) if self._renewals_of(host).due_at <= now]
        reports = executor.map(partial(self._renew_host, view), due)
        changed = [
            task
            for host, host_reports in zip(due, reports, strict=True)
            if host_reports is not None
            for task in self._apply_reports(view, host, host_reports)
        ]
        return [*changed, *self._requeue_expired(view)]

    def running_attempts(self, hosts: Iterable[str]) -> dict[str, list[RunningAttempt]]:
        """Return the attempts on each host with their estimated sizes."""
        return {
            host: [self._running_attempt(task) for task in self.running_on(host)] for host in hosts
        }

    def candidates(self) -> list[Candidate]:
        """Return the queued tasks with their estimated sizes."""
        return [
            Candidate(row.task, self.size_estimator.estimate(row.task.order))
            for row in self.tasks.values()
            if row.task.state is TaskState.QUEUED
        ]

    def has_urgent_queued(self) -> bool:
        """Return whether an urgent task is queued."""
        return any(cand.task.order.urgency <= MAX_URGENT_LEVEL for cand in self.candidates())

    def start(self, view: View, task: Task) -> None:
        """Start an attempt on the host that the task's row names already."""
        spec = view.hosts.get(task.host)
        if spec is None:
            return
        renewals, now = self._renewals_of(task.host), self._clock.monotonic()
        renewals.renewed_at = now
        renewals.due_at = min(renewals.due_at, now + RENEW_INTERVAL_S)
        start = StartRequest(task.id, task.token, ATTEMPT_LEASE_S, task.order, task.checkpoint)
        try:
            self._agents.start(spec.agent_address, start)
        except AgentFencedError:
            self.request_rescan()
        except AgentError as exc:
            _log_agent_error(task.host, exc)

    def evict(self, view: View, eviction: Eviction) -> None:
        """Throttle, checkpoint or stop an attempt to free capacity."""
        task, address = eviction.task, view.hosts[eviction.task.host].agent_address
        event(logger, Event.TASK_EVICTED, task=task.id, host=task.host, how=eviction.action.value)
        try:
            if eviction.action is PreemptionMethod.THROTTLE:
                self._agents.throttle(address, task.id, task.token)
                return
            end = (
                self._agents.checkpoint
                if eviction.action is PreemptionMethod.CHECKPOINT
                else self._agents.stop
            )
            end(address, task.id, task.token)
            self._ending[task.id] = EndingAttempt(task.token, self._clock.monotonic())
        except AgentError as exc:
            _log_agent_error(task.host, exc)
        finally:
            self._renewals_of(task.host).due_at = 0.0

    def drain_evictions(self, view: View) -> list[Eviction]:
        """Return evictions from draining hosts: checkpoints, or stops late in the grace period."""
        now = self._clock.monotonic()
        draining = [
            host
            for host in self._hosts_in_use(view)
            if view.assignment(host).state is not AssignmentState.SERVING
        ]
        self._draining_since = {host: self._draining_since.get(host, now) for host in draining}
        evictions = []
        for host in draining:
            grace_s = view.assignment(host).grace_s
            must_stop = now - self._draining_since[host] >= grace_s * STOP_AFTER_GRACE_SHARE
            for task in self.running_on(host):
                if self._is_ending(task):
                    continue
                if PreemptionMethod.CHECKPOINT in task.order.yields:
                    evictions.append(Eviction(task, PreemptionMethod.CHECKPOINT))
                elif must_stop:
                    evictions.append(Eviction(task, PreemptionMethod.STOP))
        return evictions

    def overdue_evictions(self) -> list[Eviction]:
        """Return stops of evicted attempts that have not ended within CHECKPOINT_TIMEOUT_S."""
        latest = self._clock.monotonic() - CHECKPOINT_TIMEOUT_S
        ending_tasks = (self.tasks.get(name) for name in self._ending)
        return [
            Eviction(row.task, PreemptionMethod.STOP)
            for row in ending_tasks
            if row is not None
            and self._is_ending(row.task)
            and self._ending[row.task.id].since <= latest
            and PreemptionMethod.STOP in row.task.order.yields
        ]

    def save(self, changed: Sequence[Task], fence: Check) -> bool:
        """Write changed tasks under the fence; return False if some may not have been written."""
        for first in range(0, len(changed), MAX_TASKS_PER_SAVE):
            batch = changed[first : first + MAX_TASKS_PER_SAVE]
            rows = [TaskRow(task, self.tasks[task.id].version) for task in batch]
            try:
                version = self._store.save(rows, fence)
            except StateError as exc:
                self.request_rescan()
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="task")
                return False
            for task in batch:
                self._update_cached(task, version)
        return True

    def _is_ending(self, task: Task) -> bool:
        ending = self._ending.get(task.id)
        return ending is not None and ending.token == task.token

    def _update_cached(self, task: Task, version: int) -> None:
        self._running_cache = None
        if task.state in FINAL_STATES:
            self.tasks.pop(task.id, None)
        else:
            self.tasks[task.id] = TaskRow(task, version)

    def _renewals_of(self, host: str) -> HostRenewals:
        if host not in self._renewals:
            self._renewals[host] = HostRenewals(self._acquired_at)
        return self._renewals[host]

    def _hosts_in_use(self, view: View) -> list[str]:
        """Return the hosts with assigned or reported attempts, or with missed renewals."""
        assigned = set(self._running_by_host())
        reported = {report_key.partition("/")[0] for report_key in self._reports}
        return sorted(
            (assigned | reported | self._hosts_with_missed_renewals()) & view.hosts.keys()
        )

    def _hosts_with_missed_renewals(self) -> set[str]:
        return {host for host, renewals in self._renewals.items() if renewals.missed}

    def _renew_host(self, view: View, host: str) -> Sequence[AttemptReport] | None:
        renewals = self._renewals_of(host)
        tokens = {task.id: task.token for task in self.running_on(host)}
        now = self._clock.monotonic()
        renewals.due_at = now + (RENEW_INTERVAL_S if tokens else IDLE_RENEW_INTERVAL_S)
        if renewals.renewing:
            renewals.renewed_at = now
        renewal = RenewalRequest(
            ATTEMPT_LEASE_S,
            tokens if renewals.renewing else {},
            self._settled_attempts(host, tokens),
        )
        try:
            reports = self._agents.renew(view.hosts[host].agent_address, renewal)
        except AgentError as exc:
            renewals.missed += 1
            _log_agent_error(host, exc)
            return None
        renewals.missed = 0
        return reports

    def _settled_attempts(self, host: str, tokens: dict[str, int]) -> dict[str, int]:
        """Return the tokens of reported attempts that a host is no longer assigned, by task."""
        prefix = f"{host}/"
        return {
            report.id: report.token
            for report_key, report in self._reports.items()
            if report_key.startswith(prefix) and tokens.get(report.id) != report.token
        }

    def _apply_reports(self, view: View, host: str, reports: Sequence[AttemptReport]) -> list[Task]:
        """Store a host's reports; return the tasks that they change."""
        prefix = f"{host}/"
        self._reports = {
            report_key: report
            for report_key, report in self._reports.items()
            if not report_key.startswith(prefix)
        }
        self._reports.update((f"{prefix}{report.id}", report) for report in reports)
        by_task = {report.id: report for report in reports}
        changed = []
        for task in self.running_on(host):
            report = by_task.get(task.id)
            if report is None or report.token < task.token:
                self.start(view, task)
            elif report.token == task.token and report.state is not AgentState.RUNNING:
                changed.append(self._after_end(task, report, len(view.hosts_of(self._pool))))
        return changed

    def _after_end(self, task: Task, report: AttemptReport, host_count: int) -> Task:
        self._ending.pop(task.id, None)
        match report.state:
            case AgentState.FINISHED:
                self.size_estimator.record_usage(task.order, report.usage)
                self.quarantine.record_success(task.host)
                return replace(task, state=TaskState.FINISHED, result=report.result)
            case AgentState.FAILED:
                return self._after_failure(task, host_count)
        return replace(
            task, state=TaskState.QUEUED, host="", checkpoint=report.checkpoint or task.checkpoint
        )

    def _after_failure(self, task: Task, host_count: int) -> Task:
        failed_elsewhere = bool(set(task.failed_on) - {task.host})
        self.quarantine.record_failure(
            task.host, task.id, failed_elsewhere, self._clock.monotonic()
        )
        failed_on = tuple(dict.fromkeys((*task.failed_on, task.host)))
        if len(failed_on) >= min(MAX_FAILED_HOSTS, host_count):
            reason = f"failed on {', '.join(failed_on)}"
            return replace(
                task, state=TaskState.SET_ASIDE, host="", failed_on=failed_on, reason=reason
            )
        return replace(task, state=TaskState.QUEUED, host="", failed_on=failed_on)

    def _requeue_expired(self, view: View) -> list[Task]:
        """Return tasks, queued again, whose lease expired at an unresponsive or deleted host."""
        oldest = self._clock.monotonic() - ATTEMPT_LEASE_S - LEASE_LAPSE_MARGIN_S
        return [
            replace(row.task, state=TaskState.QUEUED, host="")
            for row in self.tasks.values()
            if row.task.state is TaskState.RUNNING
            and self._renewals_of(row.task.host).renewed_at < oldest
            and (not self._renewals_of(row.task.host).renewing or row.task.host not in view.hosts)
        ]

    def unresponsive_hosts(self) -> set[str]:
        """Return the hosts that missed MAX_MISSED_RENEWALS renewals in a row."""
        return {host for host, renewals in self._renewals.items() if not renewals.renewing}

    def _running_attempt(self, task: Task) -> RunningAttempt:
        report = self._reports.get(f"{task.host}/{task.id}")
        size = self.size_estimator.estimate(task.order)
        throttled = report is not None and report.token == task.token and report.throttled
        return RunningAttempt(task, size, throttled, self._is_ending(task))


def _log_agent_error(host: str, exc: AgentError) -> None:
    event(logger, Event.AGENT_FAILED, logging.WARNING, host=host, code=exc.code, detail=exc.detail)
