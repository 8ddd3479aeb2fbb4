"""Check what a leader believes of runs against the faults of the platform, in any order.

The long run, 500 examples of 50 steps for each seed:
HYPOTHESIS_PROFILE=long python -m pytest --hypothesis-seed=1 FILE
"""

import os
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gypsumplank.protocol.job import JobState, Resources, StepDefinition, StepRecord, TaskPhase
from gypsumplank.protocol.queue import MaintenanceWave
from gypsumplank.state.jobrow import TABLE_STEPS, decode
from standins.cluster import (
    CONFIG_APPLY_S,
    QUOTA_OVERAGE,
    ROOM,
    STEP_S,
    SimulatedCluster,
    long_running_step,
)
from standins.violations import (
    CANCEL_S,
    STOP_TIMEOUT_S,
    CapRule,
    find_deadly_restarts,
    find_lonely_gang_runs,
    find_overfull_starts,
    find_runs_of_cancelled_jobs,
    find_starts_above_cap,
    find_starts_of_cancelled_jobs,
)

WORKERS = 4
MAX_JOBS = 8
# Crashes of workers in one example; with a third, a sound task may be given up.
MAX_CRASHES = 2
# Ends that a worker lists at a time; so few that a second of outage leaves more.
LISTED_ENDS = 3
PLAIN = StepDefinition(4, Resources(1500, 100), 500)
GANG = StepDefinition(2, Resources(5000, 100), 500, gang=True)
LAST = StepDefinition(1, Resources(1000, 100), 300, after=(0,))
# Long enough to be at work for the whole of an example.
LASTING_SPEC = "100000"
SHRUNK = Resources(4000, 4000)
# Time in which all leases lapse, late orders come, crashed workers return and all work is done,
# seconds.
SETTLE_S = 60.0
# Longest time after which an order that got no answer is carried out, seconds.
MAX_ORDER_DELAY_S = 12.0
# A manifest binds from the step after the one in which the daemons read it.
CAP_RULE = CapRule(QUOTA_OVERAGE, CONFIG_APPLY_S + STEP_S)
# Below one task, for two of them, for all; and one that limits the memory only.
CAPS = st.sampled_from(
    [None, Resources(1000), Resources(3500), Resources(20_000), Resources(0, 250)]
)
# Lets each account run each of its steps, one after the other.
LAST_CAPS = {name: Resources(6000) for name in "ab"} | {"c": Resources(20_000)}
WORKER_INDEXES = st.integers(0, WORKERS - 1)
SHORT_TIMES_S = st.sampled_from([0.05, 0.1, 0.3, 0.6, 1.0])
OUTAGE_TIMES_S = st.sampled_from([0.3, 1.0, 2.5, 4.5])
COMMIT_FAULTS = st.lists(st.sampled_from(["out", "lost", "dropped", "late"]), max_size=3)


