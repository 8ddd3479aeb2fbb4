"""Measure what configuration and sessions ask of the table service."""

import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from demo.cluster import ROOT
from gypsumplank import porcelain
from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.protocol.envelope import Opener, Sealer
from gypsumplank.protocol.peer import Hello, Hint, InForce, PeerMessage, Snapshot
from gypsumplank.protocol.record import Kind, Record, pack_records
from gypsumplank.state.change import apply_entries
from gypsumplank.state.clock import ManualClock, SystemClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.table import SCAN_LIMIT, MemoryTable, Row, Txn
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import View, ViewHolder
from gypsumplank.transport.platform import HttpTable, PlatformClient
from standins.platform import make_platform

HOSTS = 1700
POOLS = 21
CHUNK = 200
BEHIND = (10, 100, 1000, 5000)
FLEETS = (7, 20, 60)
SIMULATED_S = 60
POLL_S = 0.5
LEASE_S = 5.0
BURST = 50
BURSTS = 4
DAEMONS = 7
MESSAGES = 500


class CountingTable(MemoryTable):
    """Count calls, rows and bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        row = super().get(table, key)
        self._count_read([row] if row else [], at_least=1)
        return row

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return rows."""
        rows = super().scan(table, prefix, after, limit)
        self._count_read(rows, at_least=1)
        return rows

    def commit(self, txn: Txn) -> int:
        """Apply a transaction."""
        self.counts["commits"] += 1
        self.counts["rows written"] += len(txn.writes)
        return super().commit(txn)

    def _count_read(self, rows: list[Row], at_least: int) -> None:
        self.counts["reads"] += 1
        self.counts["rows read"] += max(len(rows), at_least)
        self.counts["bytes read"] += sum(len(row.value) for row in rows)


def make_records() -> list[Record]:
    """Return the records of a fleet of the size to design for."""
    pools = [Record(Kind.POOL, f"pool-{number}", 2) for number in range(POOLS)]
    hosts = [
        Record(
            Kind.HOST,
            f"host-{number}",
            2,
            {
                "address": f"10.{number // 250}.{number % 250}.1:8080",
                "pool": f"pool-{number % POOLS}",
                "zone": f"zone-{number % 5}",
                "rack": f"rack-{number // 4}",
                "cores": 64,
                "memory_gb": 128,
            },
        )
        for number in range(HOSTS)
    ]
    return [*pools, *hosts]


def fill(store: ConfigStore) -> None:
    """Accept the records of the whole fleet."""
    records = make_records()
    for first in range(0, len(records), CHUNK):
        store.accept(Change(f"fill-{first}", tuple(records[first : first + CHUNK])))


def behind_rows() -> Iterator[dict[str, Any]]:
    """Yield what a daemon reads that missed so many changes, by log and by groups."""
    table = CountingTable()
    store = ConfigStore(table, ManualClock())
    fill(store)
    start = store.refresh(View())
    for missed in BEHIND:
        while store.head()[0].revision < start.revision + missed:
            number = store.head()[0].revision
            name = f"pool-{number % POOLS}"
            store.accept(Change(f"op-{number}", (Record(Kind.POOL, name, 2, {"x": number}),)))
        reader = ConfigReader(table)
        ways: dict[str, Callable[[], View]] = {
            "log": lambda: apply_entries(start, reader.entries(start.revision)),  # noqa: B023
            "groups": lambda: reader.refresh(start),  # noqa: B023
            "all records": lambda: ConfigReader(table).refresh(View()),
        }
        for name, work in ways.items():
            table.counts.clear()
            started = time.monotonic()
            work()
            yield {
                "missed": missed,
                "way": name,
                "reads": table.counts["reads"],
                "rows": table.counts["rows read"],
                "KB": round(table.counts["bytes read"] / 1000, 1),
                "ms": round((time.monotonic() - started) * 1000, 1),
            }


def budget_row(fleet: int) -> dict[str, Any]:
    """Return what heartbeats and polls of idle daemons ask of the store in a second."""
    table, clock = CountingTable(), ManualClock()
    sessions = [
        Session(f"entry-{number}", 0, "zone", "10.0.0.1:8080", "10.0.0.1:8081", "", 0, 0.0)
        for number in range(fleet)
    ]
    beats = [
        Heartbeat(SessionStore(table), clock, session, LEASE_S, lambda: 0) for session in sessions
    ]
    followers = [Follower(ConfigReader(table), ViewHolder()) for _ in sessions]
    for second in range(2 * SIMULATED_S):
        if second == SIMULATED_S:
            table.counts.clear()
        for beat in beats:
            beat.tick()
        for _ in range(round(1 / POLL_S)):
            for follower in followers:
                follower.tick()
        clock.advance(1.0)
    return {
        "daemons": fleet,
        **{f"{name}/s": round(count / SIMULATED_S, 1) for name, count in table.counts.items()},
    }


