"""Decode the settings file that the platform places on each machine."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from gypsumplank.errors import Fault, SettingsError
from gypsumplank.settings import check_address

ENV_SETTINGS = "GYPSUMPLANK_BOOT"
MS = 1000.0

Positive = Annotated[float, msgspec.Meta(gt=0)]


class WireListen(msgspec.Struct, rename="kebab"):
    """Hold the addresses to listen at; `front` takes callers, `ready` the balancer's checks."""

    front: str
    ready: str


class WireLimits(msgspec.Struct, rename="kebab"):
    """Hold what a process may use: `cores` is how many times as fast as one a core is."""

    max_fds: int = 1024
    cpu_share: Positive = 1.0
    cores: Positive = 1


class WireBounds(msgspec.Struct, rename="kebab"):
    """Hold the platform's time bounds; `max-hold-ms` is the longest lease of a task."""

    max_hold_ms: Positive = 6000
    lease_ms: Positive = 3000
    grace_s: Positive = 6
    maintenance_s: Positive = 2
    move_s: Positive = 1.5


class WireService(msgspec.Struct, rename="kebab"):
    """Hold a service's address."""

    address: str


class WireBoot(msgspec.Struct, rename="kebab"):
    """Hold the settings file."""

    node: str
    ip: str
    zone: str
    listen: WireListen
    platform: WireService
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    bounds: WireBounds = msgspec.field(default_factory=WireBounds)
    cloud: WireService | None = None
    hint: str | None = None
    heartbeat_ms: Positive = 1500
    port_range: tuple[int, int] = (7060, 7075)


@dataclass(frozen=True)
class Boot:
    """Hold a daemon's settings on the platform; times in seconds, `speed` in cores.

    `peers` is where this daemon serves others, `handover_s` how long two holders must not both
    give orders for one machine.
    """

    daemon: str
    ip: str
    zone: str
    callers: str
    balancer: str
    store: str
    machines: str
    advice: str
    max_descriptors: int
    speed: float
    max_lease_s: float
    handover_s: float
    grace_s: float
    heartbeat_s: float
    peers: str


def settings_path() -> Path:
    """Return where the platform has placed the settings; raise SettingsError."""
    found = os.environ.get(ENV_SETTINGS)
    if not found:
        raise SettingsError((Fault("key-missing", ENV_SETTINGS, "must name a file"),))
    return Path(found)


def load_boot(path: Path) -> Boot:
    """Return the settings in a file; raise SettingsError."""
    try:
        wire = msgspec.json.decode(path.read_bytes(), type=WireBoot)
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
        Fault("value-invalid", key, wrong, str(path))
        for key, value in addresses.items()
        if (wrong := check_address(value))
    ]
    if faults:
        raise SettingsError(faults)
    return Boot(
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
        wire.bounds.max_hold_ms / MS,
        wire.bounds.lease_ms / MS,
        wire.bounds.grace_s,
        wire.heartbeat_ms / MS,
        f"{wire.ip}:{wire.port_range[0]}",
    )
