"""Measure a whole wave over both example deployments against one host after another by name."""

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

from bench.demand import Count, Traffic
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain, porcelain_fleet
from gypsumplank.coordination.wave import selection
from gypsumplank.errors import GypsumplankError
from gypsumplank.porcelain import read_records
from gypsumplank.protocol.fleet import HostAction, HostOrder, WaveAction, WaveOrder
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.wave import RunState
from standins.fleet import Fleet, record

DEPLOYMENTS = ("cartofold", "mossbrush")
STEP_S = 0.5
MAX_RATIO = 1.3
LONGEST_RUN_S = 6000.0
SIMULATED = {"parallelism": 40, "grace_s": 10.0, "maintenance_s": 60.0}
LIVE = {"parallelism": 40, "grace_s": 5.0, "maintenance_s": 3.0}
ONE_BY_ONE_HOSTS = 3
LIVE_CALLERS = 12
LIVE_WORK_MS = 100
LIVE_BOUND_S = 120.0
STATUS_OK = 200


def deployment(name: str) -> tuple[Record, ...]:
    """Return the records of an example deployment."""
    return read_records([ROOT / "examples" / name])


def wave_over(records: tuple[Record, ...], spec: dict[str, Any]) -> Record:
    """Return a wave over all pools of these records."""
    pools = [rec.name for rec in records if rec.kind is Kind.POOL]
    return record("wave", "all", pools=pools, **spec)


class Simulation:
    """Hold a deployment in memory under the brief's demand."""

    def __init__(self, name: str) -> None:
        records = deployment(name)
        self.fleet = Fleet(
            (*records, wave_over(records, SIMULATED)),
            nodes=3,
            flooded=self.flood,
        )
        self.traffic = Traffic(self.fleet)
        for _ in range(10):
            self.step()
        self.started_at = self.fleet.clock.now
        self.traffic.count = Count()

    def least_s(self, bound_s: float) -> float:
        """Return the bound with no request to wait for, in seconds."""
        maintenance_s = float(SIMULATED["maintenance_s"])
        return bound_s * maintenance_s / (maintenance_s + float(SIMULATED["grace_s"]))

    def flood(self, pool: str) -> bool:
        """Tell whether a pool is in flood."""
        return self.traffic.flooded(pool)

    def step(self) -> None:
        """Let half a second pass."""
        self.fleet.run(STEP_S, STEP_S)
        self.traffic.step(STEP_S)
        if self.fleet.clock.now - getattr(self, "started_at", self.fleet.clock.now) > LONGEST_RUN_S:
            raise TimeoutError

    def row(self, name: str, way: str, bound_s: float) -> dict[str, Any]:
        """Return what was measured."""
        took_s = self.fleet.clock.now - self.started_at
        count = self.traffic.count
        return {
            "deployment": name,
            "way": way,
            "took s": round(took_s),
            "bound s": round(bound_s),
            "took/bound": round(took_s / bound_s, 2),
            "took/maintenance": round(took_s / self.least_s(bound_s), 2),
            "requests": count.finished + count.late + count.cut_off,
            "cut off": count.cut_off,
            "on time": round(count.on_time, 4),
            "budget broken": count.broken,
        }


def run_wave(simulation: Simulation) -> float:
    """Run the wave to its end; return the bound that budget and grace give, in seconds."""
    node = simulation.fleet.nodes[0]
    bound_s = node.desk.wave(WaveOrder(WaveAction.START, "all"), "bench").left_s
    while True:
        simulation.step()
        found = node.stores.waves.find("all")
        if found is not None and found.run.state is RunState.FINISHED:
            return bound_s


def run_one_by_one(simulation: Simulation) -> None:
    """Drain, maintain and return each host by name, one after another."""
    fleet = simulation.fleet
    node = fleet.nodes[0]
    for host in sorted(selection(fleet.view, fleet.view.waves["all"])):
        order = HostOrder(f"{host}-out", HostAction.DRAIN, host, "", float(SIMULATED["grace_s"]))
        node.desk.host(order, "bench")
        while fleet.view.assignment(host).state is not AssignmentState.OUT:
            simulation.step()
        until = fleet.clock.now + float(SIMULATED["maintenance_s"])
        while fleet.clock.now < until:
            simulation.step()
        node.desk.host(replace(order, operation=f"{host}-in", action=HostAction.UNDRAIN), "bench")


def simulated() -> Iterator[dict[str, Any]]:
    """Yield the rows of both deployments and both ways."""
    for name in DEPLOYMENTS:
        wave = Simulation(name)
        bound_s = run_wave(wave)
        idle = Simulation(name)
        while idle.fleet.clock.now - idle.started_at < wave.fleet.clock.now - wave.started_at:
            idle.step()
        naive = Simulation(name)
        run_one_by_one(naive)
        yield wave.row(name, "wave", bound_s)
        yield naive.row(name, "one by one by name", bound_s)
        yield idle.row(name, "no maintenance", bound_s)


