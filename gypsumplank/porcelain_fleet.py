"""Provide the operators' host, pool, wave and plan commands as functions."""

import uuid

from gypsumplank.porcelain import OperatorClient
from gypsumplank.protocol.fleet import (
    PATH_HOST,
    PATH_PLAN,
    PATH_POOLS,
    PATH_WAVE,
    PATH_WAVES,
    HostAction,
    HostRequest,
    Plan,
    PoolReport,
    WaveAction,
    WaveReport,
    WaveRequest,
)
from gypsumplank.protocol.operator import ChangeReceipt
from gypsumplank.protocol.spec import DEFAULT_GRACE_S


def change_host(
    server: OperatorClient,
    action: HostAction,
    host: str,
    target_pool: str = "",
    grace_s: float = DEFAULT_GRACE_S,
    override: bool = False,
) -> ChangeReceipt:
    """Drain, undrain or move one host."""
    order = HostRequest(uuid.uuid4().hex, action, host, target_pool, grace_s, override)
    return server.call("POST", PATH_HOST, ChangeReceipt, order)


def change_wave(server: OperatorClient, action: WaveAction, wave: str) -> WaveReport:
    """Start, pause, resume or abort a wave."""
    return server.call("POST", PATH_WAVE, WaveReport, WaveRequest(action, wave))


def pools(server: OperatorClient, name: str = "") -> tuple[PoolReport, ...]:
    """Return the report of every pool, or of the named one."""
    reports = server.call("GET", PATH_POOLS, tuple[PoolReport, ...])
    return tuple(report for report in reports if name in ("", report.pool))


def waves(server: OperatorClient, name: str = "") -> tuple[WaveReport, ...]:
    """Return the progress of every wave, or of the named one."""
    reports = server.call("GET", PATH_WAVES, tuple[WaveReport, ...])
    return tuple(report for report in reports if name in ("", report.wave))


def plan(server: OperatorClient) -> Plan:
    """Return the planner's current plan."""
    return server.call("GET", PATH_PLAN, Plan)
