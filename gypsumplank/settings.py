"""Read the daemon's settings from JSON with comments and check every key."""

import ipaddress
from collections.abc import Callable, Iterator, Mapping
from dataclasses import MISSING, dataclass, field, fields
from pathlib import Path
from typing import Any

import msgspec
import pyjson5

from gypsumplank.errors import Fault, SettingsError

MAX_PORT = 65_535
LOG_FORMATS = ("logfmt", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")
ROLES = ("viewer", "operator")
SHA256_HEX_LENGTH = 64
MIN_SECRET_LENGTH = 16

Check = Callable[[Any], str | None]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_address(value: str) -> str | None:
    """Return what is wrong with an `ip:port`, or None."""
    try:
        host, port = split_address(value)
        ipaddress.ip_address(host)
    except ValueError:
        return f"{value!r} is not an IP number and a port, as in 10.0.0.1:8080"
    return None if 0 < port <= MAX_PORT else f"port {port} is not 1 to {MAX_PORT}"


def check_addresses(values: tuple[str, ...]) -> str | None:
    """Return what is wrong with the first wrong address of a list, or None."""
    return next(filter(None, map(check_address, values)), None)


def check_secret(value: str) -> str | None:
    """Return what is wrong with a shared secret, or None."""
    long_enough = len(value) >= MIN_SECRET_LENGTH
    return None if long_enough else f"must have at least {MIN_SECRET_LENGTH} characters"


def check_positive(value: float) -> str | None:
    """Return what is wrong with a number that must exceed 0, or None."""
    return None if value > 0 else f"{value} is not above 0"


def check_not_empty(value: Any) -> str | None:
    """Return what is wrong with a value that must not be empty, or None."""
    return None if value else "must not be empty"


def one_of(choices: tuple[str, ...]) -> Check:
    """Return a check that a value is one of the choices."""
    return lambda value: None if value in choices else f"{value!r} is not one of {choices}"


@dataclass(frozen=True)
class Token:
    """Hold an operator's role and the SHA-256 of the bearer token, in hexadecimal."""

    name: str
    role: str
    sha256: str


def check_tokens(tokens: tuple[Token, ...]) -> str | None:
    """Return what is wrong with a list of tokens, or None."""
    for token in tokens:
        if token.role not in ROLES:
            return f"role {token.role!r} of {token.name!r} is not one of {ROLES}"
        if len(token.sha256) != SHA256_HEX_LENGTH:
            return f"sha256 of {token.name!r} is not {SHA256_HEX_LENGTH} hexadecimal digits"
    return None


def key(path: str, doc: str, default: Any = MISSING, check: Check | None = None) -> Any:
    """Return a data class field for the settings key at this path."""
    metadata = {"path": path, "doc": doc, "check": check}
    return field(default=default, metadata=metadata)


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Hold the daemon's settings; the fields are the reference of all keys."""

    id: str = key("daemon.id", "name of this daemon, unique among all", check=check_not_empty)
    zone: str = key("daemon.zone", "availability zone of this host", check=check_not_empty)
    callers: str = key("listen.callers", "address for callers", check=check_address)
    operators: str = key("listen.operators", "address for operators", check=check_address)
    peers: str = key("listen.peers", "address for other daemons", check=check_address)
    platform: str = key(
        "platform.address", "address of the platform's services", check=check_address
    )
    platform_timeout_s: float = key(
        "platform.timeout_s", "longest wait for one platform call, seconds", 2.0, check_positive
    )
    peer_key: str = key(
        "security.peer_key",
        "secret shared by all daemons, authenticates peers, at least 16 characters",
        check=check_secret,
    )
    peer_seeds: tuple[str, ...] = key(
        "peers.seeds", "peer addresses to try while the platform is out", (), check_addresses
    )
    tokens: tuple[Token, ...] = key(
        "security.tokens", "operators' bearer tokens; none lets every operator in", (), check_tokens
    )
    poll_s: float = key("config.poll_s", "time between polls, seconds", 0.5, check_positive)
    heartbeat_s: float = key(
        "session.heartbeat_s", "time between heartbeats, seconds", 1.0, check_positive
    )
    lease_s: float = key("session.lease_s", "life of a session, seconds", 5.0, check_positive)
    step_s: float = key(
        "fleet.step_s", "time between rounds of drains and waves, seconds", 1.0, check_positive
    )
    lease_margin_s: float = key(
        "fleet.lease_margin_s",
        "wait beyond session.lease_s before a daemon counts as lapsed, seconds",
        2.0,
        check_positive,
    )
    planner_s: float = key(
        "fleet.planner_s", "time between rounds of the planner, seconds", 5.0, check_positive
    )
    planner_acts: bool = key(
        "fleet.planner_acts", "whether the planner makes the moves it suggests", False, None
    )
    threads: int = key("limits.threads", "requests carried at once", 128, check_positive)
    max_body_bytes: int = key(
        "limits.max_body_bytes", "largest request body, bytes", 1 << 20, check_positive
    )
    waiting: int = key(
        "limits.waiting", "requests of one service that may wait", 256, check_positive
    )
    daemons: int = key("limits.daemons", "daemons that may be live at once", 8, check_positive)
    connect_timeout_s: float = key(
        "limits.connect_timeout_s", "longest wait to connect to an endpoint", 1.0, check_positive
    )
    keep_claims_s: float = key(
        "claims.keep_s", "time that replies to idempotency keys are kept", 86_400.0, check_positive
    )
    notice_s: float = key(
        "stop.notice_s", "time that listeners stay open after not ready, seconds", 2.0, None
    )
    grace_s: float = key(
        "stop.grace_s", "longest wait for requests in flight at a stop", 60.0, check_positive
    )
    log_format: str = key("log.format", "logfmt or json", "logfmt", one_of(LOG_FORMATS))
    log_level: str = key("log.level", "least level that is logged", "info", one_of(LOG_LEVELS))


def _leaves(raw: Any, prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, value in raw.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from _leaves(value, f"{path}.")
        else:
            yield path, value


def _convert(value: Any, spec: Any) -> tuple[Any, str | None]:
    try:
        found = msgspec.convert(value, spec.type)
    except msgspec.ValidationError as exc:
        return None, str(exc)
    check = spec.metadata["check"]
    return found, check(found) if check else None


def parse_settings(raw: Any, source: str = "") -> Settings:
    """Return settings from decoded JSON; raise SettingsError with every fault."""
    if not isinstance(raw, Mapping):
        raise SettingsError((Fault("not-an-object", "$", "settings are a JSON object", source),))
    specs = {spec.metadata["path"]: spec for spec in fields(Settings)}
    leaves = dict(_leaves(raw))
    faults = [
        Fault("key-unknown", path, "no such key", source) for path in leaves if path not in specs
    ]
    values = {}
    for path, spec in specs.items():
        if path not in leaves:
            if spec.default is MISSING:
                faults.append(Fault("key-missing", path, "must be set", source))
            continue
        values[spec.name], wrong = _convert(leaves[path], spec)
        if wrong:
            faults.append(Fault("value-invalid", path, wrong, source))
    if faults:
        raise SettingsError(faults)
    return Settings(**values)


def read_json(path: Path) -> Any:
    """Return the content of a file of JSON with comments; raise SettingsError."""
    try:
        return pyjson5.decode(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError((Fault("unreadable", "$", str(exc), str(path)),)) from exc
    except pyjson5.Json5Exception as exc:
        raise SettingsError((Fault("not-json", "$", str(exc), str(path)),)) from exc


def load_settings(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsError."""
    return parse_settings(read_json(path), str(path))
