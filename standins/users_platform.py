"""Stand in for the users' platform over HTTP: rows, their feed, workers and machines."""

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
    WorkerRefusedError,
    WorkerUnknownError,
)
from gypsumplank.protocol.job import Room
from gypsumplank.protocol.worker import StartOrder, WorkerEntry
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.table import Check, Txn, Write
from standins.farm import Farm
from standins.server import Handler, Server, open_server

PAGE = 3
BEAT_S = 0.5
REFUSALS = {"other-life": 421, "unhealthy": 503, "invalid": 400}
READ_ONLY = {"op", "servers"}


class UsersPlatform:
    """Hold rows, workers and machines; `fault` befalls the next calls of the store."""

    def __init__(self, seed: int = 0) -> None:
        self.table = MemoryFeedTable()
        self.farm = Farm(random.Random(seed))
        self.faults: list[str] = []
        self.orders: list[tuple[str, dict[str, Any], dict[str, str]]] = []
        self.lock = threading.RLock()
        self._began = time.monotonic()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or a worker does."""
        return self.table.commit(Txn((), (Write(name_of(table, ""), key, value),)))

    def advance(self) -> None:
        """Let the workers' time follow the real one."""
        with self.lock:
            self.farm.advance(time.monotonic() - self._began - self.farm.now)

    def now_ms(self) -> int:
        """Return the store's steady clock."""
        return int((time.monotonic() - self._began) * 1000) + 1

    def beat(self) -> None:
        """Write every worker's entry."""
        with self.lock:
            entries = self.farm.entries()
        for entry in entries:
            self.put("servers", entry.id, encode_entry(entry))


def name_of(table: str, part: str) -> str:
    """Return the name under which a part's rows of a table are kept."""
    return f"{table}\x00{part}"


def encode_entry(entry: WorkerEntry) -> bytes:
    """Return a worker's entry as workers spell it."""
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


