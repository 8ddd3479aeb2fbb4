"""Provide malformed values as another writer may leave them in a row or send them."""

import json
import math

import msgspec
from hypothesis import strategies as st

# JSON that no decoder may accept for a structure; each costs only itself.
MALFORMED_JSON = {
    "empty": b"",
    "nul": b"\x00",
    "invalid-utf8": b'{"id":"\xff\xfe"}',
    "truncated": b'{"id":',
    "array": b"[]",
    "null": b"null",
    "deep-array": b"[" * 20_000 + b"]" * 20_000,
    "deep-object": b'{"a":' * 20_000 + b"1" + b"}" * 20_000,
    "deep-unknown-field": b'{"unknown":' + b"[" * 2_000 + b"]" * 2_000 + b"}",
    "long-number": b"9" * 5_000,
    "infinite": b"1e999",
    "nan": b"NaN",
    "megabytes": b'"' + b"x" * ((1 << 20) - 2) + b'"',  # the longest row
}

# JSON numbers that no count may have.
BAD_NUMBERS = [b"9" * 5_000, b"9" * 4_000, b"1e999", b"1e300", b"-1", b"true", b"NaN", b'"1"']

IMPOSSIBLE_ADDRESSES = [
    "",
    ":",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:65536",
    "10.0.0.1:70000",
    "10.0.0.1:" + "9" * 5_000,
    "10.0.0.1:8_0",
    "10.0.0.1: 80",
    "10.0.0.1:\u0668\u0660",
    "10.0.0.1:80\0",
    "10.0.0.256:80",
    "10.0.0:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "[::]:80",
    "[fe80::1%\0]:80",
    "\0:80",
    "a\nb:80",
    "x" * 1_000_000 + ":80",
]


def with_fields(value, **fields):
    """Return the JSON of a structure with some fields replaced by raw JSON."""
    wire = msgspec.to_builtins(value)
    assert isinstance(wire, dict)
    marked = wire | {name.replace("__", "-"): f"\0{name}" for name in fields}
    raw = msgspec.json.encode(marked)
    for name, replacement in fields.items():
        raw = raw.replace(json.dumps(f"\0{name}").encode(), replacement)
    return raw


# Raw JSON that replaces a part of a well-formed document.
MALFORMED_PARTS = [
    b"[" * 2_000 + b"]" * 2_000,
    b"[" * 20_000 + b"]" * 20_000,
    b'{"a":' * 20_000 + b"1" + b"}" * 20_000,
    b"9" * 5_000,
    b"9" * 4_000,
    b"-" + b"9" * 400,
    b"18446744073709551616",
    b"1e999",
    b"1e308",
    b"-1e308",
    b"NaN",
    b"Infinity",
    b"0",
    b"-1",
    b"1.5",
    b"true",
    b"null",
    b'""',
    b'"\\u0000"',
    b'"\\ud800"',
    b'"\xff\xfe"',
    b"\x00",
    b"[]",
    b"[null]",
    b"{}",
    b'"' + b"x" * 100_000 + b'"',
    *(json.dumps(address).encode() for address in IMPOSSIBLE_ADDRESSES[:-1]),
]


def paths(value, path=()):
    """Yield the path of each part of a document."""
    yield path
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, child in items:
            yield from paths(child, (*path, key))


def replaced(value, path, part):
    """Return a document with one part replaced."""
    if not path:
        return part
    children = dict(value.items() if isinstance(value, dict) else enumerate(value))
    children[path[0]] = replaced(children.get(path[0], {}), path[1:], part)
    return children if isinstance(value, dict) else list(children.values())


def removed(value, path):
    """Return a document without one of its parts."""
    parent = value
    for key in path[:-1]:
        parent = parent[key]
    if isinstance(parent, dict):
        kept = {key: child for key, child in parent.items() if key != path[-1]}
    else:
        kept = [child for index, child in enumerate(parent) if index != path[-1]]
    return replaced(value, path[:-1], kept)


@st.composite
def mutations(draw, value):
    """Draw the JSON of a document with one part replaced, removed, added or damaged."""
    document = msgspec.to_builtins(value)
    path = draw(st.sampled_from(list(paths(document))))
    part = draw(st.sampled_from(MALFORMED_PARTS))
    kind = draw(st.sampled_from(["replace", "replace", "remove", "add", "bytes"]))
    if kind == "remove" and path:
        return msgspec.json.encode(removed(document, path))
    if kind == "add" and isinstance(document, dict):
        return msgspec.json.encode({**document, "unknown": msgspec.Raw(part)})
    if kind == "bytes":
        return draw(damaged(msgspec.json.encode(document)))
    return msgspec.json.encode(replaced(document, path, msgspec.Raw(part)))


@st.composite
def packed_mutations(draw, value):
    """Draw the MessagePack of a document with one part replaced, removed or damaged."""
    path = draw(st.sampled_from(list(paths(value))))
    part = draw(st.sampled_from(MALFORMED_MSGPACK))
    kind = draw(st.sampled_from(["replace", "replace", "remove", "bytes"]))
    if kind == "remove" and path:
        return msgspec.msgpack.encode(removed(value, path))
    if kind == "bytes":
        return draw(damaged(msgspec.msgpack.encode(value)))
    return msgspec.msgpack.encode(replaced(value, path, msgspec.Raw(part)))


MALFORMED_MSGPACK = [
    b"\x91" * 2_000 + b"\x90",
    b"\x91" * 20_000 + b"\x90",
    b"\x81\xa1a" * 20_000 + b"\x01",
    b"\xcf" + b"\xff" * 8,
    b"\xd3\x80" + b"\x00" * 7,
    msgspec.msgpack.encode(math.inf),
    msgspec.msgpack.encode(math.nan),
    msgspec.msgpack.encode(-1.0),
    b"\xa2\xff\xfe",
    b"\xa1\x00",
    b"\xc0",
    b"\xc1",
    b"\xc3",
    b"\xdf\xff\xff\xff\xff",
    b"\xdd\xff\xff\xff\xff",
    b"\xd6\xff\x00\x00\x00\x00",
    msgspec.msgpack.encode("\U0010ffff"),
    msgspec.msgpack.encode("x" * 100_000),
    msgspec.msgpack.encode(b"\x00" * 100_000),
]


@st.composite
def damaged(draw, raw):
    """Draw bytes that are cut, or have some bytes replaced by others."""
    first = draw(st.integers(0, len(raw)))
    inserted = draw(
        st.sampled_from([b"", b"\x00", b"\xff", b"\xff\xfe", b'"', b"\\", b"[" * 5_000])
    )
    end = draw(st.sampled_from([first, first + 1, len(raw)]))
    return raw[:first] + inserted + raw[end:]
