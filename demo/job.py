"""Run a job through real daemons on a stand-in of the users' platform."""

import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import urllib3

from demo.cluster import PAUSE_S, Cluster, free_addresses
from gypsumplank.platform.boot import ENV_SETTINGS

HOST = "desk.example"
PREFIX = "/proofs/"
JOB = "5c0e7a21d94b36f8"
STEPS = [{"replicas": 2, "cpu": 500, "estimate-ms": 300}, {"replicas": 1, "cpu": 500, "after": [0]}]
WAIT_S = 20.0
DAEMONS = 2


class JobCluster(Cluster):
    """Hold a stand-in of the users' platform and daemons on it."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.callers_of: dict[str, str] = {}

    def start_users_platform(self) -> None:
        """Start the platform with its workers."""
        (self.platform,) = free_addresses(1, self.host)
        self.start_module("platform", "standins.users_platform", "--listen", self.platform)
        self.wait_http(f"http://{self.platform}/api/machines")

    def start_entry(self, number: int) -> str:
        """Start a daemon on a loopback address of its own; return its callers' address."""
        name, ip = f"entry-{number}", f"127.{1 + os.getpid() % 250}.9.{number + 1}"
        front, ready, peers = free_addresses(3, ip)
        port = int(peers.rpartition(":")[2])
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name, ip, front, ready, port)), encoding="utf-8")
        self.restart_entry(name)
        self.wait_http(f"http://{ready}/api/readyz")
        self.callers_of[name] = front
        return front

    def restart_entry(self, name: str) -> None:
        """Start a daemon that has settings, without waiting until it is ready."""
        env = {ENV_SETTINGS: str(self.folder / f"{name}.json")}
        self.start_module(name, "gypsumplank.platformd", env=env)

    def __enter__(self) -> "JobCluster":
        return self

    def _settings(self, name: str, ip: str, front: str, ready: str, port: int) -> dict[str, Any]:
        return {
            "node": name,
            "ip": ip,
            "zone": "z",
            "listen": {"front": front, "ready": ready},
            "port-range": [port, port + 15],
            "platform": {"address": self.platform},
            "cloud": {"address": self.platform},
            "bounds": {"max-hold-ms": 6000, "lease-ms": 3000, "grace-s": 1},
            "limits": {"max-fds": 1024},
            "heartbeat-ms": 500,
        }


def call(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Call a daemon as a caller does."""
    resp = urllib3.request(
        method,
        f"http://{address}{path}",
        body=json.dumps(body) if body is not None else None,
        headers={"Host": HOST, "Content-Type": "application/json"},
        retries=False,
        timeout=5.0,
    )
    return resp.status, json.loads(resp.data)


def wait_for_state(address: str, job: str, state: str) -> bool:
    """Tell whether a job reaches a state in time."""
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        if call(address, "GET", f"{PREFIX}{job}")[1].get("state") == state:
            return True
        time.sleep(PAUSE_S)
    return False


def run_job(folder: Path) -> None:
    """Hand a job in at one daemon, see it completed at the other, stop both."""
    with JobCluster(folder) as cluster:
        cluster.start_users_platform()
        first, second = (cluster.start_entry(number) for number in range(DAEMONS))
        status, _ = call(first, "POST", f"{PREFIX}{JOB}", {"spec": "0.3", "steps": STEPS})
        sys.stdout.write(f"\nA job of two steps on the users' platform: {status}\n")
        done = wait_for_state(second, JOB, "completed")
        sys.stdout.write(f"  {'completed' if done else 'not completed'}, as another daemon tells\n")
        codes = [cluster.stop(f"entry-{number}") for number in range(DAEMONS)]
        sys.stdout.write(f"  daemons exit {codes}\n")
        if not done or any(codes):
            sys.exit(1)
