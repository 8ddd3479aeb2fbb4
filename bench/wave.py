"""Compare a maintenance wave over the example deployments with one host at a time."""

import json
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import urllib3

from bench.demand import Traffic, TrafficCounts
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain, porcelain_fleet
from gypsumplank.coordination.wave import ordered_hosts
from gypsumplank.errors import GypsumplankError
from gypsumplank.porcelain import read_records
from gypsumplank.protocol.fleet import HostAction, HostRequest, WaveAction, WaveRequest
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.wave import RunState
from standins.fleet import Fleet, record

DEPLOYMENTS = ("cartofold", "mossbrush")
STEP_S = 0.5
MAX_BOUND_RATIO = 1.3
SIMULATION_TIMEOUT_S = 6000.0
SIMULATED_WAVE = {"parallelism": 40, "grace_s": 10.0, "maintenance_s": 60.0}
LIVE_WAVE = {"parallelism": 40, "grace_s": 5.0, "maintenance_s": 3.0}
ONE_BY_ONE_HOSTS = 3
LIVE_CALLER_THREADS = 12
LIVE_WORK_MS = 100
LIVE_TIMEOUT_S = 120.0
STATUS_OK = 200


def read_deployment(name: str) -> tuple[Record, ...]:
    """Return the records of an example deployment."""
    return read_records([ROOT / "examples" / name])


def make_wave(records: tuple[Record, ...], spec: dict[str, Any]) -> Record:
    """Return the record of a wave over all pools of these records."""
    pools = [rec.name for rec in records if rec.kind is Kind.POOL]
    return record("wave", "all", pools=pools, **spec)


class Simulation:
    """Simulate a deployment in memory whose pools are flooded in turn."""

    def __init__(self, name: str) -> None:
        records = read_deployment(name)
        self.fleet = Fleet(
            (*records, make_wave(records, SIMULATED_WAVE)),
            nodes=3,
            flooded=self.is_flooded,
        )
        self.traffic = Traffic(self.fleet)
        for _ in range(10):
            self.step()
        self.started_at = self.fleet.clock.now
        self.traffic.counts = TrafficCounts()

    def maintenance_bound_s(self, bound_s: float) -> float:
        """Return the bound in seconds for rounds without a grace period."""
        maintenance_s = float(SIMULATED_WAVE["maintenance_s"])
        return bound_s * maintenance_s / (maintenance_s + float(SIMULATED_WAVE["grace_s"]))

    def is_flooded(self, pool: str) -> bool:
        """Return whether a pool's demand exceeds its capacity."""
        return self.traffic.is_pool_flooded(pool)

    def step(self) -> None:
        """Advance by `STEP_S`; raise TimeoutError after `SIMULATION_TIMEOUT_S`."""
        self.fleet.run(STEP_S, STEP_S)
        self.traffic.step(STEP_S)
        if (
            self.fleet.clock.now - getattr(self, "started_at", self.fleet.clock.now)
            > SIMULATION_TIMEOUT_S
        ):
            raise TimeoutError

    def row(self, name: str, strategy: str, bound_s: float) -> dict[str, Any]:
        """Return the measured row."""
        duration_s = self.fleet.clock.now - self.started_at
        counts = self.traffic.counts
        return {
            "deployment": name,
            "way": strategy,
            "took s": round(duration_s),
            "bound s": round(bound_s),
            "took/bound": round(duration_s / bound_s, 2),
            "took/maintenance": round(duration_s / self.maintenance_bound_s(bound_s), 2),
            "requests": counts.finished + counts.late + counts.interrupted,
            "cut off": counts.interrupted,
            "on time": round(counts.on_time_fraction, 4),
            "budget broken": counts.budget_violations,
        }


def run_wave(simulation: Simulation) -> float:
    """Run the wave to completion; return its upper bound from budget and grace, in seconds."""
    node = simulation.fleet.nodes[0]
    bound_s = node.fleet_service.wave(WaveRequest(WaveAction.START, "all"), "bench").left_s
    while True:
        simulation.step()
        state = node.stores.waves.find("all")
        if state is not None and state.run.state is RunState.FINISHED:
            return bound_s


