import time

from gypsumplank.coordination.supervisor import Supervisor, make_periodic_action
from gypsumplank.state.clock import ManualClock


def test_failed_actor_is_restarted_and_ticks_again():
    calls = []

    def work():
        calls.append(len(calls))
        if len(calls) == 1:
            raise ArithmeticError("first tick fails")

    clock = ManualClock()
    supervisor = Supervisor(clock)
    supervisor.add("work", make_periodic_action(work), 1.0)
    deadline = time.monotonic() + 10
    while len(calls) < 3 and time.monotonic() < deadline:
        clock.advance(1.0)
        supervisor.run_due()
        time.sleep(0.01)
    supervisor.start()
    supervisor.stop()
    assert len(calls) >= 3
    assert supervisor.restarts == 1
