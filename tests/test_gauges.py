"""Test that every gauge reads its own value."""

from dataclasses import fields

from gypsumplank.gauges import GAUGES, GaugeReaders, add_gauges


class FakeMetrics:
    def __init__(self):
        self.callbacks = {}

    def gauge(self, name, _unit, _description, read):
        self.callbacks[name] = read


def test_every_reader_has_its_own_gauge():
    names = [reader.name for reader in fields(GaugeReaders)]
    assert set(names) == set(GAUGES)
    metrics = FakeMetrics()
    add_gauges(metrics, GaugeReaders(*(lambda number=n: number for n in range(len(names)))))
    values = {name: read()[0].value for name, read in metrics.callbacks.items()}
    assert values == {GAUGES[name].name: number for number, name in enumerate(names)}
