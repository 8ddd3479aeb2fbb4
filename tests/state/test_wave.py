import pytest

from gypsumplank.errors import StateConflictError
from gypsumplank.state.table import ABSENT, MemoryTable
from gypsumplank.state.wave import RunState, WaveRun, WaveStore


def test_run_is_read_back_and_a_concurrent_write_conflicts():
    store = WaveStore(MemoryTable())
    assert store.find("w") is None
    run = WaveRun("w", 2, RunState.RUNNING, 5.0, "ann")
    row = store.put(run, ABSENT)
    assert (run.id, store.find("w"), store.all()) == ("w#2", row, {"w": row})
    with pytest.raises(StateConflictError):
        store.put(run, ABSENT)
    assert store.put(run, row.version).fence.version > row.version
