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
COUNT_PATTERN = re.compile(r"[0-9]{1,15}")
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
    timeout_ms = parse_count(raw)
    if timeout_ms is None or not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        detail = f"{HEADER_TIMEOUT_MS} must be 1 to {MAX_TIMEOUT_MS}, not {raw[:MAX_KEY_CHARS]!r}"
        raise RequestInvalidError(detail)
    return timeout_ms / 1000


def parse_count(raw: str) -> int | None:
    """Return a number of a header or query, None if it is not 1 to 15 ASCII digits."""
    return int(raw) if COUNT_PATTERN.fullmatch(raw) else None


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
