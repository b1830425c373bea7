"""Fit straight lines to measured points, with the error of the fit."""

import dataclasses
import math
from collections.abc import Sequence

MIN_POINTS = 4
"""Any two points fit a line; two more are needed to test the fit."""

Point = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line ``intercept + slope * x`` and how far the points lie from it.

    ``slope_error`` is the standard error of the slope, and ``worst_residual`` the
    largest distance of a point from the line as a share of the largest value.
    """

    slope: float
    intercept: float
    slope_error: float
    worst_residual: float

    def predict(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the least-squares line; raise ``ValueError`` for too few points."""
    if len({x for x, _ in points}) < MIN_POINTS:
        raise ValueError(f"a slope needs {MIN_POINTS} different points")
    count = len(points)
    mean_x = math.fsum(x for x, _ in points) / count
    mean_y = math.fsum(y for _, y in points) / count
    spread = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residuals = [y - intercept - slope * x for x, y in points]
    variance = math.fsum(r * r for r in residuals) / (count - 2)
    max_value = max(abs(y) for _, y in points) or 1.0
    return Fit(
        slope,
        intercept,
        math.sqrt(variance / spread),
        max(map(abs, residuals)) / max_value,
    )
