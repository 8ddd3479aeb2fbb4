"""Estimate how long work takes from what was measured."""

from dataclasses import dataclass

GAIN = 0.125
DEVIATION_GAIN = 0.25
LIKELY_DEVIATIONS = 2


@dataclass
class Estimate:
    """Smooth the mean and the mean deviation of durations, in seconds."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    def record(self, seconds: float) -> None:
        """Take one duration in."""
        if not self.samples:
            self.mean_s, self.deviation_s = seconds, seconds / 2
        else:
            error = seconds - self.mean_s
            self.mean_s += GAIN * error
            self.deviation_s += DEVIATION_GAIN * (abs(error) - self.deviation_s)
        self.samples += 1

    @property
    def likely_s(self) -> float:
        """Return a duration that most work does not exceed."""
        return self.mean_s + LIKELY_DEVIATIONS * self.deviation_s
