"""Simulate one daemon that claims idempotency keys on the platform; time each request."""

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

from bench.load import LoadResult, quantile
from gypsumplank.coordination.claim import IdempotentExecutor, SendGuard
from gypsumplank.errors import KeyInUseError
from gypsumplank.protocol.exchange import EndpointResponse, Reply, Request
from gypsumplank.state.claim import ClaimStore
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.session import Session
from gypsumplank.state.writer import BatchWriter
from gypsumplank.transport.store import HttpObjectStore, HttpTable, PlatformClient

BODY = b"x" * 512
REQUEST_TIMEOUT_S = 30.0
PLATFORM_TIMEOUT_S = 10.0


class PermanentLease:
    """Represent a session lease that never expires."""

    def __init__(self, name: str) -> None:
        self.session = Session(name, 1, "", "", "", "", 0, 0.0)
        self.live = (self.session,)
        self.lease_valid = True


def answer_immediately(_req: Request, _guard: SendGuard) -> Reply:
    """Return a response without delay, in place of an endpoint."""
    return EndpointResponse(200, (), BODY)


def generate_keys(label: str, caller_number: int, shared_fraction: float) -> Iterator[str]:
    """Yield idempotency keys of one caller.

    A fraction of them is the same for every daemon's caller of this number; the others are
    unique.
    """
    rng = random.Random(caller_number)
    for number in itertools.count():
        yield (
            f"{label}-{caller_number}-{number}"
            if rng.random() < shared_fraction
            else uuid.uuid4().hex
        )


def is_expected_reply(reply: Reply) -> bool:
    """Return whether a reply is a response, or the refusal of a key in flight elsewhere."""
    return isinstance(reply, EndpointResponse) or reply.code == KeyInUseError.code


def run_claimer(
    claims: IdempotentExecutor, callers: int, run_s: float, label: str, shared_fraction: float
) -> LoadResult:
    """Run keyed requests from concurrent callers for `run_s` seconds."""
    durations_s: list[list[float]] = [[] for _ in range(callers)]
    failed = [0] * callers
    ends_at = time.monotonic() + run_s

    def run_caller(number: int) -> None:
        for key in generate_keys(label, number, shared_fraction):
            started = time.monotonic()
            if started >= ends_at:
                return
            deadline = started + REQUEST_TIMEOUT_S
            req = Request(key, "quotes", "POST", "/x", deadline, body=BODY, idempotency_key=key)
            failed[number] += not is_expected_reply(claims.handle(req, answer_immediately))
            durations_s[number].append(time.monotonic() - started)

    threads = [threading.Thread(target=run_caller, args=(number,)) for number in range(callers)]
    started = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    latencies_ms = [
        duration_s * 1000 for caller_durations in durations_s for duration_s in caller_durations
    ]
    finished = len(latencies_ms) - sum(failed)
    rate_per_s = finished / (time.monotonic() - started)
    return LoadResult(
        callers,
        finished,
        sum(failed),
        rate_per_s,
        quantile(latencies_ms, 0.5),
        quantile(latencies_ms, 0.99),
    )


def main() -> None:
    """Run one claimer and print its result as JSON.

    `--pace` is the interval between two commits in seconds, and `--shared` the fraction of
    keys that all daemons have in common.
    """
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
    claims = IdempotentExecutor(store, writer, clock, PermanentLease(args.daemon))
    result = run_claimer(claims, args.callers, args.seconds, args.label, args.shared)
    writer.stop()
    platform.close()
    json.dump(asdict(result), sys.stdout)


if __name__ == "__main__":
    main()
