"""Keep all jobs that have not ended, and collect their changes for commits to the store.

Answers queues of over 1,000 jobs, of which few change in one round: what follows the jobs looks at
those that have changed, and not at all of them.
"""

import logging
import re
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import replace
from itertools import count, islice, takewhile

from gypsumplank.coordination.job.model import Job, Task
from gypsumplank.errors import EntryInvalidError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, JobState, TaskPhase
from gypsumplank.protocol.worker import TaskName
from gypsumplank.state.jobrow import (
    MAX_TXN_ENTRIES,
    TABLE_CANCELS,
    TABLE_ORDERS,
    TABLE_PENDING,
    TABLE_STATES,
    TABLE_STEPS,
    JobRows,
    JobUpdate,
    LoadedJob,
    in_chunks,
    order_write,
    pending_key,
    sent_bytes,
    state_write,
    step_write,
    take_fitting,
)
from gypsumplank.state.table import Check, Write

# Jobs that have not begun and that are added before one round; they take less time than a round.
POSTPONED_CHUNK_JOBS = 50

# Version that is lower than any in the store: not all submissions are known.
UNKNOWN_VERSION = -1
NUMBER = re.compile(r"[0-9]{1,9}")

logger = logging.getLogger(__name__)


def parse_task_name(name: str) -> TaskName:
    """Parse a task's name; raise EntryInvalidError."""
    parts = name.split(".")
    if len(parts) != 4 or not all(NUMBER.fullmatch(part) for part in parts[1:]):
        raise EntryInvalidError(f"{name!r} is not a valid task name")
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def in_order(jobs: Iterable[Job]) -> list[Job]:
    """Return jobs in the order in which this leader read them."""
    return sorted(jobs, key=lambda job: job.number)


class JobChanges:
    """Collect the jobs that have changed since they were last taken."""

    def __init__(self) -> None:
        self._jobs: set[Job] = set()

    def add(self, job: Job) -> None:
        """Add a job that was added or has changed."""
        self._jobs.add(job)

    def take(self) -> list[Job]:
        """Return the jobs that have changed, in their order, and forget them."""
        jobs, self._jobs = in_order(self._jobs), set()
        return jobs


