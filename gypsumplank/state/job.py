"""Store jobs, their states and the progress of their steps in the table service."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import cached_property
from math import ceil
from typing import TypeVar

import msgspec

from gypsumplank.errors import (
    EntryInvalidError,
    JobMissingError,
    StateConflictError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.decoder import Count, decode_json
from gypsumplank.protocol.job import FINAL_JOB_STATES, JobState, StepRecord, StoredJob
from gypsumplank.state.jobsize import check_job_size, check_row_size
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_ORDERS = "orders"
TABLE_STATES = "states"
TABLE_PENDING = "pending"
TABLE_STEPS = "steps"
TABLE_CANCELS = "cancels"
TABLE_POOLS = "pools"
TABLE_SILENCES = "silences"

# Entries per transaction; the platform accepts 100.
MAX_TXN_ENTRIES = 90
# Bytes per transaction, as sent; the platform accepts 1 MB.
MAX_TXN_BYTES = 800_000
# Bytes that an entry adds as sent beside its table, key and value: the JSON around these, the
# partition, and the version that a check has.
ENTRY_OVERHEAD_BYTES = 100
# Bytes of a row's key that the platform accepts.
MAX_KEY_BYTES = 200
# Bytes of a row's value, where the settings file gives no other limit.
DEFAULT_MAX_ROW_BYTES = 65_536
# Jobs that a load decodes between two checks of the lease; a slow daemon decodes them in less time
# than passes between two renewals.
LOAD_CHUNK_JOBS = 10
# Attempts to cancel a job while its state changes concurrently.
MAX_CANCEL_ATTEMPTS = 6

T = TypeVar("T")

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class StateValue:
    """Represent a job's state and queue as stored."""

    state: JobState
    queue: str


@dataclass(frozen=True)
class JobUpdate:
    """Represent changes to one job that are committed together."""

    job: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]

    @property
    def entries(self) -> int:
        """Return how many transaction entries the changes use."""
        return len(self.checks) + len(self.writes)

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes of a transaction the changes use."""
        return sum(map(sent_bytes, self.checks)) + sum(map(sent_bytes, self.writes))


@dataclass(frozen=True)
class LoadedJob:
    """Represent a loaded job: its state, the version of the state's row and its steps by key."""

    job: StoredJob
    state: JobState
    version: int
    cancelled: bool
    steps: dict[str, StepRecord]


def decode(raw: bytes, kind: type[T]) -> T:
    """Return a stored value; raise EntryInvalidError."""
    return decode_json(raw, kind)


def decode_order(row: Row) -> StoredJob:
    """Return the job of a row; raise EntryInvalidError."""
    job = decode(row.value, StoredJob)
    if job.id != row.key:
        raise EntryInvalidError(f"the job is {job.id!r}")
    if fault := job.order.find_fault():
        raise EntryInvalidError(fault)
    return job


def order_write(job: StoredJob) -> Write:
    """Return the write that stores a job as submitted."""
    return Write(TABLE_ORDERS, job.id, msgspec.json.encode(job))


def pending_key(queue: str, job: str) -> str:
    """Return the key of the row that exists until a task of the job has started."""
    return f"{queue}/{job}"


def step_key(job: str, occurrence: int, position: int) -> str:
    """Return the key of a step's row."""
    return f"{job}.{occurrence}.{position}"


def state_write(job: str, state: JobState, queue: str) -> Write:
    """Return the write that stores a job's state."""
    return Write(TABLE_STATES, job, msgspec.json.encode(StateValue(state, queue)))


def step_write(key: str, record: StepRecord, max_bytes: int = DEFAULT_MAX_ROW_BYTES) -> Write:
    """Return the write that stores a step's progress, in at most `max_bytes` if possible.

    Which workers a task failed on only guides placement, so it is left out of a row too long.
    """
    value = msgspec.json.encode(record)
    if len(value) > max_bytes:
        shortened = (replace(task, failed_on=()) for task in record.tasks)
        value = msgspec.json.encode(StepRecord(tuple(shortened)))
    return Write(TABLE_STEPS, key, value)


