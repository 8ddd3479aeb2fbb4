"""Tell which pools of machines there are, also if the newest manifest lacks their services."""

from collections.abc import Iterable

from gypsumplank.protocol.queue import Machine, Manifest


def find_services(
    manifest: Manifest, loads: Iterable[str], machines: Iterable[Machine]
) -> frozenset[str]:
    """Return the services whose pools are planned: those of queues, and those of open jobs."""
    pools = {machine.pool for machine in machines}
    return frozenset(queue.service for queue in manifest.queues) | (pools & set(loads))
