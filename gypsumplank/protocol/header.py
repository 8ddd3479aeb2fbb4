"""Read and filter the HTTP header fields that the request path uses."""

import re
from collections.abc import Mapping

from gypsumplank.errors import RequestInvalidError
from gypsumplank.protocol.exchange import (
    DEFAULT_URGENCY,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_TIMEOUT_MS,
)

# RFC 9110 section 7.6.1
HOP_BY_HOP = frozenset(
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
MAX_KEY_LENGTH = 255
_KEY = rf"([!#-\[\]-~]{{1,{MAX_KEY_LENGTH}}})"
IDEMPOTENCY_KEY = re.compile(rf'{_KEY}|"{_KEY}"')
# RFC 9218 section 4.1
URGENCY = re.compile(r"(?:^|[,\s])u=([0-7])(?:$|[,;\s])")


def parse_urgency(value: str) -> int:
    """Return the urgency of a Priority field, 0 the most urgent; ignore what is malformed."""
    match = URGENCY.search(value)
    return int(match.group(1)) if match else DEFAULT_URGENCY


def parse_timeout_s(headers: Mapping[str, str], default_ms: int) -> float:
    """Return the time left in seconds; raise RequestInvalidError."""
    raw = headers.get(HEADER_TIMEOUT_MS)
    if raw is None:
        return default_ms / 1000
    if not raw.isascii() or not raw.isdigit() or not 0 < int(raw) <= MAX_TIMEOUT_MS:
        detail = f"{HEADER_TIMEOUT_MS} must be 1 to {MAX_TIMEOUT_MS}, not {raw!r}"
        raise RequestInvalidError(detail)
    return int(raw) / 1000


def parse_idempotency_key(value: str) -> str:
    """Return the key, with or without the quotes of a string field; raise RequestInvalidError."""
    match = IDEMPOTENCY_KEY.fullmatch(value)
    if match is None:
        detail = f"{HEADER_IDEMPOTENCY_KEY} must be 1 to {MAX_KEY_LENGTH} visible ASCII characters"
        raise RequestInvalidError(detail)
    return match.group(1) or match.group(2)


def end_to_end(headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
    """Return the fields without the ones that concern a single connection."""
    return tuple((name, value) for name, value in headers if name.lower() not in HOP_BY_HOP)
