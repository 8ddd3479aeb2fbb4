import random
import statistics
from collections import Counter
from types import SimpleNamespace

import pytest

from gypsumplank.coordination.job.accountshare import (
    EXCESS_WAIT_S,
    MAX_PASSED_OVER_S,
    RESERVE_S,
    STARTS_PER_EXCESS_START,
    TokenBuckets,
    dominant_share,
)
from gypsumplank.coordination.job.workload import UNKNOWN_VERSION
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
)
from gypsumplank.state.jobrow import LoadedJob
from tests.coordination.job.accountsite import QUEUE, ROUND_S, SERVICE, AccountSite

ROOM = Resources(10_000, 100_000)
# Of the accounts in the replay, the first three send HOT_FACTOR times their weights.
ACCOUNTS, HOT, HOT_FACTOR = 30, 3, 7.5
WEIGHT, RUN_S, WORKERS = 2.0, 0.4, 2
# Time after which hot accounts send more, when the service has its usual load, seconds.
WARM_UP_S = 2.0


def weighted(**weights):
    return tuple(Account(name, weight=weight) for name, weight in weights.items())


def test_a_bucket_holds_one_second_of_the_weight():
    buckets = TokenBuckets()
    assert [buckets.take("a", 3, 1000) for _ in range(5)] == [True] * 3 + [False] * 2
    # A third of a second later there is one more; a clock that is behind earns nothing.
    assert [buckets.take("a", 3, at) for at in (1340, 900, 1350)] == [True, False, False]
    assert [buckets.take("a", 3, 60_000) for _ in range(4)] == [True] * 3 + [False]
    assert not buckets.take("b", 0, 1000)
    # A weight below 1 still earns a whole job in time.
    assert [buckets.take("c", 0.5, at) for at in (0, 1000, 2000, 3000)] == [
        True,
        False,
        True,
        False,
    ]


@pytest.mark.parametrize(("ahead_ms", "set_back_s"), [(3_600_000, 0), (0, 3600)])
def test_a_clock_that_is_ahead_does_not_make_later_jobs_excess(ahead_ms, set_back_s):
    # The clock of the daemon that accepted one job, or of all until they were set right.
    site = AccountSite(weighted(a=2), 1, ROOM)
    site.clock.wall = lambda: site.clock.now + ahead_s
    ahead_s = set_back_s
    jobs = [site.submit("a", accepted_ms=site.clock.wall() * 1000 + ahead_ms)]
    site.round()
    ahead_s = 0
    for _ in range(5):
        jobs.append(site.submit("a"))
        site.run(0.6)
    assert not any(job.is_excess for job in jobs)


def test_jobs_of_a_take_over_are_marked_in_the_order_in_which_they_were_accepted():
    # A take-over adds them by their queues' priority, in chunks; new ones come in between.
    site = AccountSite(weighted(a=2), 1, ROOM)
    workload, steps = site.scheduler.workload, (StepDefinition(1, Resources(100, 10), 500),)

    def rows(number):
        order = JobDefinition("1", steps)
        stored = StoredJob(f"b{number:015x}", QUEUE.name, SERVICE, number * 500, order, "a")
        loaded = LoadedJob(stored, JobState.QUEUED, 1, False, {})
        return SimpleNamespace(id=stored.id, decode=lambda: loaded)

    workload.postpone(map(rows, reversed(range(150))), site.clock.monotonic())
    site.submit("a", *steps)
    while workload.postponed:
        workload.add_postponed(lambda: None)
        site.round()
    assert len(workload.jobs) == 151
    assert not any(job.is_excess for job in workload.jobs.values())


def test_submissions_of_a_take_over_are_marked_once_all_of_them_are_read():
    """Guard against guaranteed jobs that come last, as a full read adds newer ones first."""
    site = AccountSite(weighted(a=2), 1, ROOM)
    site.scheduler.workload.intake_version = UNKNOWN_VERSION
    jobs = []
    for accepted_ms in (9000, 6000, 3000, 0):
        jobs += [site.submit("a", accepted_ms=accepted_ms) for _ in range(2)]
        site.round()
    site.scheduler.workload.intake_version = 7
    site.round()
    assert not any(job.is_excess for job in jobs)


def test_a_dominant_share_is_that_of_the_scarcest_resource():
    total = Resources(100, 100, 0)
    assert dominant_share(Resources(10, 40, 5), total, 2.0) == pytest.approx(0.2)


def test_excess_runs_while_capacity_is_free_and_comes_last_otherwise():
    site = AccountSite(weighted(a=2, b=2), 1, ROOM)
    hot = [site.submit("a") for _ in range(10)]
    site.round()
    assert all(job.assigned_tasks() for job in hot)
    assert [job.is_excess for job in hot] == [False] * 2 + [True] * 8
    behind = [site.submit("a", StepDefinition(1, Resources(5000, 10), 500)) for _ in range(2)]
    site.run(0.2)
    owed = [site.submit("b", StepDefinition(1, Resources(5000, 10), 500)) for _ in range(2)]
    site.run(0.4)
    assert [len(job.assigned_tasks()) for job in behind + owed] == [0, 0, 1, 1]


def test_the_lowest_share_comes_first_and_shares_follow_the_starts():
    # With shares as of the round's beginning, all of the first account would start.
    site = AccountSite(weighted(a=100, b=50, c=50), 1, ROOM)
    jobs = [site.submit(account) for account in ("a",) * 20 + ("b",) * 20 + ("c",) * 20]
    site.round()
    running = [job.stored.account for job in jobs if job.assigned_tasks()]
    assert (running.count("a"), running.count("b") + running.count("c")) == (5, 5)


