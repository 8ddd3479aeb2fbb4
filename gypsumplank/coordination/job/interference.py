"""Learn from workers' reports which images slow each other down, and what a placement would cost.

Answers best-effort and serving tasks that disturb serving tasks on the same worker by amounts that
differ by image. Kept in the leader's memory and learned anew after a take-over.
"""

import logging
import math
from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from gypsumplank.coordination.job.disturbance import MIN_EFFECT, TailHistory, estimate_effects
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.neighbour import NeighbourSampler, TailSample
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.log import Event, event

# Images that are remembered; the least recently seen goes first.
MAX_IMAGES = 64
# Time in which a learned effect that is not seen again falls to a half, seconds; separated tasks
# give no samples, and images are replaced by newer ones within hours.
HALF_LIFE_S = 600.0
# Effect below which a pair is forgotten; half of what is recognised, so that one estimate near the
# limit does not make a pair come and go.
MIN_KEPT_EFFECT = MIN_EFFECT / 2
# Periods that must show a new pair, without one between that shows it to be harmless, before it is
# recognised; of noise that one shows by chance, the next ones show less.
CONFIRMATIONS = 2
# Weight of a new estimate against the earlier one.
NEW_WEIGHT = 0.5
# Time after which the costs are computed again although nothing was learned, seconds.
COSTS_MAX_AGE_S = 10.0
# Pairs shown in the metrics, the strongest ones.
MAX_SHOWN_PAIRS = 100

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Effect:
    """Store a logarithmic slowdown, learned at a monotonic time."""

    value: float
    learned_at: float

    def at(self, now: float) -> float:
        """Return the effect as decayed until now."""
        return self.value * 0.5 ** (max(0.0, now - self.learned_at) / HALF_LIFE_S)


@dataclass(frozen=True)
class Slowdown:
    """Describe by what ratio an image's tail latency is higher beside a neighbour's image."""

    image: str
    neighbour: str
    ratio: float


class Interference:
    """Learn slowdowns by pair of images; used by the scheduler's thread.

    `slowdowns` may be read by any thread; it is replaced as a whole.
    """

    def __init__(self) -> None:
        self._sampler = NeighbourSampler()
        self._images: OrderedDict[str, None] = OrderedDict()
        self._histories: dict[str, TailHistory] = {}
        # By slowed image, then by neighbour.
        self._effects: defaultdict[str, dict[str, Effect]] = defaultdict(dict)
        # By slowed image and neighbour, how many periods have shown a pair that is not recognised.
        self._candidates: defaultdict[str, dict[str, int]] = defaultdict(dict)
        self._costs: dict[str, dict[str, float]] = {}
        self._costs_valid_until = math.inf
        self.slowdowns: tuple[Slowdown, ...] = ()

    def observe(self, instance: WorkerInstance, received: ReceivedReport) -> None:
        """Learn from a report that was just applied to the worker's tasks."""
        at = received.answered_at
        for sample in self._sampler.samples(instance, received.report.running, at):
            self._add(sample, at)

    def costs(self, image: str, now: float) -> Mapping[str, float]:
        """Return by other image how much a task of an image slows it and is slowed by it.

        The unit is the logarithm of the ratio; images without a learned effect are left out.
        """
        if now >= self._costs_valid_until:
            self._update_costs(now)
        return self._costs.get(image, {})

    def _add(self, sample: TailSample, now: float) -> None:
        for image in (*sample.neighbours, sample.image):
            self._images[image] = None
            self._images.move_to_end(image)
        while len(self._images) > MAX_IMAGES:
            self._forget(next(iter(self._images)))
        if sample.image not in self._images:
            return
        history = self._histories.setdefault(sample.image, TailHistory())
        if history.add(sample, now):
            self._learn(sample.image, history, now)

    def _forget(self, image: str) -> None:
        del self._images[image]
        self._histories.pop(image, None)
        self._effects.pop(image, None)
        self._candidates.pop(image, None)
        for by_neighbour in self._effects.values():
            by_neighbour.pop(image, None)
        for candidates in self._candidates.values():
            candidates.pop(image, None)
        self._costs_valid_until = -math.inf

    def _learn(self, image: str, history: TailHistory, now: float) -> None:
        effects = self._effects[image]
        known = {neighbour: effect.at(now) for neighbour, effect in effects.items()}
        estimates = estimate_effects(history.rows(known, now), known)
        candidates = self._candidates[image]
        for neighbour, estimate in estimates.items():
            if neighbour not in self._images:
                continue
            if neighbour in known:
                value = (1 - NEW_WEIGHT) * known[neighbour] + NEW_WEIGHT * estimate
                effects[neighbour] = Effect(value, now)
            elif estimate >= MIN_EFFECT:
                candidates[neighbour] = candidates.get(neighbour, 0) + 1
                if candidates[neighbour] < CONFIRMATIONS:
                    continue
                del candidates[neighbour]
                effects[neighbour] = Effect(estimate, now)
                event(
                    logger,
                    Event.DISTURBANCE_LEARNED,
                    image=image,
                    neighbour=neighbour,
                    ratio=round(math.exp(estimate), 2),
                )
            else:
                candidates.pop(neighbour, None)
        if effects:
            self._update_costs(now)

    def _update_costs(self, now: float) -> None:
        costs: defaultdict[str, dict[str, float]] = defaultdict(dict)
        slowdowns = []
        for image, effects in self._effects.items():
            for neighbour, effect in list(effects.items()):
                value = effect.at(now)
                if value < MIN_KEPT_EFFECT:
                    del effects[neighbour]
                    continue
                slowdowns.append(Slowdown(image, neighbour, math.exp(value)))
                # An image that slows itself has one cost, any other pair one for each direction.
                for one, other in {(image, neighbour), (neighbour, image)}:
                    costs[one][other] = costs[one].get(other, 0.0) + value
        slowdowns.sort(key=lambda each: -each.ratio)
        self.slowdowns = tuple(slowdowns[:MAX_SHOWN_PAIRS])
        self._costs = dict(costs)
        self._costs_valid_until = now + COSTS_MAX_AGE_S if costs else math.inf
