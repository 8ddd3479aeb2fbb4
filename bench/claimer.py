"""Claim keys as one daemon would, against a platform, and time each keyed request."""

import argparse
import itertools
import json
import random
import sys
import threading
import time
import uuid
from collections.abc import Iterator
from dataclasses import asdict

from bench.load import Figures, quantile
from gypsumplank.coordination.claim import Claims, Guard
from gypsumplank.errors import KeyInUseError
from gypsumplank.protocol.exchange import Answer, Reply, Request
from gypsumplank.state.claim import ClaimStore
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.session import Session
from gypsumplank.state.writer import BatchWriter
from gypsumplank.transport.platform import HttpObjectStore, HttpTable, PlatformClient

BODY = b"x" * 512
TIMEOUT_S = 30.0
PLATFORM_TIMEOUT_S = 10.0


class HeldLease:
    """Hold a lease that does not lapse."""

    def __init__(self, name: str) -> None:
        self.session = Session(name, 1, "", "", "", "", 0, 0.0)
        self.live = (self.session,)
        self.held = True


def answer(_req: Request, _guard: Guard) -> Reply:
    """Answer at once, as an endpoint that costs nothing."""
    return Answer(200, (), BODY)


def keys(label: str, caller: int, shared: float) -> Iterator[str]:
    """Yield new keys, and this share of keys that every daemon's caller of this number uses."""
    rng = random.Random(caller)
    for number in itertools.count():
        yield f"{label}-{caller}-{number}" if rng.random() < shared else uuid.uuid4().hex


def is_settled(reply: Reply) -> bool:
    """Tell whether a reply is an answer, or the refusal of a key that is in flight elsewhere."""
    return isinstance(reply, Answer) or reply.code == KeyInUseError.code


def run_claimer(claims: Claims, callers: int, seconds: float, label: str, shared: float) -> Figures:
    """Carry keyed requests from so many callers for so long."""
    times: list[list[float]] = [[] for _ in range(callers)]
    failed = [0] * callers
    until = time.monotonic() + seconds

    def caller(number: int) -> None:
        for key in keys(label, number, shared):
            started = time.monotonic()
            if started >= until:
                return
            deadline = started + TIMEOUT_S
            req = Request(key, "quotes", "POST", "/x", deadline, body=BODY, idempotency_key=key)
            failed[number] += not is_settled(claims.carry(req, answer))
            times[number].append(time.monotonic() - started)

    threads = [threading.Thread(target=caller, args=(number,)) for number in range(callers)]
    started = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    held = [duration * 1000 for durations in times for duration in durations]
    finished = len(held) - sum(failed)
    rate = finished / (time.monotonic() - started)
    return Figures(callers, finished, sum(failed), rate, quantile(held, 0.5), quantile(held, 0.99))


def main() -> None:
    """Run one claimer and print its figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--callers", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--max-batch", type=int, required=True)
    parser.add_argument("--pace", type=float, required=True)
    parser.add_argument("--label", required=True)
    parser.add_argument("--shared", type=float, required=True)
    args = parser.parse_args()
    platform = PlatformClient(args.platform, PLATFORM_TIMEOUT_S)
    table = HttpTable(platform)
    clock = SystemClock()
    writer = BatchWriter(table, clock, lambda: args.pace, max_batch=args.max_batch)
    store = ClaimStore(table, HttpObjectStore(platform))
    writer.start()
    claims = Claims(store, writer, clock, HeldLease(args.daemon))
    figures = run_claimer(claims, args.callers, args.seconds, args.label, args.shared)
    writer.stop()
    platform.close()
    json.dump(asdict(figures), sys.stdout)


if __name__ == "__main__":
    main()
