"""Check what is learned about disturbance between images, and where tasks are placed for it."""

import itertools
import math
import random
from dataclasses import replace

import pytest

from gypsumplank.coordination.job.disturbance import PERIOD_S, PERIODS, TailHistory
from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.interference import (
    HALF_LIFE_S,
    MAX_IMAGES,
    MAX_SHOWN_PAIRS,
    Effect,
    Interference,
)
from gypsumplank.coordination.job.neighbour import TailSample
from gypsumplank.coordination.job.separation import first_spare
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import RunningTask, WorkerEntry, WorkerState
from tests.coordination.job.colocation import ColocationReplay

HARM = {("web", "encode"): 2.2, ("web", "index"): 1.5, ("api", "scan"): 2.0}
BEST_EFFORT = ("encode", "index", "scan", "mild")
NOW = 1000.0


def learned(interference):
    return {(each.image, each.neighbour): each.ratio for each in interference.slowdowns}


def feed(interference, rng, slowdown, *, periods=PERIODS, noise=0.2, tasks=8, start=NOW, **sample):
    """Add samples of tasks that run beside each of two images, or neither, for half of the time."""
    for step, task in itertools.product(range(int(periods * PERIOD_S)), range(tasks)):
        neighbours = {
            image
            for position, image in enumerate(("harm", "mild"))
            if (step // 6 + task // (position + 1)) % 2
        }
        tail_ms = 50 * math.exp(rng.gauss(0, noise)) * (1 + 0.1 * task)
        tail_ms *= slowdown if "harm" in neighbours else 1.0
        tail_ms *= 1.5 + math.sin(step / 8)  # the load of all tasks changes
        if rng.random() < 0.02:
            tail_ms *= 20
        each = TailSample("web", f"t{task}", int(tail_ms), frozenset(neighbours), **sample)
        interference._add(each, start + step)
    return interference


@pytest.mark.parametrize("seed", range(5))
def test_harmful_image_is_learned_and_harmless_one_is_not(seed, caplog):
    caplog.set_level("INFO")
    interference = feed(Interference(), random.Random(seed), 1.8, periods=3 * PERIODS)
    assert set(learned(interference)) == {("web", "harm")}
    assert learned(interference)["web", "harm"] == pytest.approx(1.8, rel=0.2)
    assert [each.msg for each in caplog.records].count("disturbance-learned") == 1


@pytest.mark.parametrize("seed", range(10))
def test_noise_yields_no_pair(seed):
    interference = feed(Interference(), random.Random(seed), 1.0, periods=5 * PERIODS)
    assert not learned(interference)
    assert not interference.costs("web", NOW)


def test_few_samples_yield_no_estimate():
    assert not learned(feed(Interference(), random.Random(0), 3.0, periods=2))
    few_tasks = feed(Interference(), random.Random(0), 3.0, periods=20, tasks=1)
    assert not learned(few_tasks)


def test_harmless_samples_of_throttled_image_do_not_lower_its_effect():
    interference = feed(Interference(), random.Random(1), 1.8, periods=2 * PERIODS)
    before = learned(interference)["web", "harm"]
    for throttled in ({"harm"}, {"harm", "mild"}):
        start = NOW + 3 * PERIODS * PERIOD_S
        feed(interference, random.Random(2), 1.0, start=start, throttled=frozenset(throttled))
        # The only change is the decay with time.
        assert learned(interference)["web", "harm"] > 0.95 * before


def test_image_that_turned_harmless_is_forgotten():
    interference = feed(Interference(), random.Random(1), 1.8, periods=2 * PERIODS)
    start = NOW + 3 * PERIODS * PERIOD_S
    feed(interference, random.Random(2), 1.0, periods=3 * PERIODS, start=start)
    assert not learned(interference)


def test_effect_decays_and_is_forgotten():
    interference = feed(Interference(), random.Random(1), 1.8, periods=2 * PERIODS)
    end = NOW + 2 * PERIODS * PERIOD_S
    (before,) = interference.costs("harm", end).values()
    (later,) = interference.costs("harm", end + HALF_LIFE_S).values()
    assert later == pytest.approx(before / 2, rel=0.05)
    assert not interference.costs("harm", end + 10 * HALF_LIFE_S)
    assert not interference.slowdowns


def test_memory_is_bounded_by_images():
    interference = Interference()
    for number in range(3 * MAX_IMAGES):
        image, neighbour = f"s{number}", f"n{number}"
        interference._add(TailSample(image, "t", 50, frozenset({neighbour})), NOW + number)
        interference._effects[image][neighbour] = Effect(1.0, NOW)
    interference._update_costs(NOW)
    assert len(interference._images) == MAX_IMAGES
    assert len(interference._histories) <= MAX_IMAGES
    assert 0 < len(interference.slowdowns) <= MAX_SHOWN_PAIRS
    assert f"s{3 * MAX_IMAGES - 1}" in interference._images
    history = TailHistory()
    for number in range(10_000):
        history.add(TailSample("s", f"t{number}", 50, frozenset({f"n{number}"})), NOW + number / 10)
    assert sum(len(cells) for _, cells in history._periods) <= 32 * PERIODS


def test_pair_needs_confirmation(monkeypatch):
    estimates = iter([{"n": 1.0}, {"n": 0.0}, {"n": 1.0}, {}, {"n": 1.0}])
    path = "gypsumplank.coordination.job.interference.estimate_effects"
    monkeypatch.setattr(path, lambda _rows, _known: next(estimates))
    interference, found = Interference(), []
    for number in range(5):
        sample = TailSample("s", "t", 50, frozenset({"n"}))
        interference._add(sample, NOW + number * PERIOD_S)
        found.append(bool(learned(interference)))
    assert found == [False, False, False, False, True]


@pytest.mark.parametrize("load", [-5, 0, 10**300, 2**53])
def test_unusable_figures_are_not_sampled(load):
    replay = ColocationReplay(0, 2, {})
    replay.serve("web", 2)
    replay.run(5)
    (instance,) = [each for each in replay.scheduler.instances.values() if each.tasks][:1]
    running = [RunningTask(task.name, task.run, "", 100, load) for task in instance.tasks.values()]
    sampler = replay.scheduler.interference._sampler
    assert sampler.samples(instance, running, replay.clock.monotonic())
    for task in instance.tasks.values():
        task.load = load
    assert not sampler.samples(instance, running, replay.clock.monotonic())
    assert not sampler.samples(instance, [RunningTask("x", 1)], replay.clock.monotonic())


def play(seed, is_learning):
    replay = ColocationReplay(seed, 12, HARM, is_learning=is_learning)
    replay.serve("web", 6)
    replay.serve("api", 6)
    replay.run(5)
    replay.run_with_arrivals(240, BEST_EFFORT, 1.0)
    return replay


@pytest.mark.parametrize("seed", range(4))
def test_tail_is_over_target_less_often_and_no_start_is_delayed(seed):
    without, with_feature = play(seed, False), play(seed, True)
    assert with_feature.over_target <= 2 / 3 * without.over_target
    assert with_feature.starts == without.starts
    assert set(learned(with_feature.scheduler.interference)) <= set(HARM)


def test_placement_is_unchanged_without_free_capacity():
    replays = []
    for is_learning in (False, True):
        replay = ColocationReplay(3, 4, HARM, is_learning=is_learning, room=Resources(16_000, 9000))
        effects = replay.scheduler.interference._effects
        effects["web"]["encode"] = effects["api"]["scan"] = Effect(1.0, NOW)
        replay.scheduler.interference._update_costs(NOW)
        replay.serve("web", 2)
        replay.serve("api", 2)
        replay.run(1)
        replay.fill("large", 12, 10.0)
        replay.run_with_arrivals(60, BEST_EFFORT, 0.4)
        replays.append(replay)
    without, with_feature = replays
    assert sum(with_feature.starts) > 20
    assert with_feature.starts == without.starts
    assert with_feature.places == without.places


@pytest.mark.parametrize("seed", range(3))
def test_mixed_sizes_start_as_without_the_feature(seed):
    """Guard against a large task that waits as smaller ones were spread to avoid neighbours."""
    starts, places = [], []
    for is_learning in (False, True):
        replay = ColocationReplay(seed, 12, HARM, is_learning=is_learning)
        interference = replay.scheduler.interference
        for image, neighbour in HARM:
            interference._effects[image][neighbour] = Effect(1.0, NOW)
        interference._update_costs(NOW)
        interference.observe = lambda *_: None
        replay.serve("web", 6, cpu=4000)
        replay.serve("api", 6, cpu=4000)
        replay.run(5)
        for _ in range(480):
            if replay.draw.random() < 0.1:
                cpu = replay.draw.choice([500, 1000, 2000, 4000, 8000, 12_000])
                image, run_s = replay.draw.choice(BEST_EFFORT), replay.draw.uniform(5, 20)
                if replay.draw.random() < 0.5:
                    replay.fill(image, 2, run_s)
                else:
                    replay.batch(image, replay.draw.randint(1, 4), cpu, run_s)
            replay.step()
        starts.append(replay.starts)
        places.append(replay.places)
    assert starts[0] == starts[1]
    assert places[0] != places[1]


def make_instance(name, labels=("a", "r")):
    entry = WorkerEntry(name, "s", "w:80", "z", WorkerState.READY, Resources(8000, 8000), labels)
    return WorkerInstance(entry, 1, WorkerClock())


def test_worker_is_chosen_for_less_disturbance_only_with_capacity_to_spare():
    preferred, better, other = (make_instance(name) for name in "abc")
    need, ranked = Resources(1000, 1000), [better, preferred]
    free = {"a": need, "b": Resources(2000, 2000), "c": Resources(2000, 2000)}

    def choose(instances, free):
        return first_spare(ranked, preferred, instances, free, need)

    assert choose([preferred, better, other], free) is better
    assert choose([preferred, better], free) is preferred
    assert choose([preferred, better, other], {**free, "b": Resources(1500, 2000)}) is preferred
    labelled = replace(better.entry, labels=("fast", "r"))
    better.entry = labelled
    assert choose([preferred, better, other], free) is preferred
