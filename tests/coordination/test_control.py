import pytest

from gypsumplank.coordination.control import change_of, restore_of
from gypsumplank.errors import RecordMissingError, RecordsError
from gypsumplank.protocol.operator import ChangeOrder, RollbackOrder
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.view import build_view

POOL = Record(Kind.POOL, "p", 2, {"budget": {"max_out_per_rack": 1}, "x_new": 1})
HOST = Record(Kind.HOST, "h", 2, {"address": "10.0.0.1:1", "pool": "p", "zone": "z", "rack": "r"})
PLACED = Record(Kind.ASSIGNMENT, "h", 2, {"pool": "p", "state": "draining"})
VIEW = build_view(5, (POOL, HOST, PLACED))


def test_write_of_an_old_tool_is_merged_on_the_newest_view():
    order = ChangeOrder("op", (Record(Kind.POOL, "p", 1, {"min_in_service": 1}),))
    (record,) = change_of(VIEW, order, "me").puts
    assert record.schema == 2
    assert record.spec == {"budget": {"max_out_per_rack": 1, "min_in_service": 1}, "x_new": 1}


def test_unchanged_records_are_left_out():
    change = change_of(VIEW, ChangeOrder("op", (POOL, HOST)), "me")
    assert change.puts == ()
    assert change.actor == "me"


@pytest.mark.parametrize(
    ("order", "error"),
    [
        (ChangeOrder("op", (), ("pool/none",)), RecordMissingError),
        (ChangeOrder("op", (POOL, POOL)), RecordsError),
        (ChangeOrder("op", (POOL,), ("pool/p",)), RecordsError),
    ],
)
def test_change_that_cannot_be_is_refused(order, error):
    with pytest.raises(error):
        change_of(VIEW, order, "me")


def test_rollback_leaves_what_the_system_writes():
    old = Record(Kind.POOL, "p", 1, {"min_in_service": 1})
    target = {
        record.key: record for record in (old, Record(Kind.ASSIGNMENT, "h", 2, {"pool": "q"}))
    }
    change = restore_of(VIEW, target, RollbackOrder("op", 2, 5), "me")
    assert change.puts == (old,)
    assert change.deletes == ("host/h",)
    assert change.if_revision == 5