def burst_row(grouped: bool) -> dict[str, Any]:
    """Return how fast bursts over all daemons are accepted, with and without group commit."""
    server, _ = make_platform("127.0.0.1:0")
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    client = PlatformClient(f"127.0.0.1:{server.server_address[1]}", 5.0)
    table, clock = HttpTable(client), SystemClock()
    first = ConfigStore(table, clock, (check_records,))
    fill(first)
    stores = [ConfigStore(table, clock, (check_records,)) for _ in range(DAEMONS)]
    locks = [threading.Lock() for _ in range(DAEMONS)]
    for store in stores:
        store.accept(Change(f"warm-{id(store)}", (Record(Kind.TEAM, "t", 2),)))

    def accept(number: int) -> tuple[int, float]:
        sent = time.monotonic()
        change = Change(f"op-{number}", (Record(Kind.TEAM, f"t{number}", 2),))
        daemon = number % DAEMONS
        if grouped:
            return stores[daemon].accept(change), time.monotonic() - sent
        with locks[daemon]:
            return stores[daemon].accept(change), time.monotonic() - sent

    before = client.read("/stats")
    started, taken, revisions = time.monotonic(), [], set()
    with ThreadPoolExecutor(BURST) as executor:
        for burst in range(BURSTS):
            done = list(executor.map(accept, range(burst * BURST, (burst + 1) * BURST)))
            revisions |= {revision for revision, _ in done}
            taken += [seconds for _, seconds in done]
    passed = time.monotonic() - started
    view = first.refresh(View())
    lost = BURST * BURSTS - sum(f"t{number}" in view.teams for number in range(BURST * BURSTS))
    assert before is not None
    client.close()
    server.shutdown()
    server.server_close()
    thread.join()
    return {
        "way": "group commit" if grouped else "one a transaction",
        "changes": len(taken),
        "revisions": len(revisions),
        "lost": lost,
        "changes/s": round(len(taken) / passed, 1),
        "slowest s": round(max(taken), 2),
    }


def message_rows() -> Iterator[dict[str, Any]]:
    """Yield the size of peers' messages and the time to seal and open one."""
    table = CountingTable()
    store = ConfigStore(table, ManualClock())
    fill(store)
    packed = pack_records(tuple(store.refresh(View()).records.values()))
    daemons = {f"entry-{number}": "10.0.0.1:8082" for number in range(max(FLEETS))}
    messages: tuple[PeerMessage, ...] = (
        Hello("entry-0", 1, "10.0.0.1:8082", 6300, True),
        Hint("entry-0", 1, 6300),
        InForce("entry-0", 1, 6300),
        Snapshot("entry-0", 1, 6300, packed, daemons),
    )
    for message in messages:
        sealer = Sealer("sixteen-letters!", 1_700_000_000_000_000)
        opener = Opener("sixteen-letters!", "entry-1", time.monotonic)
        started = time.perf_counter()
        sealed = [sealer.seal(message) for _ in range(MESSAGES)]
        half = time.perf_counter()
        for raw in sealed:
            opener.open(raw)
        ended = time.perf_counter()
        yield {
            "message": type(message).__name__,
            "bytes": len(sealed[0]),
            "seal us": round((half - started) / MESSAGES * 1e6, 1),
            "open us": round((ended - half) / MESSAGES * 1e6, 1),
        }


def main() -> None:
    """Print the report and keep it."""
    parts = (
        f"catching up at {HOSTS} hosts and {POOLS} pools after changes of pools",
        porcelain.table(behind_rows()),
        f"\nbursts of {BURST} changes at once over {DAEMONS} daemons, {HOSTS} hosts in force",
        porcelain.table(burst_row(grouped) for grouped in (False, True)),
        "\nheartbeats every 1 s, session rows and polls every 0.5 s, idle, simulated clock",
        porcelain.table(budget_row(fleet) for fleet in FLEETS),
        f"\npeers' messages; the snapshot holds {HOSTS} hosts and {POOLS} pools",
        porcelain.table(message_rows()),
    )
    text = "\n".join(parts) + "\n"
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "store.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
