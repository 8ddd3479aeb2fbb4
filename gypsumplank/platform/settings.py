"""Decode the settings file that the platform places on each machine."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from gypsumplank.errors import Fault, SettingsError
from gypsumplank.settings import check_address
from gypsumplank.state.job import DEFAULT_MAX_ROW_BYTES

ENV_SETTINGS_PATH = "GYPSUMPLANK_BOOT"
MS_PER_S = 1000.0

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]


class WireListen(msgspec.Struct, rename="kebab"):
    """Store the listen addresses: `front` for callers, `ready` for readiness checks."""

    front: str
    ready: str


class WireLimits(msgspec.Struct, rename="kebab"):
    """Store resource limits; `cores` is the speed of a core relative to a reference core."""

    max_fds: int = 1024
    cpu_share: PositiveFloat = 1.0
    cores: PositiveFloat = 1


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


class WireService(msgspec.Struct, rename="kebab"):
    """Store a service's address."""

    address: str


class WirePlatform(msgspec.Struct, rename="kebab"):
    """Store the platform's address, and the longest value of a row in its store."""

    address: str
    row_bytes: PositiveInt = DEFAULT_MAX_ROW_BYTES


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
    port_range: tuple[int, int] = (7060, 7075)


@dataclass(frozen=True)
class PlatformSettings:
    """Store a daemon's settings on the platform; times in seconds, `cpu_cores` in reference cores.

    `peer_address` is where this daemon serves other daemons. `lease_handover_s` is the minimum time
    between orders for one machine by two different lease holders. `max_row_bytes` is the longest
    value of a row in the store, `status_s` how long the state of an ended job must be shown.
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
        wire = msgspec.json.decode(path.read_bytes(), type=WireSettings)
    except OSError as exc:
        raise SettingsError((Fault("unreadable", "$", str(exc), str(path)),)) from exc
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise SettingsError((Fault("value-invalid", "$", str(exc), str(path)),)) from exc
    addresses = {
        "listen.front": wire.listen.front,
        "listen.ready": wire.listen.ready,
        "platform.address": wire.platform.address,
    }
    faults = [
        Fault("value-invalid", key, problem, str(path))
        for key, value in addresses.items()
        if (problem := check_address(value))
    ]
    if faults:
        raise SettingsError(faults)
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
        f"{wire.ip}:{wire.port_range[0]}",
        wire.platform.row_bytes,
        wire.bounds.status_s,
    )
