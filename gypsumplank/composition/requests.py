"""Assemble what bounds the memory of requests that gypsumplankd receives."""

import os
import resource

from gypsumplank.metrics import Metrics
from gypsumplank.settings import Settings
from gypsumplank.transport.bodybudget import (
    KERNEL_SHARE,
    MEMORY_SHARE,
    REPLY_SHARE,
    RequestLimits,
    limits_of_memory,
)
from gypsumplank.transport.requestledger import RequestLedger
from gypsumplank.transport.socketbudget import SocketPlan, plan_sockets

BYTES_PER_MB = 1 << 20
MAX_CALLER_CONNECTIONS = 2000
# Share of the file descriptors for callers; the rest is for files, endpoints and peers.
CALLER_DESCRIPTOR_SHARE = 0.5
# The operators' listener.
SERVICE_LISTENERS = 1


def make_request_ledger(cfg: Settings, metrics: Metrics) -> RequestLedger:
    """Return the ledger that all listeners share, with its metrics registered."""
    share = limits_of_memory(min(cfg.memory_mb * BYTES_PER_MB, _host_bytes()))
    incomplete_bytes = min(cfg.incomplete_bytes, share.incomplete_bytes)
    complete_bytes = min(cfg.complete_bytes, share.complete_bytes)
    request_bytes = incomplete_bytes + complete_bytes
    limits = RequestLimits(
        incomplete_bytes=incomplete_bytes,
        complete_bytes=complete_bytes,
        kernel_bytes=int(request_bytes * KERNEL_SHARE / (2 * MEMORY_SHARE)),
        reply_bytes=int(request_bytes * REPLY_SHARE / (2 * MEMORY_SHARE)),
        header_bytes=cfg.max_header_bytes,
        header_s=cfg.header_timeout_s,
        body_s=cfg.body_timeout_s,
        idle_s=cfg.idle_timeout_s,
    )
    ledger = RequestLedger(limits)
    ledger.add_metrics(metrics)
    return ledger


def make_socket_plan(ledger: RequestLedger) -> SocketPlan:
    """Return the limits of the listeners' sockets."""
    max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_callers = MAX_CALLER_CONNECTIONS
    if max_descriptors != resource.RLIM_INFINITY:
        max_callers = min(max_callers, int(max_descriptors * CALLER_DESCRIPTOR_SHARE))
    return plan_sockets(ledger.limits.kernel_bytes, max_callers, SERVICE_LISTENERS)


def _host_bytes() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
