import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gypsumplank.coordination.admission import REFUSAL_THREADS, Admission, AdmissionLimits
from gypsumplank.errors import InvariantError
from gypsumplank.protocol.exchange import Outcome
from gypsumplank.state.clock import ManualClock
from tests.coordination.fleet import SPARE, Caller, FixedCapacity, make_view

PROOFS = {"pool": "layout", "share": 0.5}
RENDERS = {"pool": "layout", "share": 0.25, "timeout_ms": 60_000}


def make(services, slots, teams=None, pools=None, limits=None):
    clock = ManualClock(100.0)
    view = make_view(services, teams, pools)
    admission = Admission(lambda: view, FixedCapacity(slots), clock, limits or AdmissionLimits())
    return Caller(admission, clock)


def measure_work(caller, service, seconds, team="", urgency=3):
    """Run one request of this duration so that the admission measures it."""
    ticket = caller.submit(service, team, urgency, timeout_s=1000.0)
    caller.clock.advance(seconds)
    caller.finish(ticket)


def test_grants_up_to_the_capacity_and_the_next_on_finish():
    caller = make({"proofs": PROOFS}, {"layout": 2})
    first, second, third = (caller.submit("proofs") for _ in range(3))
    assert caller.granted == [first, second]
    caller.finish(first)
    assert caller.granted == [first, second, third]


def test_most_urgent_first_then_earliest_deadline():
    caller = make({"proofs": PROOFS}, {"layout": 1})
    running = caller.submit("proofs")
    late, early = caller.submit("proofs", timeout_s=9.0), caller.submit("proofs", timeout_s=8.0)
    urgent = caller.submit("proofs", urgency=0, timeout_s=10.0)
    for expected in (urgent, early, late):
        caller.finish(running)
        running = caller.granted[-1]
        assert running is expected


def test_request_that_cannot_meet_its_deadline_is_refused_early():
    caller = make({"proofs": PROOFS}, {"layout": 1})
    measure_work(caller, "proofs", 1.0)
    for _ in range(6):
        caller.submit("proofs")
    late = caller.submit("proofs", timeout_s=3.0, urgency=4)
    refusal = caller.refused[late]
    assert (refusal.code, refusal.outcome) == ("deadline-unreachable", Outcome.NOT_RUN)
    assert refusal.retry_after_s == 5
    assert caller.submit("proofs", timeout_s=3.0, urgency=0) not in caller.refused


def test_high_duration_estimate_does_not_starve_an_idle_service():
    caller = make({"proofs": PROOFS}, {"layout": 1})
    measure_work(caller, "proofs", 500.0)
    assert caller.submit("proofs", timeout_s=600.0) in caller.granted
    caller.finish()
    only = caller.submit("proofs", timeout_s=5.0)
    assert only in caller.granted


def test_full_queue_refuses_the_least_urgent_of_the_most_backlogged_team():
    limits = AdmissionLimits(max_waiting_per_service=3)
    caller = make({"proofs": PROOFS}, {"layout": 1}, {"desk": 0.5, "press": 0.3}, limits=limits)
    caller.submit("proofs")
    flood = [caller.submit("proofs", "press", urgency=7) for _ in range(3)]
    urgent = caller.submit("proofs", "press", urgency=0)
    assert list(caller.refused) == [flood[-1]]
    desk = caller.submit("proofs", "desk", urgency=7)
    assert list(caller.refused) == [flood[-1], flood[-2]]
    assert {urgent.state, desk.state} == {"waiting"}
    assert caller.refused[flood[-1]].code == "queue-full"


def test_unused_share_is_borrowed_and_reclaimed():
    both = {"proofs": PROOFS, "letters": {"pool": "layout", "share": 0.5}}
    caller = make(both, {"layout": 8})
    measure_work(caller, "proofs", 0.1)
    measure_work(caller, "letters", 0.1)
    flood = [caller.submit("letters") for _ in range(30)]
    assert len(caller.running("letters")) == 8
    for _ in range(8):
        caller.submit("proofs")
    for ticket in flood[:4]:
        caller.finish(ticket)
    assert (len(caller.running("proofs")), len(caller.running("letters"))) == (4, 4)


