"""Load the daemon's settings from JSON with comments and validate every key."""

import ipaddress
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import MISSING, dataclass, field, fields
from pathlib import Path
from typing import Any

import pyjson5

from gypsumplank.errors import MAX_DETAIL_CHARS, EntryInvalidError, Fault, SettingsError
from gypsumplank.protocol.decoder import convert

MAX_PORT = 65_535
MAX_ADDRESS_CHARS = 60
PORT = re.compile(r"[0-9]{1,5}")
# Bounds every setting that is a number; times are in seconds.
MAX_NUMBER = 1e9
LOG_FORMATS = ("logfmt", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")
ROLES = ("viewer", "operator")
SHA256_HEX_DIGITS = 64
MIN_SECRET_CHARACTERS = 16

Validator = Callable[[Any], str | None]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of `ip:port`; raise EntryInvalidError."""
    host, _, port = address.rpartition(":")
    if not PORT.fullmatch(port) or not address.isprintable():
        raise EntryInvalidError("not printable, or the port is not 1 to 5 digits")
    return host.strip("[]"), int(port)


def check_address(value: str) -> str | None:
    """Return why a value is not a valid `ip:port`, or None."""
    try:
        host, port = split_address(value)
        ipaddress.ip_address(host)
    except (ValueError, EntryInvalidError):
        shown = value[:MAX_ADDRESS_CHARS]
        return f"{shown!r} is not an IP address and port such as 10.0.0.1:8080"
    return None if 0 < port <= MAX_PORT else f"port {port} is not 1 to {MAX_PORT}"


def check_host_address(value: str) -> str | None:
    """Return why no host can be called at a value, or None."""
    if problem := check_address(value):
        return problem
    host = ipaddress.ip_address(split_address(value)[0])
    is_scoped = isinstance(host, ipaddress.IPv6Address) and host.scope_id is not None
    is_reserved = isinstance(host, ipaddress.IPv4Address) and host.is_reserved
    if host.is_unspecified or host.is_multicast or is_scoped or is_reserved:
        return f"{value!r} is not the address of a host"
    return None


def check_addresses(values: tuple[str, ...]) -> str | None:
    """Return why the first invalid address of a list is invalid, or None."""
    return next(filter(None, map(check_address, values)), None)


def check_secret(value: str) -> str | None:
    """Return why a shared secret is invalid, or None."""
    long_enough = len(value) >= MIN_SECRET_CHARACTERS
    return None if long_enough else f"must have at least {MIN_SECRET_CHARACTERS} characters"


def check_positive(value: float) -> str | None:
    """Return an error unless the number is greater than 0 and at most MAX_NUMBER."""
    return None if 0 < value <= MAX_NUMBER else f"{value} is not 0 to {MAX_NUMBER:g}, or is 0"


def check_not_empty(value: Any) -> str | None:
    """Return an error if the value is empty, else None."""
    return None if value else "must not be empty"


def one_of(choices: tuple[str, ...]) -> Validator:
    """Return a validator that accepts only the given choices."""
    return lambda value: None if value in choices else f"{value!r} is not one of {choices}"


@dataclass(frozen=True)
class Token:
    """Store an operator's role and the SHA-256 of the bearer token in hexadecimal."""

    name: str
    role: str
    sha256: str


def check_tokens(tokens: tuple[Token, ...]) -> str | None:
    """Return why a list of tokens is invalid, or None."""
    for token in tokens:
        if token.role not in ROLES:
            return f"role {token.role!r} of {token.name!r} is not one of {ROLES}"
        if len(token.sha256) != SHA256_HEX_DIGITS:
            return f"sha256 of {token.name!r} is not {SHA256_HEX_DIGITS} hexadecimal digits"
    return None


def setting(path: str, doc: str, default: Any = MISSING, check: Validator | None = None) -> Any:
    """Return a data class field for the settings key at this dotted path."""
    metadata = {"path": path, "doc": doc, "check": check}
    return field(default=default, metadata=metadata)


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Store the daemon's settings; the reference page of all keys is generated from the fields."""

    id: str = setting("daemon.id", "unique name of this daemon", check=check_not_empty)
    zone: str = setting("daemon.zone", "availability zone of this host", check=check_not_empty)
    callers: str = setting("listen.callers", "address for callers", check=check_address)
    operators: str = setting("listen.operators", "address for operators", check=check_address)
    peers: str = setting("listen.peers", "address for other daemons", check=check_address)
    platform: str = setting(
        "platform.address", "address of the platform's services", check=check_address
    )
    platform_timeout_s: float = setting(
        "platform.timeout_s", "timeout of one platform call, seconds", 2.0, check_positive
    )
    peer_key: str = setting(
        "security.peer_key",
        "secret shared by all daemons, authenticates peers, at least 16 characters",
        check=check_secret,
    )
    peer_seeds: tuple[str, ...] = setting(
        "peers.seeds",
        "peer addresses to try while the platform is unavailable",
        (),
        check_addresses,
    )
    tokens: tuple[Token, ...] = setting(
        "security.tokens",
        "operators' bearer tokens; an empty list admits every operator",
        (),
        check_tokens,
    )
    poll_s: float = setting("config.poll_s", "time between polls, seconds", 0.5, check_positive)
    heartbeat_s: float = setting(
        "session.heartbeat_s", "time between heartbeats, seconds", 1.0, check_positive
    )
    lease_s: float = setting("session.lease_s", "TTL of a session, seconds", 5.0, check_positive)
    step_s: float = setting(
        "fleet.step_s", "time between steps of drains and waves, seconds", 1.0, check_positive
    )
    lease_margin_s: float = setting(
        "fleet.lease_margin_s",
        "time beyond session.lease_s before a daemon's session counts as expired, seconds",
        2.0,
        check_positive,
    )
    planner_s: float = setting(
        "fleet.planner_s", "time between runs of the planner, seconds", 5.0, check_positive
    )
    planner_acts: bool = setting(
        "fleet.planner_acts", "whether the planner carries out the moves it proposes", False, None
    )
    threads: int = setting("limits.threads", "requests handled concurrently", 128, check_positive)
    max_body_bytes: int = setting(
        "limits.max_body_bytes", "largest request body, bytes", 1 << 20, check_positive
    )
    memory_mb: int = setting(
        "limits.memory_mb",
        "memory for this process, MiB, at most the host's; bounds the two limits of requests",
        1 << 20,
        check_positive,
    )
    incomplete_bytes: int = setting(
        "limits.incomplete_bytes",
        "memory for incomplete requests of all connections; beyond it the slowest are refused",
        64 << 20,
        check_positive,
    )
    complete_bytes: int = setting(
        "limits.complete_bytes",
        "memory for complete requests; beyond it new requests with a body are refused",
        256 << 20,
        check_positive,
    )
    max_header_bytes: int = setting(
        "limits.max_header_bytes", "longest headers of a request, bytes", 16_384, check_positive
    )
    header_timeout_s: float = setting(
        "limits.header_timeout_s", "timeout to receive headers, seconds", 3.0, check_positive
    )
    body_timeout_s: float = setting(
        "limits.body_timeout_s",
        "timeout to receive a request with its body, seconds",
        60.0,
        check_positive,
    )
    idle_timeout_s: float = setting(
        "limits.idle_timeout_s",
        "time without a request after which a connection may make room for others, seconds",
        15.0,
        check_positive,
    )
    waiting: int = setting(
        "limits.waiting", "longest queue of requests of one service", 256, check_positive
    )
    daemons: int = setting(
        "limits.daemons", "largest number of daemons live at once", 8, check_positive
    )
    connect_timeout_s: float = setting(
        "limits.connect_timeout_s",
        "timeout to connect to an endpoint, seconds",
        1.0,
        check_positive,
    )
    keep_claims_s: float = setting(
        "claims.keep_s",
        "retention of replies to idempotency keys, seconds",
        86_400.0,
        check_positive,
    )
    notice_s: float = setting(
        "stop.notice_s",
        "time that listeners stay open after reporting not ready, seconds",
        2.0,
        None,
    )
    grace_s: float = setting(
        "stop.grace_s", "timeout for requests in flight at a stop, seconds", 60.0, check_positive
    )
    log_format: str = setting("log.format", "logfmt or json", "logfmt", one_of(LOG_FORMATS))
    log_level: str = setting(
        "log.level", "minimum level that is logged", "info", one_of(LOG_LEVELS)
    )


def _flatten(raw: Any, prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, value in raw.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from _flatten(value, f"{path}.")
        else:
            yield path, value


def _convert(value: Any, spec: Any) -> tuple[Any, str | None]:
    try:
        converted = convert(value, spec.type)
    except EntryInvalidError as exc:
        return None, str(exc)
    check = spec.metadata["check"]
    return converted, check(converted) if check else None


def parse_settings(raw: Any, source: str = "") -> Settings:
    """Return settings from decoded JSON; raise SettingsError listing every fault."""
    if not isinstance(raw, Mapping):
        raise SettingsError(
            (Fault("not-an-object", "$", "settings must be a JSON object", source),)
        )
    fields_by_path = {spec.metadata["path"]: spec for spec in fields(Settings)}
    flat = dict(_flatten(raw))
    faults = [
        Fault("key-unknown", path[:MAX_DETAIL_CHARS], "unknown key", source)
        for path in flat
        if path not in fields_by_path
    ]
    values = {}
    for path, spec in fields_by_path.items():
        if path not in flat:
            if spec.default is MISSING:
                faults.append(Fault("key-missing", path, "must be set", source))
            continue
        values[spec.name], error = _convert(flat[path], spec)
        if error:
            faults.append(Fault("value-invalid", path, error, source))
    if faults:
        raise SettingsError(faults)
    return Settings(**values)


def read_json(path: Path) -> Any:
    """Return the decoded content of a file of JSON with comments; raise SettingsError."""
    try:
        return pyjson5.decode(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError((Fault("unreadable", "$", str(exc), str(path)),)) from exc
    except (pyjson5.Json5Exception, ValueError, RecursionError) as exc:
        detail = str(exc)[:MAX_DETAIL_CHARS]
        raise SettingsError((Fault("not-json", "$", detail, str(path)),)) from exc


def load_settings(path: Path) -> Settings:
    """Load the settings from a file; raise SettingsError."""
    return parse_settings(read_json(path), str(path))
