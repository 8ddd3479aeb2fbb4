"""Check the decoder, and that no other module calls msgspec's decoders."""

import ast
import math
from pathlib import Path
from typing import Any

import msgspec
import pytest

import gypsumplank
from gypsumplank.errors import MAX_DETAIL_CHARS, EntryInvalidError
from gypsumplank.protocol import decoder
from gypsumplank.protocol.decoder import (
    MAX_DEPTH,
    MAX_INT,
    Count,
    Finite,
    Int,
    convert,
    decode_any_json,
    decode_document,
    decode_json,
    decode_msgpack,
)
from tests.malformed import BAD_NUMBERS, MALFORMED_JSON

ROOT = Path(gypsumplank.__file__).parent
MODULES = sorted(path for path in ROOT.rglob("*.py") if path != Path(decoder.__file__))
DECODERS = {
    "msgspec.convert",
    "msgspec.json.decode",
    "msgspec.json.Decoder",
    "msgspec.msgpack.decode",
    "msgspec.msgpack.Decoder",
    "json.load",
    "json.loads",
}


class Entry(msgspec.Struct):
    id: str
    size: Count = 0


def names(tree):
    """Yield the dotted names that a module uses, with imported names in full."""
    imported = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            imported |= {
                alias.asname or alias.name: f"{node.module}.{alias.name}" for alias in node.names
            }
        elif isinstance(node, ast.Import):
            imported |= {alias.asname: alias.name for alias in node.names if alias.asname}
    yield from imported.values()
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute):
            first, _, rest = ast.unparse(node).partition(".")
            yield f"{imported.get(first, first)}.{rest}"


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_only_the_decoder_calls_decoders(path):
    assert not DECODERS.intersection(names(ast.parse(path.read_text(encoding="utf-8"))))


@pytest.mark.parametrize(
    "source",
    [
        "import msgspec\nmsgspec.json.decode(raw)",
        "from msgspec import json\njson.decode(raw)",
        "from msgspec.json import decode\ndecode(raw)",
        "import msgspec as m\nm.msgpack.Decoder(int)",
        "import json\njson.loads(raw)",
    ],
)
def test_each_way_to_call_a_decoder_is_found(source):
    assert DECODERS.intersection(names(ast.parse(source)))


@pytest.mark.parametrize("raw", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_json_raises_one_error_with_a_bounded_detail(raw):
    for decode in (decode_json, decode_document):
        with pytest.raises(EntryInvalidError) as caught:
            decode(raw, Entry)
        assert len(caught.value.detail) <= MAX_DETAIL_CHARS + 3


@pytest.mark.parametrize("raw", BAD_NUMBERS)
def test_number_that_is_no_count_is_refused(raw):
    with pytest.raises(EntryInvalidError):
        decode_json(raw, Count)


@pytest.mark.parametrize("value", [math.inf, -math.inf, math.nan])
def test_number_that_is_not_finite_is_refused(value):
    for decode in (
        lambda: decode_msgpack(msgspec.msgpack.encode(value), Finite),
        lambda: convert(value, Finite),
    ):
        with pytest.raises(EntryInvalidError):
            decode()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xc1",
        b"\x91" * 20_000 + b"\x90",
        b"\x82\xa2id\xa1a\xa1x" + b"\x91" * 20_000 + b"\x90",
        b"\x81\xa2id\xa2\xff\xff",
        b"\xdf\xff\xff\xff\xff",
        b"\x82\xa2id\xa1a\xa4size\xd3" + b"\xff" * 8,
    ],
    ids=lambda raw: repr(raw[:12]),
)
def test_malformed_msgpack_raises_one_error(raw):
    with pytest.raises(EntryInvalidError):
        decode_msgpack(raw, Entry)


def test_deeply_nested_value_is_not_converted():
    value: Any = []
    for _ in range(20_000):
        value = [value]
    with pytest.raises(EntryInvalidError):
        convert({"id": value}, Entry)
    with pytest.raises(EntryInvalidError):
        convert({"id": "a", "size": 10**4000}, Entry)


def test_bounds_are_included():
    assert decode_json(str(MAX_INT).encode(), Count) == MAX_INT
    assert decode_json(str(-MAX_INT).encode(), Int) == -MAX_INT


def test_document_may_be_nested_up_to_the_limit():
    deepest = b"[" * MAX_DEPTH + b"]" * MAX_DEPTH
    assert decode_document(deepest, Any) == decode_any_json(deepest)
    with pytest.raises(EntryInvalidError):
        decode_document(b"[" + deepest + b"]", Any)
    # Brackets in strings, and those side by side, do not nest.
    for raw in (b'"' + b"[" * 200 + b'\\""', b"[" + b"[]," * 200 + b"[]]"):
        assert decode_document(raw, Any) == decode_any_json(raw)
