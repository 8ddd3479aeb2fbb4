"""Tell of pools, queues and waves at a glance."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from gypsumplank.protocol.overview import Overview, PoolOverview, WaveOverview
from gypsumplank.protocol.spec import AssignmentState, WaveSpec
from gypsumplank.state.view import View

Counts = Callable[[], Mapping[str, int]]


def promised_hosts(view: View, pool: str) -> int:
    """Return how many hosts of a pool its budget promises to keep serving."""
    return view.pools[pool].budget.floor(len(view.hosts_of(pool)))


def _states(view: View, hosts: Iterable[str]) -> Counter[AssignmentState]:
    return Counter(view.assignment(host).state for host in hosts)


def _pool_overview(view: View, pool: str, in_flight: Mapping[str, int]) -> PoolOverview:
    hosts = view.hosts_of(pool)
    states = _states(view, hosts)
    return PoolOverview(
        pool,
        len(hosts),
        states[AssignmentState.SERVING],
        states[AssignmentState.DRAINING],
        states[AssignmentState.OUT],
        promised_hosts(view, pool),
        sum(in_flight.get(host, 0) for host in hosts),
    )


def _wave_overview(view: View, name: str, wave: WaveSpec) -> WaveOverview:
    named = {host for host in wave.hosts if host in view.hosts}
    named.update(host for pool in wave.pools for host in view.hosts_of(pool))
    states = _states(view, named)
    draining, out = states[AssignmentState.DRAINING], states[AssignmentState.OUT]
    return WaveOverview(name, len(named), draining, out)


class Overviewer:
    """Make this daemon's overview."""

    def __init__(
        self, daemon: str, view: Callable[[], View], in_flight: Counts, waiting: Counts
    ) -> None:
        self._daemon = daemon
        self._view = view
        self._in_flight = in_flight
        self._waiting = waiting

    def overview(self) -> Overview:
        """Return the overview as of now."""
        view, in_flight = self._view(), self._in_flight()
        pools = (_pool_overview(view, pool, in_flight) for pool in sorted(view.pools))
        waves = (_wave_overview(view, name, wave) for name, wave in sorted(view.waves.items()))
        waiting = dict(self._waiting())
        return Overview(self._daemon, view.revision, tuple(pools), tuple(waves), waiting)
