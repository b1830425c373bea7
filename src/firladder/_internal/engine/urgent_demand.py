"""Learn how much capacity the urgent work that arrives in a pool asks for."""

import dataclasses
import math

from ..models.workload import Resources
from .state import Unit

MEMORY_S = 6.0
"""Time constant with which arrivals are forgotten. Bursts of urgent work last about as
long, and at two arrivals a second a dozen of them count."""

MARGIN_DEVIATIONS = 1.0
"""Standard deviations beyond the mean demand that are covered. One covers about five
in six intervals; each further one costs as much idle capacity and covers less."""

Amounts = tuple[float, float, float]
"""Processor (in thousandths of a core), memory (MB) and accelerators."""

NOTHING: Amounts = (0.0, 0.0, 0.0)


@dataclasses.dataclass(slots=True)
class UrgentDemand:
    """The decayed count, sums and sums of squares of what urgent units ask for.

    ``allowance`` is the decayed sum of how slow a worker each of them could bear.
    """

    count: float = 0.0
    sums: Amounts = NOTHING
    squares: Amounts = NOTHING
    allowance: float = 0.0
    updated_at: float = -math.inf
    last_at: float = -math.inf

    def add(self, unit: Unit, *, run_time_s: float, now: float) -> None:
        """Count the arrival of an urgent unit."""
        self._decay(now)
        amounts = list_amounts(unit.step.need, len(unit.indices))
        accepted = unit.job.accepted
        self.count += 1
        self.sums = _add(self.sums, amounts)
        self.squares = _add(self.squares, _square(amounts))
        self.allowance += accepted.stretch + accepted.slo_s / max(run_time_s, 0.1)
        self.last_at = now

    def expect(self, within_s: float, now: float) -> Amounts:
        """Return what arrives within that time, with a margin for its variation.

        Units arrive independently, so the variance of their sum is the expected sum of
        the squares of their sizes.
        """
        self._decay(now)
        factor = within_s / MEMORY_S
        cpu, memory, accelerators = (
            total * factor + MARGIN_DEVIATIONS * math.sqrt(square * factor)
            for total, square in zip(self.sums, self.squares, strict=True)
        )
        return cpu, memory, accelerators

    @property
    def rate(self) -> float:
        """Return the arrivals a second, as of the last update."""
        return self.count / MEMORY_S

    @property
    def bearable_slowness(self) -> float:
        """Return the slowness of a worker on which urgent work is still in time."""
        return self.allowance / self.count if self.count else math.inf

    def _decay(self, now: float) -> None:
        kept = math.exp(min(0.0, self.updated_at - now) / MEMORY_S)
        self.count *= kept
        self.sums = _scale(self.sums, kept)
        self.squares = _scale(self.squares, kept)
        self.allowance *= kept
        self.updated_at = now


def list_amounts(need: Resources, count: int = 1) -> Amounts:
    """Return ``count`` times the resources."""
    return need.cpu_milli * count, need.memory_mb * count, need.accelerators * count


def subtract(one: Amounts, other: Amounts) -> Amounts:
    """Return the difference; each amount in it may be negative."""
    return one[0] - other[0], one[1] - other[1], one[2] - other[2]


def _add(one: Amounts, other: Amounts) -> Amounts:
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]


def _scale(amounts: Amounts, factor: float) -> Amounts:
    return amounts[0] * factor, amounts[1] * factor, amounts[2] * factor


def _square(amounts: Amounts) -> Amounts:
    return amounts[0] ** 2, amounts[1] ** 2, amounts[2] ** 2
