"""Provide a daemon's observations of hosts and pools that the configuration does not have."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.coordination.failure import HostFailureDetector


def no_blocking_tasks(_pool: str, _host: str) -> str:
    """Return that no task blocks a drain."""
    return ""


@dataclass(frozen=True)
class HostSignals:
    """Provide the serving hosts observed as failed or ejected, and which pools are flooded.

    `task_wait_reason` returns why the tasks at a host of a pool block its drain; empty if they do
    not.
    """

    failure_detector: HostFailureDetector
    suspect_hosts: Callable[[], frozenset[str]]
    flooded: Callable[[str], bool]
    task_wait_reason: Callable[[str, str], str] = no_blocking_tasks
