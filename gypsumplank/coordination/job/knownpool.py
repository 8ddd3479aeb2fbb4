"""Tell which pools of machines there are, also if the newest manifest lacks their services."""

from collections.abc import Iterable

from gypsumplank.protocol.queue import Machine, Manifest


class KnownPools:
    """Remember which pool is on standby."""

    def __init__(self) -> None:
        self._standby: str | None = None

    def find_standby(self, manifest: Manifest) -> str | None:
        """Return the standby pool; a manifest that lacks its service has not ended it."""
        named = next((policy.name for policy in manifest.services.values() if policy.standby), None)
        if named is not None or self._standby in manifest.services:
            self._standby = named
        return self._standby


def find_services(
    manifest: Manifest, loads: Iterable[str], machines: Iterable[Machine]
) -> frozenset[str]:
    """Return the services whose pools are planned: those of queues, and those of open jobs."""
    pools = {machine.pool for machine in machines}
    return frozenset(queue.service for queue in manifest.queues) | (pools & set(loads))
