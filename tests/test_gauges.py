from dataclasses import fields

from gypsumplank.gauges import GAUGES, Levels, add_gauges


class FakeMetrics:
    def __init__(self):
        self.read = {}

    def gauge(self, name, _unit, _description, read):
        self.read[name] = read


def test_every_level_has_its_own_gauge():
    names = [spec.name for spec in fields(Levels)]
    assert set(names) == set(GAUGES)
    metrics = FakeMetrics()
    add_gauges(metrics, Levels(*(lambda number=n: number for n in range(len(names)))))
    found = {name: read()[0].value for name, read in metrics.read.items()}
    assert found == {GAUGES[name].name: number for number, name in enumerate(names)}