class Callers:
    """Send requests to all services through all daemons until stopped."""

    def __init__(self, urls: list[str]) -> None:
        self._urls = urls
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.outcomes: dict[str, int] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(LIVE_CALLERS)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop, and wait for the last answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        pool = urllib3.PoolManager(maxsize=2, retries=False)
        headers = {"X-Work-Ms": str(LIVE_WORK_MS)}
        for step in range(number, sys.maxsize, LIVE_CALLERS):
            if self._stop.is_set():
                return
            url = self._urls[step % len(self._urls)]
            resp = pool.request("POST", url, body=b"order", headers=headers)
            if resp.status == STATUS_OK:
                outcome = "finished" if resp.data == b"order" else "wrong answer"
            else:
                outcome = str(json.loads(resp.data).get("code"))
            with self._lock:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def live_records(addresses: list[str]) -> list[Record]:
    """Return both deployments with their hosts at these addresses."""
    records = [rec for name in DEPLOYMENTS for rec in deployment(name)]
    free = iter(addresses)
    return [
        replace(rec, spec={**rec.spec, "address": next(free)}) if rec.kind is Kind.HOST else rec
        for rec in records
    ]


def count_hosts() -> int:
    """Return the hosts of both deployments."""
    return sum(rec.kind is Kind.HOST for name in DEPLOYMENTS for rec in deployment(name))


def run_live(folder: Path) -> Iterator[str]:
    """Run one wave over both deployments on three real daemons under traffic."""
    with Cluster(folder) as cluster:
        cluster.start_platform()
        addresses = free_addresses(count_hosts())
        cluster.start_workers("workers", addresses)
        names = [f"entry-{number}" for number in range(3)]
        for name in names:
            cluster.start_daemon(name, "kochi-a")
        server = porcelain.Server(cluster.operators(names[0]))
        records = live_records(addresses)
        path = folder / "records.json"
        path.write_text(json.dumps([asdict(rec) for rec in records]), encoding="utf-8")
        porcelain.apply(server, [path])
        wave = wave_over(tuple(records), LIVE)
        path.write_text(json.dumps(asdict(wave)), encoding="utf-8")
        porcelain.apply(server, [path])
        time.sleep(3.0)
        services = [rec.name for rec in records if rec.kind is Kind.SERVICE]
        callers = Callers([f"http://{cluster.callers(n)}/{s}/w" for s in services for n in names])
        callers.start()
        yield from measure_live(server)
        callers.stop()
        yield f"requests: {callers.outcomes}"


def measure_live(server: porcelain.Server) -> Iterator[str]:
    """Run the wave, then a few hosts one by one, and tell both."""
    started = time.monotonic()
    bound_s = porcelain_fleet.order_wave(server, WaveAction.START, "all").left_s
    broken = 0
    while porcelain_fleet.waves(server)[0].state != RunState.FINISHED.value:
        broken += sum(pool.in_service < pool.floor for pool in porcelain_fleet.pools(server))
        if time.monotonic() - started > LIVE_BOUND_S:
            raise TimeoutError
        time.sleep(0.2)
    took_s = time.monotonic() - started
    total = porcelain_fleet.waves(server)[0].total
    maintenance_s = float(LIVE["maintenance_s"])
    least_s = bound_s * maintenance_s / (maintenance_s + float(LIVE["grace_s"]))
    yield f"wave of {total} hosts: {took_s:.1f} s; bound {bound_s:.1f} s"
    yield f"took/bound {took_s / bound_s:.2f}, took/maintenance {took_s / least_s:.2f}"
    yield f"budget seen broken {broken} times"
    each_s = one_by_one_live(server)
    yield f"one by one: {each_s:.1f} s a host over {ONE_BY_ONE_HOSTS} hosts"
    all_s = each_s * total
    yield f"extrapolated to all: {all_s:.0f} s, {all_s / took_s:.1f} times the wave"


def one_by_one_live(server: porcelain.Server) -> float:
    """Return the mean seconds that one host takes by itself."""
    started = time.monotonic()
    for number in range(ONE_BY_ONE_HOSTS):
        host = f"civic-desk-{number}"
        porcelain_fleet.order_host(server, HostAction.DRAIN, host, grace_s=float(LIVE["grace_s"]))
        while host not in _out(server):
            time.sleep(0.1)
        time.sleep(float(LIVE["maintenance_s"]))
        porcelain_fleet.order_host(server, HostAction.UNDRAIN, host)
    return (time.monotonic() - started) / ONE_BY_ONE_HOSTS


def _out(server: porcelain.Server) -> set[str]:
    found = porcelain_fleet.pools(server, "civic-desk")
    return {host.host for pool in found for host in pool.out if host.state == "out"}


def main() -> None:
    """Print the report and keep it."""
    table = porcelain.table(simulated())
    with tempfile.TemporaryDirectory() as folder:
        try:
            live = "\n".join(run_live(Path(folder)))
        except (GypsumplankError, TimeoutError) as exc:
            live = f"not finished: {type(exc).__name__}: {exc}"
    text = (
        f"Simulated clock, three daemons in memory, pools in flood by turns\n{table}\n\n"
        f"Three real daemons, both deployments, traffic of {LIVE_CALLERS} callers\n{live}\n\n"
        f"bound: rounds that the budget allows, each of the whole grace and the maintenance\n"
        f"took/maintenance: against the rounds' maintenance alone\n"
        f"target: nothing cut off, no budget broken, took/bound at most {MAX_RATIO}\n"
    )
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "wave.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
