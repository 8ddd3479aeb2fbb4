import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.errors import RecordsError
from gypsumplank.protocol import record
from gypsumplank.protocol.record import Kind, Record, pack_records, unpack_records


def test_packed_records_are_unpacked_unchanged():
    records = (Record(Kind.POOL, "a", 2, {"x": 1}, "team"), Record(Kind.TEAM, "b", 1))
    assert unpack_records(pack_records(records)) == records


@pytest.mark.parametrize("raw", [b"", b"x", zlib.compress(b"{}"), pack_records(())[:-6]])
def test_malformed_bytes_are_refused(raw):
    with pytest.raises(RecordsError):
        unpack_records(raw)


def test_unpacked_size_is_limited(monkeypatch):
    monkeypatch.setattr(record, "MAX_UNPACKED_BYTES", 1000)
    with pytest.raises(RecordsError):
        unpack_records(zlib.compress(b" " * 10_000 + b"[]"))


@given(st.binary(max_size=100))
def test_any_bytes_raise_only_records_errors(raw):
    with pytest.raises(RecordsError):
        unpack_records(raw)
