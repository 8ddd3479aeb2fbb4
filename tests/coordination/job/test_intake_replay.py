"""Replay submissions to a slow store in virtual time, with the code that daemons run.

Guards against submissions, cancellations and the scheduler's commits in one line at a store whose
transactions take 45 to 88 times longer: most submissions then time out.
"""

import heapq
import itertools
import random
import threading

import pytest

from gypsumplank.coordination.job.backoff import PartitionBackoff
from gypsumplank.coordination.job.intakeclient import IntakeClient
from gypsumplank.coordination.job.submission import JobService
from gypsumplank.errors import GypsumplankError, StateThrottledError, StateUnknownError
from gypsumplank.state.intake import IntakeStore
from gypsumplank.state.job import JobStore
from tests.coordination.job.test_submission import ORDER, QUEUE

TRANSACTION_S = 0.006
MAX_QUEUE_S = 1.0
TIME_LIMIT_S = 3.0
DAEMONS = 31
CALLER_THREADS = 32
CLIENT_TIMEOUT_S = 2.5
FLEET = "fleet"


class VirtualTime:
    """Run threads one at a time, each until it waits; the time is that of the earliest one."""

    def __init__(self):
        self.now = 0.0
        self.sleepers, self.count = [], itertools.count()
        self.yielded = threading.Semaphore(0)

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now

    def wait(self, seconds):
        woken = threading.Event()
        heapq.heappush(self.sleepers, (self.now + max(0.0, seconds), next(self.count), woken))
        self.yielded.release()
        woken.wait()

    def spawn(self, at, work):
        def run():
            woken.wait()
            try:
                work()
            finally:
                self.yielded.release()

        woken = threading.Event()
        heapq.heappush(self.sleepers, (at, next(self.count), woken))
        threading.Thread(target=run, daemon=True).start()

    def run(self):
        while self.sleepers:
            self.now, _, woken = heapq.heappop(self.sleepers)
            woken.set()
            self.yielded.acquire()


class SlowStore:
    """Execute each partition's transactions one after another; refuse more than 1 s of them."""

    def __init__(self, time, slowness):
        self.time, self.duration_s = time, TRANSACTION_S * slowness
        self.free_at, self.rows, self.calls = {}, {}, {}

    def in_partition(self, name):
        return SlowPartition(self, name)


class SlowPartition:
    def __init__(self, store, name):
        self.store, self.name = store, name

    def commit(self, txn):
        store, time = self.store, self.store.time
        store.calls[self.name] = store.calls.get(self.name, 0) + 1
        free_at = max(time.now, store.free_at.get(self.name, 0.0))
        if free_at - time.now > MAX_QUEUE_S:
            time.wait(TRANSACTION_S)
            raise StateThrottledError("status 429")
        done_at = store.free_at[self.name] = free_at + store.duration_s
        timeout_s = min(txn.timeout_s or CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_S)
        # The transaction is executed also after the caller has given it up.
        new = store.rows.setdefault(txn.checks[0].key, done_at) == done_at
        time.wait(min(timeout_s, done_at - time.now))
        if time.now < done_at:
            raise StateUnknownError("timed out")
        assert new or txn.checks[0].key in store.rows
        return 1


def replay(rate, duration_s, slowness, with_intake):
    """Return the share of submissions accepted in time, and the store."""
    time = VirtualTime()
    store, rng = SlowStore(time, slowness), random.Random(7)
    services, busy = [], [0] * DAEMONS
    for number in range(DAEMONS):
        jobs, intake = JobStore(store.in_partition(FLEET)), None
        if with_intake:
            backoff = PartitionBackoff(random.Random(number))
            intake = IntakeClient(IntakeStore(store), jobs, None, time, backoff, lambda: True)
            intake._pause = time
        service = JobService(jobs, time, lambda: None, intake=intake)
        service._pause = time
        services.append(service)
    accepted = []

    def submit(job):
        daemon = rng.randrange(DAEMONS)
        started_at = time.now
        while busy[daemon] >= CALLER_THREADS:
            time.wait(0.01)
        busy[daemon] += 1
        try:
            services[daemon].submit(QUEUE, job, ORDER, TIME_LIMIT_S - (time.now - started_at))
            accepted.append(time.now - started_at <= TIME_LIMIT_S)
        except GypsumplankError:
            accepted.append(False)
        finally:
            busy[daemon] -= 1

    for number in range(int(rate * duration_s)):
        job = f"{rng.getrandbits(64):016x}"
        time.spawn(number / rate, lambda job=job: submit(job))
    time.run()
    assert len(accepted) == int(rate * duration_s)
    return sum(accepted) / len(accepted), store


LOADS = [(300, 2.0, 1), (300, 2.0, 45), (300, 2.0, 88), (60, 5.0, 45), (60, 5.0, 88)]


@pytest.mark.parametrize(("rate", "duration_s", "slowness"), LOADS)
def test_nine_of_ten_submissions_are_accepted_in_time(rate, duration_s, slowness):
    share, store = replay(rate, duration_s, slowness, with_intake=True)
    assert FLEET not in store.calls
    assert share >= 0.9


@pytest.mark.parametrize(("rate", "duration_s", "slowness"), LOADS[1:])
def test_one_partition_does_not_accept_them(rate, duration_s, slowness):
    """Check that the replay tells the two ways apart."""
    share, store = replay(rate, duration_s, slowness, with_intake=False)
    assert store.calls[FLEET] >= rate
    assert share < 0.5
