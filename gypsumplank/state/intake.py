"""Store submissions that the leader has not adopted yet, spread over many partitions.

Answers a burst of submissions at a slow store, where one partition takes 2 to 4 transactions a
second: the submissions queue in 128 partitions, none of them in that of the scheduler.
"""

from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from gypsumplank.errors import EntryInvalidError, StateConflictError, StateError
from gypsumplank.protocol.job import StoredJob
from gypsumplank.state.jobrow import DEFAULT_MAX_ROW_BYTES, MAX_TXN_ENTRIES, decode
from gypsumplank.state.jobsize import check_job_size, check_row_size
from gypsumplank.state.partition import Partitions
from gypsumplank.state.table import ABSENT, Check, Row, Txn, Write, scan_all

TABLE_INTAKE = "intake"
# Of 600 submissions in 2 s at 88 times the usual 6 ms, 64 partitions can finish at most 82% in the
# callers' 3 s.
PARTITION_COUNT = 128
# Partitions that are read concurrently; at a store where a call takes 0.5 s all take 4 s.
READ_THREADS = 16
# Rows per removal; each has a check and a write.
MAX_REMOVED_ROWS = MAX_TXN_ENTRIES // 2
# Smallest number of partitions' rates in the store's rate from which submissions are spread.
MIN_PARALLEL_PARTITIONS = 6


def is_activated(store_writes_per_s: float | None, partition_writes_per_s: float | None) -> bool:
    """Return whether the store's rates ask for the table; not if they are not stated."""
    if store_writes_per_s is None or partition_writes_per_s is None:
        return False
    return store_writes_per_s >= MIN_PARALLEL_PARTITIONS * partition_writes_per_s


def partition_of(job: str) -> str:
    """Return the partition of a job's row, the same at every daemon."""
    digest = blake2b(job.encode(), digest_size=8).digest()
    return f"in-{int.from_bytes(digest) % PARTITION_COUNT:03}"


@dataclass(frozen=True)
class IntakeValue:
    """Represent a submission as stored, and whether it was cancelled before its adoption."""

    job: StoredJob
    cancelled: bool = False


@dataclass(frozen=True)
class Submission:
    """Represent a submission that was read, with its row's version."""

    job: StoredJob
    version: int
    cancelled: bool


def decode_submission(row: Row) -> Submission:
    """Return the submission of a row; raise EntryInvalidError."""
    value = decode(row.value, IntakeValue)
    if value.job.id != row.key:
        raise EntryInvalidError(f"the job is {value.job.id!r}")
    if fault := value.job.order.find_fault():
        raise EntryInvalidError(fault)
    return Submission(value.job, row.version, value.cancelled)


class IntakeStore:
    """Read and write submissions; every method may raise StateError."""

    def __init__(self, partitions: Partitions, max_row_bytes: int = DEFAULT_MAX_ROW_BYTES) -> None:
        self._partitions = partitions
        self._max_row_bytes = max_row_bytes

    def insert(self, job: StoredJob, timeout_s: float | None = None) -> bool:
        """Store a submission; return False if its row exists.

        Raises StateTooLargeError if the job, or the progress of one of its steps, does not fit
        into a row.
        """
        value = msgspec.json.encode(IntakeValue(job))
        # The longer form, which the row takes when the job is cancelled, must fit too.
        check_row_size(len(value) + 1, self._max_row_bytes)
        check_job_size(job, self._max_row_bytes)
        check = Check(TABLE_INTAKE, job.id, ABSENT)
        txn = Txn((check,), (Write(TABLE_INTAKE, job.id, value),), timeout_s)
        try:
            self._partitions.in_partition(partition_of(job.id)).commit(txn)
        except StateConflictError:
            return False
        return True

    def find(self, job: str) -> Submission | None:
        """Return a submission, or None; raise EntryInvalidError if its row is malformed."""
        row = self._partitions.in_partition(partition_of(job)).get(TABLE_INTAKE, job)
        return None if row is None else decode_submission(row)

    def cancel(self, found: Submission) -> None:
        """Mark a submission as cancelled; raise StateConflictError if its row changed."""
        job = found.job.id
        value = msgspec.json.encode(IntakeValue(found.job, cancelled=True))
        txn = Txn((Check(TABLE_INTAKE, job, found.version),), (Write(TABLE_INTAKE, job, value),))
        self._partitions.in_partition(partition_of(job)).commit(txn)

    def partitions(self) -> Sequence[str]:
        """Return the partitions that hold submissions."""
        return self._partitions.names(TABLE_INTAKE)

    def read(self, partition: str) -> list[Row]:
        """Return all rows of one partition."""
        return scan_all(self._partitions.in_partition(partition), TABLE_INTAKE)

    def read_each(self, names: Iterable[str]) -> Iterator[tuple[str, list[Row] | StateError]]:
        """Yield the rows of each partition, or the error; reads READ_THREADS at a time."""

        def read(name: str) -> tuple[str, list[Row] | StateError]:
            try:
                return name, self.read(name)
            except StateError as exc:
                return name, exc

        with ThreadPoolExecutor(READ_THREADS, "submissions") as pool:
            yield from pool.map(read, names)

    def read_all(self) -> list[Row]:
        """Return all rows; a partition whose read fails is read once more."""
        rows: list[Row] = []
        for name, result in self.read_each(self.partitions()):
            rows.extend(self.read(name) if isinstance(result, StateError) else result)
        return rows

    def remove(self, partition: str, versions: Iterable[tuple[str, int]]) -> None:
        """Remove rows of one partition at these versions, all or none.

        Raises StateConflictError if one of them has changed.
        """
        checks = tuple(Check(TABLE_INTAKE, job, version) for job, version in versions)
        writes = tuple(Write(TABLE_INTAKE, check.key, None) for check in checks)
        self._partitions.in_partition(partition).commit(Txn(checks, writes))