def run_one_by_one(simulation: Simulation) -> None:
    """Drain, maintain and undrain the hosts one after another, in order of name."""
    fleet = simulation.fleet
    node = fleet.nodes[0]
    for host in sorted(ordered_hosts(fleet.view, fleet.view.waves["all"])):
        order = HostRequest(
            f"{host}-out", HostAction.DRAIN, host, "", float(SIMULATED_WAVE["grace_s"])
        )
        node.fleet_service.host(order, "bench")
        while fleet.view.assignment(host).state is not AssignmentState.OUT:
            simulation.step()
        ends_at = fleet.clock.now + float(SIMULATED_WAVE["maintenance_s"])
        while fleet.clock.now < ends_at:
            simulation.step()
        node.fleet_service.host(
            replace(order, operation=f"{host}-in", action=HostAction.UNDRAIN), "bench"
        )


def simulated_rows() -> Iterator[dict[str, Any]]:
    """Yield three rows per deployment: wave, one host at a time, and no maintenance."""
    for name in DEPLOYMENTS:
        wave = Simulation(name)
        bound_s = run_wave(wave)
        no_maintenance = Simulation(name)
        while (
            no_maintenance.fleet.clock.now - no_maintenance.started_at
            < wave.fleet.clock.now - wave.started_at
        ):
            no_maintenance.step()
        one_by_one = Simulation(name)
        run_one_by_one(one_by_one)
        yield wave.row(name, "wave", bound_s)
        yield one_by_one.row(name, "one by one by name", bound_s)
        yield no_maintenance.row(name, "no maintenance", bound_s)


class TrafficGenerator:
    """Send requests to all URLs from concurrent callers until stopped; count the outcomes."""

    def __init__(self, urls: list[str]) -> None:
        self._urls = urls
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.outcomes: dict[str, int] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(LIVE_CALLER_THREADS)
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers and wait for their last responses."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        http_pool = urllib3.PoolManager(maxsize=2, retries=False)
        headers = {"X-Work-Ms": str(LIVE_WORK_MS)}
        for request_number in range(number, sys.maxsize, LIVE_CALLER_THREADS):
            if self._stop.is_set():
                return
            url = self._urls[request_number % len(self._urls)]
            resp = http_pool.request("POST", url, body=b"order", headers=headers)
            if resp.status == STATUS_OK:
                outcome = "finished" if resp.data == b"order" else "wrong answer"
            else:
                outcome = str(json.loads(resp.data).get("code"))
            with self._lock:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def live_records(addresses: list[str]) -> list[Record]:
    """Return the records of both deployments with their hosts at these addresses."""
    records = [rec for name in DEPLOYMENTS for rec in read_deployment(name)]
    unused_addresses = iter(addresses)
    return [
        (
            replace(rec, spec={**rec.spec, "address": next(unused_addresses)})
            if rec.kind is Kind.HOST
            else rec
        )
        for rec in records
    ]


def count_hosts() -> int:
    """Return the number of hosts in both deployments."""
    return sum(rec.kind is Kind.HOST for name in DEPLOYMENTS for rec in read_deployment(name))


def run_live(folder: Path) -> Iterator[str]:
    """Run one wave over both deployments on three daemon processes under traffic.

    Yield the lines of the report.
    """
    with Cluster(folder) as cluster:
        cluster.start_platform()
        addresses = free_addresses(count_hosts())
        cluster.start_workers("workers", addresses)
        names = [f"entry-{number}" for number in range(3)]
        for name in names:
            cluster.start_daemon(name, "kochi-a")
        server = porcelain.OperatorClient(cluster.operators(names[0]))
        records = live_records(addresses)
        path = folder / "records.json"
        path.write_text(json.dumps([asdict(rec) for rec in records]), encoding="utf-8")
        porcelain.apply(server, [path])
        wave = make_wave(tuple(records), LIVE_WAVE)
        path.write_text(json.dumps(asdict(wave)), encoding="utf-8")
        porcelain.apply(server, [path])
        time.sleep(3.0)
        services = [rec.name for rec in records if rec.kind is Kind.SERVICE]
        callers = TrafficGenerator(
            [f"http://{cluster.callers(n)}/{s}/w" for s in services for n in names]
        )
        callers.start()
        yield from measure_live(server)
        callers.stop()
        yield f"requests: {callers.outcomes}"


