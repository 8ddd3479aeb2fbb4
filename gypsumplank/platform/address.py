"""Parse the addresses in entries, settings and answers of the platform."""

import ipaddress

from gypsumplank.errors import EntryInvalidError

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of `ip:port`; raise EntryInvalidError if none can exist."""
    host, _, digits = address.rpartition(":")
    try:
        found = ipaddress.ip_address(host.strip("[]"))
    except ValueError as exc:
        raise EntryInvalidError(f"{address[:60]!r} is not an IP address and port") from exc
    is_port = digits.isascii() and digits.isdigit() and len(digits) <= MAX_PORT_DIGITS
    if not is_port or not 0 < int(digits) <= MAX_PORT:
        raise EntryInvalidError(f"{address[:60]!r} has no port of 1 to {MAX_PORT}")
    is_scoped = isinstance(found, ipaddress.IPv6Address) and found.scope_id is not None
    is_reserved = isinstance(found, ipaddress.IPv4Address) and found.is_reserved
    if found.is_unspecified or found.is_multicast or is_scoped or is_reserved:
        raise EntryInvalidError(f"{address[:60]!r} is not the address of a host")
    return host, int(digits)
