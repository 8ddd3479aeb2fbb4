"""Encode and decode the rows of jobs, and group them into transactions that the store accepts."""

import logging
import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import cached_property
from math import ceil
from typing import TypeVar

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.log import Event, event
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.job import JobState, StepRecord, StoredJob, TaskPhase
from gypsumplank.state.table import Check, Row, Write

TABLE_ORDERS = "orders"
TABLE_STATES = "states"
TABLE_PENDING = "pending"
TABLE_STEPS = "steps"
TABLE_CANCELS = "cancels"

# Entries per transaction; the platform accepts 100.
MAX_TXN_ENTRIES = 90
# Bytes per transaction, as sent; the platform accepts 1 MB.
MAX_TXN_BYTES = 800_000
# Bytes that an entry adds as sent beside its table, key and value: the JSON around these, the
# partition, and the version that a check has.
ENTRY_OVERHEAD_BYTES = 100
# Bytes of a row's value, where the settings file gives no other limit.
DEFAULT_MAX_ROW_BYTES = 65_536
# Jobs that a load decodes between two checks of the lease; a slow daemon decodes them in less time
# than passes between two renewals.
LOAD_CHUNK_JOBS = 10

# Occurrence and position in the key of a step's row, after the job's identifier.
STEP_PLACE = re.compile(r"\.([0-9]{1,9})\.([0-9]{1,9})")

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
    """Represent a loaded job: its state, the version of the state's row, and its stored steps.

    `steps` are by occurrence and position, without those of the `ended` occurrences, all of whose
    tasks are done.
    """

    job: StoredJob
    state: JobState
    version: int
    cancelled: bool
    steps: dict[tuple[int, int], StepRecord]
    ended: tuple[int, ...] = ()


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
    records, ended = _decode_steps(job, steps)
    return LoadedJob(
        job,
        value.state if value else JobState.QUEUED,
        state.version if state else row.version,
        cancelled,
        records,
        ended,
    )


def _decode_steps(
    job: StoredJob, rows: Iterable[Row]
) -> tuple[dict[tuple[int, int], StepRecord], tuple[int, ...]]:
    """Return the records of the steps by occurrence and position, and the occurrences that ended.

    Of the latter no record is kept, as a job may have very many.
    """
    definitions = job.order.steps
    records: dict[tuple[int, int], StepRecord] = {}
    done: Counter[int] = Counter()
    for row in rows:
        place = _parse_place(job, row.key)
        if place is None:
            continue
        record = _decode_step(row, definitions[place[1]].tasks)
        if job.order.schedule.count and all(t.phase is TaskPhase.DONE for t in record.tasks):
            done[place[0]] += 1
            if done[place[0]] == len(definitions):
                for position in range(len(definitions)):
                    records.pop((place[0], position), None)
                continue
        records[place] = record
    return records, tuple(each for each, count in done.items() if count == len(definitions))


def _parse_place(job: StoredJob, key: str) -> tuple[int, int] | None:
    """Return the occurrence and the position of a step's row; None if the job has no such step."""
    match = STEP_PLACE.fullmatch(key.removeprefix(job.id))
    if match is None:
        return None
    occurrence, position = int(match[1]), int(match[2])
    is_known = occurrence < max(1, job.order.schedule.count) and position < len(job.order.steps)
    return (occurrence, position) if is_known else None


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
