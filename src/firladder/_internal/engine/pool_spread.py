"""How much the workers of a pool differ in speed, learned from their tasks."""

import math

PRIOR_VARIANCE = 0.2**2
"""Variance of the logarithm of slowness that is assumed before anything is known:
workers that differ by a fifth."""

PRIOR_WORKERS = 5.0
"""Weight of that assumption, in workers: few workers may all be alike by chance."""

HALF_WEIGHT_PAIRS = 2.0
"""Pairs of tasks from which a worker counts half: one pair says little, and more than
some pairs say nothing more about the other workers."""

DISTINCT_AT = 4.0
SAME_AT = 2.0
"""Standard errors above zero at which a spread counts as real, and below which it no
longer does. The spread is looked at after every task, so that two or three would be
exceeded by chance on a pool of equal workers."""

MIN_SPREAD = 0.07
"""Least spread that counts: less than a tenth between fast and slow workers changes no
placement, and tasks that share a worker differ by as much."""

MAX_VARIANCE = 1.0
"""Upper bound of the variance: workers that differ by more are not slow but broken."""

EPOCH_CHANGE = 0.02
"""Change of the centre, or relative change of the variance, from which the profiles
that were computed before are computed anew."""


class PoolSpread:
    """The variance of the logarithm of slowness over the workers of a pool.

    The residual of a task is the logarithm of its run time, less that of its step on a
    usual worker: what its worker and its own work add. Two tasks of different jobs on
    the same worker have only the worker in common. So the mean product of their
    residuals estimates the variance of the workers, and the mean square of all
    residuals the sum with that of the tasks (method of moments). Residuals of hardly
    known steps have less weight.

    On equal workers the products are zero on average. Workers count as different only
    when the sum of all products is ``DISTINCT_AT`` standard errors above zero.
    """

    def __init__(self, name: str) -> None:
        """Start with the prior variance, and with workers that count as equal."""
        self.name = name
        self.variance = PRIOR_VARIANCE
        self.prior_precision = 1 / PRIOR_VARIANCE
        self.distinct = False
        self.epoch = 0
        self.mean_sum = 0.0
        self.mean_count = 0
        self.product_sum = 0.0
        self.product_weight = 0.0
        self.pairs = 0
        self.square_sum = 0.0
        self.squares = 0
        self.worker_sum = 0.0
        self.worker_weight = 0.0
        self.runs = 0
        self.failed_runs = 0.0
        self.unrecorded = False
        """Whether something changed that the newest record lacks."""
        self._epoch_centre = 0.0
        self._epoch_variance = PRIOR_VARIANCE

    @property
    def spread(self) -> float:
        """Return the standard deviation of the log slowness; 0 if all are equal."""
        return math.sqrt(self.variance) if self.distinct else 0.0

    @property
    def centre(self) -> float:
        """Return the mean log slowness of the measured workers.

        Only differences between workers are known: what they have in common is part
        of the estimates of the steps.
        """
        return self.mean_sum / self.mean_count if self.mean_count else 0.0

    def replace_mean(self, former: float | None, mean: float) -> None:
        """Count a worker's new estimate in the centre."""
        if former is None:
            self.mean_count += 1
        self.mean_sum += mean - (former or 0.0)
        if abs(self.centre - self._epoch_centre) > EPOCH_CHANGE:
            self.begin_epoch()

    def remove_mean(self, mean: float) -> None:
        """Drop a worker from the centre."""
        self.mean_count -= 1
        self.mean_sum -= mean

    def begin_epoch(self) -> None:
        """Make all profiles that were computed before invalid."""
        self.epoch += 1
        self._epoch_centre = self.centre
        self._epoch_variance = self.variance

    def add_residual(self, residual: float, pairs: int) -> None:
        """Count a weighted residual, and with how many others it is paired."""
        self.square_sum += residual * residual
        self.squares += 1
        self.pairs += pairs

    def replace_products(
        self, former: tuple[float, float], changed: tuple[float, float]
    ) -> None:
        """Count the products of a worker: their weighted sum, and their weight."""
        self.product_sum += changed[0] - former[0]
        self.product_weight += changed[1] - former[1]
        for sign, (total, weight) in ((-1, former), (1, changed)):
            if weight:
                share = weight / (weight + HALF_WEIGHT_PAIRS)
                self.worker_weight += sign * share
                self.worker_sum += sign * share * total / weight

    def update_variance(self) -> bool:
        """Estimate the variance; return whether it has changed enough to matter."""
        weight = PRIOR_WORKERS + self.worker_weight
        variance = (PRIOR_WORKERS * PRIOR_VARIANCE + self.worker_sum) / weight
        self.variance = min(MAX_VARIANCE, max(MIN_SPREAD**2, variance))
        self.prior_precision = 1 / self.variance
        distinct = self._is_distinct()
        changed = distinct != self.distinct or (
            abs(self.variance - self._epoch_variance)
            > EPOCH_CHANGE * self._epoch_variance
        )
        self.distinct = distinct
        return changed

    def _is_distinct(self) -> bool:
        if not self.pairs:
            return False
        mean_square = self.square_sum / self.squares
        error = mean_square * math.sqrt(self.pairs)
        threshold = SAME_AT if self.distinct else DISTINCT_AT
        if self.product_sum < threshold * error:
            return False
        return self.product_sum / self.product_weight > MIN_SPREAD**2
