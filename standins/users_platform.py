"""Simulate the users' platform over HTTP: rows, their change feed, workers and machines."""

import argparse
import random
import threading
import time
from base64 import b64decode, b64encode
from dataclasses import asdict, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from gypsumplank.errors import (
    StateConflictError,
    StateHistoryLostError,
    StateTooLargeError,
    WorkerRefusedError,
    WorkerUnknownError,
)
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import StartCommand, WorkerEntry
from gypsumplank.state.table import Check, Txn, Write
from standins.limit import LimitedFeedTable
from standins.server import Handler, Server, open_server
from standins.simulator import SimulatedWorkers

# Small, so that clients have to read several pages.
MAX_PAGE_ROWS = 3
# Partitions in one response, as the platform states.
MAX_PAGE_PARTS = 1000
HEARTBEAT_INTERVAL_S = 0.5
STATUS_BY_REFUSAL = {"other-life": 421, "unhealthy": 503, "invalid": 400}
READ_ONLY_TABLES = {"op", "servers"}


class PartitionedFeedTable(LimitedFeedTable):
    """Store each part of a table under a name of its own, with one feed over all parts."""

    def changes_by_part(
        self, table: str, after: int, wait_s: float
    ) -> tuple[dict[str, list[tuple[str, int, bytes | None]]], int]:
        """Return each part's changes (key, version, value) after a version, and the newest one."""
        prefix = table_name(table, "")
        with self._changed:
            self._changed.wait_for(lambda: bool(self._entries(prefix, after)), wait_s)
            # Raises StateHistoryLostError if the history does not reach back.
            version = super().changes(table, after, 0.0).version
            parts: dict[str, list[tuple[str, int, bytes | None]]] = {}
            for entry in self._entries(prefix, after):
                part = entry.table.removeprefix(prefix)
                parts.setdefault(part, []).append((entry.key, entry.version, entry.value))
            return parts, version

    def parts(self, table: str) -> list[str]:
        """Return the names of the parts that hold rows of a table, in order."""
        prefix = table_name(table, "")
        names = (name for name, rows in self._rows.items() if rows and name.startswith(prefix))
        return sorted(name.removeprefix(prefix) for name in names)

    def _entries(self, prefix: str, after: int) -> list[Any]:
        return [
            entry
            for entry in self._history
            if entry.table.startswith(prefix) and entry.version > after
        ]


class UsersPlatform:
    """Store the rows, the simulated workers and the received orders.

    `faults` lists what happens to the next calls of the row store, one each: an HTTP status,
    `reset` (TCP reset), `junk` (malformed body), or any other text for no fault. `orders` keeps
    the path, body and headers of every order to a worker or for a machine.
    """

    def __init__(self, seed: int = 0) -> None:
        self.table = PartitionedFeedTable()
        self.simulated_workers = SimulatedWorkers(random.Random(seed))
        self.faults: list[str] = []
        self.orders: list[tuple[str, dict[str, Any], dict[str, str]]] = []
        self.lock = threading.RLock()
        self._started_at = time.monotonic()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or a worker and return its version."""
        return self.table.commit(Txn((), (Write(table_name(table, ""), key, value),)))

    def advance(self) -> None:
        """Advance the workers' simulated clock to real time."""
        with self.lock:
            self.simulated_workers.advance(
                time.monotonic() - self._started_at - self.simulated_workers.now
            )

    def now_ms(self) -> int:
        """Return the store's monotonic clock in ms."""
        return int((time.monotonic() - self._started_at) * 1000) + 1

    def write_heartbeats(self) -> None:
        """Write the registration of every worker that is up."""
        with self.lock:
            entries = self.simulated_workers.entries()
        for entry in entries:
            self.put("servers", entry.id, encode_entry(entry))


def table_name(table: str, part: str) -> str:
    """Return the name of the in-memory table that stores one part of a table."""
    return f"{table}\x00{part}"


