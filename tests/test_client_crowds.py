"""Test that crowds of clients that don't behave cannot outgrow the machine of a daemon.

DEPLOY.md counts what was received and not yet read toward a machine's memory. So the bound is on
the sum of the process and the kernel's buffers, and it is the machine's memory itself.
"""

import contextlib
import json

import pytest

from demo.job import PREFIX, JobCluster
from gypsumplank.composition.platform import METRICS_PORT
from gypsumplank.protocol.operator import PATH_METRICS
from standins.crowd import Crowd, Load, chunked_body, head, peer_message, plain_body
from standins.heldmemory import HeldMemory
from tests.crowd import MIB, ask, run_crowd

pytestmark = pytest.mark.process

# The limits of the machine, lowered for a small crowd.
MEMORY_MB = 96
MAX_FDS = 2048
# DEPLOY.md reserves these for files.
FILE_DESCRIPTORS = 200
MAX_BODY_BYTES = 1 << 18
# gypsumplankd's limits of memory, an eighth of the machine's each.
BUDGET_BYTES = MEMORY_MB * MIB // 8

TINY_CHUNKS = chunked_body(200_000, 1)[:-1]
LARGE_CHUNKS = chunked_body(260_000, 65_000)[:-1]
STOPPED_BODY = plain_body(260_000)[:-1]
PIPELINED_BODIES = plain_body(60_000) * 20
REFUSED_BODY = plain_body(3 * MIB)
PIPELINED_GETS = head(method="GET") * 20_000


CALLERS = [
    pytest.param(Load(600, TINY_CHUNKS), id="chunks-of-one-byte"),
    pytest.param(Load(600, LARGE_CHUNKS), id="large-chunks"),
    pytest.param(Load(600, STOPPED_BODY), id="bodies-without-their-end"),
    pytest.param(Load(600, PIPELINED_BODIES), id="pipelined-bodies"),
    pytest.param(Load(600, PIPELINED_GETS), id="replies-not-read"),
    pytest.param(Load(600, REFUSED_BODY), id="refused-and-still-sending"),
    pytest.param(Load(900, b"P"), id="one-byte"),
]


def service_load(path):
    """Return a crowd for the small listeners, which admit few connections."""
    return Load(100, head(method="GET", path=path) * 2000)


def check_crowd(process, crowd_address, addresses, load, ask_ordinary):
    held = HeldMemory(process.pid, addresses)
    ask_ordinary()
    with contextlib.ExitStack() as stack:
        crowd = Crowd(crowd_address, load)
        stack.callback(crowd.close)
        run_crowd(crowd, held)
        ask_ordinary()
        held.sample()
        assert process.poll() is None
        assert held.peak_bytes <= MEMORY_MB * MIB, f"held {held.peak_bytes / MIB:.0f} MiB"
        assert held.peak_descriptors <= MAX_FDS - FILE_DESCRIPTORS
    ask_ordinary()


# Protocols of the sockets that send requests to platformd's relay and messages to gypsumplankd.
REQUEST_PROTOCOL = 0x30
PUSH_PROTOCOL = 0x50


def peer_load(protocol):
    """Return a crowd that sends messages between daemons without their end."""
    return Load(200, peer_message(protocol, MIB)[:-1])


@contextlib.contextmanager
def small_platform_daemon(folder):
    """Start platformd with the limits of a small machine; yield its process and addresses."""
    with JobCluster(folder) as cluster:
        cluster.start_users_platform()
        callers = cluster.start_entry(0)
        path = folder / "entry-0.json"
        settings = json.loads(path.read_text())
        settings["limits"] = {"memory-mb": MEMORY_MB, "max-fds": MAX_FDS}
        path.write_text(json.dumps(settings))
        assert cluster.stop("entry-0") == 0
        cluster.restart_entry("entry-0")
        ready = settings["listen"]["ready"]
        cluster.wait_http(f"http://{ready}/api/readyz")
        metrics = f"{settings['ip']}:{METRICS_PORT}"
        peers = f"{settings['ip']}:{settings['port-range'][0]}"
        yield cluster.processes["entry-0"], [callers, ready, metrics, peers]


