"""Define the interfaces through which the scheduler reaches workers, machines and the store."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from gypsumplank.protocol.queue import Machine, MaintenanceWave, Manifest
from gypsumplank.protocol.worker import StartCommand, WorkerEntry, WorkerReport


class WorkerControl(Protocol):
    """Send commands to workers.

    Every call may raise WorkerUnknownError (the command may still be executed later) and
    WorkerRefusedError (the command had no effect).
    """

    def poll(
        self, worker: WorkerEntry, token: int, until_ms: int | None, ack: int, wait_s: float
    ) -> WorkerReport:
        """Poll a worker; return its report once a task ends, or after `wait_s` seconds.

        Extends the leases of all its tasks to `until_ms` on the worker's clock, unless it is None,
        and acknowledges task ends up to number `ack`, which the worker then discards.
        """

    def start(self, worker: WorkerEntry, order: StartCommand) -> int:
        """Start a task; return the reading of the worker's clock, in ms."""

    def stop(self, worker: WorkerEntry, name: str, run: int, token: int) -> None:
        """Stop a run; the worker also refuses a start of this run that arrives later."""

    def set_speed_limit(
        self, worker: WorkerEntry, name: str, run: int, percent: int, token: int
    ) -> None:
        """Throttle a run to a percentage of its full speed."""


class Machines(Protocol):
    """List machines and order moves and maintenance; every call may raise MachineError."""

    def list_machines(self) -> Sequence[Machine]:
        """Return all machines."""

    def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to another pool; terminates everything that runs on it."""

    def start_maintenance(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Start the maintenance of a machine; terminates everything that runs on it."""


class Advisor(Protocol):
    """Decide which workers may run a step; may raise AdviceError."""

    def request_permits(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        """Return a permit for each worker that may run the step."""


class Directory(Protocol):
    """Read operators' and workers' entries in the store; every call may raise StateError."""

    def manifest(self) -> Manifest | None:
        """Return the newest manifest; None if there is none yet."""

    def workers(self) -> Sequence[WorkerEntry]:
        """Return all valid entries of workers."""

    def waves(self) -> Sequence[MaintenanceWave]:
        """Return all maintenance waves."""

    def completed_waves(self) -> frozenset[int]:
        """Return the numbers of the waves that have been reported as completed."""

    def report_wave(self, number: int, completed: bool) -> None:
        """Report to the operators whether a wave is running or completed."""


class SizeStore(Protocol):
    """Persist how many machines each pool had initially; may raise StateError."""

    def initial_pool_sizes(self, present: Mapping[str, int]) -> dict[str, int]:
        """Return the initial sizes; store the present size of each pool that has none."""
