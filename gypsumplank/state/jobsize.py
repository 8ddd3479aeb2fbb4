"""Check whether a job and the progress of its steps fit into rows of the store."""

from gypsumplank.errors import StateTooLargeError
from gypsumplank.protocol.job import StoredJob

# Bytes of a step's row that are reserved for each of its tasks when the job is submitted; the
# workers that the task failed on are left out if they do not fit.
TASK_RECORD_BYTES = 210


def check_row_size(size: int, max_row_bytes: int) -> None:
    """Raise StateTooLargeError if a job's row of `size` bytes is too long."""
    if size > max_row_bytes:
        raise StateTooLargeError(f"job of {size} bytes exceeds {max_row_bytes}")


def check_job_size(job: StoredJob, max_row_bytes: int) -> None:
    """Raise StateTooLargeError if the progress of one of a job's steps does not fit into a row."""
    max_tasks = max_row_bytes // TASK_RECORD_BYTES
    for position, step in enumerate(job.order.steps):
        if step.tasks > max_tasks:
            raise StateTooLargeError(
                f"step {position} has {step.tasks} tasks, more than {max_tasks}"
            )
