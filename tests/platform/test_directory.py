import math

import msgspec
import pytest

from gypsumplank.errors import EntryInvalidError, MachineRefusedError
from gypsumplank.platform.client import Client, Response
from gypsumplank.platform.directory import PlatformDirectory, decode_manifest
from gypsumplank.platform.machine import HttpAdvisor, HttpMachines
from gypsumplank.protocol.account import Account, hash_key
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.queue import MachineState, MaintenanceWave
from gypsumplank.state.row import MAX_LOGGED_ENTRIES
from gypsumplank.state.table import MemoryTable, Txn, Write
from standins.users_platform import MANIFEST, encode_entry
from tests.malformed import BAD_NUMBERS, IMPOSSIBLE_ADDRESSES, MALFORMED_JSON, with_fields

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


@pytest.mark.parametrize("address", IMPOSSIBLE_ADDRESSES)
def test_worker_entry_with_an_address_that_cannot_exist_is_skipped(address):
    entries = make_directory(servers__a={**ENTRY, "address": address}, servers__b=ENTRY).workers()
    assert [entry.id for entry in entries] == ["b"]


@pytest.mark.parametrize("key", ["", "a\nb", "\u0661", "a\0", "a b", "a" * 201])
def test_worker_entry_whose_id_fits_no_header_is_skipped(key):
    raw = msgspec.json.encode(ENTRY)
    table = MemoryTable()
    table.commit(Txn((), (Write("servers", key, raw), Write("servers", "b", raw))))
    assert [entry.id for entry in PlatformDirectory(table).workers()] == ["b"]


@pytest.mark.parametrize("raw", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_rows_of_the_platform_are_skipped(raw):
    wave = {"wave": 1, "machines": ["m-1"], "duration-s": 20, "cap": 2}
    directory = make_directory(servers__a=raw, servers__b=ENTRY, op__wave_1=wave, op__wave_2=raw)
    assert [entry.id for entry in directory.workers()] == ["b"]
    assert [found.number for found in directory.waves()] == [1]
    assert make_directory(op__config=raw).manifest() is None


@pytest.mark.parametrize("field", ["born", "clock__ms", "remaining__ms", "seq"])
@pytest.mark.parametrize("number", BAD_NUMBERS)
def test_worker_entry_with_an_impossible_number_is_skipped(field, number):
    raw = with_fields(ENTRY, **{field: number})
    entries = make_directory(servers__a=raw, servers__b=ENTRY).workers()
    assert [entry.id for entry in entries] == ["b"]


def test_status_of_a_wave_with_another_number_is_ignored():
    status = {"state": "completed"}
    rows = {"wave/\u00b2": status, "wave/3": status, "wave/x": b"[" * 20_000}
    reader = make_directory(**{f"status__{key}": value for key, value in rows.items()})
    assert reader.completed_waves() == {3}


def test_fault_of_an_entry_is_logged_once_and_bounded(caplog):
    directory = make_directory(servers__a={**ENTRY, "state": "x" * 1_000_000})
    for _ in range(3):
        directory.workers()
    (record,) = caplog.records
    assert record.msg == "entry-dropped"
    assert len(record.detail) < 300


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


@pytest.mark.parametrize(
    "malformed",
    [None, 7, [], "m-9", {}, {"machine": 7}, {"machine": ""}, {"machine": {}}],
    ids=repr,
)
def test_malformed_machine_is_left_out_of_the_list(malformed):
    found = HttpMachines(ListClient(malformed, {"machine": "m-2", "state": "up"})).list_machines()
    assert [machine.name for machine in found] == ["m-2"]


@pytest.mark.parametrize("field", ["pool", "state", "zone", "labels", "id"])
@pytest.mark.parametrize("value", [7, [[]], {}, 10**400, math.inf, [7]], ids=repr)
def test_machine_with_a_malformed_field_is_in_a_state_that_is_not_known(field, value):
    client = ListClient(
        {"machine": "m-1", "state": "up", "pool": "p", field: value},
        {"machine": "m-2", "state": "up"},
    )
    found = HttpMachines(client).list_machines()
    assert [(machine.name, machine.state) for machine in found] == [
        ("m-1", MachineState.UNKNOWN),
        ("m-2", MachineState.UP),
    ]


class AdviceClient:
    def __init__(self, rows):
        self.rows = rows

    def call(self, *_):
        return Response(200, {"allowed": self.rows}, {})


def test_malformed_permits_are_left_out():
    rows = [7, None, [], ["w"], ["w", 7], [7, "t"], {"w": "t"}, ["w-1", "t-1"], [["w"], "t"]]
    assert HttpAdvisor(AdviceClient(rows)).request_permits("s", ["w-1"]) == {"w-1": "t-1"}


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


def test_logged_faults_of_entries_are_bounded(caplog):
    directory = make_directory()
    for life in range(2 * MAX_LOGGED_ENTRIES):
        directory._table.commit(Txn((), (Write("servers", f"w{life}", b"{"),)))
        if life:
            directory._table.commit(Txn((), (Write("servers", f"w{life - 1}", None),)))
        assert directory.workers() == []
        assert directory.workers() == []
    assert len(directory._worker_decoder._log._logged_details) <= MAX_LOGGED_ENTRIES
    assert len(caplog.records) == 2 * MAX_LOGGED_ENTRIES


def test_accounts_are_decoded_with_digests_in_place_of_keys():
    tenant = {
        "name": "team-a",
        "api-keys": ["k1", "k2"],
        "priority": 1,
        "weight": 104,
        "cap": {"cpu": 8000, "mem-mb": 900, "gpu": 0},
    }
    route = {"name": "r", "host": "h", "prefix": "/p/", "service": "desk", "public": True}
    manifest = decode_manifest(
        msgspec.json.encode({"version": 1, "routes": [route], "tenants": [tenant]})
    )
    digests = frozenset({hash_key("k1"), hash_key("k2")})
    assert manifest.accounts == (Account("team-a", digests, 1, 104, Resources(8000, 900)),)
    assert manifest.queues[0].public


def test_manifest_without_a_list_of_accounts_differs_from_one_with_an_empty_list():
    without = decode_manifest(msgspec.json.encode({"version": 1}))
    empty = decode_manifest(msgspec.json.encode({"version": 1, "tenants": []}))
    assert (without.accounts, empty.accounts) == (None, ())