class UsersHandler(Handler):
    """Speak the platform's HTTP interface; workers are told apart by the life that is named."""

    users: UsersPlatform

    def do_GET(self) -> None:  # noqa: N802
        """Read rows, a feed or the list of machines."""
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if self._fault():
            return
        match url.path:
            case "/api/rows-get":
                self._json(200, self._rows(query))
            case "/api/rows-feed":
                self._feed(query)
            case "/api/machines":
                self._json(200, {"machines": self._machines(), "next-token": None})
            case _:
                self.answer(404)

    def do_POST(self) -> None:  # noqa: N802
        """Apply a transaction, or an order to a worker or for a machine."""
        body = msgspec.json.decode(self.body())
        if self.path == "/api/rows-tx":
            if not self._fault():
                self._commit(body)
            return
        self.users.orders.append((self.path, body, dict(self.headers.items())))
        if self.path in ("/api/machine-move", "/api/machine-upkeep"):
            known = body["machine"] in {one.entry.machine for one in self._workers()}
            self._json(200 if known else 400, {})
            return
        self._worker(body)

    def _workers(self) -> list[Any]:
        return list(self.users.farm.workers.values())

    def _json(self, status: int, value: Any) -> None:
        self.answer(status, msgspec.json.encode(value))

    def _fault(self) -> bool:
        fault = self.users.faults.pop(0) if self.users.faults else ""
        if fault.isdigit():
            self.answer(int(fault))
        elif fault == "reset":
            self.reset()
        elif fault == "junk":
            self.answer(200, b"{nothing")
        return fault in ("reset", "junk") or fault.isdigit()

    def _rows(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        limit = min(PAGE, int(query.get("limit", PAGE)))
        rows = [
            row
            for row in self.users.table.scan(name_of(table, part), limit=10_000)
            if row.key >= query.get("from", "")
            and ("target" not in query or row.key < query["target"])
        ]
        found = [wire_row(table, part, row.key, row.version, row.value) for row in rows[:limit]]
        newest = self.users.table.newest
        return {
            "rows": found,
            "has-more": len(rows) > limit,
            "ver": newest,
            "now-ms": self.users.now_ms(),
        }

    def _feed(self, query: dict[str, str]) -> None:
        rows: list[dict[str, Any]] = []
        after = int(query["after"])
        table = query["table"]
        try:
            wait_s = int(query.get("wait-ms", "0")) / 1000
            changes = self.users.table.changes(name_of(table, "fleet"), after, wait_s)
            other = self.users.table.changes(name_of(table, ""), after, 0.0)
        except StateHistoryLostError:
            self._json(410, {})
            return
        for part, one in (("fleet", changes), ("", other)):
            rows += [wire_row(table, part, row.key, row.version, row.value) for row in one.rows]
            rows += [
                {"table": table, "part": part, "key": key, "deleted": True} for key in one.dropped
            ]
        self._json(
            200,
            {
                "rows": rows,
                "ver": max(changes.version, other.version),
                "now-ms": self.users.now_ms(),
            },
        )

    def _commit(self, body: dict[str, Any]) -> None:
        checks = tuple(
            Check(name_of(one["table"], one["part"]), one["key"], one["ver"])
            for one in body["expected-rev"]
        )
        writes = tuple(
            Write(name_of(one["table"], one["part"]), one["key"], b64decode(one["value"]))
            for one in body["writes"]
        )
        drops = tuple(
            Write(name_of(one["table"], one["part"]), one["key"], None) for one in body["remove"]
        )
        if any(one["table"] in READ_ONLY for one in body["writes"]):
            self._json(403, {})
            return
        try:
            version = self.users.table.commit(Txn(checks, (*writes, *drops)))
        except StateConflictError:
            self._json(412, {"rows": []})
            return
        self._json(200, {"ver": version, "now-ms": self.users.now_ms()})

    def _machines(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": one.entry.machine,
                "pool": one.entry.service,
                "state": "up",
                "zone": one.entry.zone,
                "labels": list(one.entry.labels),
                "id": one.entry.id,
            }
            for one in self._workers()
        ]

    def _worker(self, body: dict[str, Any]) -> None:
        life = self.headers.get("X-Gypsumplank-Expected-Instance", "")
        worker = self.users.farm.workers.get(life)
        if worker is None:
            self._json(421, {})
            return
        self.users.advance()
        try:
            with self.users.lock:
                self._json(200, self._order(worker.entry, body))
        except WorkerRefusedError as exc:
            self._json(REFUSALS.get(exc.reason, 409), {"clock-ms": 1, "reason": exc.reason})
        except WorkerUnknownError:
            self.reset()

    def _order(self, entry: WorkerEntry, body: dict[str, Any]) -> dict[str, Any]:
        farm, token = self.users.farm, body["fencing-token"]
        match self.path:
            case "/api/hold":
                ack = body["ack-cursor"]
                report = farm.hold(entry, token, body.get("deadline-ms"), ack, 0.0)
                return {
                    "born": report.born,
                    "clock-ms": report.clock_ms,
                    "running": [list(asdict(one).values()) for one in report.running],
                    "finished": [list(asdict(one).values()) for one in report.ended],
                }
            case "/api/run-start":
                name, run, spec = body["task"], body["run"], body["spec"]
                until = body["deadline-ms"]
                return {"clock-ms": farm.start(entry, StartOrder(name, run, spec, until, token))}
            case "/api/run-stop":
                farm.stop(entry, body["task"], body["run"], token)
        return {"clock-ms": 1}


def wire_row(table: str, part: str, key: str, version: int, value: bytes) -> dict[str, Any]:
    """Return a row as the store spells it."""
    encoded = b64encode(value).decode()
    return {"table": table, "part": part, "key": key, "value": encoded, "ver": version}


def make_users_platform(address: str, seed: int = 0) -> tuple[Server, UsersPlatform]:
    """Return a platform and the server that speaks for it."""
    users = UsersPlatform(seed)
    handler = type("BoundHandler", (UsersHandler,), {"users": users})
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
    """Serve a manifest and three workers until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    args = parser.parse_args()
    server, users = make_users_platform(args.listen)
    users.put("op", "config", msgspec.json.encode(MANIFEST))
    for number in range(3):
        worker = users.farm.add(f"w{number}", "desk", Room(8000, 8000))
        worker.entry = replace(worker.entry, address=args.listen)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    while True:
        users.advance()
        users.beat()
        time.sleep(BEAT_S)


if __name__ == "__main__":
    main()