@pytest.mark.parametrize("load", CALLERS)
def test_platform_daemon_survives_callers(tmp_path, load):
    """Guard against a machine that is used up by what its callers send and do not read."""
    with small_platform_daemon(tmp_path) as (process, addresses):

        def ask_ordinary():
            assert ask("GET", f"http://{addresses[0]}{PREFIX}").status == 200

        check_crowd(process, addresses[0], addresses, load, ask_ordinary)


@pytest.mark.parametrize(
    ("number", "load"),
    [
        pytest.param(1, service_load("/api/readyz"), id="balancer-replies-not-read"),
        pytest.param(1, Load(300, TINY_CHUNKS), id="balancer-chunks-of-one-byte"),
        pytest.param(2, service_load("/metrics"), id="metrics-replies-not-read"),
        pytest.param(2, Load(300, TINY_CHUNKS), id="metrics-chunks-of-one-byte"),
        pytest.param(3, peer_load(REQUEST_PROTOCOL), id="relay-messages-without-end"),
        pytest.param(3, Load(2200, b"\0"), id="relay-one-byte"),
    ],
)
def test_platform_daemon_survives_clients_of_its_services(tmp_path, number, load):
    """Guard against the same at the addresses of the readiness check, metrics and other daemons."""
    with small_platform_daemon(tmp_path) as (process, addresses):
        callers, ready, metrics, _ = addresses

        def ask_ordinary():
            assert ask("GET", f"http://{callers}{PREFIX}").status == 200
            assert ask("GET", f"http://{ready}/api/readyz").status == 200
            assert ask("GET", f"http://{metrics}/metrics").status == 200

        check_crowd(process, addresses[number], addresses, load, ask_ordinary)


@pytest.mark.parametrize(
    ("listener", "load"),
    [
        pytest.param("callers", Load(600, TINY_CHUNKS), id="chunks-of-one-byte"),
        pytest.param("callers", Load(600, STOPPED_BODY), id="bodies-without-their-end"),
        pytest.param("callers", Load(600, PIPELINED_GETS), id="replies-not-read"),
        pytest.param("operators", Load(600, TINY_CHUNKS), id="operators-chunks-of-one-byte"),
        pytest.param("operators", service_load(PATH_METRICS), id="operators-replies-not-read"),
        pytest.param("peers", peer_load(PUSH_PROTOCOL), id="peers-messages-without-end"),
        pytest.param("peers", Load(2200, b"\0"), id="peers-one-byte"),
    ],
)
def test_daemon_survives_clients(cluster, listener, load):
    """Guard against the same with callers, operators and peers of gypsumplankd."""
    cluster.start_platform()
    limits = {
        "max_body_bytes": MAX_BODY_BYTES,
        "incomplete_bytes": BUDGET_BYTES,
        "complete_bytes": BUDGET_BYTES,
    }
    cluster.start_daemon("entry-0", "kochi-a", limits=limits)
    addresses = {
        "callers": cluster.callers("entry-0"),
        "operators": cluster.operators("entry-0"),
        "peers": cluster.settings["entry-0"]["listen"]["peers"],
    }

    def ask_ordinary():
        url = f"http://{addresses['callers']}/nothing/here"
        assert ask("POST", url, body=b"order").status == 404
        assert ask("GET", f"http://{addresses['operators']}/metrics").status == 200

    process = cluster.processes["entry-0"]
    check_crowd(process, addresses[listener], list(addresses.values()), load, ask_ordinary)


def test_limits_of_daemon_follow_from_its_memory(cluster):
    """Guard against default limits that a small host has no memory for."""
    cluster.start_platform()
    cluster.start_daemon("entry-0", "kochi-a", limits={"memory_mb": MEMORY_MB})
    addresses = [cluster.callers("entry-0"), cluster.operators("entry-0")]

    def ask_ordinary():
        url = f"http://{addresses[0]}/nothing/here"
        assert ask("POST", url, body=b"order").status == 404

    load = Load(300, plain_body(MIB)[:-1])
    check_crowd(cluster.processes["entry-0"], addresses[0], addresses, load, ask_ordinary)
