"""Check which API keys are accepted while the store, its feed and the process fail, in any order.

The long run, 500 examples of 50 steps for each seed:
HYPOTHESIS_PROFILE=long python -m pytest --hypothesis-seed=1 FILE
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumplank.coordination.job.freshness import KeyPolicy
from gypsumplank.coordination.job.manifest import ManifestWatch
from gypsumplank.coordination.job.submission import JobService
from gypsumplank.errors import (
    KeyRejectedError,
    KeyUnverifiedError,
    ManifestMissingError,
    StateError,
    StateHistoryLostError,
    StateUnavailableError,
)
from gypsumplank.protocol.account import Account, hash_key
from gypsumplank.protocol.queue import Manifest, Queue
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.feed import Changes
from gypsumplank.state.table import Row

REVOKE_S = 5.0
POLICY = KeyPolicy(True, REVOKE_S, 3.0)
# Share of REVOKE_S for which keys must be accepted after the store is lost.
SERVED_SHARE = 0.6
CALL_TIMEOUT_S = 1.2
RETRY_DELAY_S = 0.2
WAIT_STEP_S = 0.05
KEYS = ("k0", "k1", "k2")
NEVER_LISTED = "k9"
QUEUES = (Queue("q", "h", "/q/", "desk"), Queue("p", "h", "/p/", "desk", public=True))

KEY_SETS = st.sets(st.sampled_from(KEYS))
TIMES_S = st.sampled_from([0.01, 0.1, 0.5, 1.0, 3.0, 4.7, 4.8, 5.1, 10.0])
LATENCIES_S = st.sampled_from([0.006, 0.05, 0.3])
PUBLISHED = st.sampled_from(["newer", "same", "older", "malformed", "deleted"])
MOMENTS = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), TIMES_S),
        st.tuples(st.just("request"), st.sampled_from([0.0, 0.5, 4.9, 5.2])),
        st.tuples(st.just("publish"), PUBLISHED, KEY_SETS),
    ),
    max_size=3,
)
READ_FAULTS = st.sampled_from(["", "", "", "out", "lost"])
FEED_FAULTS = st.sampled_from(["", "", "missed", "history", "out", "lost"])


class PausingClock(ManualClock):
    """Call a function before the next reading, as if the process were suspended there."""

    def __init__(self, now):
        super().__init__(now)
        self.before_next = None

    def monotonic(self):
        before, self.before_next = self.before_next, None
        if before is not None:
            before()
        return self.now


class FakeStore:
    """Hold the manifest's row and its history; calls take time, in which anything may happen."""

    def __init__(self, clock):
        self.clock = clock
        self.held = [(clock.now, None)]
        self.changed = False
        self.read_fault = self.feed_fault = ""
        self.before = self.after = self.while_waiting = lambda: None
        self.latency_s = 0.0
        self.lost_at = float("inf")

    @property
    def present(self):
        return self.held[-1][1]

    def hold(self, manifest):
        self.held.append((self.clock.now, manifest))
        self.changed = True

    def last_held_at(self, matches):
        """Return until when the store held a matching row; None if it never did."""
        ends = [start for start, _ in self.held[1:]] + [self.clock.now]
        times = [end for (_, held), end in zip(self.held, ends, strict=True) if matches(held)]
        return times[-1] if times else None

    def manifest(self):
        return self.answer(lambda: self.present, self.read_fault)

    def changes(self, _table, after, wait_s):
        if not self.changed:
            self.clock.advance(wait_s)
        return self.answer(lambda: self.read_feed(after), self.feed_fault)

    def answer(self, process, fault):
        self.clock.advance(self.latency_s / 2)
        self.before()
        if fault == "out" or self.clock.now >= self.lost_at:
            self.time_out()
            raise StateUnavailableError("out")
        value = process()
        self.clock.advance(self.latency_s / 2)
        self.after()
        if fault == "lost" or self.clock.now >= self.lost_at:
            self.time_out()
            raise StateUnavailableError("lost")
        return value

    def time_out(self):
        for _ in range(round(CALL_TIMEOUT_S / WAIT_STEP_S)):
            self.clock.advance(WAIT_STEP_S)
            self.while_waiting()

    def read_feed(self, after):
        changed, self.changed = self.changed, False
        if self.feed_fault == "history":
            raise StateHistoryLostError("lost", after)
        rows = (Row("op", "config", after + 1, b"x"),)
        return Changes(rows if changed and self.feed_fault != "missed" else (), (), after + 1)


