"""Parse and filter the HTTP header fields of requests."""

import re
from collections.abc import Mapping

from gypsumplank.errors import RequestInvalidError
from gypsumplank.protocol.exchange import (
    DEFAULT_URGENCY,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_TIMEOUT_MS,
)

# RFC 9110 section 7.6.1
HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
MAX_TIMEOUT_MS = 3_600_000
MAX_KEY_CHARS = 255
_KEY_PATTERN = rf"([!#-\[\]-~]{{1,{MAX_KEY_CHARS}}})"
IDEMPOTENCY_KEY_PATTERN = re.compile(rf'{_KEY_PATTERN}|"{_KEY_PATTERN}"')
# RFC 9218 section 4.1
URGENCY_PATTERN = re.compile(r"(?:^|[,\s])u=([0-7])(?:$|[,;\s])")


def parse_urgency(value: str) -> int:
    """Return the urgency of a Priority field, 0 the most urgent; ignore malformed values."""
    match = URGENCY_PATTERN.search(value)
    return int(match.group(1)) if match else DEFAULT_URGENCY


def parse_timeout_s(headers: Mapping[str, str], default_ms: int) -> float:
    """Return the request's timeout in seconds; raise RequestInvalidError."""
    raw = headers.get(HEADER_TIMEOUT_MS)
    if raw is None:
        return default_ms / 1000
    if not raw.isascii() or not raw.isdigit() or not 0 < int(raw) <= MAX_TIMEOUT_MS:
        detail = f"{HEADER_TIMEOUT_MS} must be 1 to {MAX_TIMEOUT_MS}, not {raw!r}"
        raise RequestInvalidError(detail)
    return int(raw) / 1000


def parse_idempotency_key(value: str) -> str:
    """Return the key, with or without the quotes of a string field; raise RequestInvalidError."""
    match = IDEMPOTENCY_KEY_PATTERN.fullmatch(value)
    if match is None:
        detail = f"{HEADER_IDEMPOTENCY_KEY} must be 1 to {MAX_KEY_CHARS} visible ASCII characters"
        raise RequestInvalidError(detail)
    return match.group(1) or match.group(2)


def drop_hop_by_hop(headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
    """Return the header fields without the hop-by-hop ones."""
    return tuple((name, value) for name, value in headers if name.lower() not in HOP_BY_HOP_FIELDS)
