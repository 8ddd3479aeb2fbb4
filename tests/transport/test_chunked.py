"""Test the decoder of chunked bodies, beside that of waitress where both accept the input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from waitress.buffers import OverflowableBuffer
from waitress.receiver import ChunkedReceiver

from gypsumplank.transport.chunked import (
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    BoundedChunkedReceiver,
)

LIMIT = 1 << 20
NEXT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def feed(receiver, wire, sizes):
    """Return the body and what is left, as the parser passes pieces of these sizes."""
    pos, sizes = 0, iter(sizes)
    while pos < len(wire) and not receiver.completed and receiver.error is None:
        piece = wire[pos : pos + next(sizes, len(wire))]
        pos += receiver.received(piece)
    return receiver.getfile().read(), wire[pos:]


def encode(chunks, extension, trailer):
    lines = (b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk) for chunk in chunks)
    return b"".join(lines) + b"0\r\n" + trailer + b"\r\n"


@given(
    chunks=st.lists(st.binary(min_size=1, max_size=30), max_size=12),
    extension=st.sampled_from([b"", b";a", b";a=b", b';a="b;c"']),
    trailer=st.sampled_from([b"", b"X-Sum: 1\r\n", b"X-Sum: 1\r\nX-More: 2\r\n"]),
    sizes=st.lists(st.integers(1, 40)),
)
def test_body_is_that_of_waitress_however_it_is_split(chunks, extension, trailer, sizes):
    """Guard against a boundary of a read that changes the body or eats the next request."""
    wire = encode(chunks, extension, trailer) + NEXT_REQUEST
    receiver = BoundedChunkedReceiver(OverflowableBuffer(LIMIT), LIMIT)
    assert feed(receiver, wire, sizes) == (b"".join(chunks), NEXT_REQUEST)
    assert receiver.completed
    reference = ChunkedReceiver(OverflowableBuffer(LIMIT))
    assert feed(reference, wire, [len(wire)]) == (b"".join(chunks), NEXT_REQUEST)


@pytest.mark.parametrize(
    ("wire", "code"),
    [
        (b"1;" + b"x" * MAX_CHUNK_LINE_BYTES, 400),
        (b"1;a=" + b"x" * 500 + b"\r\ny\r\n", 400),
        (b"\r\n", 400),
        (b"-1\r\n", 400),
        (b"g\r\n", 400),
        (b"1\nx\r\n", 400),
        (b"1\n\r\nx\r\n", 400),
        (b"1;a\n\r\nx\r\n", 400),
        (b"1;\x00\r\n", 400),
        (b"1\r\nxy\r\n", 400),
        (b"f" * 30 + b"\r\n", 413),
        (b"80\r\n" + b"x" * 128 + b"\r\n", 413),
        (b"0\r\n" + b"x" * (MAX_TRAILER_BYTES + 1), 431),
    ],
)
@pytest.mark.parametrize("size", [1, 7, 1 << 20])
def test_malformed_or_endless_input_is_refused(wire, code, size):
    """Guard against lines without end, and chunks that two parsers would read differently."""
    receiver = BoundedChunkedReceiver(OverflowableBuffer(LIMIT), 100)
    feed(receiver, wire * 50, [size] * (50 * len(wire)))
    assert receiver.error is not None
    assert receiver.error.code == code


def test_chunks_of_one_read_are_appended_at_once():
    """Guard against work per chunk in the buffer, which made 60 bodies take seconds."""
    appended = []

    class Buffer(OverflowableBuffer):
        def append(self, content):
            appended.append(content)

    BoundedChunkedReceiver(Buffer(LIMIT), LIMIT).received(b"1\r\nx\r\n" * 1000)
    assert appended == [b"x" * 1000]
