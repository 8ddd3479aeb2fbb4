import pytest

from gypsumplank.errors import RecordsError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.validation import (
    add_file_names,
    check_change,
    check_records,
    find_faults,
    find_warnings,
)
from gypsumplank.state.view import build_view


def pool(name="p", **spec):
    return Record(Kind.POOL, name, 2, spec)


def host(name, pool="p", **spec):
    address = f"10.0.0.{1 + sum(map(ord, name)) % 250}:80"
    fields = {"address": address, "pool": pool, "zone": "z", "rack": "r", **spec}
    return Record(Kind.HOST, name, 2, fields)


def service(name="s", pool="p", **spec):
    return Record(Kind.SERVICE, name, 2, {"pool": pool, **spec})


def wave(name, **spec):
    return Record(Kind.WAVE, name, 2, spec)


def team(name, **spec):
    return Record(Kind.TEAM, name, 2, spec)


def assignment(name, pool="p"):
    return Record(Kind.ASSIGNMENT, name, 2, {"pool": pool})


@pytest.mark.parametrize(
    ("records", "faults"),
    [
        ((pool(), host("a"), service()), set()),
        ((service(),), {("service/s", "spec.pool", "pool-unknown")}),
        ((host("a"),), {("host/a", "spec.pool", "pool-unknown")}),
        (
            (pool(budget={"min_in_service": 2}), host("a")),
            {("pool/p", "spec.budget.min_in_service", "budget-too-large")},
        ),
        (
            (pool(), host("a"), wave("v", pools=["p"]), wave("w", hosts=["a"])),
            {("wave/w", "spec.hosts", "wave-crossed")},
        ),
        ((wave("v", pools=["q"]),), {("wave/v", "spec.pools", "pool-unknown")}),
        ((wave("v", hosts=["a"]),), {("wave/v", "spec.hosts", "host-unknown")}),
        ((pool(), service(overflow=True)), {("service/s", "spec.overflow", "spare-missing")}),
        ((pool(spare=True), service(overflow=True)), set()),
        (
            (pool(), host("a", cores=8), team("x", cores=5), team("y", cores=4)),
            {("team/y", "spec.cores", "quota-above-capacity")},
        ),
        (
            (pool(), service("s", share=0.6), service("t", share=0.5)),
            {("service/t", "spec.share", "share-above-one")},
        ),
        (
            (team("x", share=0.6), team("y", share=0.5)),
            {("team/y", "spec.share", "share-above-one")},
        ),
        (
            (pool(), host("a"), host("b", address=host("a").spec["address"])),
            {("host/b", "spec.address", "address-repeated")},
        ),
        ((pool(), host("a", address="a:80")), {("host/a", "spec.address", "address-invalid")}),
        ((pool("a/b"),), {("pool/a/b", "name", "name-invalid")}),
        ((pool(), pool()), {("pool/p", "name", "record-repeated")}),
        (
            (Record(Kind.POOL, "p", 9), service(), host("a", slots=0)),
            {
                ("pool/p", "schema", "schema-unknown"),
                ("service/s", "spec.pool", "pool-unknown"),
                ("host/a", "spec.slots", "field-invalid"),
            },
        ),
    ],
)
def test_all_faults_are_reported_together(records, faults):
    found = {(fault.source, fault.path, fault.code) for fault in find_faults(records)}
    assert found == faults


def test_pool_of_an_assigned_host_cannot_be_edited():
    before = build_view(1, (pool(), pool("q"), host("a"), assignment("a")))
    after = build_view(2, (pool(), pool("q"), host("a", "q"), assignment("a")), before)
    with pytest.raises(RecordsError) as caught:
        check_records(before, after)
    assert [fault.code for fault in caught.value.faults] == ["pool-fixed"]


def test_pool_of_an_unassigned_host_can_be_edited():
    before = build_view(1, (pool(), pool("q"), host("a")))
    check_records(before, build_view(2, (pool(), pool("q"), host("a", "q")), before))


def test_existing_faults_do_not_block_other_changes():
    unreadable = Record(Kind.POOL, "p", 9)
    before = build_view(1, (unreadable, service()))
    check_records(before, build_view(2, (unreadable, service(), pool("q")), before))
    with pytest.raises(RecordsError):
        check_records(before, build_view(2, (unreadable, service(), pool("q", spare=3)), before))


def test_change_that_writes_a_record_twice_is_faulty():
    codes = [fault.code for fault in check_change((pool(), pool()), ("pool/p",))]
    assert codes == ["record-repeated"] * 3


def test_unknown_field_warning_includes_the_file():
    (warning,) = add_file_names(find_warnings((pool(colour="red"),)), {"pool/p": "pools.json"})
    assert str(warning).startswith("pools.json: pool/p: spec.colour: ")