def test_priority_breaks_ties_only():
    accounts = (Account("a", weight=9, priority=2), Account("b", weight=9, priority=1))
    site = AccountSite(accounts, 1, Resources(1000, 1000))
    first, second = site.submit("a"), site.submit("b")
    site.round()
    assert (len(first.assigned_tasks()), len(second.assigned_tasks())) == (0, 1)


def test_a_job_is_passed_over_for_its_share_for_a_limited_time():
    # The account "a" runs a long task; all others always have a lower share.
    site = AccountSite(weighted(a=9, **{f"b{n}": 9 for n in range(50)}), 1, Resources(2000, 9000))
    site.submit("a", StepDefinition(1, Resources(1000, 10), 60_000))
    site.round()
    short = StepDefinition(1, Resources(1000, 10), 100)
    job = site.submit("a", short)
    for n in range(150):
        site.submit(f"b{n % 50}", short)
        site.run(ROUND_S)
    assert site.started_at[job.id] - job.arrived_at <= MAX_PASSED_OVER_S + 3 * 0.1 + ROUND_S


def test_the_oldest_excess_job_is_behind_a_limited_number_of_starts():
    site = AccountSite(weighted(a=1, b=1000), 1, Resources(1000, 9000))
    short = StepDefinition(1, Resources(1000, 10), 40)
    for _ in range(3):
        site.submit("a", short)
    for _ in range(300):
        for _ in range(2):
            site.submit("b", short)
        site.run(ROUND_S)
    excess = [
        at - site.arrived_at[job] for job, at in site.started_at.items() if job in site.excess
    ]
    assert len(excess) == 2
    first, second = excess
    turn_s = (STARTS_PER_EXCESS_START + 2) * ROUND_S
    assert EXCESS_WAIT_S <= first <= EXCESS_WAIT_S + turn_s
    assert second - first <= turn_s


class HotReplay:
    """Submit each account's jobs at its weight, and of hot accounts HOT_FACTOR times as many.

    `load` is what all are owed, as a share of the service. Without excess, the jobs beyond the
    weights are left out.
    """

    def __init__(self, load, seed, with_excess, seconds=15.0):
        slots = round(ACCOUNTS * WEIGHT * RUN_S / load)
        names = [f"n{n}" for n in range(ACCOUNTS)]
        room = Resources(slots * 1000 // WORKERS, 10**6)
        self.site = AccountSite(weighted(**dict.fromkeys(names, WEIGHT)), WORKERS, room)
        arrivals = [each for n in range(ACCOUNTS) for each in draw_arrivals(n, seed, seconds)]
        buckets = TokenBuckets()
        self.jobs, self.owed = {}, Counter()
        begun_at = self.site.clock.monotonic()
        for at, n, run_s in sorted(arrivals):
            while self.site.clock.monotonic() < begun_at + at:
                self.site.run(ROUND_S)
            is_owed = buckets.take(names[n], WEIGHT, self.site.clock.monotonic() * 1000)
            self.owed[n] += is_owed
            if is_owed or with_excess:
                step = StepDefinition(1, Resources(1000, 10), int(run_s * 1000))
                job = self.site.submit(names[n], step)
                self.jobs[job.id] = n, begun_at + at, is_owed

    def waits(self):
        """Return the times to start of the jobs that accounts that are not hot are owed."""
        started_at = self.site.started_at
        return [
            started_at[job] - at
            for job, (n, at, is_owed) in self.jobs.items()
            if n >= HOT and is_owed and job in started_at
        ]

    def served(self):
        """Return how much of what it is owed each account was served, the lowest first."""
        counts = Counter(n for job, (n, _, _) in self.jobs.items() if job in self.site.started_at)
        return sorted(min(1.0, counts[n] / self.owed[n]) for n in range(ACCOUNTS))


def draw_arrivals(n, seed, seconds):
    """Yield the times, the account and the durations of its jobs."""
    rng = random.Random(f"{seed}/{n}")
    at = rng.random() / WEIGHT
    while at < seconds:
        yield at, n, RUN_S * (0.5 + rng.random())
        factor = HOT_FACTOR if n < HOT and at >= WARM_UP_S else 1
        at += (0.7 + 0.6 * rng.random()) / (WEIGHT * factor)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.9, 1.0, 1.1])
def test_hot_accounts_leave_the_others_their_time_to_start(load, seed):
    without, hot = HotReplay(load, seed, False), HotReplay(load, seed, True)
    assert len(hot.jobs) > 1.4 * len(without.jobs)
    assert len(hot.waits()) >= 0.98 * len(without.waits())
    assert statistics.mean(hot.waits()) <= 1.1 * statistics.mean(without.waits())
    served = hot.served()
    assert statistics.mean(served[: ACCOUNTS // 10]) >= 0.8 * statistics.mean(served)


def test_excess_leaves_free_only_what_the_next_owed_starts_need():
    site = AccountSite(weighted(a=2, b=10), 1, Resources(40_000, 10**6))
    free = []
    for n in range(100):
        for _ in range(3):
            site.submit("a")
        if n % 3 == 0:
            site.submit("b")
        site.run(ROUND_S)
        free.append(sum(instance.free().cpu for instance in site.instances))
    # The account "b" starts 8 tasks a second, and ends its runs in between.
    owed_cpu = 8 * 1000 * RESERVE_S
    assert max(free[50:]) <= owed_cpu + 2 * 1000
    assert len(site.excess) >= 100
