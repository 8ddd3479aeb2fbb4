import msgspec
import pytest

from gypsumplank.errors import EntryInvalidError, MachineRefusedError
from gypsumplank.platform.client import Client, Response
from gypsumplank.platform.directory import PlatformDirectory, decode_manifest
from gypsumplank.platform.machine import HttpMachines
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.queue import MachineState, MaintenanceWave
from gypsumplank.state.table import MemoryTable, Txn, Write
from standins.users_platform import MANIFEST, encode_entry

ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem-mb": 100, "gpu": 0},
    "labels": ["a", "r1"],
    "machine": "m-1",
    "born": 5,
    "clock-ms": 7,
    "seq": 1,
    "unknown-field": {},
}


def make_directory(**rows):
    table = MemoryTable()
    for name, value in rows.items():
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        table_name, _, key = name.partition("__")
        table.commit(Txn((), (Write(table_name, key.replace("_", "/"), raw),)))
    return PlatformDirectory(table)


def test_worker_entry_is_decoded():
    (entry,) = make_directory(servers__w=ENTRY).workers()
    assert (entry.id, entry.room, entry.machine, entry.born) == (
        "w",
        Resources(8000, 100),
        "m-1",
        5,
    )
    assert entry.labels == ("a", "r1")


@pytest.mark.parametrize(
    "invalid",
    [
        b"\xff\x00",
        b"[]",
        {**ENTRY, "state": "asleep"},
        {**ENTRY, "service": 7},
        {**ENTRY, "capacity": None},
        {**ENTRY, "seq": "x"},
        {key: value for key, value in ENTRY.items() if key != "address"},
        {key: value for key, value in ENTRY.items() if key != "born"},
    ],
)
def test_invalid_worker_entry_is_skipped(invalid):
    entries = make_directory(servers__a=invalid, servers__b=ENTRY).workers()
    assert [entry.id for entry in entries] == ["b"]


@pytest.mark.parametrize("depth", [2_000, 20_000])
@pytest.mark.parametrize("field", ["unknown-field", "labels", "zone"])
def test_deeply_nested_worker_entry_does_not_fail_the_survey(depth, field):
    nested = b"[" * depth + b"]" * depth
    raw = msgspec.json.encode({**ENTRY, field: "NESTED"}).replace(b'"NESTED"', nested)
    entries = make_directory(servers__a=raw, servers__b=ENTRY).workers()
    assert [entry.id for entry in entries] == ["b"]


@pytest.mark.parametrize("table_row", ["op__config", "op__wave_1"])
def test_deeply_nested_row_of_the_operator_is_skipped(table_row):
    nested = b"[" * 2_000 + b"]" * 2_000
    directory = make_directory(**{table_row: b'{"version":1,"wave":1,"x":' + nested + b"}"})
    assert directory.manifest() is None
    assert not directory.waves()


def test_manifest_is_decoded_and_the_longest_prefix_wins():
    wire = {**MANIFEST, "version": 9}
    wire["routes"] = [
        *MANIFEST["routes"],
        {"name": "r-2", "host": "desk.example", "prefix": "/proofs/big/", "service": "other"},
    ]
    manifest = decode_manifest(msgspec.json.encode(wire))
    assert manifest.version == 9
    assert manifest.find("desk.example", "/proofs/big/0").service == "other"
    assert manifest.find("desk.example", "/proofs/0").max_attempts == 3
    assert manifest.find("other.example", "/proofs/0") is None


def test_malformed_manifest_is_rejected():
    with pytest.raises(EntryInvalidError):
        decode_manifest(b'{"version":"x"}')


def test_maintenance_waves_are_read_and_reported():
    wave = {"wave": 1, "machines": ["m-1"], "duration-s": 20, "cap": 2}
    reader = make_directory(op__wave_1=wave, op__wave_2=b"?", op__config=MANIFEST)
    assert list(reader.waves()) == [MaintenanceWave(1, ("m-1",), 20.0, 2)]
    reader.report_wave(1, False)
    assert reader.completed_waves() == frozenset()
    reader.report_wave(1, True)
    assert reader.completed_waves() == {1}


class ListClient:
    def __init__(self, *machines):
        self.machines = machines

    def call(self, *_):
        return Response(200, {"machines": list(self.machines), "next-token": None}, {})


def test_machine_in_a_state_that_is_not_known_is_not_listed_as_down():
    client = ListClient({"machine": "m-1", "state": "repair"}, {"machine": "m-2", "state": "down"})
    states = [machine.state for machine in HttpMachines(client).list_machines()]
    assert states == [MachineState.UNKNOWN, MachineState.DOWN]


def test_machines_are_listed_and_orders_carry_the_lease_headers(platform_server):
    platform, address = platform_server
    platform.simulated_workers.add("w", "desk", Resources(1, 1), "m-1")
    machines = HttpMachines(Client(address, 1.0, 1))
    assert [(found.name, found.pool, found.worker) for found in machines.list_machines()] == [
        ("m-1", "desk", "w")
    ]
    machines.start_maintenance("m-1", 1, "entry-0", 12)
    path, body, headers = platform.orders[-1]
    assert (path, body) == ("/api/machine-upkeep", {"machine": "m-1", "wave": 1})
    assert headers["X-Gypsumplank-Lease-Holder"] == "entry-0"
    assert headers["X-Gypsumplank-Fencing-Token"] == "12"
    with pytest.raises(MachineRefusedError):
        machines.move("m-9", "desk", "entry-0", 12)


def test_stand_in_encodes_valid_worker_entries():
    from standins.simulator import SimulatedWorkers

    simulated_workers = SimulatedWorkers(None)
    simulated_workers.add("w", "desk", Resources(5, 6))
    (entry,) = simulated_workers.entries()
    assert make_directory(servers__w=encode_entry(entry)).workers()[0].room == Resources(5, 6)
