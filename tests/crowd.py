"""Run a crowd of clients against a daemon, and ask it ordinary requests."""

import time

import urllib3

from demo.job import HOST_HEADER

MIB = 1 << 20
# Guards against a hang only.
HANG_TIMEOUT_S = 120.0
SAMPLE_INTERVAL_S = 0.1
# A crowd has done what it can once nothing was sent, closed or held anew for this long.
QUIET_S = 2.0
# Bounds a crowd that the daemon reads without end.
MAX_CROWD_S = 20.0


def ask(method, url, **options):
    return urllib3.request(
        method, url, headers={"Host": HOST_HEADER}, retries=False, timeout=HANG_TIMEOUT_S, **options
    )


def run_crowd(crowd, held):
    """Send until nothing moves, or the time of a crowd is over."""
    started_s = moved_s = sampled_s = time.monotonic()
    while (now_s := time.monotonic()) < min(moved_s + QUIET_S, started_s + MAX_CROWD_S):
        if crowd.step():
            moved_s = now_s
        if now_s >= sampled_s + SAMPLE_INTERVAL_S:
            sampled_s = now_s
            if held.sample():
                moved_s = now_s
