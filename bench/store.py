"""Measure the load of configuration and sessions on the table service."""

import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from demo.cluster import ROOT
from gypsumplank import porcelain
from gypsumplank.coordination.follower import ConfigFollower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.protocol.envelope import MessageSigner, MessageVerifier
from gypsumplank.protocol.peer import Hello, Hint, InForce, PeerMessage, Snapshot
from gypsumplank.protocol.record import Kind, Record, pack_records
from gypsumplank.state.change import apply_entries
from gypsumplank.state.clock import ManualClock, SystemClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.table import SCAN_LIMIT, MemoryTable, Row, Txn
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import CurrentView, View
from gypsumplank.transport.store import HttpTable, PlatformClient
from standins.platform import make_platform

HOST_COUNT = 1700
POOL_COUNT = 21
RECORDS_PER_CHANGE = 200
MISSED_CHANGE_COUNTS = (10, 100, 1000, 5000)
DAEMON_COUNTS = (7, 20, 60)
SIMULATED_S = 60
POLL_INTERVAL_S = 0.5
LEASE_S = 5.0
CHANGES_PER_BURST = 50
BURST_COUNT = 4
BURST_DAEMONS = 7
MESSAGE_COUNT = 500


class CountingTable(MemoryTable):
    """Count the calls, rows and bytes of an in-memory table."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()

    def get(self, table: str, key: str) -> Row | None:
        """Return one row and count the read."""
        row = super().get(table, key)
        self._count_read([row] if row else [], min_rows=1)
        return row

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return rows in key order and count the read."""
        rows = super().scan(table, prefix, after, limit)
        self._count_read(rows, min_rows=1)
        return rows

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and count its writes."""
        self.counts["commits"] += 1
        self.counts["rows written"] += len(txn.writes)
        return super().commit(txn)

    def _count_read(self, rows: list[Row], min_rows: int) -> None:
        self.counts["reads"] += 1
        self.counts["rows read"] += max(len(rows), min_rows)
        self.counts["bytes read"] += sum(len(row.value) for row in rows)


def make_records() -> list[Record]:
    """Return the records of a fleet of the target size."""
    pools = [Record(Kind.POOL, f"pool-{number}", 2) for number in range(POOL_COUNT)]
    hosts = [
        Record(
            Kind.HOST,
            f"host-{number}",
            2,
            {
                "address": f"10.{number // 250}.{number % 250}.1:8080",
                "pool": f"pool-{number % POOL_COUNT}",
                "zone": f"zone-{number % 5}",
                "rack": f"rack-{number // 4}",
                "cores": 64,
                "memory_gb": 128,
            },
        )
        for number in range(HOST_COUNT)
    ]
    return [*pools, *hosts]


def accept_fleet(store: ConfigStore) -> None:
    """Write the records of the whole fleet to the store in batches."""
    records = make_records()
    for first in range(0, len(records), RECORDS_PER_CHANGE):
        store.accept(Change(f"fill-{first}", tuple(records[first : first + RECORDS_PER_CHANGE])))


def catch_up_rows() -> Iterator[dict[str, Any]]:
    """Yield the reads of a daemon that catches up after missed changes, by method."""
    table = CountingTable()
    store = ConfigStore(table, ManualClock())
    accept_fleet(store)
    start = store.refresh(View())
    for missed in MISSED_CHANGE_COUNTS:
        while store.head()[0].revision < start.revision + missed:
            number = store.head()[0].revision
            name = f"pool-{number % POOL_COUNT}"
            store.accept(Change(f"op-{number}", (Record(Kind.POOL, name, 2, {"x": number}),)))
        reader = ConfigReader(table)
        methods: dict[str, Callable[[], View]] = {
            "log": lambda: apply_entries(start, reader.entries(start.revision)),  # noqa: B023
            "groups": lambda: reader.refresh(start),  # noqa: B023
            "all records": lambda: ConfigReader(table).refresh(View()),
        }
        for name, read in methods.items():
            table.counts.clear()
            started = time.monotonic()
            read()
            yield {
                "missed": missed,
                "way": name,
                "reads": table.counts["reads"],
                "rows": table.counts["rows read"],
                "KB": round(table.counts["bytes read"] / 1000, 1),
                "ms": round((time.monotonic() - started) * 1000, 1),
            }


def idle_load_row(daemon_count: int) -> dict[str, Any]:
    """Return the store load per second from heartbeats and polls of idle daemons."""
    table, clock = CountingTable(), ManualClock()
    sessions = [
        Session(f"entry-{number}", 0, "zone", "10.0.0.1:8080", "10.0.0.1:8081", "", 0, 0.0)
        for number in range(daemon_count)
    ]
    heartbeats = [
        Heartbeat(SessionStore(table), clock, session, LEASE_S, lambda: 0) for session in sessions
    ]
    followers = [ConfigFollower(ConfigReader(table), CurrentView()) for _ in sessions]
    for second in range(2 * SIMULATED_S):
        if second == SIMULATED_S:
            table.counts.clear()
        for heartbeat in heartbeats:
            heartbeat.tick()
        for _ in range(round(1 / POLL_INTERVAL_S)):
            for follower in followers:
                follower.tick()
        clock.advance(1.0)
    return {
        "daemons": daemon_count,
        **{f"{name}/s": round(count / SIMULATED_S, 1) for name, count in table.counts.items()},
    }


def burst_row(grouped: bool) -> dict[str, Any]:
    """Return how fast the daemons accept bursts of changes, with or without group commit."""
    server, _ = make_platform("127.0.0.1:0")
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    client = PlatformClient(f"127.0.0.1:{server.server_address[1]}", 5.0)
    table, clock = HttpTable(client), SystemClock()
    loader = ConfigStore(table, clock, (check_records,))
    accept_fleet(loader)
    stores = [ConfigStore(table, clock, (check_records,)) for _ in range(BURST_DAEMONS)]
    locks = [threading.Lock() for _ in range(BURST_DAEMONS)]
    for store in stores:
        store.accept(Change(f"warm-{id(store)}", (Record(Kind.TEAM, "t", 2),)))

    def accept(number: int) -> tuple[int, float]:
        sent_at = time.monotonic()
        change = Change(f"op-{number}", (Record(Kind.TEAM, f"t{number}", 2),))
        daemon = number % BURST_DAEMONS
        if grouped:
            return stores[daemon].accept(change), time.monotonic() - sent_at
        with locks[daemon]:
            return stores[daemon].accept(change), time.monotonic() - sent_at

    before = client.read("/stats")
    started, latencies_s, revisions = time.monotonic(), [], set()
    with ThreadPoolExecutor(CHANGES_PER_BURST) as executor:
        for burst in range(BURST_COUNT):
            accepted = list(
                executor.map(
                    accept, range(burst * CHANGES_PER_BURST, (burst + 1) * CHANGES_PER_BURST)
                )
            )
            revisions |= {revision for revision, _ in accepted}
            latencies_s += [latency_s for _, latency_s in accepted]
    elapsed_s = time.monotonic() - started
    view = loader.refresh(View())
    missing = CHANGES_PER_BURST * BURST_COUNT - sum(
        f"t{number}" in view.teams for number in range(CHANGES_PER_BURST * BURST_COUNT)
    )
    assert before is not None
    client.close()
    server.shutdown()
    server.server_close()
    thread.join()
    return {
        "way": "group commit" if grouped else "one a transaction",
        "changes": len(latencies_s),
        "revisions": len(revisions),
        "lost": missing,
        "changes/s": round(len(latencies_s) / elapsed_s, 1),
        "slowest s": round(max(latencies_s), 2),
    }


def message_rows() -> Iterator[dict[str, Any]]:
    """Yield the size of each peer message and the time to seal and open it."""
    table = CountingTable()
    store = ConfigStore(table, ManualClock())
    accept_fleet(store)
    packed_records = pack_records(tuple(store.refresh(View()).records.values()))
    daemons = {f"entry-{number}": "10.0.0.1:8082" for number in range(max(DAEMON_COUNTS))}
    messages: tuple[PeerMessage, ...] = (
        Hello("entry-0", 1, "10.0.0.1:8082", 6300, True),
        Hint("entry-0", 1, 6300),
        InForce("entry-0", 1, 6300),
        Snapshot("entry-0", 1, 6300, packed_records, daemons),
    )
    for message in messages:
        signer = MessageSigner("sixteen-letters!", 1_700_000_000_000_000)
        verifier = MessageVerifier("sixteen-letters!", "entry-1", time.monotonic)
        started = time.perf_counter()
        sealed = [signer.sign(message) for _ in range(MESSAGE_COUNT)]
        sealed_at = time.perf_counter()
        for raw in sealed:
            verifier.verify(raw)
        opened_at = time.perf_counter()
        yield {
            "message": type(message).__name__,
            "bytes": len(sealed[0]),
            "seal us": round((sealed_at - started) / MESSAGE_COUNT * 1e6, 1),
            "open us": round((opened_at - sealed_at) / MESSAGE_COUNT * 1e6, 1),
        }


def main() -> None:
    """Print the report and write it to docs/measurements."""
    sections = (
        f"catching up at {HOST_COUNT} hosts and {POOL_COUNT} pools after changes of pools",
        porcelain.format_table(catch_up_rows()),
        f"\nbursts of {CHANGES_PER_BURST} changes at once over {BURST_DAEMONS} daemons, "
        f"{HOST_COUNT} hosts in force",
        porcelain.format_table(burst_row(grouped) for grouped in (False, True)),
        "\nheartbeats every 1 s, session rows and polls every 0.5 s, idle, simulated clock",
        porcelain.format_table(idle_load_row(count) for count in DAEMON_COUNTS),
        f"\npeers' messages; the snapshot holds {HOST_COUNT} hosts and {POOL_COUNT} pools",
        porcelain.format_table(message_rows()),
    )
    text = "\n".join(sections) + "\n"
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "store.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
