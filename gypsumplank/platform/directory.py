"""Decode the manifest, workers and maintenance waves in the platform's store."""

import logging
from collections.abc import Sequence
from typing import Annotated

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.log import Event, event
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.queue import (
    AdvicePolicy,
    MaintenanceWave,
    Manifest,
    Queue,
    ServicePolicy,
)
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.table import Row, Table, Txn, Write, scan_all

TABLE_OPERATOR = "op"
TABLE_WORKERS = "servers"
TABLE_STATUS = "status"
KEY_MANIFEST = "config"
PREFIX_WAVE = "wave/"
COMPLETED = "completed"
RUNNING = "running"

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]

logger = logging.getLogger(__name__)


class WireCapacity(msgspec.Struct, rename="kebab"):
    """Store a capacity; `cpu` is in millicores."""

    cpu: NonNegativeInt = 0
    mem_mb: NonNegativeInt = 0
    gpu: NonNegativeInt = 0

    def decode(self) -> Resources:
        """Return the capacity as the product's type."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class WireWorker(msgspec.Struct, rename="kebab"):
    """Represent a worker's entry; `labels` are its kind and its rack."""

    service: NonEmptyStr
    address: NonEmptyStr
    state: WorkerState
    capacity: WireCapacity
    born: PositiveInt
    zone: str = ""
    labels: tuple[str, ...] = ()
    machine: str = ""
    clock_ms: NonNegativeInt = 0
    remaining_ms: NonNegativeInt = 0
    seq: NonNegativeInt = 0


class WireAdvice(msgspec.Struct, rename="kebab"):
    """Store the placement advisor's latency and the lifetime of its permits, in ms."""

    decide_ms: NonNegativeInt = 0
    period_ms: NonNegativeInt = 0
    valid_ms: NonNegativeInt = 0


class WireRoute(msgspec.Struct, rename="kebab"):
    """Represent one route; `slo-ms` is added to `stretch` times a job's critical path."""

    name: NonEmptyStr
    host: str
    prefix: str
    service: NonEmptyStr
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0
    hint: WireAdvice | None = None


class WireService(msgspec.Struct, rename="kebab"):
    """Represent one service's policy."""

    name: NonEmptyStr
    enforces_capacity: bool = True
    standby: bool = False


class WireManifest(msgspec.Struct, rename="kebab"):
    """Represent one version of the manifest."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()


class WireWave(msgspec.Struct, rename="kebab"):
    """Represent a maintenance wave; `cap` limits the machines that are down at once."""

    wave: int
    machines: tuple[str, ...]
    duration_s: float
    cap: Annotated[int, msgspec.Meta(ge=1)]


def decode_manifest(raw: bytes) -> Manifest:
    """Decode a manifest; raise EntryInvalidError."""
    wire = decode_json(raw, WireManifest)
    queues = tuple(_decode_queue(route) for route in wire.routes)
    services = {
        service.name: ServicePolicy(service.name, service.enforces_capacity, service.standby)
        for service in wire.services
    }
    return Manifest(wire.version, queues, services)


def decode_worker(row: Row) -> WorkerEntry:
    """Decode a worker's entry; raise EntryInvalidError."""
    wire = decode_json(row.value, WireWorker)
    return WorkerEntry(
        row.key,
        wire.service,
        wire.address,
        wire.zone,
        wire.state,
        wire.capacity.decode(),
        wire.labels,
        wire.machine,
        wire.born,
        wire.clock_ms,
        wire.remaining_ms,
        wire.seq,
    )


def _decode_queue(route: WireRoute) -> Queue:
    hint = route.hint
    advice = AdvicePolicy(hint.decide_ms, hint.period_ms, hint.valid_ms) if hint else None
    return Queue(
        route.name,
        route.host,
        route.prefix,
        route.service,
        route.priority,
        max(1, route.max_attempts),
        route.stretch,
        int(route.slo_ms),
        advice,
    )


class PlatformDirectory:
    """Read operators' and workers' rows, write waves' states; every method may raise StateError."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._logged_details: dict[str, str] = {}

    def manifest(self) -> Manifest | None:
        """Return the newest manifest, or None if there is no valid one."""
        row = self._table.get(TABLE_OPERATOR, KEY_MANIFEST)
        if row is None:
            return None
        try:
            return decode_manifest(row.value)
        except EntryInvalidError as exc:
            self._log_invalid(KEY_MANIFEST, exc)
            return None

    def workers(self) -> Sequence[WorkerEntry]:
        """Return all valid worker entries."""
        entries = []
        for row in scan_all(self._table, TABLE_WORKERS):
            try:
                entries.append(decode_worker(row))
            except EntryInvalidError as exc:
                self._log_invalid(row.key, exc)
        return entries

    def waves(self) -> Sequence[MaintenanceWave]:
        """Return all valid maintenance waves."""
        waves = []
        for row in scan_all(self._table, TABLE_OPERATOR, PREFIX_WAVE):
            try:
                wire = decode_json(row.value, WireWave)
            except EntryInvalidError as exc:
                self._log_invalid(row.key, exc)
                continue
            waves.append(MaintenanceWave(wire.wave, wire.machines, wire.duration_s, wire.cap))
        return waves

    def completed_waves(self) -> frozenset[int]:
        """Return the numbers of the waves reported as completed."""
        rows = scan_all(self._table, TABLE_STATUS, PREFIX_WAVE)
        completed = (row for row in rows if COMPLETED.encode() in row.value)
        numbers = (row.key.removeprefix(PREFIX_WAVE) for row in completed)
        return frozenset(int(number) for number in numbers if number.isdigit())

    def report_wave(self, number: int, completed: bool) -> None:
        """Write a wave's status."""
        value = msgspec.json.encode({"state": COMPLETED if completed else RUNNING})
        key = f"{PREFIX_WAVE}{number}"
        self._table.commit(Txn((), (Write(TABLE_STATUS, key, value),)))

    def _log_invalid(self, key: str, exc: EntryInvalidError) -> None:
        """Log an invalid entry; skip a repeat of the key's last logged fault."""
        if self._logged_details.get(key) != exc.detail:
            self._logged_details[key] = exc.detail
            event(logger, Event.ENTRY_DROPPED, logging.WARNING, entry=key, detail=exc.detail)
