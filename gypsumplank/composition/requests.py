"""Assemble what bounds the memory of requests that gypsumplankd receives."""

from gypsumplank.metrics import Metrics
from gypsumplank.settings import Settings
from gypsumplank.transport.bodybudget import KERNEL_SHARE, MEMORY_SHARE, REPLY_SHARE, RequestLimits
from gypsumplank.transport.requestledger import RequestLedger
from gypsumplank.transport.socketbudget import SocketPlan, plan_sockets

MAX_CALLER_CONNECTIONS = 2000
# The operators' listener.
SERVICE_LISTENERS = 1


def make_request_ledger(cfg: Settings, metrics: Metrics) -> RequestLedger:
    """Return the ledger that all listeners share, with its metrics registered."""
    request_bytes = cfg.incomplete_bytes + cfg.complete_bytes
    limits = RequestLimits(
        cfg.incomplete_bytes,
        cfg.complete_bytes,
        int(request_bytes * KERNEL_SHARE / (2 * MEMORY_SHARE)),
        int(request_bytes * REPLY_SHARE / (2 * MEMORY_SHARE)),
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
    return plan_sockets(ledger.limits.kernel_bytes, MAX_CALLER_CONNECTIONS, SERVICE_LISTENERS)
