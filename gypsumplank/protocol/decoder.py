"""Decode JSON and MessagePack from outside; no other module calls msgspec's decoders."""

import re
import sys
from collections.abc import Callable
from functools import lru_cache
from itertools import accumulate
from typing import Annotated, Any, TypeVar

import msgspec

from gypsumplank.errors import EntryInvalidError

# Largest integer that all JSON implementations represent exactly (RFC 8259 section 6).
MAX_INT = 2**53 - 1
MAX_CACHED_DECODERS = 128
# Deepest nesting of a document; an encoder that is called from deeper in the program has room.
MAX_DEPTH = 64
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
BRACKET = re.compile(rb"[][{}]")

Int = Annotated[int, msgspec.Meta(ge=-MAX_INT, le=MAX_INT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0, le=MAX_INT)]
# The bounds reject infinities and NaN, which MessagePack can carry.
Finite = Annotated[float, msgspec.Meta(ge=-sys.float_info.max, le=sys.float_info.max)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]
NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]

# A value nested too deeply raises RecursionError; the others are subclasses of ValueError.
DECODE_ERRORS = (ValueError, OverflowError, RecursionError)

T = TypeVar("T")


def decode_json(raw: bytes, kind: type[T]) -> T:
    """Decode JSON; raise EntryInvalidError."""
    decoded: T = _decode(_json_decoder, raw, kind)
    return decoded


def decode_document(raw: bytes, kind: type[T]) -> T:
    """Decode JSON with parts of any structure that are encoded again; raise EntryInvalidError."""
    if raw.count(b"[") + raw.count(b"{") > MAX_DEPTH and _depth(raw) > MAX_DEPTH:
        raise EntryInvalidError(f"nested deeper than {MAX_DEPTH}")
    return decode_json(raw, kind)


def _depth(raw: bytes) -> int:
    brackets = BRACKET.findall(STRING.sub(b"", raw))
    return max(accumulate(1 if bracket in b"[{" else -1 for bracket in brackets), default=0)


def decode_any_json(raw: bytes) -> Any:
    """Decode JSON of any structure; raise EntryInvalidError."""
    return _decode(_json_decoder, raw, Any)


def decode_msgpack(raw: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode MessagePack; raise EntryInvalidError."""
    decoded: T = _decode(_msgpack_decoder, raw, kind)
    return decoded


def convert(value: Any, kind: type[T]) -> T:
    """Convert decoded JSON to a type; raise EntryInvalidError."""
    try:
        return msgspec.convert(value, kind)
    except DECODE_ERRORS as exc:
        raise EntryInvalidError(str(exc)) from exc


def _decode(decoder_of: Callable[[Any], Any], raw: bytes | msgspec.Raw, kind: Any) -> Any:
    try:
        return decoder_of(kind).decode(raw)
    except DECODE_ERRORS as exc:
        raise EntryInvalidError(str(exc)) from exc


@lru_cache(MAX_CACHED_DECODERS)
def _json_decoder(kind: Any) -> Any:
    return msgspec.json.Decoder(kind)


@lru_cache(MAX_CACHED_DECODERS)
def _msgpack_decoder(kind: Any) -> Any:
    return msgspec.msgpack.Decoder(kind)