def sent_bytes(entry: Check | Write) -> int:
    """Return the bytes that an entry of a transaction adds as sent, with its value in base64."""
    value = entry.value or b"" if isinstance(entry, Write) else b""
    key_bytes = len(entry.table.encode()) + len(entry.key.encode())
    return ENTRY_OVERHEAD_BYTES + key_bytes + 4 * ceil(len(value) / 3)


def take_fitting(writes: Iterable[Write], entries: int, size: int) -> Iterator[Write]:
    """Yield the first writes that fit into a transaction beside `entries` of `size` bytes."""
    for write in writes:
        entries += 1
        size += sent_bytes(write)
        if entries > MAX_TXN_ENTRIES or size > MAX_TXN_BYTES:
            return
        yield write


def group_into_txns(updates: Iterable[JobUpdate]) -> Iterator[list[JobUpdate]]:
    """Group updates into transactions of at most MAX_TXN_ENTRIES entries and MAX_TXN_BYTES.

    An update that exceeds these alone becomes a transaction of its own.
    """
    batch: list[JobUpdate] = []
    entries = size = 0
    for update in updates:
        update_bytes = update.sent_bytes
        is_full = entries + update.entries > MAX_TXN_ENTRIES or size + update_bytes > MAX_TXN_BYTES
        if batch and is_full:
            yield batch
            batch, entries, size = [], 0, 0
        batch.append(update)
        entries += update.entries
        size += update_bytes
    if batch:
        yield batch


def _decode_count(row: Row) -> int:
    return decode_json(row.value, Count)


def _is_final(row: Row) -> bool:
    try:
        return decode(row.value, StateValue).state in FINAL_JOB_STATES
    except EntryInvalidError:
        return False


@dataclass(frozen=True)
class JobRows:
    """Store the rows of a job as they were read."""

    order: Row
    state: Row | None
    cancelled: bool
    steps: Sequence[Row] = ()

    @property
    def id(self) -> str:
        """Return the identifier that the caller chose."""
        return self.order.key

    @property
    def queue(self) -> str:
        """Return the job's queue; empty if that cannot be decoded."""
        return self._state_value.queue if self._state_value else ""

    @property
    def has_begun(self) -> bool:
        """Return whether a task may have been assigned, or the state cannot be decoded."""
        value = self._state_value
        is_running = value is not None and value.state is JobState.RUNNING
        is_undecodable = self.state is not None and value is None
        return bool(self.steps) or is_running or is_undecodable

    @cached_property
    def _state_value(self) -> StateValue | None:
        try:
            return decode(self.state.value, StateValue) if self.state else None
        except EntryInvalidError:
            return None

    def decode(self) -> LoadedJob | None:
        """Return the job; log it and return None if a row cannot be decoded.

        Such a job is left out, as its tasks may have run.
        """
        try:
            return _decode_job(self.order, self.state, self.cancelled, self.steps)
        except EntryInvalidError as exc:
            event(
                logger,
                Event.ENTRY_DROPPED,
                logging.ERROR,
                job=self.id,
                code=exc.code,
                detail=exc.detail,
            )
            return None


def _decode_job(row: Row, state: Row | None, cancelled: bool, steps: Iterable[Row]) -> LoadedJob:
    value = decode(state.value, StateValue) if state else None
    job = decode_order(row)
    task_counts = _task_counts(job)
    return LoadedJob(
        job,
        value.state if value else JobState.QUEUED,
        state.version if state else row.version,
        cancelled,
        {
            step.key: _decode_step(step, task_counts[step.key])
            for step in steps
            if step.key in task_counts
        },
    )


def _task_counts(job: StoredJob) -> dict[str, int]:
    """Return the number of tasks of each occurrence of a step, by the key of its row."""
    return {
        step_key(job.id, occurrence, position): step.tasks
        for occurrence in range(max(1, job.order.schedule.count))
        for position, step in enumerate(job.order.steps)
    }


