"""Run a job on real daemons and a stand-in of the users' platform."""

import json
import random
import socket
import sys
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import urllib3

from demo.cluster import POLL_INTERVAL_S, Cluster, free_addresses, is_free
from gypsumplank.composition.platform import METRICS_PORT
from gypsumplank.platform.settings import ENV_SETTINGS_PATH

HOST_HEADER = "desk.example"
PREFIX = "/proofs/"
JOB = "5c0e7a21d94b36f8"
STEPS = [{"replicas": 2, "cpu": 500, "estimate-ms": 300}, {"replicas": 1, "cpu": 500, "after": [0]}]
STATE_TIMEOUT_S = 20.0
DAEMON_COUNT = 2
# Networks of 254 loopback addresses that are tried before a cluster gives up.
MAX_NETWORK_ATTEMPTS = 100


def reserve_network() -> tuple[socket.socket, str]:
    """Return a socket that reserves a loopback network, and the network's first three octets.

    The daemons' metrics port is fixed, so clusters that run at once need addresses of their own.
    Raise OSError if no network is free.
    """
    rng = random.SystemRandom()
    for _ in range(MAX_NETWORK_ATTEMPTS):
        network = f"127.{rng.randrange(1, 255)}.{rng.randrange(256)}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.1", METRICS_PORT))
            reservation.listen()
        except OSError:
            reservation.close()
            continue
        return reservation, network
    raise OSError(f"no loopback network is free after {MAX_NETWORK_ATTEMPTS} attempts")


class JobCluster(Cluster):
    """Start a stand-in of the users' platform and daemons that use it."""

    def __init__(self, folder: Path, platform: Mapping[str, Any] | None = None) -> None:
        """Create the cluster; `platform` adds to the platform's part of the daemons' settings."""
        super().__init__(folder)
        self._platform_settings = platform or {}
        self.callers_of: dict[str, str] = {}
        # Added to the bounds in the settings of the daemons that start later.
        self.bounds: dict[str, Any] = {}
        # Added to the limits, likewise.
        self.limits: dict[str, Any] = {}
        self._reservation, network = reserve_network()
        self._free_ips = _free_ips(network)

    def close(self) -> None:
        """Terminate the remaining processes, and give the loopback network back."""
        super().close()
        self._reservation.close()

    def start_users_platform(self, *args: str) -> None:
        """Start the platform stand-in with its workers and with further arguments."""
        (self.platform,) = free_addresses(1, self.host)
        self.start_module("platform", "standins.users_platform", "--listen", self.platform, *args)
        self.wait_http(f"http://{self.platform}/api/machines")

    def start_entry(self, number: int) -> str:
        """Start a daemon on its own loopback IP address; return its address for callers."""
        name, ip = f"entry-{number}", next(self._free_ips)
        caller_address, ready_address, peer_address = free_addresses(3, ip)
        first_port = int(peer_address.rpartition(":")[2])
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(self._settings(name, ip, caller_address, ready_address, first_port)),
            encoding="utf-8",
        )
        self.restart_entry(name)
        self.wait_http(f"http://{ready_address}/api/readyz")
        self.callers_of[name] = caller_address
        return caller_address

    def restart_entry(self, name: str) -> None:
        """Start a daemon with its existing settings, without waiting until it is ready."""
        env = {ENV_SETTINGS_PATH: str(self.folder / f"{name}.json")}
        self.start_module(name, "gypsumplank.platformd", env=env)

    def __enter__(self) -> "JobCluster":
        return self

    def _settings(
        self, name: str, ip: str, caller_address: str, ready_address: str, first_port: int
    ) -> dict[str, Any]:
        return {
            "node": name,
            "ip": ip,
            "zone": "z",
            "listen": {"front": caller_address, "ready": ready_address},
            "port-range": [first_port, first_port + 15],
            "platform": {"address": self.platform, **self._platform_settings},
            "cloud": {"address": self.platform},
            "bounds": {"max-hold-ms": 6000, "lease-ms": 3000, "grace-s": 1, **self.bounds},
            "limits": {"max-fds": 1024, **self.limits},
            "heartbeat-ms": 500,
        }


def _free_ips(network: str) -> Iterator[str]:
    """Yield the addresses of a reserved network at which the metrics port is free."""
    ips = (f"{network}.{number}" for number in range(2, 255))
    return (ip for ip in ips if is_free(f"{ip}:{METRICS_PORT}"))


def call(
    address: str, method: str, path: str, body: Any = None, key: str | None = None
) -> tuple[int, Any]:
    """Send a request to a daemon as a caller; return the status and the decoded body."""
    headers = {"Host": HOST_HEADER, "Content-Type": "application/json"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    resp = urllib3.request(
        method,
        f"http://{address}{path}",
        body=json.dumps(body) if body is not None else None,
        headers=headers,
        retries=False,
        timeout=5.0,
    )
    return resp.status, json.loads(resp.data)


def wait_for_state(address: str, job_id: str, state: str) -> bool:
    """Return whether a job reaches a state before the timeout."""
    deadline = time.monotonic() + STATE_TIMEOUT_S
    while time.monotonic() < deadline:
        if call(address, "GET", f"{PREFIX}{job_id}")[1].get("state") == state:
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def run_job(folder: Path) -> None:
    """Submit a job to one daemon, wait for its completion at another and stop both."""
    with JobCluster(folder) as cluster:
        cluster.start_users_platform()
        first, second = (cluster.start_entry(number) for number in range(DAEMON_COUNT))
        status, _ = call(first, "POST", f"{PREFIX}{JOB}", {"spec": "0.3", "steps": STEPS})
        sys.stdout.write(f"\nA job of two steps on the users' platform: {status}\n")
        completed = wait_for_state(second, JOB, "completed")
        sys.stdout.write(
            f"  {'completed' if completed else 'not completed'}, according to the other daemon\n"
        )
        exit_codes = [cluster.stop(f"entry-{number}") for number in range(DAEMON_COUNT)]
        sys.stdout.write(f"  daemons exit {exit_codes}\n")
        if not completed or any(exit_codes):
            sys.exit(1)
