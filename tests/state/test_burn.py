from gypsumplank.protocol.burn import BurnRow, Result, RevisionAdvance
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.table import MemoryTable

ROW = BurnRow(600, "a.1", {"quotes": {Result.ON_TIME: 3}}, (RevisionAdvance(1, 2, 601.5),), 1)


def test_written_rows_are_read_unchanged():
    store = BurnStore(MemoryTable())
    store.write((ROW,))
    assert store.read(600) == [ROW]
    assert store.read(900) == []


def test_repeated_write_leaves_one_row():
    store = BurnStore(MemoryTable())
    store.write((ROW,))
    store.write((ROW,))
    assert store.read(0) == [ROW]


def test_old_rows_expire():
    store = BurnStore(MemoryTable())
    newer = BurnRow(900, "a.1")
    store.write((ROW, newer))
    assert store.expire(900) == 1
    assert store.read(0) == [newer]
