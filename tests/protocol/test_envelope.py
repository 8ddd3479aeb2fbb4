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
from gypsumplank.protocol.envelope import (
    MAX_MESSAGE_BYTES,
    SENDER_STATE_TTL_S,
    MessageSigner,
    MessageVerifier,
    SignedMessage,
)
from gypsumplank.protocol.peer import Demand, Hint
from gypsumplank.state.clock import ManualClock

KEY = "sixteen-letters!"
HINT = Hint("a", 1, 5)


def make_verifier(clock=None, own="b"):
    return MessageVerifier(KEY, own, (clock or ManualClock()).monotonic)


def test_signed_message_is_accepted_once():
    signer, verifier = MessageSigner(KEY, 1), make_verifier()
    first, second = signer.sign(HINT), signer.sign(Demand("a", 1, {"quotes": 3}))
    assert verifier.verify(first) == HINT
    assert verifier.verify(second) == Demand("a", 1, {"quotes": 3})
    for raw in (first, second):
        with pytest.raises(PeerReplayedError):
            verifier.verify(raw)


def test_message_of_an_older_boot_is_refused_until_the_sender_state_expires():
    clock = ManualClock()
    verifier = make_verifier(clock)
    old, new = MessageSigner(KEY, 1), MessageSigner(KEY, 2)
    late = [old.sign(HINT) for _ in range(3)][-1]
    assert verifier.verify(new.sign(HINT)) == HINT
    with pytest.raises(PeerReplayedError):
        verifier.verify(late)
    clock.advance(SENDER_STATE_TTL_S)
    assert verifier.verify(late) == HINT


@pytest.mark.parametrize(
    ("raw", "error"),
    [
        (b"", PeerMalformedError),
        (b"\xc1", PeerMalformedError),
        (msgspec.msgpack.encode(SignedMessage(b"", b"")), PeerForgedError),
        (MessageSigner("another-key-here", 1).sign(HINT), PeerForgedError),
        (MessageSigner(KEY, 1).sign(HINT)[:-1], PeerMalformedError),
        (MessageSigner(KEY, 1).sign(HINT) + b"\x00", PeerMalformedError),
        (MessageSigner(KEY, 1).sign(HINT, "c"), PeerMisdirectedError),
        (MessageSigner(KEY, 1).sign(Hint("b", 1, 5)), PeerMisdirectedError),
        (b"\x00" * (MAX_MESSAGE_BYTES + 1), PeerTooLargeError),
    ],
)
def test_unacceptable_message_is_refused(raw, error):
    with pytest.raises(error):
        make_verifier().verify(raw)


def test_authentic_message_of_unknown_type_is_malformed():
    body = msgspec.msgpack.encode((1, 1, "", {"type": "Unheard", "sender": "a", "epoch": 1}))
    raw = msgspec.msgpack.encode(SignedMessage(envelope._tag(KEY.encode(), body), body))
    with pytest.raises(PeerMalformedError):
        make_verifier().verify(raw)


def test_too_large_message_is_not_signed():
    with pytest.raises(PeerTooLargeError):
        MessageSigner(KEY, 1).sign(Demand("a", 1, {"x" * MAX_MESSAGE_BYTES: 1}))


@given(st.binary(max_size=300))
def test_any_bytes_raise_only_peer_errors(raw):
    with pytest.raises(PeerError):
        make_verifier().verify(raw)


@given(st.data())
def test_any_modified_or_truncated_message_is_refused(data):
    raw = MessageSigner(KEY, 1).sign(HINT)
    position = data.draw(st.integers(0, len(raw) - 1))
    flip = data.draw(st.integers(1, 255))
    changed = raw[:position] + bytes([raw[position] ^ flip]) + raw[position + 1 :]
    with pytest.raises(PeerError):
        make_verifier().verify(changed)
    with pytest.raises(PeerError):
        make_verifier().verify(raw[:position])


@given(st.recursive(st.none() | st.integers(-9, 9) | st.text(max_size=3), st.lists, max_leaves=9))
def test_authentic_body_of_any_shape_raises_only_peer_errors(shape):
    body = msgspec.msgpack.encode(shape)
    raw = msgspec.msgpack.encode(SignedMessage(envelope._tag(KEY.encode(), body), body))
    with pytest.raises(PeerError):
        make_verifier().verify(raw)


DEEP_MSGPACK = b"\x91" * 20_000 + b"\x90"


def sign_body(body):
    return msgspec.msgpack.encode(SignedMessage(envelope._tag(KEY.encode(), body), body))


@pytest.mark.parametrize(
    "raw",
    [
        DEEP_MSGPACK,
        b"\x93\xc4\x00\xc4\x00" + DEEP_MSGPACK,
        sign_body(DEEP_MSGPACK),
        sign_body(b"\x95\x01\x01\xa0" + DEEP_MSGPACK + b"\x01"),
        sign_body(b"\x94\x01\x01\xa0" + DEEP_MSGPACK),
        sign_body(b"\x94\x01\x01\xa0" + msgspec.msgpack.encode({"type": "Hint", "epoch": 1})),
        sign_body(b"\x94\x01\x01\xa0\x84\xa4type\xa4Hint\xa6sender\xa2\xff\xff\xa5epoch\x01"),
        sign_body(b"\x94\x01\x01\xa0\xdf\xff\xff\xff\xff"),
        sign_body(b"\x94\xcf" + b"\xff" * 8 + b"\x01\xa0\x80"),
    ],
    ids=lambda raw: repr(raw[:12]),
)
def test_malformed_message_raises_a_peer_error(raw):
    with pytest.raises(PeerError):
        make_verifier().verify(raw)
