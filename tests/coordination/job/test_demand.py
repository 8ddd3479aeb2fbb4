from dataclasses import replace

import pytest

from gypsumplank.coordination.job.balance import CONTENTION_HOLD_S, Balance, Contention
from gypsumplank.coordination.job.demand import (
    ARRIVAL_WINDOW_MS,
    BACKLOG_CLEARANCE_MS,
    PEAK_WINDOW_S,
    USABLE_SHARE,
    Load,
    ServiceDemand,
    estimate_loads,
    machines_needed,
    minimum_sizes,
)
from gypsumplank.coordination.job.model import Job
from gypsumplank.protocol.job import (
    JobDefinition,
    Resources,
    Schedule,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from tests.coordination.job.replay import SERVICE, WORKER_ROOM, LoadReplay, Turn, offered_cores


def demand_busy_at(initial_size, at):
    demand = ServiceDemand(initial_size)
    if at is not None:
        demand.update(initial_size, initial_size, at)
    return demand


def test_pools_of_never_busy_services_keep_initial_size():
    demands = {"a": demand_busy_at(6, None), "b": demand_busy_at(8, None)}
    assert minimum_sizes(demands, 100.0) == {"a": 6, "b": 8}


def test_only_longest_idle_service_keeps_initial_size():
    demands = {
        "a": demand_busy_at(6, 10.0),
        "b": demand_busy_at(6, 14.0),
        "c": demand_busy_at(6, 20.0),
    }
    demands["b"].update(0, 0, 20.0)
    assert minimum_sizes(demands, 20.0) == {"a": 6, "b": 3, "c": 6}
    demands["c"].update(0, 0, 30.0)
    assert minimum_sizes(demands, 30.0) == {"a": 6, "b": 3, "c": 3}


def test_idle_pool_covers_its_long_running_tasks():
    demand = demand_busy_at(6, 10.0)
    demand.update(5, 0, 30.0)
    assert demand.is_idle(30.0)
    assert demand.idle_size == 5


def test_peak_demand_is_kept_for_the_window():
    demand = ServiceDemand(6)
    demand.update(9, 9, 1.0)
    demand.update(2, 2, 1.0 + PEAK_WINDOW_S)
    assert (demand.current, demand.peak) == (2, 9)
    demand.update(2, 2, 1.1 + PEAK_WINDOW_S)
    assert demand.peak == 2


def test_scarcest_resource_determines_number_of_machines():
    size = Resources(8000, 8000, 0)
    assert machines_needed(Resources(0, 0, 0), size) == 0
    assert machines_needed(Resources(8000, 100), size) == 2
    assert machines_needed(Resources(1000, 20000), size) == 3


def test_never_busy_service_is_expected_before_idle_ones():
    demands = {"a": demand_busy_at(6, 10.0), "b": demand_busy_at(6, None)}
    demands["a"].update(0, 0, 20.0)
    assert minimum_sizes(demands, 20.0) == {"a": 3, "b": 6}


STEP = StepDefinition(4, Resources(1000, 100), 500)
CHAIN = (STEP, StepDefinition(4, Resources(1000, 100), 500, after=(0,)))


def make_job(steps, arrived_at=0.0, schedule=None):
    order = JobDefinition("", steps, schedule or Schedule())
    return Job(StoredJob("a" * 16, "proofs", SERVICE, 0, order), SERVICE, arrived_at=arrived_at)


def load_of(job, now, wall_ms=0.0):
    return estimate_loads([job], now, wall_ms)[SERVICE]


def test_new_job_offers_its_work_spread_over_its_critical_path():
    assert load_of(make_job(CHAIN), 0.9).batch == Resources(4000, 400)


def test_waiting_work_of_an_overdue_job_is_spread_over_the_clearance_time():
    share = 2 * STEP.estimate_ms / BACKLOG_CLEARANCE_MS
    assert load_of(make_job(CHAIN), 1.1).batch == Resources(int(4000 * share), int(400 * share))


def test_running_tasks_count_as_long_as_they_run():
    job = make_job((STEP,))
    for task in job.tasks():
        task.phase = TaskPhase.ASSIGNED
    assert load_of(job, 30.0).batch == Resources(4000, 400)


def test_occurrence_counts_from_its_due_time():
    job = make_job((STEP,), schedule=Schedule(2, 10_000, 60_000))
    assert load_of(job, 30.0, 9_900.0).batch == Resources()
    assert load_of(job, 30.0, 10_100.0).batch == Resources(4000, 400)


def test_long_running_tasks_are_no_batch_load():
    load = load_of(make_job((StepDefinition(3, Resources(1000, 100), 500, lasting=True),)), 30.0)
    assert load == Load(Resources(3000, 300), Resources())
    assert load.total == Resources(3000, 300)


def test_job_without_estimates_counts_as_running_for_a_second():
    assert load_of(make_job((StepDefinition(2, Resources(1000, 100)),)), 0.5).batch.cpu == 2000


def test_work_that_can_only_be_late_is_no_firm_load():
    job = make_job((STEP,))
    in_time, late = (
        estimate_loads([job], age_s, 0.0, lambda _job: 1600.0)[SERVICE] for age_s in (1.0, 1.2)
    )
    assert (in_time.firm.cpu, in_time.late.cpu) == (1000, 0)
    assert (late.firm.cpu, late.late.cpu) == (0, 1000)
    assert late.total == in_time.total


def test_run_of_a_job_that_can_only_be_late_is_no_firm_load():
    job = make_job((STEP,))
    for task in job.tasks():
        task.phase = TaskPhase.ASSIGNED
    loads = [estimate_loads([job], age_s, 0.0, lambda _job: 800.0)[SERVICE] for age_s in (0.7, 0.9)]
    assert [(load.firm.cpu, load.late.cpu) for load in loads] == [(4000, 0), (0, 4000)]


def arrived(jobs):
    """Return the load of jobs that arrived half a second ago."""
    found = [make_job((replace(STEP, estimate_ms=2000),)) for _ in range(jobs)]
    return estimate_loads(found, 0.5, 0.0)[SERVICE].batch.cpu


def test_rate_of_arrivals_shows_a_rising_load_before_it_is_offered():
    offered_cpu = 20 * 4 * 1000
    assert arrived(20) == offered_cpu * 2000 // ARRIVAL_WINDOW_MS * 19 // 20


def test_single_arrival_shows_no_rate():
    assert arrived(1) == 4 * 1000


# A queue's turn as logged on the large site, beyond what its pool of 60 has room for. Machines that
# are asked for arrive after the turn is half over; asking for all that waits at once empties the
# pools whose turn comes next.
TURN = Turn(82, 4.0, 0.64, 9000, 13_000, 8)
POOL = 60


@pytest.mark.parametrize("seed", [1, 2])
def test_turn_asks_for_its_offered_load_and_not_for_its_whole_backlog(seed):
    replay, asked = LoadReplay(TURN, seed, POOL), []
    needed = machines_needed(Resources(int(1000 * offered_cores(TURN))), WORKER_ROOM)
    while replay.clock.monotonic() < TURN.length_s:
        replay.run(0.2)
        load = estimate_loads(replay.scheduler.workload.jobs.values(), replay.clock.monotonic(), 0)
        asked.append(machines_needed(load.get(SERVICE, Load()).total, WORKER_ROOM))
    after_first_second = asked[len(asked) // 4 :]
    assert min(after_first_second) > POOL
    assert max(asked) <= needed / USABLE_SHARE


def test_pool_asks_for_no_machines_for_late_work_while_others_lack_them():
    demand = ServiceDemand(6)
    demand.update(20, 2, 10.0, 2)
    balance = Balance()
    balance.add_pool("all", 9, demand, 6, firm_only=False, now=10.0)
    balance.add_pool("firm", 9, demand, 6, firm_only=True, now=10.0)
    assert balance.shortfall == {"all": 11, "firm": -3}
    assert balance.surplus == {"all": -11, "firm": 3}


def test_contention_lasts_for_a_while():
    contention = Contention()
    assert not contention.update(is_lacking=False, now=10.0)
    assert contention.update(is_lacking=True, now=11.0)
    assert contention.update(is_lacking=False, now=11.0 + CONTENTION_HOLD_S / 2)
    assert not contention.update(is_lacking=False, now=11.0 + CONTENTION_HOLD_S)