def encode_entry(entry: WorkerEntry) -> bytes:
    """Return a worker's registration in the JSON format that workers write."""
    return msgspec.json.encode(
        {
            "service": entry.service,
            "address": entry.address,
            "zone": entry.zone,
            "version": "v1",
            "slots": 8,
            "state": entry.state.value,
            "cold-remaining-ms": 0,
            "capacity": {
                "cpu": entry.room.cpu,
                "mem-mb": entry.room.memory_mb,
                "gpu": entry.room.accelerators,
            },
            "labels": entry.labels,
            "machine": entry.machine,
            "born": entry.born,
            "clock-ms": entry.clock_ms,
            "seq": entry.seq,
        }
    )


class UsersPlatformHandler(Handler):
    """Serve the platform's HTTP API; the expected-instance header selects the worker."""

    users: UsersPlatform

    def do_GET(self) -> None:  # noqa: N802
        """Read rows, the change feed or the list of machines."""
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if self._inject_fault():
            return
        match url.path:
            case "/api/rows-get":
                self._respond_json(200, self._read_rows(query))
            case "/api/rows-feed":
                self._read_feed(query)
            case "/api/rows-parts":
                self._respond_json(200, {"parts": self._list_parts(query)})
            case "/api/machines":
                self._respond_json(200, {"machines": self._list_machines(), "next-token": None})
            case _:
                self.respond(404)

    def do_POST(self) -> None:  # noqa: N802
        """Commit a transaction, or handle an order to a worker or for a machine."""
        body = msgspec.json.decode(self.read_body())
        if self.path == "/api/rows-tx":
            if not self._inject_fault():
                self._commit(body)
            return
        self.users.orders.append((self.path, body, dict(self.headers.items())))
        if self.path in ("/api/machine-move", "/api/machine-upkeep"):
            machine_exists = body["machine"] in {worker.entry.machine for worker in self._workers()}
            self._respond_json(200 if machine_exists else 400, {})
            return
        self._handle_worker_order(body)

    def _workers(self) -> list[Any]:
        return list(self.users.simulated_workers.workers.values())

    def _respond_json(self, status: int, value: Any) -> None:
        self.respond(status, msgspec.json.encode(value))

    def _inject_fault(self) -> bool:
        fault = self.users.faults.pop(0) if self.users.faults else ""
        if fault.isdigit():
            self.respond(int(fault))
        elif fault == "reset":
            self.reset_connection()
        elif fault == "junk":
            self.respond(200, b"{nothing")
        return fault in ("reset", "junk") or fault.isdigit()

    def _read_rows(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        rows = [
            row
            for row in self.users.table.scan(table_name(table, part), limit=10_000)
            if row.key >= query.get("from", "")
            and ("target" not in query or row.key < query["target"])
        ]
        page = [encode_row(table, part, row.key, row.version, row.value) for row in rows[:limit]]
        newest = self.users.table.newest
        return {
            "rows": page,
            "has-more": len(rows) > limit,
            "ver": newest,
            "now-ms": self.users.now_ms(),
        }

    def _read_feed(self, query: dict[str, str]) -> None:
        rows: list[dict[str, Any]] = []
        after = int(query["after"])
        table = query["table"]
        wait_s = int(query.get("wait-ms", "0")) / 1000
        try:
            changes_by_part, version = self.users.table.changes_by_part(table, after, wait_s)
        except StateHistoryLostError:
            self._respond_json(410, {})
            return
        for part, changes in changes_by_part.items():
            for key, row_version, value in changes:
                if value is None:
                    rows.append({"table": table, "part": part, "key": key, "deleted": True})
                else:
                    rows.append(encode_row(table, part, key, row_version, value))
        self._respond_json(
            200,
            {
                "rows": rows,
                "ver": version,
                "now-ms": self.users.now_ms(),
            },
        )

    def _list_parts(self, query: dict[str, str]) -> list[str]:
        parts = self.users.table.parts(query["table"])
        return [part for part in parts if part > query.get("after", "")][:MAX_PAGE_PARTS]

    def _commit(self, body: dict[str, Any]) -> None:
        checks = tuple(
            Check(table_name(row["table"], row["part"]), row["key"], row["ver"])
            for row in body["expected-rev"]
        )
        writes = tuple(
            Write(table_name(row["table"], row["part"]), row["key"], b64decode(row["value"]))
            for row in body["writes"]
        )
        removals = tuple(
            Write(table_name(row["table"], row["part"]), row["key"], None) for row in body["remove"]
        )
        if any(row["table"] in READ_ONLY_TABLES for row in body["writes"]):
            self._respond_json(403, {})
            return
        try:
            version = self.users.table.commit(Txn(checks, (*writes, *removals)))
        except StateConflictError:
            self._respond_json(412, {"rows": []})
            return
        except StateTooLargeError:
            self._respond_json(400, {})
            return
        self._respond_json(200, {"ver": version, "now-ms": self.users.now_ms()})

    def _list_machines(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": worker.entry.machine,
                "pool": worker.entry.service,
                "state": "up" if worker.up else "down",
                "zone": worker.entry.zone,
                "labels": list(worker.entry.labels),
                "id": worker.entry.id if worker.up else "",
            }
            for worker in self._workers()
        ]

    def _handle_worker_order(self, body: dict[str, Any]) -> None:
        instance = self.headers.get("X-Gypsumplank-Expected-Instance", "")
        worker = self.users.simulated_workers.workers.get(instance)
        if worker is None:
            self._respond_json(421, {})
            return
        self.users.advance()
        try:
            with self.users.lock:
                self._respond_json(200, self._apply_worker_order(worker.entry, body))
        except WorkerRefusedError as exc:
            self._respond_json(
                STATUS_BY_REFUSAL.get(exc.reason, 409), {"clock-ms": 1, "reason": exc.reason}
            )
        except WorkerUnknownError:
            self.reset_connection()

    def _apply_worker_order(self, entry: WorkerEntry, body: dict[str, Any]) -> dict[str, Any]:
        simulated_workers, token = self.users.simulated_workers, body["fencing-token"]
        match self.path:
            case "/api/hold":
                ack = body["ack-cursor"]
                report = simulated_workers.poll(entry, token, body.get("deadline-ms"), ack, 0.0)
                return {
                    "born": report.born,
                    "clock-ms": report.clock_ms,
                    "running": [list(asdict(task).values()) for task in report.running],
                    "finished": [list(asdict(task).values()) for task in report.ended],
                }
            case "/api/run-start":
                name, run, spec = body["task"], body["run"], body["spec"]
                until = body["deadline-ms"]
                return {
                    "clock-ms": simulated_workers.start(
                        entry, StartCommand(name, run, spec, until, token)
                    )
                }
            case "/api/run-stop":
                simulated_workers.stop(entry, body["task"], body["run"], token)
        return {"clock-ms": 1}


