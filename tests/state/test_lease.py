import pytest

from gypsumplank.errors import StateConflictError
from gypsumplank.state.lease import Lease, LeaseRow, LeaseStore
from gypsumplank.state.table import ABSENT, MemoryTable, Txn, Write


def test_fence_of_a_lease_passes_until_the_next_write():
    table = MemoryTable()
    store = LeaseStore(table)
    row = store.put(Lease("a", "one", 1), ABSENT)
    assert store.all() == {"a": row}
    table.commit(Txn((row.fence,), (Write("t", "k", b"1"),)))
    store.put(Lease("a", "two", 2), row.version)
    with pytest.raises(StateConflictError):
        table.commit(Txn((row.fence,), (Write("t", "k", b"2"),)))
    with pytest.raises(StateConflictError):
        store.put(Lease("a", "one", 3), row.version)


def test_fence_of_a_missing_row_requires_its_absence():
    assert LeaseRow(Lease("a")).fence.version == ABSENT
