"""Start and stop the processes of a small fleet on loopback."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 22_000
PORTS_PER_PROCESS = 200
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
STATUS_OK = 200


def free_addresses(count: int, host: str = LOOPBACK) -> list[str]:
    """Return loopback addresses on which no socket listens.

    The ports are below the kernel's ephemeral range, so that no outgoing connection can take
    one before the caller listens on it.
    """
    candidates = (f"{host}:{port}" for port in _port_candidates)
    return list(itertools.islice(filter(is_free, candidates), count))


def own_loopback() -> str:
    """Return a loopback IP address derived from the process id, to avoid port conflicts."""
    pid = os.getpid()
    return f"127.{1 + pid // 65_536 % 250}.{pid // 256 % 256}.{pid % 256}"


def is_free(address: str) -> bool:
    """Return whether no socket listens on an address."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, int(port)))
        except OSError:
            return False
    return True


def _cycle_ports(first: int) -> Iterator[int]:
    for number in itertools.count(first):
        yield FIRST_PORT + number % PORT_COUNT


_port_candidates = _cycle_ports(os.getpid() * PORTS_PER_PROCESS)


class Cluster:
    """Start child processes of a fleet and stop only these.

    Each process writes its output to `NAME.log` in `folder`.
    """

    def __init__(self, folder: Path, host: str = LOOPBACK) -> None:
        self.host = host
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.platform = ""

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def start_platform(self, seed: int = 0) -> str:
        """Start the platform stand-in and return its address."""
        (self.platform,) = free_addresses(1, self.host)
        self.start_module(
            "platform", "standins.platform", "--listen", self.platform, "--seed", str(seed)
        )
        self.wait_http(f"http://{self.platform}/stats")
        return self.platform

    def start_workers(self, name: str, addresses: Iterable[str], slots: int = 8) -> None:
        """Start stand-in workers at these addresses in one process."""
        listen_addresses = list(addresses)
        listen = [part for address in listen_addresses for part in ("--listen", address)]
        self.start_module(name, "standins.workers", *listen, "--slots", str(slots))
        for address in listen_addresses:
            self.wait_http(f"http://{address}/_stats")

    def start_daemon(self, name: str, zone: str, **sections: dict[str, Any]) -> None:
        """Start a daemon and wait until it is ready.

        The first start of a name sets its settings: `sections` replace the defaults of the same
        section. A later start uses the same settings.
        """
        if name not in self.settings:
            callers, operators, peers = free_addresses(3, self.host)
            self.settings[name] = {
                "daemon": {"id": name, "zone": zone},
                "listen": {"callers": callers, "operators": operators, "peers": peers},
                "platform": {"address": self.platform},
                "security": {"peer_key": "only-for-loopback"},
                "stop": {"notice_s": 0.2},
                **sections,
            }
        self.start_daemon_process(name)
        self.wait_http(f"http://{self.operators(name)}/readyz")

    def start_daemon_process(self, name: str) -> None:
        """Start a daemon with its existing settings, without waiting until it is ready."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name], indent=2), encoding="utf-8")
        self.start_module(name, "gypsumplank.daemon", "--settings", str(path))

    def callers(self, name: str) -> str:
        """Return the address at which a daemon serves callers."""
        return str(self.settings[name]["listen"]["callers"])

    def operators(self, name: str) -> str:
        """Return the address at which a daemon serves operators."""
        return str(self.settings[name]["listen"]["operators"])

    def log(self, name: str) -> str:
        """Return the log output of a process."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(signal_number)

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminate a process with SIGTERM and return its exit code.

        Raise subprocess.TimeoutExpired if it is still running after `timeout_s`.
        """
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout_s)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Terminate the remaining processes; kill those that do not exit in time."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def wait_http(self, url: str) -> None:
        """Wait until a GET returns status 200; raise TimeoutError if it does not in time."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if urllib3.request("GET", url, retries=False, timeout=1.0).status == STATUS_OK:
                    return
            except HTTPError:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(url)

    def start_module(
        self, name: str, module: str, *args: str, env: Mapping[str, str] | None = None
    ) -> None:
        """Start a Python module as a child process."""
        env = {**os.environ, "PYTHONPATH": str(ROOT), **(env or {})}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *args], cwd=ROOT, env=env, stdout=log, stderr=log
            )


def post(address: str, path: str, body: Any) -> None:
    """Post JSON to a stand-in, for example to configure fault injection."""
    urllib3.request("POST", f"http://{address}{path}", json=body, retries=False, timeout=5.0)
