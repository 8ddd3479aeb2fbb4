import pytest

from gypsumplank.errors import RecordsError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.spec import decode_spec

HOST = {"address": "10.0.0.1:80", "pool": "p", "zone": "z", "rack": "r"}


@pytest.mark.parametrize(
    ("kind", "schema", "spec", "faults"),
    [
        (Kind.POOL, 3, {}, [("schema", "schema-unknown")]),
        (Kind.POOL, 0, {}, [("schema", "schema-unknown")]),
        (Kind.POOL, 1, {"min_in_service": -1}, [("spec.budget.min_in_service", "field-invalid")]),
        (
            Kind.POOL,
            2,
            {"budget": {"min_share": 1.5}, "spare": "yes"},
            [("spec.budget.min_share", "field-invalid"), ("spec.spare", "field-invalid")],
        ),
        (
            Kind.HOST,
            2,
            {"zone": "z", "rack": "r", "slots": 0},
            [
                ("spec.address", "field-missing"),
                ("spec.pool", "field-missing"),
                ("spec.slots", "field-invalid"),
            ],
        ),
        (Kind.SERVICE, 2, {"pool": "p", "share": 2.0}, [("spec.share", "field-invalid")]),
        (Kind.WAVE, 2, {"pools": ["p", 5]}, [("spec.pools[1]", "field-invalid")]),
        (Kind.TEAM, 2, {"cores": 1.5}, [("spec.cores", "field-invalid")]),
    ],
)
def test_every_fault_of_a_record_is_listed(kind, schema, spec, faults):
    with pytest.raises(RecordsError) as caught:
        decode_spec(Record(kind, "n", schema, spec))
    assert [(fault.path, fault.code) for fault in caught.value.faults] == faults
    assert {fault.source for fault in caught.value.faults} == {f"{kind}/n"}


def test_unknown_field_is_ignored():
    assert decode_spec(Record(Kind.HOST, "n", 2, {**HOST, "colour": "red"})).pool == "p"
