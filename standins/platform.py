"""Stand in for the platform: table service, object store and membership list."""

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
    """Hold what goes wrong; shares are 0 to 1 of all writes, times in seconds.

    Writes beyond `writes_per_s` wait for their turn; 0 sets no limit.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    writes_per_s: float = 0.0
    freeze_members: bool = False


class Platform:
    """Hold the platform's rows, objects and members."""

    def __init__(self, seed: int) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.members: tuple[Member, ...] = ()
        self.shown: tuple[Member, ...] = ()
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.rng = random.Random(seed)
        self.next_write = 0.0

    def count(self, what: str, size: int) -> None:
        """Count one call and its bytes."""
        with self.lock:
            self.counts[what] += 1
            self.counts[f"{what}_bytes"] += size

    def await_turn(self) -> None:
        """Wait until the limit of writes lets the next one through."""
        rate = self.faults.writes_per_s
        if not rate:
            return
        with self.lock:
            now = time.monotonic()
            turn = max(now, self.next_write)
            self.next_write = turn + 1 / rate
        time.sleep(turn - now)

    def loses_answer(self) -> bool:
        """Tell whether the next answer to a write gets lost."""
        with self.lock:
            return self.rng.random() < self.faults.lose_answers

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Set the true list; what is shown stays while frozen."""
        self.members = members
        if not self.faults.freeze_members:
            self.shown = members


class PlatformHandler(Handler):
    """Speak the platform's HTTP interface."""

    platform: Platform

    def do_GET(self) -> None:  # noqa: N802
        """Read."""
        url = urlsplit(self.path)
        if url.path == "/stats":
            self.answer(200, msgspec.json.encode(dict(self.platform.counts)))
            return
        if self._out():
            return
        body = self._read(url.path.split("/")[1:], parse_qs(url.query))
        self.platform.count("reads", len(body or b""))
        self.answer(404 if body is None else 200, body or b"")

    def do_POST(self) -> None:  # noqa: N802
        """Commit a transaction, or set faults or members."""
        body = self.body()
        match self.path:
            case "/faults":
                self.platform.faults = msgspec.json.decode(body, type=Faults)
                self.platform.set_members(self.platform.members)
                self.answer(200)
            case "/members":
                self.platform.set_members(msgspec.json.decode(body, type=tuple[Member, ...]))
                self.answer(200)
            case _:
                self._write(body)

    do_PUT = do_POST  # noqa: N815
    do_DELETE = do_POST  # noqa: N815

    def _out(self) -> bool:
        faults = self.platform.faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if self.platform.faults.outage:
            self.answer(503)
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
                return msgspec.json.encode(self.platform.shown)
        return None

    def _write(self, body: bytes) -> None:
        if self._out():
            return
        self.platform.await_turn()
        self.platform.count("writes", len(body))
        try:
            answer = self._apply(body)
        except StateConflictError as exc:
            self.answer(409, exc.detail.encode())
            return
        except StateTooLargeError as exc:
            self.answer(413, exc.detail.encode())
            return
        if self.platform.loses_answer():
            self.reset()
            return
        self.answer(200, answer)

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
    """Return a platform and the server that speaks for it."""
    platform = Platform(seed)
    handler = type("BoundHandler", (PlatformHandler,), {"platform": platform})
    return open_server(address, handler), platform


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    server, _ = make_platform(args.listen, args.seed)
    server.serve_forever()


if __name__ == "__main__":
    main()
