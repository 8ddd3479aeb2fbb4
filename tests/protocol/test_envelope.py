import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.errors import (
    PeerError,
    PeerForgedError,
    PeerMalformedError,
    PeerMisdirectedError,
    PeerReplayedError,
    PeerTooLargeError,
)
from gypsumplank.protocol import envelope
from gypsumplank.protocol.envelope import FORGET_S, MAX_MESSAGE_BYTES, Opener, Sealed, Sealer
from gypsumplank.protocol.peer import Demand, Hint
from gypsumplank.state.clock import ManualClock

KEY = "sixteen-letters!"
HINT = Hint("a", 1, 5)


def opener(clock=None, own="b"):
    return Opener(KEY, own, (clock or ManualClock()).monotonic)


def test_sealed_message_opens_once():
    sealer, held = Sealer(KEY, 1), opener()
    first, second = sealer.seal(HINT), sealer.seal(Demand("a", 1, {"quotes": 3}))
    assert held.open(first) == HINT
    assert held.open(second) == Demand("a", 1, {"quotes": 3})
    for raw in (first, second):
        with pytest.raises(PeerReplayedError):
            held.open(raw)


def test_newer_boot_replaces_older_for_good():
    clock = ManualClock()
    held = opener(clock)
    old, new = Sealer(KEY, 1), Sealer(KEY, 2)
    late = [old.seal(HINT) for _ in range(3)][-1]
    assert held.open(new.seal(HINT)) == HINT
    with pytest.raises(PeerReplayedError):
        held.open(late)
    clock.advance(FORGET_S)
    assert held.open(late) == HINT


@pytest.mark.parametrize(
    ("raw", "error"),
    [
        (b"", PeerMalformedError),
        (b"\xc1", PeerMalformedError),
        (msgspec.msgpack.encode(Sealed(b"", b"")), PeerForgedError),
        (Sealer("another-key-here", 1).seal(HINT), PeerForgedError),
        (Sealer(KEY, 1).seal(HINT)[:-1], PeerMalformedError),
        (Sealer(KEY, 1).seal(HINT) + b"\x00", PeerMalformedError),
        (Sealer(KEY, 1).seal(HINT, "c"), PeerMisdirectedError),
        (Sealer(KEY, 1).seal(Hint("b", 1, 5)), PeerMisdirectedError),
        (b"\x00" * (MAX_MESSAGE_BYTES + 1), PeerTooLargeError),
    ],
)
def test_unacceptable_is_refused(raw, error):
    with pytest.raises(error):
        opener().open(raw)


def test_authentic_message_of_unknown_kind_is_malformed():
    body = msgspec.msgpack.encode((1, 1, "", {"type": "Unheard", "sender": "a", "epoch": 1}))
    raw = msgspec.msgpack.encode(Sealed(envelope._tag(KEY.encode(), body), body))
    with pytest.raises(PeerMalformedError):
        opener().open(raw)


def test_too_large_is_not_sealed():
    with pytest.raises(PeerTooLargeError):
        Sealer(KEY, 1).seal(Demand("a", 1, {"x" * MAX_MESSAGE_BYTES: 1}))


@given(st.binary(max_size=300))
def test_any_bytes_raise_only_peer_errors(raw):
    with pytest.raises(PeerError):
        opener().open(raw)


@given(st.data())
def test_any_changed_or_cut_message_is_refused(data):
    raw = Sealer(KEY, 1).seal(HINT)
    place = data.draw(st.integers(0, len(raw) - 1))
    flip = data.draw(st.integers(1, 255))
    changed = raw[:place] + bytes([raw[place] ^ flip]) + raw[place + 1 :]
    with pytest.raises(PeerError):
        opener().open(changed)
    with pytest.raises(PeerError):
        opener().open(raw[:place])


@given(st.recursive(st.none() | st.integers(-9, 9) | st.text(max_size=3), st.lists, max_leaves=9))
def test_authentic_body_of_any_shape_raises_only_peer_errors(shape):
    body = msgspec.msgpack.encode(shape)
    raw = msgspec.msgpack.encode(Sealed(envelope._tag(KEY.encode(), body), body))
    with pytest.raises(PeerError):
        opener().open(raw)