class FreshnessMachine(RuleBasedStateMachine):
    """Publish manifests, follow them and send calls, with faults at every step."""

    def __init__(self):
        super().__init__()
        self.clock = PausingClock(1000.0)
        self.store = FakeStore(self.clock)
        self.watch = ManifestWatch(self.store, self.store, "op", self.clock, lambda: POLICY)
        self.jobs = JobService(None, self.clock, lambda: self.watch.in_force, lambda: POLICY)
        self.version = 1
        self.is_in_step = False

    def play(self, moments):
        for kind, *args in moments:
            {"pass": self.clock.advance, "request": self.request, "publish": self.publish}[kind](
                *args
            )

    @rule(how=PUBLISHED, keys=KEY_SETS)
    def publish(self, how, keys):
        if how in ("malformed", "deleted"):
            self.store.hold(None)
            return
        self.version += how == "newer"
        version = self.version - (how == "older")
        account = Account("team", frozenset(map(hash_key, keys)))
        self.store.hold(Manifest(version, QUEUES, {}, (account,)))

    @rule(seconds=TIMES_S)
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @rule(
        before=MOMENTS,
        after=MOMENTS,
        read_fault=READ_FAULTS,
        feed_fault=FEED_FAULTS,
        latency_s=LATENCIES_S,
    )
    def follow(self, before, after, read_fault, feed_fault, latency_s):
        """Make one step of the watch; anything may happen before and after the store's part."""
        self.store.before, self.store.after = (lambda: self.play(before), lambda: self.play(after))
        self.store.read_fault, self.store.feed_fault = read_fault, feed_fault
        self.store.latency_s = latency_s
        self.step()
        self.store.before = self.store.after = lambda: None
        self.store.read_fault = self.store.feed_fault = ""

    def step(self):
        self.is_in_step = True
        try:
            self.watch.step()
        except StateError:
            self.clock.advance(RETRY_DELAY_S)
        finally:
            self.is_in_step = False

    @rule(
        transit_s=st.sampled_from([0.0, 0.5, 4.9, 5.2]),
        paused_s=TIMES_S,
        how=PUBLISHED,
        keys=KEY_SETS,
        follows=st.booleans(),
    )
    def request_in_a_paused_process(self, transit_s, paused_s, how, keys, follows):
        """Suspend the process between the steps of the check; the watch may go on first."""

        def happen():
            self.publish(how, keys)
            self.clock.advance(paused_s)
            if follows and not self.is_in_step:
                self.step()

        self.clock.before_next = happen
        self.request(transit_s)
        # Without a manifest, a call is refused before the clock is read.
        self.clock.before_next = None

    @rule(transit_s=st.sampled_from([0.0, 0.5, 4.9, 5.2]))
    def request(self, transit_s):
        """Judge a call with each key that was sent `transit_s` before it was complete."""
        for key in KEYS:
            sent_at = self.clock.now - transit_s
            if self.is_accepted("/q/", key):
                listed_at = self.store.last_held_at(lambda held, key=key: lists(held, key))
                assert listed_at is not None
                assert sent_at <= listed_at + REVOKE_S
        assert not self.is_accepted("/q/", NEVER_LISTED)
        assert not self.is_accepted("/q/", None)
        if self.watch.in_force is not None:
            assert self.is_accepted("/p/", None)
            assert self.is_accepted("/p/", NEVER_LISTED)

    def is_accepted(self, path, key):
        try:
            self.jobs.authorize("h", path, hash_key(key) if key else None)
        except (KeyRejectedError, KeyUnverifiedError, ManifestMissingError):
            return False
        return True

    @rule(
        passed_s=st.one_of(st.floats(0.1, 8.0), st.sampled_from([4.7, 4.99, 5.01, 5.05])),
        how=st.sampled_from(["newer", "same", "older"]),
        follows_within_request=st.booleans(),
    )
    def withdraw_keys_just_after_a_read(self, passed_s, how, follows_within_request):
        """Judge a call while the withdrawal has not been read, or is read in the middle of it."""

        def withdraw():
            self.store.after = lambda: None
            self.publish(how, set())

        self.publish("newer", set(KEYS))
        while self.watch.current != self.store.present:
            self.step()
        self.store.latency_s = 0.006
        self.store.after = withdraw
        self.step()
        self.clock.advance(passed_s)
        if follows_within_request:
            self.clock.before_next = self.step
        self.request(0.0)
        self.step()
        self.request(0.0)

    @rule(latency_s=LATENCIES_S, calm_s=st.floats(2.5, 6.0))
    def lose_the_store_after_a_calm(self, latency_s, calm_s):
        """Check that a valid key is served for a while, at whichever moment the store is lost."""
        self.publish("newer", set(KEYS))
        self.store.latency_s = latency_s
        self.store.lost_at = self.clock.now + calm_s
        until = self.store.lost_at + SERVED_SHARE * REVOKE_S
        self.store.while_waiting = lambda: self.expect_service(until)
        while self.clock.now < until:
            self.step()
            self.expect_service(until)
        self.store.while_waiting = lambda: None
        self.store.lost_at = float("inf")

    def expect_service(self, until):
        if self.clock.now < until and self.watch.current == self.store.present:
            assert all(self.is_accepted("/q/", key) for key in KEYS)

    @invariant()
    def confirmation_is_no_newer_than_the_row(self):
        confirmed = self.watch.in_force
        if confirmed is not None:
            held_at = self.store.last_held_at(lambda held: held == confirmed.manifest)
            assert confirmed.confirmed_at <= held_at

    @invariant()
    def version_never_decreases(self):
        confirmed = self.watch.in_force
        version = confirmed.manifest.version if confirmed else 0
        assert version >= getattr(self, "seen_version", 0)
        self.seen_version = version


def lists(manifest, key):
    return manifest is not None and hash_key(key) in manifest.accounts[0].key_digests


TestFreshnessMachine = FreshnessMachine.TestCase
if os.environ.get("HYPOTHESIS_PROFILE") != "long":
    TestFreshnessMachine.settings = settings(
        max_examples=100, stateful_step_count=25, derandomize=True, deadline=None
    )
