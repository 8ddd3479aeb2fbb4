"""Provide malformed values as another writer may leave them in a row or send them."""

import json

import msgspec

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