def _decode_step(row: Row, tasks: int) -> StepRecord:
    record = decode(row.value, StepRecord)
    if len(record.tasks) != tasks:
        raise EntryInvalidError(f"{row.key} has {len(record.tasks)} of {tasks} tasks")
    return record


def in_chunks(items: Iterable[T], on_chunk: Callable[[], object]) -> Iterator[T]:
    """Yield the items; call `on_chunk` after each LOAD_CHUNK_JOBS of them."""
    for number, item in enumerate(items, 1):
        yield item
        if number % LOAD_CHUNK_JOBS == 0:
            on_chunk()


class JobStore:
    """Read and write jobs; every method may raise StateError.

    `max_row_bytes` is the longest value of a row that the store accepts.
    """

    def __init__(self, table: Table, max_row_bytes: int = DEFAULT_MAX_ROW_BYTES) -> None:
        self._table = table
        self.max_row_bytes = max_row_bytes
        self._number_decoder = RowDecoder(_decode_count)

    def submit(self, job: StoredJob, timeout_s: float | None = None) -> bool:
        """Store a new job; return False if it is stored already.

        `timeout_s` limits the wait for the response, in seconds. Raises StateTooLargeError if the
        job, or the progress of one of its steps, does not fit into a row.
        """
        order = msgspec.json.encode(job)
        check_row_size(len(order), self.max_row_bytes)
        check_job_size(job, self.max_row_bytes)
        writes = (
            Write(TABLE_ORDERS, job.id, order),
            state_write(job.id, JobState.QUEUED, job.queue),
            Write(TABLE_PENDING, pending_key(job.queue, job.id), b"1"),
        )
        try:
            self._table.commit(Txn((Check(TABLE_STATES, job.id, ABSENT),), writes, timeout_s))
        except StateConflictError:
            return False
        return True

    def state(self, job: str) -> tuple[StateValue, int]:
        """Return a job's state and its row's version; raise JobMissingError."""
        row = self._table.get(TABLE_STATES, job)
        if row is None:
            raise JobMissingError(f"no job {job}")
        return decode(row.value, StateValue), row.version

    def cancel(self, job: str) -> JobState:
        """Mark a job as cancelled unless it has ended; return its resulting state."""
        for _ in range(MAX_CANCEL_ATTEMPTS):
            value, version = self.state(job)
            if value.state in FINAL_JOB_STATES:
                return value.state
            writes = (
                state_write(job, JobState.CANCELLED, value.queue),
                Write(TABLE_CANCELS, job, b"1"),
                Write(TABLE_PENDING, pending_key(value.queue, job), None),
            )
            try:
                self._table.commit(Txn((Check(TABLE_STATES, job, version),), writes))
            except StateConflictError:
                continue
            return JobState.CANCELLED
        raise StateUnknownError(
            f"job {job} changed during all {MAX_CANCEL_ATTEMPTS} cancel attempts"
        )

    def pending(self, queue: str) -> list[str]:
        """Return the jobs of a queue that have no started task."""
        prefix = pending_key(queue, "")
        return [
            row.key.removeprefix(prefix) for row in scan_all(self._table, TABLE_PENDING, prefix)
        ]

    def all_pending(self) -> set[str]:
        """Return the jobs of all queues that have no started task."""
        return {row.key.rpartition("/")[2] for row in scan_all(self._table, TABLE_PENDING)}

    def find_order(self, job: str) -> Row | None:
        """Return the row that stores a job as submitted, if any."""
        return self._table.get(TABLE_ORDERS, job)

    def cancelled_jobs(self) -> set[str]:
        """Return the cancelled jobs that are not cleaned up yet."""
        return {row.key for row in scan_all(self._table, TABLE_CANCELS)}

    def initial_pool_sizes(self, present: Mapping[str, int]) -> dict[str, int]:
        """Return the initial machine count of each pool; store the counts of new pools."""
        rows = scan_all(self._table, TABLE_POOLS)
        known = self._decode_counts(rows)
        # A malformed row is replaced, as nothing else is known of the pool.
        versions = {row.key: row.version for row in rows}
        for pool, size in present.items():
            if pool in known:
                continue
            check = Check(TABLE_POOLS, pool, versions.get(pool, ABSENT))
            write = Write(TABLE_POOLS, pool, msgspec.json.encode(size))
            try:
                self._table.commit(Txn((check,), (write,)))
            except StateConflictError:
                return self.initial_pool_sizes(present)
            known[pool] = size
        return known

    def silent_workers(self) -> dict[str, int]:
        """Return since when each silent worker instance counts as silent, in store clock ms.

        A malformed row is left out, so that the instance's lease is waited for in full.
        """
        return self._decode_counts(scan_all(self._table, TABLE_SILENCES))

    def _decode_counts(self, rows: Iterable[Row]) -> dict[str, int]:
        decoded = ((row.key, self._number_decoder.decode(row)) for row in rows)
        return {key: count for key, count in decoded if count is not None}

    def update_silent_workers(
        self, fence: Check, since: Mapping[str, int], ended: Iterable[str]
    ) -> None:
        """Add silent worker instances and remove others, if the fence check passes.

        An instance whose name is too long for a key is left out; a successor then waits for the
        longest lease that it may have.
        """
        records = (
            *(
                Write(TABLE_SILENCES, instance, msgspec.json.encode(at))
                for instance, at in since.items()
            ),
            *(Write(TABLE_SILENCES, instance, None) for instance in ended),
        )
        writes = [write for write in records if len(write.key.encode()) <= MAX_KEY_BYTES]
        for first in range(0, len(writes), MAX_TXN_ENTRIES):
            self._table.commit(Txn((fence,), tuple(writes[first : first + MAX_TXN_ENTRIES])))

    def remove_states(self, fence: Check, jobs: Iterable[str]) -> None:
        """Remove the states of ended jobs that are cleaned up, if the fence check passes."""
        self._table.commit(Txn((fence,), tuple(Write(TABLE_STATES, job, None) for job in jobs)))

    def load(
        self, on_progress: Callable[[], None] = lambda: None
    ) -> tuple[list[LoadedJob], list[str]]:
        """Return all jobs that are not cleaned up, and the ids of the ended jobs that are.

        Calls `on_progress` as `scan_jobs` does, and after each LOAD_CHUNK_JOBS decoded jobs.
        """
        rows, ended = self.scan_jobs(on_progress)
        decoded = (job.decode() for job in in_chunks(rows, on_progress))
        return [job for job in decoded if job is not None], ended

    def scan_jobs(
        self, on_progress: Callable[[], None] = lambda: None
    ) -> tuple[list[JobRows], list[str]]:
        """Return the rows of all jobs that are not cleaned up, and the ids of those that are.

        Calls `on_progress` after each page; an error that it raises ends the scan.
        """
        # States are read first, so that a job submitted meanwhile is read as new, never as ended.
        states = {row.key: row for row in scan_all(self._table, TABLE_STATES, on_page=on_progress)}
        orders = scan_all(self._table, TABLE_ORDERS, on_page=on_progress)
        steps = scan_all(self._table, TABLE_STEPS, on_page=on_progress)
        cancelled = self.cancelled_jobs()
        on_progress()
        steps_by_job: defaultdict[str, list[Row]] = defaultdict(list)
        for row in steps:
            steps_by_job[row.key.partition(".")[0]].append(row)
        jobs = [
            JobRows(row, states.get(row.key), row.key in cancelled, steps_by_job[row.key])
            for row in orders
        ]
        live = {row.key for row in orders}
        ended = (key for key in states.keys() - live if _is_final(states[key]))
        return jobs, list(ended)

    def commit(self, fence: Check, updates: Sequence[JobUpdate]) -> int:
        """Write updates if the fence check passes; return the version that their rows now have."""
        checks = (fence, *(check for update in updates for check in update.checks))
        return self._table.commit(
            Txn(checks, tuple(w for update in updates for w in update.writes))
        )
