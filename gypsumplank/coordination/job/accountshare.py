"""Order the pending steps of client accounts, like coordination/fairness.py orders teams.

Answers an account that submits many times its weight while capacity is short: what lies beyond its
weight comes after what the others are guaranteed, and may use what these leave free.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.placement import PendingStep
from gypsumplank.coordination.job.usage import KnownAccounts
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import Resources

MS_PER_S = 1000
# Least weight by which a share is divided; the manifest may give none.
MIN_WEIGHT = 0.05
# Stands for jobs without an account, which count together like one account, without excess.
NO_ACCOUNT = Account("", weight=1.0)
# Longest time for which a step waits for others only since its account has a higher share: seconds,
# a third of the platform's limit for starts, and the share of the time until its latest start. From
# then on the order is that of urgency.
MAX_PASSED_OVER_S = 1.0
MAX_SLACK_SHARE = 0.5
# Time after which an excess job's step has a claim on capacity, seconds, and how many steps of its
# service start before the one that waits longest is tried first.
EXCESS_WAIT_S = 3.0
STARTS_PER_EXCESS_START = 100
# Jobs that an account may have had in advance, as excess jobs that came first.
MAX_DEBT = 10.0
# Time for which the guaranteed starts find free capacity, seconds, as excess jobs leave it to
# them, and the time over which their rate is measured.
RESERVE_S = 0.15
RATE_WINDOW_S = 1.0

# Stands for all accounts of a service; no account is named so.
ALL_ACCOUNTS = "\0all"

Urgency = Callable[[PendingStep], tuple[int, int, float]]
# Whether the step is excess, its band of urgency and its queue's priority, the account's share and
# priority, the band of an excess step, and the latest start.
Rank = tuple[bool, int, int, float, int, int, float]
# The service and the account of a job.
Party = tuple[str, str]


class TokenBuckets:
    """Tell which jobs lie within their accounts' weights; a bucket holds one second's worth."""

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, float]] = {}

    def take(
        self, account: str, weight: float, accepted_ms: float, now_ms: float = math.inf
    ) -> bool:
        """Return whether a job lies within an account's weight; jobs come about in time order.

        Daemons' clocks differ, so a time before the last one counts as that, and one after
        `now_ms` as that; else a clock that was ahead for one job would stop the account's tokens.
        """
        capacity = max(1.0, weight)
        accepted_ms = min(accepted_ms, now_ms)
        tokens, last_ms = self._buckets.get(account, (capacity, accepted_ms))
        last_ms = min(last_ms, now_ms)
        elapsed_s = max(0.0, accepted_ms - last_ms) / MS_PER_S
        tokens = min(capacity, tokens + elapsed_s * weight)
        is_guaranteed = weight > 0 and tokens >= 1
        tokens -= 1 if is_guaranteed else 0
        self._buckets[account] = tokens, max(last_ms, accepted_ms)
        return is_guaranteed

    def charge(self, account: str) -> None:
        """Take a token for an excess job that starts before guaranteed ones of others.

        One of the account's next jobs is excess in its place, so that the others lose nothing.
        """
        if account in self._buckets:
            tokens, last_ms = self._buckets[account]
            self._buckets[account] = max(tokens - 1, -MAX_DEBT), last_ms


def mark_excess(
    jobs: Iterable[Job], known: KnownAccounts, buckets: TokenBuckets, now_ms: float
) -> None:
    """Mark the new jobs that their accounts are not guaranteed; `now_ms` is since 1970."""
    for job in sorted(jobs, key=lambda each: (each.stored.accepted_ms, each.id)):
        account = known.find(job.stored.account)
        if account is not None:
            accepted_ms = job.stored.accepted_ms
            job.is_excess = not buckets.take(account.name, account.weight, accepted_ms, now_ms)


def dominant_share(used: Resources, total: Resources, weight: float) -> float:
    """Return the largest share of a resource that is used, divided by the account's weight."""
    pairs = (
        (used.cpu, total.cpu),
        (used.memory_mb, total.memory_mb),
        (used.accelerators, total.accelerators),
    )
    largest = max((amount / whole for amount, whole in pairs if whole > 0), default=0.0)
    return largest / max(weight, MIN_WEIGHT)


