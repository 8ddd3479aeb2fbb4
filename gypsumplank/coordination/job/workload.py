"""Keep all jobs that have not ended, and collect their changes for commits to the store."""

import logging
import re
from collections.abc import Collection, Iterable, Iterator, Sequence
from itertools import islice, takewhile

from gypsumplank.coordination.job.model import Job, Task
from gypsumplank.errors import EntryInvalidError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, JobState, TaskPhase
from gypsumplank.protocol.worker import TaskName
from gypsumplank.state.job import (
    MAX_TXN_ENTRIES,
    TABLE_CANCELS,
    TABLE_ORDERS,
    TABLE_PENDING,
    TABLE_STATES,
    TABLE_STEPS,
    JobUpdate,
    LoadedJob,
    pending_key,
    sent_bytes,
    state_write,
    step_write,
    take_fitting,
)
from gypsumplank.state.table import Check, Write

NUMBER = re.compile(r"[0-9]{1,9}")

logger = logging.getLogger(__name__)


def parse_task_name(name: str) -> TaskName:
    """Parse a task's name; raise EntryInvalidError."""
    parts = name.split(".")
    if len(parts) != 4 or not all(NUMBER.fullmatch(part) for part in parts[1:]):
        raise EntryInvalidError(f"{name!r} is not a valid task name")
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class Workload:
    """Keep jobs by identifier, and when ended ones were removed, in monotonic seconds.

    `new_jobs` are those that were added since the last round.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.ended_at: dict[str, float] = {}
        self.new_jobs: list[Job] = []

    def add(self, loaded: LoadedJob, now: float) -> Job:
        """Add a job that was read from the store; `now` is in monotonic seconds."""
        cancelled = loaded.cancelled or loaded.state is JobState.CANCELLED
        job = Job(
            loaded.job,
            loaded.job.service,
            # The state may have been read before the cancellation.
            JobState.CANCELLED if cancelled else loaded.state,
            loaded.version,
            cancelled,
            arrived_at=now,
        )
        for step in job.steps.values():
            record = loaded.steps.get(step.key)
            if record is not None:
                step.restore(record, now)
            for task in step.tasks:
                task.queued_since = now
        job.started = loaded.state is not JobState.QUEUED
        self.jobs[job.id] = job
        self.new_jobs.append(job)
        return job

    def take_new_jobs(self) -> list[Job]:
        """Return the jobs that were added since the last call."""
        new_jobs, self.new_jobs = self.new_jobs, []
        return new_jobs

    def task(self, name: str) -> Task | None:
        """Return the task of this name; None if it is unknown."""
        try:
            parsed = parse_task_name(name)
        except EntryInvalidError as exc:
            event(logger, Event.ENTRY_DROPPED, logging.WARNING, code=exc.code, detail=exc.detail)
            return None
        job = self.jobs.get(parsed.job)
        return job.find(parsed) if job else None

    def cancel(self, job_id: str) -> None:
        """Mark a job as cancelled, as it is in the store."""
        job = self.jobs.get(job_id)
        if job is not None and not (job.cancelled and job.state is JobState.CANCELLED):
            job.cancelled = True
            job.state = JobState.CANCELLED
            job.state_dirty = False
            event(logger, Event.JOB_CANCELLED, job=job_id, at_work=len(job.assigned_tasks()))

    def update_job_states(self, jobs: Iterable[Job], now: float) -> None:
        """Update the jobs' states from the phases of their tasks."""
        for job in jobs:
            if job.state in FINAL_JOB_STATES:
                continue
            phases = {task.phase for task in job.tasks()}
            if TaskPhase.FAILED in phases:
                self._set_state(job, JobState.FAILED, now)
            elif phases == {TaskPhase.DONE}:
                self._set_state(job, JobState.COMPLETED, now)
            elif not job.started and any(task.run for task in job.tasks()):
                job.started = True
                self._set_state(job, JobState.RUNNING, now)

    def _set_state(self, job: Job, state: JobState, now: float) -> None:
        job.state = state
        job.state_dirty = True
        if state in FINAL_JOB_STATES:
            event(
                logger,
                Event.JOB_ENDED,
                job=job.id,
                queue=job.stored.queue,
                state=state.value,
                took_ms=round((now - job.arrived_at) * 1000),
            )

    def abandon(self, job: Job, now: float) -> None:
        """Fail a job of which the store does not take a step's row; write no such row again."""
        job.is_unstorable = True
        if job.state not in FINAL_JOB_STATES:
            self._set_state(job, JobState.FAILED, now)

    def updates(self, held_back: Collection[str] = ()) -> Iterator[JobUpdate]:
        """Yield the changes to commit, one update per job; none for jobs that are held back."""
        for job in list(self.jobs.values()):
            if job.id in held_back:
                continue
            update = (
                self._cleanup_update(job) if self._is_finished(job) else self._progress_update(job)
            )
            if update is not None:
                yield update

    def mark_stored(self, job: Job, update: JobUpdate, version: int, now: float) -> None:
        """Clear the dirty flags that a committed update covers; remove the job if it is over."""
        if any(write.table == TABLE_STATES for write in update.writes):
            job.version = version
            job.state_dirty = False
        written = {write.key: write for write in update.writes if write.table == TABLE_STEPS}
        for step in job.steps.values():
            if step.key in written:
                step.dirty = False
                step.record_removed = written[step.key].value is None
        if any(write.table == TABLE_ORDERS for write in update.writes):
            self.jobs.pop(job.id, None)
            self.ended_at[job.id] = now

    def expired(self, before: float, limit: int = MAX_TXN_ENTRIES) -> Sequence[str]:
        """Return jobs that ended before a time and whose state need not be kept any longer."""
        ended = takewhile(lambda item: item[1] < before, self.ended_at.items())
        return [job for job, _ in islice(ended, limit)]

    def forget(self, jobs: Iterable[str]) -> None:
        """Forget ended jobs whose states were removed."""
        for job in jobs:
            self.ended_at.pop(job, None)

    @staticmethod
    def _is_finished(job: Job) -> bool:
        return job.state in FINAL_JOB_STATES and not job.assigned_tasks()

    def _progress_update(self, job: Job) -> JobUpdate | None:
        dirty = [step for step in job.steps.values() if step.dirty]
        if job.is_unstorable:
            for step in dirty:
                step.dirty = False
            dirty = []
        if job.state_dirty or dirty:
            checks, writes = self._state_writes(job)
            size = sum(map(sent_bytes, checks)) + sum(map(sent_bytes, writes))
            records = (step_write(step.key, step.record) for step in dirty)
            writes.extend(take_fitting(records, len(checks) + len(writes), size))
            return JobUpdate(job.id, tuple(checks), tuple(writes))
        return None

    def _cleanup_update(self, job: Job) -> JobUpdate:
        checks, writes = self._state_writes(job)
        stored = [step for step in job.steps.values() if step.has_record]
        writes.extend(Write(TABLE_STEPS, step.key, None) for step in stored[: MAX_TXN_ENTRIES // 2])
        if len(stored) <= MAX_TXN_ENTRIES // 2:
            writes.append(Write(TABLE_ORDERS, job.id, None))
            if job.cancelled:
                writes.append(Write(TABLE_CANCELS, job.id, None))
        return JobUpdate(job.id, tuple(checks), tuple(writes))

    @staticmethod
    def _state_writes(job: Job) -> tuple[list[Check], list[Write]]:
        if not job.state_dirty:
            return [], []
        checks = [Check(TABLE_STATES, job.id, job.version)]
        writes = [state_write(job.id, job.state, job.stored.queue)]
        writes.append(Write(TABLE_PENDING, pending_key(job.stored.queue, job.id), None))
        return checks, writes
