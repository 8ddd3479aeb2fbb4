"""Remember which needs fit on no worker of a group, within one scheduling round."""

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.protocol.job import Resources


class CandidateGroup:
    """Hold the workers of one service that have one label, for one round.

    `unplaceable` lists needs that fit on none of them. Free resources only shrink while tasks are
    placed, so equal or larger needs won't fit either. `unplaceable_gangs` likewise lists gangs:
    their need, their size and their limit of tasks on one worker, 0 for none.
    """

    def __init__(self, instances: list[WorkerInstance], now: float) -> None:
        self.instances = instances
        self.not_suspect = [each for each in instances if not each.is_suspect(now)] or instances
        self.not_suspect_by_id = {each.id: each for each in self.not_suspect}
        self.unplaceable: list[Resources] = []
        self.unplaceable_gangs: list[tuple[Resources, int, int]] = []
        # The largest free amount of each resource on any worker; None if it has changed.
        self.most_free: Resources | None = None

    def is_unplaceable(self, need: Resources) -> bool:
        """Return whether a need is known to fit on no worker."""
        return any(need.can_fit(unplaceable) for unplaceable in self.unplaceable)

    def is_gang_unplaceable(self, need: Resources, size: int, per_worker: int) -> bool:
        """Return whether a gang is known not to fit, as one that asks for no more does not."""
        return any(
            need.can_fit(other_need)
            and size >= other_size
            and (not other_per_worker or 0 < per_worker <= other_per_worker)
            for other_need, other_size, other_per_worker in self.unplaceable_gangs
        )