@dataclass(frozen=True)
class ServiceUse:
    """Store what all workers of each service have, and what each account uses there."""

    totals: Mapping[str, Resources]
    used: dict[Party, Resources]


def find_short_services(
    pending: Iterable[PendingStep], free: Mapping[str, Resources]
) -> frozenset[str]:
    """Return the services in which more work waits than capacity is free."""
    waiting: defaultdict[str, Resources] = defaultdict(Resources)
    for each in pending:
        service = each.job.service
        waiting[service] = waiting[service] + each.step.order.need.scaled(len(each.tasks))
    return frozenset(
        service
        for service, need in waiting.items()
        if not free.get(service, Resources()).can_fit(need)
    )


class StartReserve:
    """Measure what guaranteed starts take a second, so that excess jobs leave it to the next ones.

    What an account starts itself does not count for its own excess jobs.
    """

    def __init__(self) -> None:
        self._sums: dict[Party, tuple[float, list[float]]] = {}
        # What `reserve` returned at a time, until a start changes it.
        self._reserves: dict[Party, Resources] = {}
        self._reserves_at = -math.inf

    def record_start(self, service: str, account: str, need: Resources, now: float) -> None:
        """Count tasks that were started within their accounts' weights."""
        amounts = (need.cpu, need.memory_mb, need.accelerators)
        self._reserves.clear()
        for party in ((service, ALL_ACCOUNTS), (service, account)):
            sums = zip(self._decayed(party, now), amounts, strict=True)
            self._sums[party] = now, [old + new for old, new in sums]

    def reserve(self, service: str, account: str, now: float) -> Resources:
        """Return what excess jobs of an account have to leave free in a service."""
        if now != self._reserves_at:
            self._reserves.clear()
            self._reserves_at = now
        if (service, account) not in self._reserves:
            self._reserves[service, account] = self._compute(service, account, now)
        return self._reserves[service, account]

    def _compute(self, service: str, account: str, now: float) -> Resources:
        every, own = (self._decayed((service, name), now) for name in (ALL_ACCOUNTS, account))
        rates = ((all_ - its) / RATE_WINDOW_S for all_, its in zip(every, own, strict=True))
        return Resources(*(int(rate * RESERVE_S) for rate in rates))

    def _decayed(self, party: Party, now: float) -> Sequence[float]:
        at, sums = self._sums.get(party, (now, [0.0, 0.0, 0.0]))
        share = math.exp(-max(0.0, now - at) / RATE_WINDOW_S)
        return [each * share for each in sums]


class ExcessTurns:
    """Let an excess step go first after every STARTS_PER_EXCESS_START other starts of a service."""

    def __init__(self) -> None:
        self._starts: defaultdict[str, int] = defaultdict(int)

    def record_start(self, job: Job) -> None:
        """Count a step of which tasks were started."""
        self._starts[job.service] = 0 if job.is_excess else self._starts[job.service] + 1

    def find_first(self, pending: Iterable[PendingStep], now: float) -> dict[str, PendingStep]:
        """Return the excess step that is due in each service, the one that waits longest."""
        due: dict[str, PendingStep] = {}
        for each in pending:
            job = each.job
            if not job.is_excess or now - job.arrived_at < EXCESS_WAIT_S:
                continue
            other = due.get(job.service)
            is_turn = self._starts[job.service] >= STARTS_PER_EXCESS_START
            if is_turn and (other is None or job.arrived_at < other.job.arrived_at):
                due[job.service] = each
        return due


