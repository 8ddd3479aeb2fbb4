"""Run several daemons' claims over one faulty store at random; every key runs at most once."""

import threading

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gypsumplank.coordination.claim import CLOCK_SKEW_S, LATE_S
from gypsumplank.protocol.exchange import Answer, Outcome, Refusal, Request
from gypsumplank.state.writer import OUTAGE_PAUSE_S
from tests.coordination.test_claim import KEEP_S, Daemon, Fleet

DAEMONS = 3
KEYS = st.sampled_from(["a", "b", "c"])
NUMBERS = st.integers(0, DAEMONS - 1)
FAULTS = st.lists(st.sampled_from(["", "out", "lost", "dropped", "late"]), max_size=5)
REPLIES = st.sampled_from(["answer", "large", "unknown", "not-run"])
WAIT_S = 20.0


class InFlight:
    """Hold a request that stands still between its claim and its run, or after its run."""

    def __init__(self, machine, number, key, kind, ran):
        self.number = number
        self.key = key
        self.stopped = threading.Event()
        self.go = threading.Event()
        self.killed = False
        self.reply = None
        self.thread = threading.Thread(target=self._carry, args=(machine, kind, ran), daemon=True)
        self.thread.start()

    def _carry(self, machine, kind, ran):
        def send(req, guard):
            if not ran:
                self._stand()
            reply = machine.run(req, guard, kind)
            if ran:
                self._stand()
            return reply

        try:
            claims = machine.daemons[self.number].claims
            self.reply = claims.carry(machine.request(self.key), send)
        except SystemExit:
            pass
        finally:
            self.stopped.set()

    def _stand(self):
        self.stopped.set()
        self.go.wait(WAIT_S)
        if self.killed:
            raise SystemExit

    def resume(self):
        self.go.set()
        self.thread.join(WAIT_S)
        assert not self.thread.is_alive()


class ClaimMachine(RuleBasedStateMachine):
    """Drive claims; requests stand still in threads, one step at a time."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.daemons = [Daemon(self.fleet, f"entry-{number}") for number in range(DAEMONS)]
        self.runs = {}
        self.finished = {}
        self.not_run = set()
        self.in_flight = []
        self.serial = 0

    def teardown(self):
        for held in self.in_flight:
            held.resume()

    def request(self, key):
        return Request("r", "quotes", "POST", "/x", self.fleet.clock.now + 5.0, idempotency_key=key)

    def run(self, req, guard, kind):
        """Run a request as an endpoint would, where the guard still holds."""
        if not guard():
            return Refusal("lease-lost", Outcome.NOT_RUN, 503)
        if kind == "not-run":
            return Refusal("endpoint-connect", Outcome.NOT_RUN, 502)
        key = req.idempotency_key
        self.runs[key] = self.runs.get(key, 0) + 1
        if kind == "unknown":
            return Refusal("endpoint-reset", Outcome.UNKNOWN, 502)
        self.serial += 1
        return Answer(200, (), b"%d" % self.serial * (20_000 if kind == "large" else 1))

    def check(self, key, reply):
        """Hold a finished reply to the first one of its key."""
        if isinstance(reply, Answer):
            assert reply == self.finished.setdefault(key, reply)
            assert self.runs[key] == 1
        elif reply is not None and reply.outcome is Outcome.NOT_RUN:
            self.not_run.add(key)

    @rule(number=NUMBERS, key=KEYS, kind=REPLIES, script=FAULTS)
    def carry(self, number, key, kind, script):
        self.fleet.table.script = list(script)
        before = self.runs.get(key, 0)
        reply = self.daemons[number].claims.carry(
            self.request(key), lambda req, guard: self.run(req, guard, kind)
        )
        self.fleet.table.script = []
        self.check(key, reply)
        if isinstance(reply, Refusal) and reply.outcome is Outcome.NOT_RUN:
            assert self.runs.get(key, 0) == before

    @precondition(lambda self: len(self.in_flight) < 3)
    @rule(number=NUMBERS, key=KEYS, kind=REPLIES, ran=st.booleans(), script=FAULTS)
    def begin(self, number, key, kind, ran, script):
        self.fleet.table.script = list(script)
        held = InFlight(self, number, key, kind, ran)
        assert held.stopped.wait(WAIT_S)
        self.fleet.table.script = []
        self.in_flight.append(held)

    @precondition(lambda self: self.in_flight)
    @rule(script=FAULTS)
    def resume(self, script):
        held = self.in_flight.pop(0)
        self.fleet.table.script = list(script)
        held.resume()
        self.fleet.table.script = []
        self.check(held.key, held.reply)

    @rule(number=NUMBERS)
    def kill(self, number):
        """End a daemon with all that it has in flight, and start it anew."""
        dead = [held for held in self.in_flight if held.number == number]
        self.in_flight = [held for held in self.in_flight if held.number != number]
        for held in dead:
            held.killed = True
            held.resume()
        epoch = self.daemons[number].lease.session.epoch + 1
        self.daemons[number] = Daemon(self.fleet, f"entry-{number}", epoch)

    @rule(number=NUMBERS, lapsed=st.booleans())
    def pause(self, number, lapsed):
        """Let a daemon's lease lapse, as in a pause, or be renewed."""
        lease = self.daemons[number].lease
        lease.held = not lapsed
        if lapsed:
            self.fleet.sessions.pop(lease.session.id, None)
        else:
            self.fleet.sessions[lease.session.id] = lease.session

    @rule(out=st.booleans())
    def outage(self, out):
        self.fleet.table.out = out

    @rule(number=NUMBERS, script=FAULTS)
    def settle(self, number, script):
        self.fleet.clock.advance(OUTAGE_PAUSE_S)
        self.fleet.table.script = list(script)
        self.daemons[number].claims.tick()
        self.fleet.table.script = []

    @rule()
    def land(self):
        self.fleet.table.land()

    @rule(seconds=st.sampled_from([1.0, CLOCK_SKEW_S + 6.0, LATE_S + 1.0]))
    def wait(self, seconds):
        self.fleet.clock.advance(seconds)

    @rule(number=NUMBERS)
    def expire(self, number):
        """Walk over the claims; none is old enough to go, so no reply may be lost."""
        assert self.fleet.clock.now < KEEP_S
        self.daemons[number].expiry.tick()

    @invariant()
    def every_key_runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values())


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(max_examples=150, stateful_step_count=40)
