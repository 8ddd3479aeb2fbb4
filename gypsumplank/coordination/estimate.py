"""Estimate the duration of requests from measured durations."""

from dataclasses import dataclass

# Smoothing factors, as in the round-trip time estimator of TCP (RFC 6298).
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
UPPER_ESTIMATE_DEVIATIONS = 2


@dataclass
class DurationEstimate:
    """Maintain the smoothed mean and mean deviation of durations, in seconds."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    def record(self, seconds: float) -> None:
        """Update the estimate with one duration."""
        if not self.samples:
            self.mean_s, self.deviation_s = seconds, seconds / 2
        else:
            error = seconds - self.mean_s
            self.mean_s += MEAN_GAIN * error
            self.deviation_s += DEVIATION_GAIN * (abs(error) - self.deviation_s)
        self.samples += 1

    @property
    def upper_estimate_s(self) -> float:
        """Return a duration that most requests do not exceed."""
        return self.mean_s + UPPER_ESTIMATE_DEVIATIONS * self.deviation_s
