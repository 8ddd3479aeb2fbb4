"""Summarize pools, queues and waves for the operators' overview."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from gypsumplank.protocol.overview import Overview, PoolOverview, WaveOverview
from gypsumplank.protocol.spec import AssignmentState, WaveSpec
from gypsumplank.state.view import View

Counts = Callable[[], Mapping[str, int]]


def min_serving_hosts(view: View, pool: str) -> int:
    """Return the least number of hosts that the pool's budget keeps serving."""
    return view.pools[pool].budget.floor(len(view.hosts_of(pool)))


def _count_states(view: View, hosts: Iterable[str]) -> Counter[AssignmentState]:
    return Counter(view.assignment(host).state for host in hosts)


def _pool_overview(view: View, pool: str, in_flight: Mapping[str, int]) -> PoolOverview:
    hosts = view.hosts_of(pool)
    states = _count_states(view, hosts)
    return PoolOverview(
        pool,
        len(hosts),
        states[AssignmentState.SERVING],
        states[AssignmentState.DRAINING],
        states[AssignmentState.OUT],
        min_serving_hosts(view, pool),
        sum(in_flight.get(host, 0) for host in hosts),
    )


def _wave_overview(view: View, name: str, wave: WaveSpec) -> WaveOverview:
    hosts = {host for host in wave.hosts if host in view.hosts}
    hosts.update(host for pool in wave.pools for host in view.hosts_of(pool))
    states = _count_states(view, hosts)
    draining, out = states[AssignmentState.DRAINING], states[AssignmentState.OUT]
    return WaveOverview(name, len(hosts), draining, out)


class OverviewBuilder:
    """Build the overview from this daemon's view and counts."""

    def __init__(
        self, daemon: str, view: Callable[[], View], in_flight: Counts, waiting: Counts
    ) -> None:
        self._daemon = daemon
        self._view = view
        self._in_flight = in_flight
        self._waiting = waiting

    def overview(self) -> Overview:
        """Return the current overview."""
        view, in_flight = self._view(), self._in_flight()
        pools = (_pool_overview(view, pool, in_flight) for pool in sorted(view.pools))
        waves = (_wave_overview(view, name, wave) for name, wave in sorted(view.waves.items()))
        waiting = dict(self._waiting())
        return Overview(self._daemon, view.revision, tuple(pools), tuple(waves), waiting)