def encode_row(table: str, part: str, key: str, version: int, value: bytes) -> dict[str, Any]:
    """Return a row in the JSON format of the store; the value is base64."""
    encoded = b64encode(value).decode()
    return {"table": table, "part": part, "key": key, "value": encoded, "ver": version}


def make_users_platform(address: str, seed: int = 0) -> tuple[Server, UsersPlatform]:
    """Return an HTTP server and the platform behind it."""
    users = UsersPlatform(seed)
    handler = type("BoundHandler", (UsersPlatformHandler,), {"users": users})
    return open_server(address, handler), users


MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "desk.example",
            "prefix": "/proofs/",
            "service": "desk",
            "max-attempts": 3,
            "stretch": 1.5,
            "slo-ms": 600,
        }
    ],
    "services": [{"name": "desk", "enforces-capacity": True}],
    "limits": {},
}


def main() -> None:
    """Serve a platform with a manifest and three workers at the `--listen` address."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--tenants", help="JSON list of client accounts, default: no list")
    args = parser.parse_args()
    server, users = make_users_platform(args.listen)
    tenants = {} if args.tenants is None else {"tenants": msgspec.json.decode(args.tenants)}
    users.put("op", "config", msgspec.json.encode({**MANIFEST, **tenants}))
    for number in range(3):
        worker = users.simulated_workers.add(f"w{number}", "desk", Resources(8000, 8000))
        worker.entry = replace(worker.entry, address=args.listen)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    while True:
        users.advance()
        users.write_heartbeats()
        time.sleep(HEARTBEAT_INTERVAL_S)


if __name__ == "__main__":
    main()