class RunMachine(RuleBasedStateMachine):
    """Run jobs on a cluster in which workers, daemons, the store and the machine service fail."""

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster(1, workers=WORKERS, polls_idle=False)
        self.workers = self.cluster.simulated_workers
        self.workers.max_listed_ends = LISTED_ENDS
        self.crashes = 0
        self.done = Counter()
        self.deadly_jobs = set()
        self.lasting_jobs = set()
        self.cancelled_at = {}
        self.checked_starts = 0
        self.disturbed_at = self.cluster.clock.now
        self.cluster.run(1.0)

    def disturb(self):
        self.disturbed_at = self.cluster.clock.now

    def calm_since(self):
        """Return when the last fault ended; the present time while one lasts."""
        workers, machines = self.workers.workers.values(), self.cluster.machines
        is_disturbed = (
            any(not worker.up or not worker.reachable for worker in workers)
            or self.workers.response_loss_share
            or machines.loses_answers
            or machines.delayed_orders
            or self.workers.delayed_starts
            or self.has_open_wave()
        )
        if is_disturbed:
            self.disturb()
        return max(self.disturbed_at, *(worker.booted_at for worker in workers))

    def has_open_wave(self):
        reported = [daemon.directory.reported for daemon in self.cluster.daemons]
        return bool(self.cluster.waves) and not any(each.get(1) for each in reported)

    def worker(self, index):
        workers = list(self.workers.workers.values())
        return workers[index % len(workers)]

    # Work

    @initialize(a=CAPS, b=CAPS, c=CAPS)
    def begin_with_caps(self, a, b, c):
        if a or b or c:
            self.change_caps(a, b, c)
            self.cluster.run(CONFIG_APPLY_S + 2 * STEP_S)

    @precondition(lambda self: len(self.cluster.submitted) + 3 <= MAX_JOBS)
    @rule(spec=st.sampled_from(["1", "3"]), seconds=SHORT_TIMES_S)
    def submit_several_and_cancel_what_runs(self, spec, seconds):
        known = set(self.cluster.submitted)
        for _ in range(3):
            self.submit(PLAIN, False, spec, 0, "a")
        self.cluster.run(seconds)
        running = [name for each in self.workers.workers.values() for name in each.running]
        for job in sorted({name.partition(".")[0] for name in running} - known):
            self.cancel_job(job)
        self.cluster.run(2 * seconds)

    @precondition(lambda self: len(self.cluster.submitted) < MAX_JOBS)
    @rule(
        step=st.sampled_from([PLAIN, PLAIN, GANG]),
        chained=st.booleans(),
        spec=st.sampled_from(["0.2", "1", "3"]),
        daemon=st.integers(0, 1),
        account=st.sampled_from(["", "a", "a", "b"]),
    )
    def submit(self, step, chained, spec, daemon, account=""):
        job = f"{len(self.cluster.submitted):016x}"
        if step.gang:
            self.workers.gang_sizes[f"{job}.0.0"] = step.tasks
        steps = (step, LAST) if chained else (step,)
        self.cluster.submit(job, steps, spec, daemon, account=account)

    @precondition(
        lambda self: len(self.cluster.submitted) < MAX_JOBS
        and not self.deadly_jobs
        and not self.lasting_jobs
    )
    @rule()
    def submit_deadly(self):
        job = f"{len(self.cluster.submitted):016x}"
        self.deadly_jobs.add(job)
        self.workers.deadly_tasks.add(f"{job}.0.0.0")
        self.cluster.submit(job, (PLAIN,), "1")

    @precondition(lambda self: len(self.cluster.submitted) < MAX_JOBS and not self.deadly_jobs)
    @rule(
        tasks=st.integers(1, 3), daemon=st.integers(0, 1), account=st.sampled_from(["", "c", "c"])
    )
    def submit_lasting(self, tasks, daemon, account):
        job = f"{len(self.cluster.submitted):016x}"
        self.lasting_jobs.add(job)
        steps = (long_running_step(tasks),)
        self.cluster.submit(job, steps, LASTING_SPEC, daemon, account=account)

    @rule(a=CAPS, b=CAPS, c=CAPS)
    def change_caps(self, a, b, c):
        caps = {"a": a, "b": b, "c": c}
        self.cluster.set_caps({name: cap for name, cap in caps.items() if cap is not None})

    @precondition(lambda self: self.cluster.submitted)
    @rule(index=st.integers(0, MAX_JOBS - 1), daemon=st.integers(0, 1))
    def cancel(self, index, daemon):
        jobs = list(self.cluster.submitted)
        self.cancel_job(jobs[index % len(jobs)], daemon)

    def cancel_job(self, job, daemon=0):
        state = self.cluster.daemons[daemon].job_service.cancel(job)
        if state is JobState.CANCELLED:
            self.cancelled_at.setdefault(job, self.cluster.clock.now)

    @precondition(lambda self: len(self.cluster.submitted) + 2 <= MAX_JOBS)
    @rule(seconds=OUTAGE_TIMES_S)
    def submit_before_a_store_outage(self, seconds):
        for _ in range(2):
            self.submit(PLAIN, False, "1", 0)
        self.cluster.run(0.3)
        self.store_outage(seconds)

    @precondition(
        lambda self: self.crashes < MAX_CRASHES and len(self.cluster.submitted) < MAX_JOBS
    )
    @rule(
        index=WORKER_INDEXES, seconds=st.sampled_from([0.5, 7.0, 9.0]), spec=st.sampled_from("36")
    )
    def submit_to_restarted_workers_that_fall_silent(self, index, seconds, spec):
        self.restart_worker(index, True)
        self.workers.response_loss_share = 1.0
        self.submit(PLAIN, False, spec, 0)
        self.cluster.run(0.1)
        self.workers.response_loss_share = 0.0
        worker = self.worker(index)
        worker.reachable = False
        self.cluster.run(seconds)
        worker.reachable = True
        self.disturb()

    @rule(seconds=SHORT_TIMES_S)
    def wait(self, seconds):
        self.cluster.run(seconds)

    @rule()
    def wait_for_leases(self):
        self.cluster.run(7.0)

    # Workers

    @rule(index=WORKER_INDEXES, seconds=OUTAGE_TIMES_S)
    def cut_off_for(self, index, seconds):
        worker = self.worker(index)
        worker.reachable = False
        self.cluster.run(seconds)
        worker.reachable = True
        self.disturb()

    @rule(index=WORKER_INDEXES, reachable=st.booleans())
    def cut_off_or_heal(self, index, reachable):
        self.worker(index).reachable = reachable
        self.disturb()

    @rule(index=WORKER_INDEXES, is_cut=st.booleans())
    def cut_from_registry_or_heal(self, index, is_cut):
        name = self.worker(index).entry.id
        if is_cut:
            self.workers.cut_from_registry(name)
        else:
            self.workers.reconnect_registry(name)
        self.disturb()

    @precondition(lambda self: self.crashes < MAX_CRASHES)
    @rule(index=WORKER_INDEXES, unheard_of=st.booleans())
    def restart_worker(self, index, unheard_of):
        worker = self.worker(index)
        if not worker.up:
            return
        self.crashes += 1
        if unheard_of:
            self.workers.cut_from_registry(worker.entry.id)
        self.workers.crash(worker.entry.id)
        self.workers.restart(worker.entry.id)

    @precondition(lambda self: self.crashes < MAX_CRASHES)
    @rule(index=WORKER_INDEXES, keeps_id=st.booleans(), return_s=st.sampled_from([0.2, 3.2]))
    def crash_worker(self, index, keeps_id, return_s):
        worker = self.worker(index)
        if worker.up:
            self.crashes += 1
            self.workers.keeps_id, self.workers.return_delay_s = keeps_id, return_s
            self.workers.crash_and_return(worker.entry.id)

    @rule(share=st.sampled_from([0.0, 0.0, 0.3, 1.0]))
    def lose_responses(self, share):
        self.workers.response_loss_share = share
        self.disturb()

    @rule(index=WORKER_INDEXES, room=st.sampled_from([SHRUNK, ROOM]))
    def change_capacity(self, index, room):
        self.workers.set_room(self.worker(index).entry.id, room)
        self.disturb()

    # Daemons and the store

    @rule(seconds=OUTAGE_TIMES_S)
    def store_outage(self, seconds):
        for daemon in self.cluster.daemons:
            daemon.table.unavailable = True
        self.cluster.run(seconds)
        for daemon in self.cluster.daemons:
            daemon.table.unavailable = False
        self.disturb()

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule(faults=COMMIT_FAULTS, seconds=SHORT_TIMES_S)
    def fail_commits(self, faults, seconds):
        table = self.cluster.leader().table
        table.commit_faults.extend(faults)
        self.cluster.run(seconds)
        table.commit_faults.clear()
        table.apply_delayed()
        self.disturb()

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule()
    def restart_leader(self):
        self.cluster.leader().restart()
        self.disturb()

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule(seconds=st.sampled_from([0.5, 2.0, 3.5, 8.0]))
    def pause_leader(self, seconds):
        leader = self.cluster.leader()
        leader.suspended = True
        self.cluster.run(seconds)
        leader.suspended = False
        self.disturb()

    # The machine service

    @precondition(lambda self: not self.cluster.waves)
    @rule(cap=st.integers(1, 2))
    def start_wave(self, cap):
        machines = tuple(worker.entry.machine for worker in self.workers.workers.values())
        self.cluster.waves.append(MaintenanceWave(1, machines, 30.0, cap))

    @rule(loses=st.booleans(), delay_s=st.sampled_from([0.0, 2.0, 5.0, MAX_ORDER_DELAY_S]))
    def lose_machine_answers(self, loses, delay_s):
        self.cluster.machines.loses_answers = loses
        self.cluster.machines.order_delay_s = delay_s if loses else 0.0
        self.disturb()

    # What always holds

    @invariant()
    def no_rule_is_broken(self):
        cluster, history = self.cluster, self.workers.history
        assert not cluster.violations()
        changes = self.workers.room_changes
        assert not find_overfull_starts(history, cluster.submitted, changes)
        assert not find_deadly_restarts(history, self.workers.deadly_tasks)
        if cluster.waves:
            assert cluster.machines.max_down <= cluster.waves[0].cap

    @invariant()
    def no_start_exceeds_a_cap(self):
        cluster, history = self.cluster, self.workers.history
        assert not find_starts_above_cap(
            history,
            cluster.submitted,
            cluster.accounts,
            cluster.cap_changes,
            CAP_RULE,
            self.checked_starts,
        )
        self.checked_starts = len(history)

    @invariant()
    def what_was_not_asked_for_does_not_run(self):
        history, calm_since = self.workers.history, self.calm_since()
        assert not find_starts_of_cancelled_jobs(history, self.cancelled_at, calm_since)
        assert not find_runs_of_cancelled_jobs(
            history, self.cancelled_at, calm_since, self.cluster.clock.now
        )

    @invariant()
    def no_member_of_a_gang_is_alone(self):
        history = self.workers.history
        assert not find_lonely_gang_runs(history, self.cancelled_at, self.calm_since())

    @invariant()
    def done_stays_done(self):
        for row in self.cluster.table.scan(TABLE_STEPS):
            record = decode(row.value, StepRecord)
            count = sum(task.phase is TaskPhase.DONE for task in record.tasks)
            assert count >= self.done[row.key]
            self.done[row.key] = count

    def check(self):
        self.no_rule_is_broken()
        self.no_start_exceeds_a_cap()
        self.what_was_not_asked_for_does_not_run()
        self.no_member_of_a_gang_is_alone()
        self.done_stays_done()

    def lasting_tasks_at_work(self):
        running = [each.running for each in self.workers.workers.values() if each.up]
        names = {name for tasks in running for name in tasks}
        return {name for name in names if name.partition(".")[0] in self.lasting_jobs}

    def teardown(self):
        self.workers.response_loss_share = 0.0
        self.lose_machine_answers(False, 0.0)
        for name, worker in list(self.workers.workers.items()):
            worker.reachable = True
            self.workers.reconnect_registry(name)
            self.workers.set_room(name, ROOM)
        self.disturb()
        if self.cluster.cap_changes:
            self.cluster.set_caps(LAST_CAPS)
        self.cluster.run(SETTLE_S)
        self.check()
        assert self.lasting_tasks_at_work() == {
            f"{job}.0.0.{index}"
            for job in self.lasting_jobs - self.cancelled_at.keys()
            for index in range(self.cluster.submitted[job].steps[0].tasks)
        }
        for job in self.lasting_jobs:
            self.cancel_job(job)
        self.cluster.run(CANCEL_S + STOP_TIMEOUT_S)
        self.check()
        assert not self.lasting_tasks_at_work()
        self.check_states()
        self.check_capacity_is_free()

    def check_states(self):
        states = {job: self.cluster.state(job) for job in self.cluster.submitted}
        assert {states[job] for job in self.cancelled_at} <= {"cancelled"}
        deadly = self.deadly_jobs - self.cancelled_at.keys()
        assert {states[job] for job in deadly} <= {"failed"}
        others = states.keys() - self.cancelled_at.keys() - deadly
        assert {states[job] for job in others} <= {"completed"}

    def check_capacity_is_free(self):
        scheduler = self.cluster.leader().scheduler_leader._term.scheduler
        up = {worker.entry.id for worker in self.workers.workers.values() if worker.up}
        free = {
            each.id
            for each in scheduler.instances.values()
            if each.accepts_tasks(self.cluster.clock.now) and each.free() == each.entry.room
        }
        assert free == up


TestRunMachine = RunMachine.TestCase
if os.environ.get("HYPOTHESIS_PROFILE") != "long":
    TestRunMachine.settings = settings(
        max_examples=15, stateful_step_count=25, derandomize=True, deadline=None
    )
