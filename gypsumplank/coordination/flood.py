"""Detect pools whose demand exceeds their capacity."""

from collections.abc import Mapping

from gypsumplank.state.view import View


def is_flooded(view: View, pool: str, demand: Mapping[str, int]) -> bool:
    """Check whether the pool's running and waiting requests exceed its serving slots."""
    slots = sum(view.hosts[host].slots for host in view.serving_hosts(pool))
    return demand.get(pool, 0) > slots
