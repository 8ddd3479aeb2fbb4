"""Decode the manifest, workers and maintenance waves in the platform's store."""

import hashlib
import re
from collections.abc import Sequence

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.protocol.account import Account, hash_key
from gypsumplank.protocol.decoder import (
    Count,
    Finite,
    Int,
    NonEmptyStr,
    NonNegativeFloat,
    PositiveInt,
    decode_json,
)
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.queue import (
    AdvicePolicy,
    MaintenanceWave,
    Manifest,
    Queue,
    ServicePolicy,
)
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.settings import check_host_address
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import Row, Table, Txn, Write, scan_all

TABLE_OPERATOR = "op"
TABLE_WORKERS = "servers"
TABLE_STATUS = "status"
KEY_MANIFEST = "config"
PREFIX_WAVE = "wave/"
COMPLETED = "completed"
RUNNING = "running"

WAVE_NUMBER = re.compile(r"[0-9]{1,15}")
# Ids are sent in headers; the platform's keys have at most 200 bytes.
WORKER_ID = re.compile(r"[!-~]{1,200}")


class WireCapacity(msgspec.Struct, rename="kebab"):
    """Store a capacity; `cpu` is in millicores."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0

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
    clock_ms: Count = 0
    remaining_ms: Count = 0
    seq: Count = 0


class WireAdvice(msgspec.Struct, rename="kebab"):
    """Store the placement advisor's latency and the lifetime of its permits, in ms."""

    decide_ms: Count = 0
    period_ms: Count = 0
    valid_ms: Count = 0


class WireRoute(msgspec.Struct, rename="kebab"):
    """Represent one route; `slo-ms` is added to `stretch` times a job's critical path."""

    name: NonEmptyStr
    host: str
    prefix: str
    service: NonEmptyStr
    priority: Int = 0
    max_attempts: Int | None = None
    stretch: Finite = 1.0
    slo_ms: Finite = 0
    hint: WireAdvice | None = None
    public: bool = False


class WireService(msgspec.Struct, rename="kebab"):
    """Represent one service's policy.

    A service that does not say that its workers enforce their capacity is not relied on to do so.
    """

    name: NonEmptyStr
    enforces_capacity: bool = False
    standby: bool = False


class WireTenant(msgspec.Struct, rename="kebab"):
    """Represent one client account; `weight` is in jobs per second."""

    name: NonEmptyStr
    api_keys: tuple[str, ...] = ()
    priority: Int = 0
    weight: NonNegativeFloat = 0.0
    cap: WireCapacity = msgspec.field(default_factory=WireCapacity)


class WireManifest(msgspec.Struct, rename="kebab"):
    """Represent one version of the manifest."""

    version: Int
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    tenants: tuple[WireTenant, ...] | None = None


class WireWave(msgspec.Struct, rename="kebab"):
    """Represent a maintenance wave; `cap` limits the machines that are down at once."""

    wave: Int
    machines: tuple[str, ...]
    duration_s: Finite
    cap: PositiveInt


def decode_manifest(raw: bytes) -> Manifest:
    """Decode a manifest; raise EntryInvalidError."""
    wire = decode_json(raw, WireManifest)
    queues = tuple(decode_queue(route) for route in wire.routes)
    services = {
        service.name: ServicePolicy(service.name, service.enforces_capacity, service.standby)
        for service in wire.services
    }
    accounts = None if wire.tenants is None else tuple(map(decode_account, wire.tenants))
    return Manifest(wire.version, queues, services, accounts)


def decode_worker(row: Row) -> WorkerEntry:
    """Decode a worker's entry; raise EntryInvalidError."""
    wire = decode_json(row.value, WireWorker)
    if not WORKER_ID.fullmatch(row.key):
        raise EntryInvalidError("the id of the worker fits no header")
    if problem := check_host_address(wire.address):
        raise EntryInvalidError(problem)
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


def decode_queue(route: WireRoute) -> Queue:
    """Return a route as the product's type."""
    hint = route.hint
    advice = AdvicePolicy(hint.decide_ms, hint.period_ms, hint.valid_ms) if hint else None
    return Queue(
        route.name,
        route.host,
        route.prefix,
        route.service,
        route.priority,
        None if route.max_attempts is None else max(1, route.max_attempts),
        route.stretch,
        int(route.slo_ms),
        advice,
        route.public,
    )


def decode_account(tenant: WireTenant) -> Account:
    """Return a client account as the product's type."""
    return Account(
        tenant.name,
        frozenset(map(hash_key, tenant.api_keys)),
        tenant.priority,
        tenant.weight,
        tenant.cap.decode(),
    )


def _decode_wave(row: Row) -> MaintenanceWave:
    wire = decode_json(row.value, WireWave)
    return MaintenanceWave(wire.wave, wire.machines, wire.duration_s, wire.cap)


class PlatformDirectory:
    """Read operators' and workers' rows, write waves' states; every method may raise StateError."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._manifest_decoder = RowDecoder(lambda row: decode_manifest(row.value))
        self._worker_decoder = RowDecoder(decode_worker)
        self._wave_decoder = RowDecoder(_decode_wave)
        self._last_manifest: tuple[bytes, Manifest] | None = None

    def manifest(self) -> Manifest | None:
        """Return the newest manifest, or None if there is no valid one."""
        row = self._table.get(TABLE_OPERATOR, KEY_MANIFEST)
        if row is None:
            return None
        # Decoding thousands of keys takes milliseconds, and the manifest is read every second. The
        # row itself is not kept, as it holds the keys.
        digest = hashlib.blake2b(row.value).digest()
        last = self._last_manifest
        if last is not None and last[0] == digest:
            return last[1]
        found = self._manifest_decoder.decode(row)
        if found is not None:
            self._last_manifest = (digest, found)
        return found

    def workers(self) -> Sequence[WorkerEntry]:
        """Return all valid worker entries."""
        return self._worker_decoder.decode_all(scan_all(self._table, TABLE_WORKERS))

    def waves(self) -> Sequence[MaintenanceWave]:
        """Return all valid maintenance waves."""
        return self._wave_decoder.decode_all(scan_all(self._table, TABLE_OPERATOR, PREFIX_WAVE))

    def completed_waves(self) -> frozenset[int]:
        """Return the numbers of the waves reported as completed."""
        rows = scan_all(self._table, TABLE_STATUS, PREFIX_WAVE)
        completed = (row for row in rows if COMPLETED.encode() in row.value)
        numbers = (row.key.removeprefix(PREFIX_WAVE) for row in completed)
        return frozenset(int(number) for number in numbers if WAVE_NUMBER.fullmatch(number))

    def report_wave(self, number: int, completed: bool) -> None:
        """Write a wave's status."""
        value = msgspec.json.encode({"state": COMPLETED if completed else RUNNING})
        key = f"{PREFIX_WAVE}{number}"
        self._table.commit(Txn((), (Write(TABLE_STATUS, key, value),)))
