"""Simulate the platform over HTTP: table service, object store and membership list."""

import argparse
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from gypsumplank.errors import StateConflictError, StateTooLargeError
from gypsumplank.state.membership import Member
from gypsumplank.state.objects import MemoryObjectStore
from gypsumplank.state.table import MemoryTable, Txn
from standins.server import Handler, Server, open_server


@dataclass(frozen=True)
class Faults:
    """Configure the injected faults.

    `outage` refuses all reads and writes, `delay_s` delays them (seconds). `lose_answers` is the
    share of writes (0 to 1) that are applied but get no response. Writes above `writes_per_s` are
    delayed; 0 sets no limit. `freeze_members` keeps the listed members stale.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    writes_per_s: float = 0.0
    freeze_members: bool = False


class Platform:
    """Store the rows, objects, members, faults and call counts of the platform."""

    def __init__(self, seed: int) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.members: tuple[Member, ...] = ()
        self.listed_members: tuple[Member, ...] = ()
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.rng = random.Random(seed)
        self.next_write_at = 0.0

    def count(self, operation: str, size_bytes: int) -> None:
        """Count one call and its body size."""
        with self.lock:
            self.counts[operation] += 1
            self.counts[f"{operation}_bytes"] += size_bytes

    def throttle_write(self) -> None:
        """Delay the caller so that writes stay below `writes_per_s`."""
        max_rate = self.faults.writes_per_s
        if not max_rate:
            return
        with self.lock:
            now = time.monotonic()
            write_at = max(now, self.next_write_at)
            self.next_write_at = write_at + 1 / max_rate
        time.sleep(write_at - now)

    def drops_response(self) -> bool:
        """Return whether to drop the response of the current write."""
        with self.lock:
            return self.rng.random() < self.faults.lose_answers

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Set the members; `listed_members` stays stale while `freeze_members` is set."""
        self.members = members
        if not self.faults.freeze_members:
            self.listed_members = members


class PlatformHandler(Handler):
    """Serve the platform's HTTP API."""

    platform: Platform

    def do_GET(self) -> None:  # noqa: N802
        """Read rows, an object, the members or the call counts."""
        url = urlsplit(self.path)
        if url.path == "/stats":
            self.respond(200, msgspec.json.encode(dict(self.platform.counts)))
            return
        if self._delay_or_refuse():
            return
        body = self._read(url.path.split("/")[1:], parse_qs(url.query))
        self.platform.count("reads", len(body or b""))
        self.respond(404 if body is None else 200, body or b"")

    def do_POST(self) -> None:  # noqa: N802
        """Commit a transaction, write an object, or set faults or members."""
        body = self.read_body()
        match self.path:
            case "/faults":
                self.platform.faults = msgspec.json.decode(body, type=Faults)
                self.platform.set_members(self.platform.members)
                self.respond(200)
            case "/members":
                self.platform.set_members(msgspec.json.decode(body, type=tuple[Member, ...]))
                self.respond(200)
            case _:
                self._write(body)

    do_PUT = do_POST  # noqa: N815
    do_DELETE = do_POST  # noqa: N815

    def _delay_or_refuse(self) -> bool:
        faults = self.platform.faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if self.platform.faults.outage:
            self.respond(503)
            return True
        return False

    def _read(self, parts: list[str], query: dict[str, list[str]]) -> bytes | None:
        match parts:
            case ["tables", table, "rows"]:
                rows = self.platform.table.scan(
                    table,
                    query.get("prefix", [""])[0],
                    query.get("after", [""])[0],
                    int(query["limit"][0]),
                )
                return msgspec.json.encode(rows)
            case ["tables", table, "rows", key]:
                row = self.platform.table.get(table, unquote(key))
                return None if row is None else msgspec.json.encode(row)
            case ["objects", name]:
                return self.platform.objects.get(unquote(name))
            case ["members"]:
                return msgspec.json.encode(self.platform.listed_members)
        return None

    def _write(self, body: bytes) -> None:
        if self._delay_or_refuse():
            return
        self.platform.throttle_write()
        self.platform.count("writes", len(body))
        try:
            response = self._apply(body)
        except StateConflictError as exc:
            self.respond(409, exc.detail.encode())
            return
        except StateTooLargeError as exc:
            self.respond(413, exc.detail.encode())
            return
        if self.platform.drops_response():
            self.reset_connection()
            return
        self.respond(200, response)

    def _apply(self, body: bytes) -> bytes:
        if self.path == "/tables/commit":
            txn = msgspec.json.decode(body, type=Txn)
            return msgspec.json.encode(self.platform.table.commit(txn))
        name = unquote(self.path.removeprefix("/objects/"))
        if self.command == "DELETE":
            self.platform.objects.delete(name)
        else:
            self.platform.objects.put(name, body)
        return b"{}"


def make_platform(address: str, seed: int = 0) -> tuple[Server, Platform]:
    """Return an HTTP server and the platform behind it."""
    platform = Platform(seed)
    handler = type("BoundHandler", (PlatformHandler,), {"platform": platform})
    return open_server(address, handler), platform


def main() -> None:
    """Serve the platform at the `--listen` address."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    server, _ = make_platform(args.listen, args.seed)
    server.serve_forever()


if __name__ == "__main__":
    main()
