"""Assemble what bounds the memory of requests that gypsumplankd receives."""

from gypsumplank.metrics import Metrics
from gypsumplank.settings import Settings
from gypsumplank.transport.bodybudget import RequestLimits
from gypsumplank.transport.requestledger import RequestLedger


def make_request_ledger(cfg: Settings, metrics: Metrics) -> RequestLedger:
    """Return the ledger that all listeners share, with its metrics registered."""
    limits = RequestLimits(
        cfg.incomplete_bytes,
        cfg.complete_bytes,
        cfg.max_header_bytes,
        cfg.header_timeout_s,
        cfg.body_timeout_s,
        cfg.idle_timeout_s,
    )
    ledger = RequestLedger(limits)
    ledger.add_metrics(metrics)
    return ledger
