"""Store jobs, their states and the progress of their steps in the table service."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from gypsumplank.errors import (
    EntryInvalidError,
    JobMissingError,
    StateConflictError,
    StateUnknownError,
)
from gypsumplank.protocol.decoder import Count, decode_json
from gypsumplank.protocol.job import FINAL_JOB_STATES, JobState, StoredJob
from gypsumplank.state.jobrow import (
    DEFAULT_MAX_ROW_BYTES,
    MAX_TXN_ENTRIES,
    TABLE_CANCELS,
    TABLE_ORDERS,
    TABLE_PENDING,
    TABLE_STATES,
    TABLE_STEPS,
    JobRows,
    JobUpdate,
    LoadedJob,
    StateValue,
    decode,
    in_chunks,
    pending_key,
    state_write,
)
from gypsumplank.state.jobsize import check_job_size, check_row_size
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_POOLS = "pools"
TABLE_SILENCES = "silences"

# Attempts to cancel a job while its state changes concurrently.
MAX_CANCEL_ATTEMPTS = 6
# Bytes of a row's key that the platform accepts.
MAX_KEY_BYTES = 200


def _decode_count(row: Row) -> int:
    return decode_json(row.value, Count)


def _is_final(row: Row) -> bool:
    try:
        return decode(row.value, StateValue).state in FINAL_JOB_STATES
    except EntryInvalidError:
        return False


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
