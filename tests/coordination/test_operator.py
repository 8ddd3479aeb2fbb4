import pytest

from gypsumplank.coordination.operator import build_change, build_rollback
from gypsumplank.errors import RecordMissingError, RecordsError
from gypsumplank.protocol.operator import ChangeRequest, RollbackRequest
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.view import build_view

POOL = Record(Kind.POOL, "p", 2, {"budget": {"max_out_per_rack": 1}, "x_new": 1})
HOST = Record(Kind.HOST, "h", 2, {"address": "10.0.0.1:1", "pool": "p", "zone": "z", "rack": "r"})
ASSIGNMENT = Record(Kind.ASSIGNMENT, "h", 2, {"pool": "p", "state": "draining"})
VIEW = build_view(5, (POOL, HOST, ASSIGNMENT))


def test_write_in_schema_1_is_merged_into_the_newest_record():
    order = ChangeRequest("op", (Record(Kind.POOL, "p", 1, {"min_in_service": 1}),))
    (record,) = build_change(VIEW, order, "me").puts
    assert record.schema == 2
    assert record.spec == {"budget": {"max_out_per_rack": 1, "min_in_service": 1}, "x_new": 1}


def test_unchanged_records_are_omitted():
    change = build_change(VIEW, ChangeRequest("op", (POOL, HOST)), "me")
    assert change.puts == ()
    assert change.actor == "me"


@pytest.mark.parametrize(
    ("order", "error"),
    [
        (ChangeRequest("op", (), ("pool/none",)), RecordMissingError),
        (ChangeRequest("op", (POOL, POOL)), RecordsError),
        (ChangeRequest("op", (POOL,), ("pool/p",)), RecordsError),
    ],
)
def test_invalid_change_is_refused(order, error):
    with pytest.raises(error):
        build_change(VIEW, order, "me")


def test_rollback_keeps_assignments():
    old = Record(Kind.POOL, "p", 1, {"min_in_service": 1})
    target = {
        record.key: record for record in (old, Record(Kind.ASSIGNMENT, "h", 2, {"pool": "q"}))
    }
    change = build_rollback(VIEW, target, RollbackRequest("op", 2, 5), "me")
    assert change.puts == (old,)
    assert change.deletes == ("host/h",)
    assert change.if_revision == 5
