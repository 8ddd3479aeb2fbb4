"""Tell whether a pool is asked for more than it holds."""

from collections.abc import Mapping

from gypsumplank.state.view import View


def is_flooded(view: View, pool: str, demand: Mapping[str, int]) -> bool:
    """Tell whether requests held and waiting exceed the slots that serve the pool."""
    slots = sum(view.hosts[host].slots for host in view.serving_hosts(pool))
    return demand.get(pool, 0) > slots
