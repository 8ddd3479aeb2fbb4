"""Check what a leader believes of gangs and tasks against workers that are cut off or crash."""

from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gypsumplank.protocol.job import Resources, StepDefinition, StepRecord, TaskPhase
from gypsumplank.state.jobrow import TABLE_STEPS, decode
from standins.cluster import MANIFEST, QUEUE, SimulatedCluster

WORKERS = 3
MAX_JOBS = 5
# Crashes of workers in one example; with a third, a task may be given up.
MAX_CRASHES = 2
PLAIN = StepDefinition(2, Resources(3000, 100), 500)
# Two members do not fit on one worker.
GANG = replace(PLAIN, need=Resources(5000, 100), gang=True)
LAST = StepDefinition(1, Resources(1000, 100), 300, after=(0,))
# Time in which all leases lapse, crashed workers return and all work is done, seconds.
SETTLE_S = 30.0
# Time in which another daemon takes over from a leader that has died, seconds.
TAKE_OVER_S = 2.5
WORKER_INDEXES = st.integers(0, WORKERS - 1)


class GangMachine(RuleBasedStateMachine):
    """Run gangs and plain tasks on a cluster whose workers and leaders fail."""

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster(1, workers=WORKERS)
        self.workers = self.cluster.simulated_workers
        self.crashes = 0
        self.done = Counter()
        self.cluster.run(1.0)

    @property
    def scheduler(self):
        leader = self.cluster.leader()
        return leader.scheduler_leader._term.scheduler if leader else None

    def running(self):
        """Return the names of all tasks that run, with their workers."""
        return [
            (task, worker.entry.id)
            for worker in self.workers.workers.values()
            if worker.up
            for task in worker.running
        ]

    @precondition(lambda self: len(self.cluster.submitted) < MAX_JOBS)
    @rule(
        step=st.sampled_from([GANG, GANG, PLAIN]), chained=st.booleans(), spec=st.sampled_from("13")
    )
    def submit(self, step, chained, spec):
        job = f"{len(self.cluster.submitted):016x}"
        if step.gang:
            self.workers.gang_sizes[f"{job}.0.0"] = step.tasks
        self.cluster.submit(job, (step, LAST) if chained else (step,), spec)

    @rule(seconds=st.sampled_from([0.05, 0.1, 0.2, 0.5, 1.0, 3.0]))
    def wait(self, seconds):
        self.cluster.run(seconds)

    @rule(index=WORKER_INDEXES, reachable=st.booleans())
    def cut_off_or_heal(self, index, reachable):
        list(self.workers.workers.values())[index].reachable = reachable

    @rule(index=WORKER_INDEXES, seconds=st.sampled_from([0.5, 1.0, 2.0, 4.0]))
    def cut_off_for(self, index, seconds):
        worker = list(self.workers.workers.values())[index]
        worker.reachable = False
        self.cluster.run(seconds)
        worker.reachable = True

    @precondition(lambda self: self.crashes < MAX_CRASHES)
    @rule(index=WORKER_INDEXES, keeps_id=st.booleans(), return_s=st.sampled_from([0.2, 3.2]))
    def crash_worker(self, index, keeps_id, return_s):
        worker = list(self.workers.workers.values())[index]
        if worker.up:
            self.crashes += 1
            self.workers.keeps_id, self.workers.return_delay_s = keeps_id, return_s
            self.workers.crash_and_return(worker.entry.id)

    @precondition(
        lambda self: self.crashes < MAX_CRASHES
        and len(self.cluster.submitted) < MAX_JOBS
        and self.cluster.leader() is not None
    )
    @rule(
        index=WORKER_INDEXES,
        seconds=st.sampled_from([0.5, 1.0, 1.5]),
        return_s=st.sampled_from([0.2, 1.5, 3.2]),
    )
    def crash_worker_of_a_gang_without_leader(self, index, seconds, return_s):
        self.submit(GANG, True, "1")
        self.cluster.run(0.2)
        leader = self.cluster.leader()
        if leader is None:
            return
        leader.suspended = True
        self.cluster.run(seconds)
        self.crash_worker(index, False, return_s)
        self.cluster.run(TAKE_OVER_S)
        leader.restart()

    @rule(share=st.sampled_from([0.0, 0.3]))
    def lose_responses(self, share):
        self.workers.response_loss_share = share

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule()
    def restart_leader(self):
        self.cluster.leader().restart()

    @rule(dropped=st.booleans())
    def change_manifest(self, dropped):
        queues = () if dropped else (QUEUE,)
        version = self.cluster.manifest.version + 1
        self.cluster.manifest = replace(MANIFEST, version=version, queues=queues)

    @invariant()
    def done_stays_done(self):
        for row in self.cluster.table.scan(TABLE_STEPS):
            record = decode(row.value, StepRecord)
            count = sum(task.phase is TaskPhase.DONE for task in record.tasks)
            assert count >= self.done[row.key]
            self.done[row.key] = count
        for job in self.scheduler.workload.jobs.values() if self.scheduler else ():
            for step in job.steps.values():
                phases = {task.phase for task in step.tasks}
                assert not step.order.gang or TaskPhase.DONE not in phases or len(phases) == 1

    @invariant()
    def no_task_that_runs_is_queued(self):
        if self.scheduler is None:
            return
        for name, _ in self.running():
            task = self.scheduler.workload.task(name)
            assert task is None or task.phase is not TaskPhase.WAITING

    @invariant()
    def no_rule_is_broken(self):
        assert not self.cluster.violations()

    def teardown(self):
        self.workers.response_loss_share = 0.0
        for worker in self.workers.workers.values():
            worker.reachable = True
        self.change_manifest(False)
        self.cluster.run(SETTLE_S)
        self.done_stays_done()
        self.no_rule_is_broken()
        assert {self.cluster.state(job) for job in self.cluster.submitted} <= {"completed"}
        for instance in self.scheduler.instances.values():
            assert not instance.is_busy
            assert instance.free() == instance.entry.room


TestGangMachine = GangMachine.TestCase
TestGangMachine.settings = settings(
    max_examples=20, stateful_step_count=25, derandomize=True, deadline=None
)
