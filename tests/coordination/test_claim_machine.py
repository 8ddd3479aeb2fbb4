"""Check that every key runs at most once with several daemons on one faulty store."""

import threading

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gypsumplank.coordination.claim import LATE_COMMIT_WINDOW_S, MAX_CLOCK_SKEW_S
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Refusal, Request
from gypsumplank.state.writer import UNAVAILABLE_BACKOFF_S
from tests.coordination.test_claim import KEEP_S, Daemon, Fleet

DAEMON_COUNT = 3
KEYS = st.sampled_from(["a", "b", "c"])
DAEMON_INDEXES = st.integers(0, DAEMON_COUNT - 1)
FAULTS = st.lists(st.sampled_from(["", "out", "lost", "dropped", "late"]), max_size=5)
REPLIES = st.sampled_from(["answer", "large", "unknown", "not-run"])
THREAD_TIMEOUT_S = 20.0


class PausedRequest:
    """Run a request in a thread, paused between its claim and its run, or after its run."""

    def __init__(self, machine, daemon_index, key, kind, after_run):
        self.daemon_index = daemon_index
        self.key = key
        self.paused = threading.Event()
        self.resumed = threading.Event()
        self.killed = False
        self.reply = None
        self.thread = threading.Thread(
            target=self._execute, args=(machine, kind, after_run), daemon=True
        )
        self.thread.start()

    def _execute(self, machine, kind, after_run):
        def send(req, guard):
            if not after_run:
                self._pause()
            reply = machine.run(req, guard, kind)
            if after_run:
                self._pause()
            return reply

        try:
            claims = machine.daemons[self.daemon_index].claims
            self.reply = claims.handle(machine.request(self.key), send)
        except SystemExit:
            pass
        finally:
            self.paused.set()

    def _pause(self):
        self.paused.set()
        self.resumed.wait(THREAD_TIMEOUT_S)
        if self.killed:
            raise SystemExit

    def resume(self):
        self.resumed.set()
        self.thread.join(THREAD_TIMEOUT_S)
        assert not self.thread.is_alive()


class ClaimMachine(RuleBasedStateMachine):
    """Run requests, some of them paused in threads, with faults of daemons and the store."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.daemons = [
            Daemon(self.fleet, f"entry-{daemon_index}") for daemon_index in range(DAEMON_COUNT)
        ]
        self.runs = {}
        self.finished = {}
        self.not_run = set()
        self.paused_requests = []
        self.serial = 0

    def teardown(self):
        for request in self.paused_requests:
            request.resume()

    def request(self, key):
        return Request("r", "quotes", "POST", "/x", self.fleet.clock.now + 5.0, idempotency_key=key)

    def run(self, req, guard, kind):
        """Run a request like an endpoint, if the guard allows it."""
        if not guard():
            return Refusal("lease-lost", Outcome.NOT_RUN, 503)
        if kind == "not-run":
            return Refusal("endpoint-connect", Outcome.NOT_RUN, 502)
        key = req.idempotency_key
        self.runs[key] = self.runs.get(key, 0) + 1
        if kind == "unknown":
            return Refusal("endpoint-reset", Outcome.UNKNOWN, 502)
        self.serial += 1
        return EndpointResponse(200, (), b"%d" % self.serial * (20_000 if kind == "large" else 1))

    def check_reply(self, key, reply):
        """Check that a finished reply equals the first one of its key."""
        if isinstance(reply, EndpointResponse):
            assert reply == self.finished.setdefault(key, reply)
            assert self.runs[key] == 1
        elif reply is not None and reply.outcome is Outcome.NOT_RUN:
            self.not_run.add(key)

    @rule(daemon_index=DAEMON_INDEXES, key=KEYS, kind=REPLIES, script=FAULTS)
    def send_request(self, daemon_index, key, kind, script):
        self.fleet.table.commit_faults = list(script)
        before = self.runs.get(key, 0)
        reply = self.daemons[daemon_index].claims.handle(
            self.request(key), lambda req, guard: self.run(req, guard, kind)
        )
        self.fleet.table.commit_faults = []
        self.check_reply(key, reply)
        if isinstance(reply, Refusal) and reply.outcome is Outcome.NOT_RUN:
            assert self.runs.get(key, 0) == before

    @precondition(lambda self: len(self.paused_requests) < 3)
    @rule(
        daemon_index=DAEMON_INDEXES, key=KEYS, kind=REPLIES, after_run=st.booleans(), script=FAULTS
    )
    def begin_request(self, daemon_index, key, kind, after_run, script):
        self.fleet.table.commit_faults = list(script)
        request = PausedRequest(self, daemon_index, key, kind, after_run)
        assert request.paused.wait(THREAD_TIMEOUT_S)
        self.fleet.table.commit_faults = []
        self.paused_requests.append(request)

    @precondition(lambda self: self.paused_requests)
    @rule(script=FAULTS)
    def resume_request(self, script):
        request = self.paused_requests.pop(0)
        self.fleet.table.commit_faults = list(script)
        request.resume()
        self.fleet.table.commit_faults = []
        self.check_reply(request.key, request.reply)

    @rule(daemon_index=DAEMON_INDEXES)
    def kill(self, daemon_index):
        """Kill a daemon with all its requests in flight, and start it with a new epoch."""
        dead = [request for request in self.paused_requests if request.daemon_index == daemon_index]
        self.paused_requests = [
            request for request in self.paused_requests if request.daemon_index != daemon_index
        ]
        for request in dead:
            request.killed = True
            request.resume()
        epoch = self.daemons[daemon_index].lease.session.epoch + 1
        self.daemons[daemon_index] = Daemon(self.fleet, f"entry-{daemon_index}", epoch)

    @rule(daemon_index=DAEMON_INDEXES, lapsed=st.booleans())
    def set_lease(self, daemon_index, lapsed):
        """Let a daemon's lease expire, as in a process pause, or renew it."""
        lease = self.daemons[daemon_index].lease
        lease.lease_valid = not lapsed
        if lapsed:
            self.fleet.sessions.pop(lease.session.id, None)
        else:
            self.fleet.sessions[lease.session.id] = lease.session

    @rule(out=st.booleans())
    def outage(self, out):
        self.fleet.table.unavailable = out

    @rule(daemon_index=DAEMON_INDEXES, script=FAULTS)
    def settle_claims(self, daemon_index, script):
        self.fleet.clock.advance(UNAVAILABLE_BACKOFF_S)
        self.fleet.table.commit_faults = list(script)
        self.daemons[daemon_index].claims.tick()
        self.fleet.table.commit_faults = []

    @rule()
    def commit_late_writes(self):
        self.fleet.table.apply_delayed()

    @rule(seconds=st.sampled_from([1.0, MAX_CLOCK_SKEW_S + 6.0, LATE_COMMIT_WINDOW_S + 1.0]))
    def advance_time(self, seconds):
        self.fleet.clock.advance(seconds)

    @rule(daemon_index=DAEMON_INDEXES)
    def expire_claims(self, daemon_index):
        """Expire claims; none is past its retention, so no reply may be lost."""
        assert self.fleet.clock.now < KEEP_S
        self.daemons[daemon_index].expiry.tick()

    @invariant()
    def every_key_runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values())


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(max_examples=150, stateful_step_count=40)