class ShareOrder:
    """Order the pending steps of one round; shares grow with the starts of the round."""

    def __init__(
        self,
        known: KnownAccounts,
        use: ServiceUse,
        short_services: frozenset[str],
        first: Mapping[str, PendingStep],
        now: float,
    ) -> None:
        self._known = known
        self._use = use
        self._short_services = short_services
        self._first = first
        self._now = now
        self._shares: dict[Party, float] = {}
        # Starts of each party in this round; a rank changes with these only.
        self._starts: defaultdict[Party, int] = defaultdict(int)

    def is_short(self, service: str) -> bool:
        """Return whether more work waits in a service than capacity is free."""
        return service in self._short_services

    def share(self, party: Party) -> float:
        """Return the dominant share of an account in a service."""
        if party not in self._shares:
            service, name = party
            used = self._use.used.get(party, Resources())
            total = self._use.totals.get(service, Resources())
            account = self._known.find(name) or NO_ACCOUNT
            self._shares[party] = dominant_share(used, total, account.weight)
        return self._shares[party]

    def has_turn(self, pending: PendingStep) -> bool:
        """Return whether an excess step comes first in its service now."""
        first = self._first.get(pending.job.service)
        return first is not None and first.step is pending.step

    def rank(self, pending: PendingStep, urgency: tuple[int, int, float]) -> Rank:
        """Return the sort key of a step; long-running steps keep their order.

        An excess step whose turn it is comes before all others of its service.
        """
        band, queue_priority, deadline = urgency
        job = pending.job
        if self.has_turn(pending):
            return (False, -2, queue_priority, 0.0, 0, 0, deadline)
        if pending.step.order.lasting:
            return (False, band, queue_priority, 0.0, 0, 0, deadline)
        share, priority = 0.0, 0
        if self.is_short(job.service) and not self._is_passed_over(pending, deadline):
            account = self._known.find(job.stored.account) or NO_ACCOUNT
            share, priority = self.share((job.service, account.name)), account.priority
        if job.is_excess:
            # Late steps come last in urgency, so a hot account would pass those that it delayed.
            return (True, 0, queue_priority, share, priority, band, deadline)
        return (False, band, queue_priority, share, priority, 0, deadline)

    def _party(self, pending: PendingStep) -> Party:
        """Return whose share counts for a step."""
        account = self._known.find(pending.job.stored.account) or NO_ACCOUNT
        return pending.job.service, account.name

    def _is_passed_over(self, pending: PendingStep, deadline: float) -> bool:
        """Return whether a guaranteed step has waited for as long as its share may delay it."""
        since = min(task.queued_since for task in pending.tasks)
        limit_s = min(MAX_PASSED_OVER_S, MAX_SLACK_SHARE * (deadline - since))
        return not pending.job.is_excess and self._now - since > limit_s

    def record_start(self, pending: PendingStep, tasks: int) -> None:
        """Add tasks that were assigned."""
        party = (pending.job.service, pending.job.stored.account)
        used = self._use.used.get(party, Resources())
        self._use.used[party] = used + pending.step.order.need.scaled(tasks)
        self._shares.pop(party, None)
        self._starts[party] += 1

    def sorted(self, pending: Sequence[PendingStep], urgency: Urgency) -> Iterator[PendingStep]:
        """Yield the steps in order, which follows the starts that are recorded meanwhile."""
        urgencies = [urgency(each) for each in pending]
        heap = [
            (self.rank(each, urgencies[index]), index, each) for index, each in enumerate(pending)
        ]
        heapq.heapify(heap)
        parties = [self._party(each) for each in pending]
        ranked_at = [0] * len(pending)
        while heap:
            rank, index, each = heap[0]
            starts = self._starts.get(parties[index], 0)
            if starts != ranked_at[index]:
                ranked_at[index] = starts
                current = self.rank(each, urgencies[index])
                if current > rank:
                    heapq.heapreplace(heap, (current, index, each))
                    continue
            heapq.heappop(heap)
            yield each
