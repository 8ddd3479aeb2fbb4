"""Test the simulation of days of traffic."""

from dataclasses import replace

import pytest

from bench.days import GROWING_FIGURES, Simulation, format_table, growth, play, plot

HOUR = 1 / 24


@pytest.fixture(scope="module")
def hour():
    (sample,) = play(HOUR, seed=3)
    return sample


def test_hour_of_traffic_with_churn_loses_and_repeats_nothing(hour):
    assert hour.jobs > 10
    assert (hour.lost, hour.failed, hour.broken) == (0, 0, 0)
    assert hour.completed <= hour.jobs


def test_same_seed_gives_the_same_days(hour):
    (again,) = play(HOUR, seed=3)
    host = {"memory_mb": 0.0, "descriptors": 0}
    assert replace(again, **host) == replace(hour, **host)


def test_job_that_is_not_completed_in_time_counts_as_lost():
    simulation = Simulation(1)
    simulation.events = lambda: iter(())
    simulation.submit()
    for worker in simulation.workers.workers.values():
        worker.reachable = False
    simulation.run(simulation.now + 300.0)
    assert simulation.sample().lost == 1


def test_growth_compares_the_last_quarter_with_the_second(hour):
    samples = [replace(hour, rows=10 * (1 + number // 4)) for number in range(16)]
    assert growth(samples, "rows") == 1.0
    assert growth([hour] * 16, "rows") == 0.0


def test_report_has_a_line_for_each_sample_and_a_plot(hour, tmp_path):
    assert len(list(format_table([hour, hour]))) == 3
    path = tmp_path / "days.svg"
    plot([hour, hour], path)
    assert all(figure in path.read_text() for figure in GROWING_FIGURES)
