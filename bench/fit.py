"""Fit a straight line to measurements by least squares."""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Point:
    """Represent one measurement: a size and the value measured at it."""

    size: float
    value: float


@dataclass(frozen=True)
class Fit:
    """Represent a fitted line; `spread` is the standard error of the slope."""

    intercept: float
    slope: float
    spread: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the least-squares line through three or more points."""
    sizes = [point.size for point in points]
    line = statistics.linear_regression(sizes, [point.value for point in points])
    residuals = [point.value - line.intercept - line.slope * point.size for point in points]
    mean = statistics.fmean(sizes)
    sum_squares = sum((size - mean) ** 2 for size in sizes)
    degrees_of_freedom = len(points) - 2
    slope_error = math.sqrt(
        sum(residual**2 for residual in residuals) / degrees_of_freedom / sum_squares
    )
    return Fit(line.intercept, line.slope, slope_error)
