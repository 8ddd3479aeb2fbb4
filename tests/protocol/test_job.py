"""Test that the encoding of jobs in rows stays that of earlier versions."""

import msgspec
import pytest

from gypsumplank.errors import EntryInvalidError
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.state.jobrow import decode, order_write

# A row that was written while Resources was a data class.
OLD_ROW = (
    b'{"id":"a","queue":"q","service":"s","accepted_ms":5,"order":{"spec":"x","steps":[{"tasks":2,'
    b'"need":{"cpu":1000,"memory_mb":0,"accelerators":1},"estimate_ms":0,"after":[],"checkpoints":'
    b'false,"gang":false,"same_rack":false,"label":"","preferred_rack":"","max_per_worker":0,'
    b'"speculative":false,"lasting":false,"image":"","tail_target_ms":0,"fills":false,"may_miss":'
    b'0}],"schedule":{"count":0,"first_ms":0,"interval_ms":0}},"account":"acc"}'
)


def test_row_of_an_earlier_version_is_read_and_written_alike():
    """Another encoding would lose the jobs of an earlier version in a take-over."""
    steps = (StepDefinition(2, Resources(1000, 0, 1)),)
    job = StoredJob("a", "q", "s", 5, JobDefinition("x", steps), "acc")
    assert decode(OLD_ROW, StoredJob) == job
    assert order_write(job).value == OLD_ROW


def test_resources_of_rows_are_checked_as_before():
    """A negative or fractional amount of a malformed row would count as free capacity."""
    assert decode(b'{"cpu":3,"later":1}', Resources) == Resources(3, 0, 0)
    for raw in (b'{"cpu":-1}', b'{"memory_mb":1.5}', b"[1,2,3]", b'{"cpu":null}'):
        with pytest.raises(EntryInvalidError):
            decode(raw, Resources)
    assert msgspec.msgpack.encode(Resources(1)) == msgspec.msgpack.encode(
        {"cpu": 1, "memory_mb": 0, "accelerators": 0}
    )