def test_team_keeps_its_share_during_a_flood_of_more_urgent_requests():
    caller = make({"proofs": PROOFS}, {"layout": 8}, {"desk": 0.5, "press": 0.5})
    measure_work(caller, "proofs", 0.1, "press", urgency=0)
    for _ in range(100):
        caller.submit("proofs", "press", urgency=0)
    for _ in range(20):
        caller.submit("proofs", "desk", urgency=7)
    for _ in range(3):
        caller.clock.advance(0.1)
        caller.finish()
    teams = [ticket.team for ticket in caller.running()]
    assert (teams.count("desk"), teams.count("press")) == (4, 4)


@pytest.mark.parametrize("measured", [True, False], ids=["measured", "never measured"])
def test_long_running_requests_leave_slots_for_short_ones(measured):
    caller = make({"proofs": PROOFS, "renders": RENDERS}, {"layout": 8})
    measure_work(caller, "proofs", 0.1)
    if measured:
        measure_work(caller, "renders", 30.0)
    for _ in range(20):
        caller.submit("renders", timeout_s=600.0)
    assert len(caller.running("renders")) == 6
    proofs = [caller.submit("proofs") for _ in range(2)]
    assert proofs == caller.running("proofs")


def test_long_running_request_is_granted_in_a_pool_of_one_slot():
    shareless = {"pool": "layout", "timeout_ms": 60_000}
    caller = make({"proofs": PROOFS, "renders": shareless}, {"layout": 1})
    assert caller.submit("renders") in caller.granted


def test_backlog_of_one_pool_does_not_exhaust_the_threads_of_another():
    services = {"proofs": PROOFS, "quotes": {"pool": "quotes", "share": 1.0}}
    caller = make(services, {"layout": 100, "quotes": 100}, limits=AdmissionLimits(max_threads=20))
    for _ in range(100):
        caller.submit("proofs")
    assert len(caller.running("proofs")) == 20 - REFUSAL_THREADS - 4
    for _ in range(10):
        caller.submit("quotes")
    assert len(caller.running("quotes")) == 4


OVERFLOW = {"pool": "layout", "share": 0.5, "overflow": True}
SPARE_SERVICE = {"pool": SPARE, "share": 0.5}
SPARE_POOLS = {SPARE: {"spare": True}}


@pytest.mark.parametrize(
    ("service", "spare_load", "expected"),
    [(OVERFLOW, 0, 4), (OVERFLOW, 3, 4), (OVERFLOW, 6, 2), (PROOFS, 0, 0)],
    ids=[
        "spare pool idle",
        "spare pool within its guarantee",
        "spare pool beyond it",
        "overflow not allowed",
    ],
)
def test_overflow_to_a_spare_pool(service, spare_load, expected):
    services = {"proofs": service, SPARE: SPARE_SERVICE}
    caller = make(services, {"layout": 2, SPARE: 8}, pools=SPARE_POOLS)
    for _ in range(spare_load):
        caller.submit(SPARE)
    for _ in range(20):
        caller.submit("proofs")
    assert len(caller.running("proofs", SPARE)) == expected
    assert len(caller.running("proofs", "layout")) == 2


def test_mass_cancellation_empties_the_queue_and_grants_nothing():
    caller = make(
        {"proofs": PROOFS}, {"layout": 4}, limits=AdmissionLimits(max_waiting_per_service=5000)
    )
    running = [caller.submit("proofs") for _ in range(4)]
    waiting = [caller.submit("proofs") for _ in range(3000)]
    assert all(caller.admission.cancel(ticket) for ticket in waiting)
    assert caller.admission.waiting() == {}
    caller.finish()
    assert caller.granted == running
    assert not caller.admission.cancel(waiting[0])
    assert caller.admission.demand() == {}