def measure_live(server: porcelain.OperatorClient) -> Iterator[str]:
    """Run the wave, then maintain a few hosts one by one; yield the lines of the report."""
    started = time.monotonic()
    bound_s = porcelain_fleet.change_wave(server, WaveAction.START, "all").left_s
    budget_violations = 0
    while porcelain_fleet.waves(server)[0].state != RunState.FINISHED.value:
        budget_violations += sum(
            pool.in_service < pool.floor for pool in porcelain_fleet.pools(server)
        )
        if time.monotonic() - started > LIVE_TIMEOUT_S:
            raise TimeoutError
        time.sleep(0.2)
    duration_s = time.monotonic() - started
    total = porcelain_fleet.waves(server)[0].total
    maintenance_s = float(LIVE_WAVE["maintenance_s"])
    maintenance_bound_s = bound_s * maintenance_s / (maintenance_s + float(LIVE_WAVE["grace_s"]))
    yield f"wave of {total} hosts: {duration_s:.1f} s; bound {bound_s:.1f} s"
    yield (
        f"took/bound {duration_s / bound_s:.2f}, "
        f"took/maintenance {duration_s / maintenance_bound_s:.2f}"
    )
    yield f"budget seen broken {budget_violations} times"
    seconds_per_host = time_one_by_one(server)
    yield f"one by one: {seconds_per_host:.1f} s a host over {ONE_BY_ONE_HOSTS} hosts"
    extrapolated_s = seconds_per_host * total
    yield (
        f"extrapolated to all: {extrapolated_s:.0f} s, "
        f"{extrapolated_s / duration_s:.1f} times the wave"
    )


def time_one_by_one(server: porcelain.OperatorClient) -> float:
    """Return the mean time in seconds to maintain a host when hosts are handled one by one."""
    started = time.monotonic()
    for number in range(ONE_BY_ONE_HOSTS):
        host = f"civic-desk-{number}"
        porcelain_fleet.change_host(
            server, HostAction.DRAIN, host, grace_s=float(LIVE_WAVE["grace_s"])
        )
        while host not in _hosts_out_of_service(server):
            time.sleep(0.1)
        time.sleep(float(LIVE_WAVE["maintenance_s"]))
        porcelain_fleet.change_host(server, HostAction.UNDRAIN, host)
    return (time.monotonic() - started) / ONE_BY_ONE_HOSTS


def _hosts_out_of_service(server: porcelain.OperatorClient) -> set[str]:
    pools = porcelain_fleet.pools(server, "civic-desk")
    return {host.host for pool in pools for host in pool.out if host.state == "out"}


def main() -> None:
    """Print the report and write it to docs/measurements."""
    table = porcelain.format_table(simulated_rows())
    with tempfile.TemporaryDirectory() as folder:
        try:
            live = "\n".join(run_live(Path(folder)))
        except (GypsumplankError, TimeoutError) as exc:
            live = f"not finished: {type(exc).__name__}: {exc}"
    text = (
        f"Simulated clock, three daemons in memory, pools in flood by turns\n{table}\n\n"
        f"Three real daemons, both deployments, "
        f"traffic of {LIVE_CALLER_THREADS} callers\n{live}\n\n"
        f"bound: rounds that the budget allows, each of the whole grace and the maintenance\n"
        f"took/maintenance: against the rounds' maintenance alone\n"
        f"target: nothing cut off, no budget broken, took/bound at most {MAX_BOUND_RATIO}\n"
    )
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "wave.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
