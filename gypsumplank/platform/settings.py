"""Decode the settings file that the platform places on each machine."""

import os
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from gypsumplank.errors import EntryInvalidError, Fault, SettingsError
from gypsumplank.protocol.decoder import Count, NonNegativeFloat, PositiveInt, decode_json
from gypsumplank.settings import check_address
from gypsumplank.state.jobrow import DEFAULT_MAX_ROW_BYTES

ENV_SETTINGS_PATH = "GYPSUMPLANK_BOOT"
MS_PER_S = 1000.0

# Bounds every setting that is a number; times are in ms or s.
MAX_SETTING = 1e9
# Assumed where the settings file gives no limit of the daemon's memory.
DEFAULT_MEMORY_MB = 1024
BYTES_PER_MB = 1 << 20
# The daemon's name is sent in headers.
NODE_NAME = re.compile(r"[!-~]{1,200}")

PositiveFloat = Annotated[float, msgspec.Meta(gt=0, le=MAX_SETTING)]


class WireListen(msgspec.Struct, rename="kebab"):
    """Store the listen addresses: `front` for callers, `ready` for readiness checks."""

    front: str
    ready: str


class WireLimits(msgspec.Struct, rename="kebab"):
    """Store resource limits; `cores` is the speed of a core relative to a reference core."""

    max_fds: PositiveInt = 1024
    cpu_share: PositiveFloat = 1.0
    cores: PositiveFloat = 1
    memory_mb: PositiveFloat = DEFAULT_MEMORY_MB


class WireBounds(msgspec.Struct, rename="kebab"):
    """Store the platform's time limits; `max-hold-ms` is the longest task lease.

    `status_s` is how long the state of an ended job must be shown.
    """

    max_hold_ms: PositiveFloat = 6000
    lease_ms: PositiveFloat = 3000
    grace_s: PositiveFloat = 6
    maintenance_s: PositiveFloat = 2
    move_s: PositiveFloat = 1.5
    status_s: PositiveFloat = msgspec.field(default=120, name="status_s")
    strict_revoke: bool = False
    revoke_ms: PositiveFloat = 5000
    config_apply_ms: PositiveFloat = 2000
    quota_overage: NonNegativeFloat = 0.0


class WireService(msgspec.Struct, rename="kebab"):
    """Store a service's address."""

    address: str


class WirePlatform(msgspec.Struct, rename="kebab"):
    """Store the platform's address, the longest value of a row in its store, and its write rates.

    The rates are of the whole store and of one partition, in transactions per second.
    """

    address: str
    row_bytes: PositiveInt = DEFAULT_MAX_ROW_BYTES
    writes_per_s: PositiveFloat | None = None
    partition_writes_per_s: PositiveFloat | None = msgspec.field(
        default=None, name="partition-writes-s"
    )


class WireSettings(msgspec.Struct, rename="kebab"):
    """Represent the settings file."""

    node: str
    ip: str
    zone: str
    listen: WireListen
    platform: WirePlatform
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    bounds: WireBounds = msgspec.field(default_factory=WireBounds)
    cloud: WireService | None = None
    hint: str | None = None
    heartbeat_ms: PositiveFloat = 1500
    port_range: tuple[Count, Count] = (7060, 7075)


@dataclass(frozen=True)
class PlatformSettings:
    """Store a daemon's settings on the platform; times in seconds, `cpu_cores` in reference cores.

    `peer_address` is where this daemon serves other daemons. `lease_handover_s` is the minimum time
    between orders for one machine by two different lease holders. `max_row_bytes` is the longest
    value of a row in the store, `status_s` how long the state of an ended job must be shown. With
    `strict_revoke`, no request sent `revoke_s` after its key was withdrawn may succeed.
    `config_apply_s` is the time within which a manifest must be in force, `quota_overage` the share
    by which a client account may exceed its cap. `partition_writes_per_s` and `store_writes_per_s`
    are None if the platform does not state them.
    """

    daemon: str
    ip: str
    zone: str
    caller_address: str
    readiness_address: str
    store_address: str
    machine_api_address: str
    advisor_address: str
    max_descriptors: int
    cpu_cores: float
    max_lease_s: float
    lease_handover_s: float
    grace_s: float
    heartbeat_s: float
    peer_address: str
    max_row_bytes: int
    status_s: float
    strict_revoke: bool
    revoke_s: float
    config_apply_s: float
    quota_overage: float
    memory_bytes: int
    store_writes_per_s: float | None
    partition_writes_per_s: float | None


def settings_path() -> Path:
    """Return the path of the settings file from the environment; raise SettingsError."""
    path = os.environ.get(ENV_SETTINGS_PATH)
    if not path:
        raise SettingsError(
            (Fault("key-missing", ENV_SETTINGS_PATH, "must be the path of the settings file"),)
        )
    return Path(path)


def load_platform_settings(path: Path) -> PlatformSettings:
    """Load the settings from a file; raise SettingsError."""
    try:
        wire = decode_json(path.read_bytes(), WireSettings)
    except OSError as exc:
        raise SettingsError((Fault("unreadable", "$", str(exc), str(path)),)) from exc
    except EntryInvalidError as exc:
        raise SettingsError((Fault("value-invalid", "$", exc.detail, str(path)),)) from exc
    if faults := list(_find_faults(wire, path)):
        raise SettingsError(faults)
    return _convert(wire)


def _peer_address(wire: WireSettings) -> str:
    return f"{wire.ip}:{wire.port_range[0]}"


def _find_faults(wire: WireSettings, path: Path) -> Iterator[Fault]:
    """Yield the values that are of the right type, but not valid."""
    addresses = {
        "listen.front": wire.listen.front,
        "listen.ready": wire.listen.ready,
        "platform.address": wire.platform.address,
        "ip": _peer_address(wire),
    }
    if wire.cloud is not None:
        addresses["cloud.address"] = wire.cloud.address
    if wire.hint:
        addresses["hint"] = wire.hint
    for key, value in addresses.items():
        if problem := check_address(value):
            yield Fault("value-invalid", key, problem, str(path))
    if not NODE_NAME.fullmatch(wire.node):
        yield Fault("value-invalid", "node", "must fit a header", str(path))


def _convert(wire: WireSettings) -> PlatformSettings:
    return PlatformSettings(
        wire.node,
        wire.ip,
        wire.zone,
        wire.listen.front,
        wire.listen.ready,
        wire.platform.address,
        wire.cloud.address if wire.cloud else "",
        wire.hint or "",
        wire.limits.max_fds,
        wire.limits.cpu_share * wire.limits.cores,
        wire.bounds.max_hold_ms / MS_PER_S,
        wire.bounds.lease_ms / MS_PER_S,
        wire.bounds.grace_s,
        wire.heartbeat_ms / MS_PER_S,
        _peer_address(wire),
        wire.platform.row_bytes,
        wire.bounds.status_s,
        wire.bounds.strict_revoke,
        wire.bounds.revoke_ms / MS_PER_S,
        wire.bounds.config_apply_ms / MS_PER_S,
        wire.bounds.quota_overage,
        int(wire.limits.memory_mb * BYTES_PER_MB),
        wire.platform.writes_per_s,
        wire.platform.partition_writes_per_s,
    )
