"""Authenticate messages between daemons with an HMAC and reject forged or replayed ones."""

import hmac
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import reduce
from operator import or_
from typing import Any

import msgspec

from gypsumplank.errors import (
    EntryInvalidError,
    PeerForgedError,
    PeerMalformedError,
    PeerMisdirectedError,
    PeerReplayedError,
    PeerTooLargeError,
)
from gypsumplank.protocol.decoder import Count, decode_msgpack
from gypsumplank.protocol.peer import PeerMessage

HMAC_DIGEST = "sha256"
BROADCAST = ""
MAX_MESSAGE_BYTES = 4 << 20
SENDER_STATE_TTL_S = 60.0


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Represent an ordered message; an empty `recipient` addresses all daemons.

    `boot` is the sender's start in microseconds since the epoch; `sequence` counts its messages.
    """

    boot: Count
    sequence: Count
    recipient: str
    message: msgspec.Raw


class SignedMessage(msgspec.Struct, frozen=True, array_like=True):
    """Represent an encoded envelope and its HMAC tag."""

    tag: bytes
    body: bytes


@dataclass(frozen=True)
class LastAccepted:
    """Represent the newest envelope accepted from a sender; `at` is in monotonic seconds."""

    boot: int
    sequence: int
    at: float


class MessageSigner:
    """Sign messages and number them in increasing order."""

    def __init__(self, key: str, boot: int) -> None:
        self._key = key.encode()
        self._boot = boot
        self._lock = threading.Lock()
        self._sequence = 0

    def sign(self, message: PeerMessage, recipient: str = BROADCAST) -> bytes:
        """Return the signed message as bytes to send; raise PeerTooLargeError."""
        raw = msgspec.Raw(msgspec.msgpack.encode(message))
        with self._lock:
            self._sequence += 1
            envelope = Envelope(self._boot, self._sequence, recipient, raw)
        body = msgspec.msgpack.encode(envelope)
        signed = msgspec.msgpack.encode(SignedMessage(_tag(self._key, body), body))
        _check_size(signed)
        return signed


class MessageVerifier:
    """Verify messages and accept each authentic one once."""

    def __init__(self, key: str, own: str, monotonic: Callable[[], float]) -> None:
        self._key = key.encode()
        self._own = own
        self._monotonic = monotonic
        self._last_accepted: dict[str, LastAccepted] = {}
        self._message_types: Any = reduce(or_, PeerMessage.__subclasses__())

    def verify(self, raw: bytes) -> PeerMessage:
        """Return the message in received bytes; raise PeerError if it is not acceptable."""
        _check_size(raw)
        try:
            signed = decode_msgpack(raw, SignedMessage)
        except EntryInvalidError as exc:
            raise PeerMalformedError(exc.detail) from exc
        if not hmac.compare_digest(signed.tag, _tag(self._key, signed.body)):
            raise PeerForgedError("the HMAC tag does not match")
        try:
            envelope = decode_msgpack(signed.body, Envelope)
            message: PeerMessage = decode_msgpack(envelope.message, self._message_types)
        except EntryInvalidError as exc:
            raise PeerMalformedError(exc.detail) from exc
        if message.sender == self._own or envelope.recipient not in (BROADCAST, self._own):
            raise PeerMisdirectedError(f"from {message.sender!r} to {envelope.recipient!r}")
        self._reject_replay(message.sender, envelope)
        return message

    def _reject_replay(self, sender: str, envelope: Envelope) -> None:
        now = self._monotonic()
        last = self._last_accepted.get(sender)
        position = (envelope.boot, envelope.sequence)
        if last and now - last.at < SENDER_STATE_TTL_S and position <= (last.boot, last.sequence):
            raise PeerReplayedError(f"from {sender!r}: {envelope.boot}/{envelope.sequence}")
        self._last_accepted[sender] = LastAccepted(envelope.boot, envelope.sequence, now)


def _tag(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, HMAC_DIGEST)


def _check_size(raw: bytes) -> None:
    if len(raw) > MAX_MESSAGE_BYTES:
        raise PeerTooLargeError(f"{len(raw)} bytes exceed {MAX_MESSAGE_BYTES}")