class Workload:
    """Keep jobs by identifier, and when ended ones were removed, in monotonic seconds.

    `postponed` are the rows of jobs that have not begun and are not added yet.
    `new_jobs` are those that were added since the last round.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.ended_at: dict[str, float] = {}
        self.new_jobs: list[Job] = []
        self.postponed: dict[str, JobRows] = {}
        self._postponed_at = 0.0
        self._numbers = count()
        self._uncommitted: set[Job] = set()
        self._followers: list[JobChanges] = []
        # Version of the store up to which this leader knows the cancellations of submissions; None
        # if there are no submissions.
        self.intake_version: int | None = None
        # Version of the store from which the postponed jobs were read.
        self.loaded_version = 0

    def follow(self) -> "JobChanges":
        """Return a record of the jobs that are added or changed from now on."""
        changes = JobChanges()
        self._followers.append(changes)
        return changes

    def _note_change(self, job: Job) -> None:
        self._uncommitted.add(job)
        for changes in self._followers:
            changes.add(job)

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
        job.restore(loaded.steps, loaded.ended)
        job.started = loaded.state is not JobState.QUEUED
        job.number = next(self._numbers)
        self.jobs[job.id] = job
        job.on_change = self._note_change
        job.note_change()
        self.new_jobs.append(job)
        return job

    @property
    def is_complete(self) -> bool:
        """Return whether all jobs are added that were stored or submitted before the take-over."""
        return not self.postponed and self.intake_version != UNKNOWN_VERSION

    def take_new_jobs(self) -> list[Job]:
        """Return the jobs that were added since the last call."""
        new_jobs, self.new_jobs = self.new_jobs, []
        return new_jobs

    def knows(self, job_id: str) -> bool:
        """Return whether a job was added or postponed."""
        return job_id in self.jobs or job_id in self.postponed

    def postpone(self, jobs: Iterable[JobRows], now: float) -> None:
        """Keep jobs that have not begun, to be added later as if they were added now."""
        self.postponed.update((rows.id, rows) for rows in jobs)
        self._postponed_at = now

    def add_postponed(self, on_progress: Callable[[], object]) -> None:
        """Add the first postponed jobs; those that cannot be decoded are logged and left out.

        Calls `on_progress` after each LOAD_CHUNK_JOBS of them.
        """
        first = list(islice(self.postponed, POSTPONED_CHUNK_JOBS))
        for job_id in in_chunks(first, on_progress):
            self.add_postponed_job(job_id)

    def add_postponed_job(self, job_id: str) -> None:
        """Add a job now if it is postponed."""
        rows = self.postponed.get(job_id)
        if rows is None:
            return
        loaded = rows.decode()
        if loaded is not None and job_id not in self.ended_at:
            self.add(loaded, self._postponed_at).first_version = self.loaded_version
        del self.postponed[job_id]

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
        if rows := self.postponed.get(job_id):
            self.postponed[job_id] = replace(rows, cancelled=True)
        job = self.jobs.get(job_id)
        if job is not None and not (job.cancelled and job.state is JobState.CANCELLED):
            job.cancelled = True
            job.state = JobState.CANCELLED
            job.state_dirty = False
            job.note_change()
            event(logger, Event.JOB_CANCELLED, job=job_id, at_work=len(job.assigned_tasks()))

    def cancel_submission(self, job_id: str) -> None:
        """Cancel a job whose submission is marked as cancelled, unless it has ended in the store.

        The state is then stored by this leader.
        """
        job = self.jobs.get(job_id)
        if job is None or (job.state in FINAL_JOB_STATES and not job.state_dirty):
            return
        if job.state is not JobState.CANCELLED:
            job.cancelled = True
            job.state = JobState.CANCELLED
            job.state_dirty = True
            job.note_change()
            event(logger, Event.JOB_CANCELLED, job=job_id, at_work=len(job.assigned_tasks()))

    def update_job_states(self, jobs: Iterable[Job], now: float) -> None:
        """Update the jobs' states from the phases of their tasks."""
        for job in jobs:
            if job.state in FINAL_JOB_STATES:
                continue
            phases = {task.phase for task in job.tasks()}
            if TaskPhase.FAILED in phases:
                self._set_state(job, JobState.FAILED, now)
            elif not job.has_unopened and phases <= {TaskPhase.DONE} and (phases or job.ended):
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
        for job in in_order(self._uncommitted):
            if job.id in held_back or self._may_be_cancelled(job):
                continue
            update = (
                self._cleanup_update(job) if self._is_finished(job) else self._progress_update(job)
            )
            if update is not None:
                yield update
            else:
                self._uncommitted.discard(job)

    def are_steps_stored(self) -> bool:
        """Return whether the changes of all steps are stored."""
        return not any(step.dirty for job in self._uncommitted for step in job.steps.values())

    def _may_be_cancelled(self, job: Job) -> bool:
        """Return whether a job that ended may have been cancelled before it was first stored.

        Then its cancellation is acknowledged, so that no other final state may be stored.
        """
        return (
            self.intake_version is not None
            and job.state_dirty
            and job.state in FINAL_JOB_STATES
            and job.state is not JobState.CANCELLED
            and job.first_version > self.intake_version
        )

    def mark_stored(self, job: Job, update: JobUpdate, version: int, now: float) -> None:
        """Clear the dirty flags that a committed update covers; remove the job if it is over."""
        if any(write.table == TABLE_STATES for write in update.writes):
            job.version = version
            job.state_dirty = False
            if job.unstored:
                job.unstored = False
                job.first_version = version
        written = {write.key: write for write in update.writes if write.table == TABLE_STEPS}
        for step in job.steps.values():
            if step.key in written:
                step.dirty = False
                step.record_removed = written[step.key].value is None
        open_keys = {step.key for step in job.steps.values()}
        job.ended_rows_removed += sum(1 for key in written if key not in open_keys)
        job.close_ended_occurrences()
        if any(write.table == TABLE_ORDERS and write.value is None for write in update.writes):
            self.jobs.pop(job.id, None)
            # Others may still hold the job; what they change must not be committed any more.
            job.on_change = None
            self._uncommitted.discard(job)
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
        if job.unstored and job.state is JobState.QUEUED and any(task.run for task in job.tasks()):
            # Saves a second transaction for the state, as the job gets its rows now.
            job.started = job.state_dirty = True
            job.state = JobState.RUNNING
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
        limit = MAX_TXN_ENTRIES // 2
        stored = [step.key for step in job.steps.values() if step.has_record][: limit + 1]
        stored.extend(job.ended_row_keys(limit + 1 - len(stored)))
        writes.extend(Write(TABLE_STEPS, key, None) for key in stored[:limit])
        if len(stored) <= limit:
            writes.append(Write(TABLE_ORDERS, job.id, None))
            if job.cancelled:
                writes.append(Write(TABLE_CANCELS, job.id, None))
        return JobUpdate(job.id, tuple(checks), tuple(writes))

    @staticmethod
    def _state_writes(job: Job) -> tuple[list[Check], list[Write]]:
        if not (job.state_dirty or job.unstored):
            return [], []
        key = pending_key(job.stored.queue, job.id)
        is_pending = job.unstored and job.state is JobState.QUEUED
        checks = [Check(TABLE_STATES, job.id, job.version)]
        writes = [state_write(job.id, job.state, job.stored.queue)]
        writes.append(Write(TABLE_PENDING, key, b"1" if is_pending else None))
        if job.unstored and not Workload._is_finished(job):
            writes.append(order_write(job.stored))
        return checks, writes
