"""Seal the messages between daemons with a keyed hash and open only authentic ones."""

import hmac
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import reduce
from operator import or_
from typing import Any

import msgspec

from gypsumplank.errors import (
    PeerForgedError,
    PeerMalformedError,
    PeerMisdirectedError,
    PeerReplayedError,
    PeerTooLargeError,
)
from gypsumplank.protocol.peer import PeerMessage

DIGEST = "sha256"
EVERYONE = ""
MAX_MESSAGE_BYTES = 4 << 20
FORGET_S = 60.0


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Hold a message with what orders it; `boot` is the sender's start, `sequence` rises."""

    boot: int
    sequence: int
    recipient: str
    message: msgspec.Raw


class Sealed(msgspec.Struct, frozen=True, array_like=True):
    """Hold an encoded envelope and the keyed hash over it."""

    tag: bytes
    body: bytes


@dataclass(frozen=True)
class Heard:
    """Hold the newest envelope opened from one sender; `at` in monotonic seconds."""

    boot: int
    sequence: int
    at: float


class Sealer:
    """Seal messages in rising order."""

    def __init__(self, key: str, boot: int) -> None:
        self._key = key.encode()
        self._boot = boot
        self._lock = threading.Lock()
        self._sequence = 0

    def seal(self, message: PeerMessage, recipient: str = EVERYONE) -> bytes:
        """Return the bytes to send; raise PeerTooLargeError."""
        raw = msgspec.Raw(msgspec.msgpack.encode(message))
        with self._lock:
            self._sequence += 1
            envelope = Envelope(self._boot, self._sequence, recipient, raw)
        body = msgspec.msgpack.encode(envelope)
        sealed = msgspec.msgpack.encode(Sealed(_tag(self._key, body), body))
        _check_size(sealed)
        return sealed


class Opener:
    """Open each authentic message once."""

    def __init__(self, key: str, own: str, monotonic: Callable[[], float]) -> None:
        self._key = key.encode()
        self._own = own
        self._monotonic = monotonic
        self._heard: dict[str, Heard] = {}
        kinds: Any = reduce(or_, PeerMessage.__subclasses__())
        self._decoder = msgspec.msgpack.Decoder(kinds)

    def open(self, raw: bytes) -> PeerMessage:
        """Return the message in received bytes; raise PeerError where it is not acceptable."""
        _check_size(raw)
        try:
            sealed = msgspec.msgpack.decode(raw, type=Sealed)
        except msgspec.MsgspecError as exc:
            raise PeerMalformedError(str(exc)) from exc
        if not hmac.compare_digest(sealed.tag, _tag(self._key, sealed.body)):
            raise PeerForgedError("the keyed hash does not match")
        try:
            envelope = msgspec.msgpack.decode(sealed.body, type=Envelope)
            message: PeerMessage = self._decoder.decode(envelope.message)
        except msgspec.MsgspecError as exc:
            raise PeerMalformedError(str(exc)) from exc
        if message.sender == self._own or envelope.recipient not in (EVERYONE, self._own):
            raise PeerMisdirectedError(f"from {message.sender!r} to {envelope.recipient!r}")
        self._check_fresh(message.sender, envelope)
        return message

    def _check_fresh(self, sender: str, envelope: Envelope) -> None:
        now = self._monotonic()
        last = self._heard.get(sender)
        place = (envelope.boot, envelope.sequence)
        if last and now - last.at < FORGET_S and place <= (last.boot, last.sequence):
            raise PeerReplayedError(f"from {sender!r}: {envelope.boot}/{envelope.sequence}")
        self._heard[sender] = Heard(envelope.boot, envelope.sequence, now)


def _tag(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, DIGEST)


def _check_size(raw: bytes) -> None:
    if len(raw) > MAX_MESSAGE_BYTES:
        raise PeerTooLargeError(f"{len(raw)} bytes exceed {MAX_MESSAGE_BYTES}")