def test_tick_refuses_expired_requests():
    caller = make({"proofs": PROOFS}, {"layout": 1})
    caller.submit("proofs", timeout_s=60.0)
    late = caller.submit("proofs", timeout_s=1.0)
    caller.clock.advance(1.5)
    caller.admission.tick()
    assert caller.refused[late].code == "deadline-passed"


def test_unknown_service_and_double_finish():
    caller = make({"proofs": PROOFS}, {"layout": 1})
    assert caller.refused[caller.submit("nothing")].outcome is Outcome.NOT_RUN
    done = caller.submit("proofs")
    caller.finish(done)
    with pytest.raises(InvariantError):
        caller.admission.release(done)


def test_requests_of_a_removed_service_or_team_are_resolved():
    clock, views = ManualClock(1.0), []
    both = {"proofs": PROOFS, "renders": RENDERS}
    views.append(make_view(both, {"desk": 0.5}))
    admission = Admission(lambda: views[-1], FixedCapacity({"layout": 1}), clock, AdmissionLimits())
    caller = Caller(admission, clock)
    running, proof = caller.submit("proofs", "desk"), caller.submit("proofs", "desk")
    render = caller.submit("renders")
    views.append(make_view({"proofs": PROOFS}, revision=2))
    admission.tick()
    assert caller.refused[render].code == "service-unknown"
    caller.finish(running)
    assert proof in caller.granted


class AdmissionMachine(RuleBasedStateMachine):
    """Submit, cancel and finish tickets and advance time at random; decide each ticket once."""

    def __init__(self):
        super().__init__()
        services = {"proofs": OVERFLOW, "renders": RENDERS, SPARE: SPARE_SERVICE}
        self.capacity = FixedCapacity({"layout": 3, SPARE: 2})
        clock = ManualClock(1.0)
        view = make_view(services, {"desk": 0.4, "press": 0.2}, SPARE_POOLS)
        admission = Admission(lambda: view, self.capacity, clock, AdmissionLimits(40, 6))
        self.caller = Caller(admission, clock)
        self.submitted = []
        self.cancelled = []

    @rule(
        service=st.sampled_from(["proofs", "renders", SPARE]),
        team=st.sampled_from(["desk", "press", "other"]),
        urgency=st.integers(0, 7),
        timeout_s=st.floats(0.1, 20.0),
        count=st.integers(1, 6),
    )
    def submit(self, service, team, urgency, timeout_s, count):
        self.submitted += [
            self.caller.submit(service, team, urgency, timeout_s) for _ in range(count)
        ]

    @rule(seconds=st.floats(0.01, 5.0))
    def advance_time(self, seconds):
        self.caller.clock.advance(seconds)
        self.caller.admission.tick()

    @precondition(lambda self: self.caller.running())
    @rule(data=st.data())
    def finish(self, data):
        self.caller.finish(data.draw(st.sampled_from(self.caller.running())))

    @precondition(lambda self: self.submitted)
    @rule(data=st.data())
    def cancel(self, data):
        ticket = data.draw(st.sampled_from(self.submitted))
        if self.caller.admission.cancel(ticket):
            self.cancelled.append(ticket)

    @rule(slots=st.integers(0, 4))
    def change_capacity(self, slots):
        self.capacity.slots["layout"] = slots

    @invariant()
    def each_ticket_is_decided_at_most_once(self):
        granted, refused, cancelled = map(
            set, (self.caller.granted, self.caller.refused, self.cancelled)
        )
        assert len(granted) == len(self.caller.granted)
        assert not granted & refused
        assert not cancelled & (granted | refused)
        waiting = {ticket for ticket in self.submitted if ticket.state == "waiting"}
        assert waiting == set(self.submitted) - granted - refused - cancelled
        assert sum(self.caller.admission.waiting().values()) == len(waiting)

    @invariant()
    def no_slot_is_idle_while_short_work_waits(self):
        admission = self.caller.admission
        admission.tick()
        if admission.waiting().get(SPARE):
            assert admission.slots_in_use().get(SPARE, 0) >= 1


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(max_examples=40, stateful_step_count=40)
