"""Hold back the tasks of client accounts that have reached their caps, in one leader's term.

Answers an account whose small tasks would keep its use near its cap, so that a larger task of the
same account never started.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from gypsumplank.coordination.job.accountshare import (
    MAX_PASSED_OVER_S,
    ExcessTurns,
    ShareOrder,
    StartReserve,
    TokenBuckets,
    Urgency,
    find_short_services,
    mark_excess,
)
from gypsumplank.coordination.job.accountstatus import AccountStatus, make_statuses
from gypsumplank.coordination.job.heldstep import HeldStep, HoldCause, held_key
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import Job, Task
from gypsumplank.coordination.job.placement import PendingStep
from gypsumplank.coordination.job.usage import (
    KnownAccounts,
    Usage,
    count_startable,
    is_under_half,
)
from gypsumplank.coordination.job.usagetracker import UsageTracker
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources
from gypsumplank.protocol.queue import Manifest

# Time for which a step is passed over because of its account's cap before it has the turn: until it
# starts, nothing else of its account does. Seconds; a third of the platform's limit of 3 s.
TURN_AFTER_S = 1.0
# Longest time for which a turn delays an account below half of its cap, seconds. With TURN_AFTER_S
# it is less than the 3 s in which the platform demands that such an account is served.
MAX_TURN_BELOW_HALF_S = 1.5
# Time after which a held step that is not tried any more is forgotten, seconds; longer than the
# interval between rounds (0.2 s).
FORGET_AFTER_S = 0.6
# Interval at which the figures for operators are updated, seconds.
STATUS_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class AccountLimits:
    """Store what bounds the caps in force.

    `manifest_age_s` returns the seconds since the store confirmed the manifest, None without one;
    from `config_apply_s` on, no task of a capped account starts. `overage` is the share by which
    the platform lets the resources of an account exceed its cap.
    """

    manifest_age_s: Callable[[], float | None] = lambda: 0.0
    config_apply_s: float = 3.0
    overage: float = 0.0


class AccountControl:
    """Decide what accounts may start; used by the scheduler's thread only.

    `status` is replaced as a whole, so that other threads may read it.
    """

    def __init__(self, known: KnownAccounts, limits: AccountLimits) -> None:
        self._known = known
        self._limits = limits
        self._now = 0.0
        # When the manifest in force was confirmed, in monotonic seconds; None without one.
        self._confirmed_at: float | None = None
        self._jobs: Mapping[str, Job] = {}
        self._instances: Collection[WorkerInstance] = ()
        self._tracker = UsageTracker()
        self._usage: dict[str, Usage] | None = None
        self._begun: dict[str, Resources] | None = None
        self._gang_decisions: dict[tuple[str, int], bool] = {}
        self._held: defaultdict[str, dict[tuple[str, int], HeldStep]] = defaultdict(dict)
        # Held steps that are not tried any more, as they fit on no worker.
        self._untried: dict[tuple[str, int], PendingStep] = {}
        self._turns: dict[str, HeldStep | None] = {}
        self._buckets = TokenBuckets()
        self._excess_turns = ExcessTurns()
        self._reserve = StartReserve()
        self._free: dict[str, Resources] = {}
        self._order: ShareOrder | None = None
        self._excess_waiting: Counter[str] = Counter()
        self._next_status_at = 0.0
        self.status: tuple[AccountStatus, ...] = ()

    @property
    def is_active(self) -> bool:
        """Return whether any manifest that was read has accounts."""
        return self._known.has_any

    # Rounds

    def begin_round(
        self, instances: Collection[WorkerInstance], workload: Workload, now: float, wall_ms: float
    ) -> None:
        """Begin a scheduling round with the worker instances, whose tasks count, and the jobs."""
        # Taken before the manifest, which may be replaced meanwhile.
        age_s = self._limits.manifest_age_s()
        self._confirmed_at = None if age_s is None else now - age_s
        self._jobs = workload.jobs
        self._known.update(self._jobs.values())
        self._order = None
        # Jobs are marked in the order of their times, so a take-over has to know all of them.
        new_jobs = workload.take_new_jobs() if workload.is_complete else ()
        if not self.is_active:
            return
        mark_excess(new_jobs, self._known, self._buckets, wall_ms)
        self._now, self._instances, self._usage = now, instances, None
        self._turns.clear()
        for account, held in list(self._held.items()):
            for key in [key for key, each in held.items() if now - each.tried_at > FORGET_AFTER_S]:
                self._untried[key] = held.pop(key).pending
            if not held:
                del self._held[account]
        if now >= self._next_status_at:
            self._next_status_at = now + STATUS_INTERVAL_S
            self._update_status()
            self._release_untried()

    def order(
        self,
        pending: Iterable[PendingStep],
        urgency: Urgency,
        free_by_service: Callable[[], Mapping[str, Resources]],
    ) -> Iterable[PendingStep]:
        """Return the steps in the order in which to place them: by urgency, and by account.

        `pending` is sorted by urgency. The order follows the starts that are recorded while it is
        read.
        """
        if not self.is_active:
            return pending
        pending = list(pending)
        self._excess_waiting = Counter(
            each.job.stored.account for each in pending if each.job.is_excess
        )
        self._free = dict(free_by_service())
        short_services = find_short_services(pending, self._free)
        if not short_services and not self._excess_waiting:
            return pending
        first = self._excess_turns.find_first(pending, self._now)
        use = self._tracker.service_use(self._instances)
        self._order = ShareOrder(self._known, use, short_services, first, self._now)
        return self._order.sorted(pending, urgency)

    def usage(self, account: str) -> Usage:
        """Return what an account uses, with the tasks that this round has assigned."""
        if self._usage is None:
            self._usage = self._tracker.usage(self._instances)
        return self._usage.get(account, Usage())

    def limit(self, pending: PendingStep) -> PendingStep | None:
        """Return the step with those of its tasks that its account may start; None if none."""
        account = pending.job.stored.account
        if pending.job.is_excess and not pending.step.order.lasting:
            spare = self._limit_excess(pending)
            is_short = self._order is not None and self._order.is_short(pending.job.service)
            has_waited = self._now - pending.job.arrived_at > MAX_PASSED_OVER_S
            if has_waited and (is_short or spare is None):
                self._log_hold(pending, HoldCause.EXCESS)
            if spare is None:
                return None
            pending = spare
        cap = self._known.cap(account) if account else None
        if cap is None:
            if self._may_be_named(pending.job):
                self._log_hold(pending, HoldCause.UNCONFIRMED)
                return None
            return pending
        cause, count = self._judge(pending, cap)
        key = held_key(pending)
        self._untried.pop(key, None)
        pending.job.set_held(cause is not None and cause is not HoldCause.UNCONFIRMED)
        if cause is None:
            self._held[account].pop(key, None)
            tasks = pending.tasks[:count]
            return pending if count == len(pending.tasks) else replace(pending, tasks=tasks)
        if cause is not HoldCause.UNCONFIRMED:
            held = self._held[account].get(key)
            if held is None:
                held = self._held[account][key] = HeldStep(pending, self._now, self._now)
            held.pending, held.tried_at = pending, self._now
        self._log_hold(pending, cause)
        return None

    def _limit_excess(self, pending: PendingStep) -> PendingStep | None:
        """Return the step with those tasks for which more is free than the reserve; or None."""
        if self._order is not None and self._order.has_turn(pending):
            return pending
        service, order = pending.job.service, pending.step.order
        reserve = self._reserve.reserve(service, pending.job.stored.account, self._now)
        spare = self._free.get(service, Resources()) - reserve
        count = 0
        while count < len(pending.tasks) and spare.can_fit(order.need):
            spare = spare - order.need
            count += 1
        if not count or (order.gang and count < order.tasks):
            return None
        if count == len(pending.tasks):
            return pending
        return replace(pending, tasks=pending.tasks[:count])

    def record_start(self, pending: PendingStep, tasks: int) -> None:
        """Add tasks of a step that were assigned in this round."""
        if not self.is_active:
            return
        account = pending.job.stored.account
        service, need = pending.job.service, pending.step.order.need.scaled(tasks)
        if self._order is not None and self._order.has_turn(pending):
            self._buckets.charge(account)
        self._excess_turns.record_start(pending.job)
        self._free[service] = self._free.get(service, Resources()) - need
        if not pending.job.is_excess:
            self._reserve.record_start(service, account, need, self._now)
        if self._order is not None:
            self._order.record_start(pending, tasks)
        if self._usage is None or not account:
            return
        self._usage[account] = self.usage(account).plus(need)
        if self._turns.get(account) is not None:
            self._turns.pop(account)

    def may_start(self, pending: PendingStep) -> bool:
        """Return whether a task of the step may start, without effect on later decisions."""
        account = pending.job.stored.account
        cap = self._known.cap(account) if account else None
        if cap is None:
            return not self._may_be_named(pending.job)
        return self._judge(pending, cap)[0] is None

    def _may_be_named(self, job: Job) -> bool:
        """Return whether the newest manifest may name the job's account, and the known ones not.

        The daemon that accepted the job knew a manifest that names it. One confirmed since this
        leader read the job is at least as new; an account that it does not name was dropped.
        """
        account = job.stored.account
        if not account or self._known.find(account) is not None:
            return False
        return self._confirmed_at is None or self._confirmed_at < job.arrived_at

    def _judge(self, pending: PendingStep, cap: Resources) -> tuple[HoldCause | None, int]:
        """Return why the step waits, or None and how many of its tasks may start."""
        if not self._is_confirmed():
            return HoldCause.UNCONFIRMED, 0
        order, usage = pending.step.order, self.usage(pending.job.stored.account)
        count = count_startable(usage.total, order, len(pending.tasks), cap, self._limits.overage)
        if not count:
            # A single task may always start if its account uses nothing.
            is_possible = not order.gang or self._fits(pending, Resources(), cap)
            return HoldCause.CAP if is_possible else HoldCause.TOO_LARGE, 0
        if not order.lasting and self._has_other_turn(pending, usage, cap):
            return HoldCause.TURN, 0
        return None, count

    def _is_confirmed(self) -> bool:
        age_s = self._limits.manifest_age_s()
        return age_s is not None and age_s < self._limits.config_apply_s

    def _fits(self, pending: PendingStep, used: Resources, cap: Resources) -> bool:
        return count_startable(used, pending.step.order, 1, cap, self._limits.overage) > 0

    def _release_untried(self) -> None:
        """Let jobs ask for machines again once their caps allow their untried steps."""
        for key, pending in list(self._untried.items()):
            job, account = pending.job, pending.job.stored.account
            cap = None if job.state in FINAL_JOB_STATES else self._known.cap(account)
            if cap is None or self._fits(pending, self.usage(account).total, cap):
                job.set_held(False)
                del self._untried[key]

    def _has_other_turn(self, pending: PendingStep, usage: Usage, cap: Resources) -> bool:
        """Return whether another step of the account has the turn, and may still delay this one."""
        account = pending.job.stored.account
        if account not in self._turns:
            self._turns[account] = self._next_turn(account, usage, cap)
        turn = self._turns[account]
        if turn is None or held_key(turn.pending) == held_key(pending):
            return False
        if not is_under_half(usage.total, cap):
            return True
        if self._now - turn.turn_since <= MAX_TURN_BELOW_HALF_S:
            return True
        # Its place in the order of turns is the last one now.
        turn.since, turn.turn_since, self._turns[account] = self._now, 0.0, None
        return False

    def _next_turn(self, account: str, usage: Usage, cap: Resources) -> HeldStep | None:
        """Return the step held for longest that can start once the account's batch runs end."""
        due = [
            each
            for each in self._held.get(account, {}).values()
            if self._now - each.since >= TURN_AFTER_S
            and self._fits(each.pending, usage.lasting, cap)
        ]
        turn = min(due, key=lambda each: (not each.turn_since, each.since), default=None)
        if turn is not None:
            turn.turn_since = turn.turn_since or self._now
        return turn

    def _log_hold(self, pending: PendingStep, cause: HoldCause) -> None:
        job = pending.job
        if cause in job.hold_causes:
            return
        job.hold_causes |= {cause}
        used = self.usage(job.stored.account).total
        cap = self._known.cap(job.stored.account) or Resources()
        event(
            logger,
            Event.JOB_HELD,
            job=job.id,
            account=job.stored.account,
            why=cause.value,
            used_cpu=used.cpu,
            used_memory_mb=used.memory_mb,
            used_accelerators=used.accelerators,
            cap_cpu=cap.cpu,
            cap_memory_mb=cap.memory_mb,
            cap_accelerators=cap.accelerators,
        )

    def _update_status(self) -> None:
        usage = self._tracker.usage(self._instances)
        self._usage = dict(usage)
        held = {
            account: sum(len(each.pending.tasks) for each in steps.values())
            for account, steps in self._held.items()
        }
        use = self._tracker.service_use(self._instances)
        self.status = make_statuses(self._known, usage, use, held, self._excess_waiting)

    # Starts that wait for the store while caps may change

    def begin_sending(self, instances: Iterable[WorkerInstance]) -> None:
        """Begin to send starts to these worker instances."""
        self._known.update(self._jobs.values())
        self._instances, self._begun = list(instances), None
        self._gang_decisions.clear()

    def may_send(self, task: Task) -> bool:
        """Return whether the start of an assigned task may still be sent.

        What has begun counts, with the starts that were sent before this one.
        """
        account = task.step.job.stored.account
        cap = self._known.cap(account) if account else None
        if cap is None:
            return True
        if not self._is_confirmed():
            return False
        order, gang = task.step.order, (task.step.key, task.run)
        if order.gang and gang in self._gang_decisions:
            return self._gang_decisions[gang]
        if self._begun is None:
            self._begun = self._tracker.begun(self._instances)
        used = self._begun.get(account, Resources())
        members = order.tasks if order.gang else 1
        may_send = count_startable(used, order, members, cap, self._limits.overage) > 0
        if may_send:
            self._begun[account] = used + order.need.scaled(members)
        if order.gang:
            self._gang_decisions[gang] = may_send
        return may_send


class Accounts:
    """Keep what a daemon knows of accounts over its terms as the leader."""

    def __init__(
        self, manifest: Callable[[], Manifest | None], limits: AccountLimits | None = None
    ) -> None:
        self.known = KnownAccounts(manifest)
        self._limits = limits or AccountLimits()
        self._control = self.begin_term()

    def begin_term(self) -> AccountControl:
        """Return what decides on starts in a new term."""
        self._control = AccountControl(self.known, self._limits)
        return self._control

    def statuses(self) -> tuple[AccountStatus, ...]:
        """Return the accounts' figures of the last term; any thread may call this."""
        return self._control.status
