"""Learn how fast each worker is, from the tasks that run on it and elsewhere."""

import dataclasses
import math

from .state import Placement, Unit

TASK_VARIANCE = 0.15**2
"""Variance of the logarithm of the run time of one step's tasks on equally fast
workers: run times differ by about 15%."""

WORKER_VARIANCE = 0.2**2
"""Variance of the logarithm of a task's run time across the workers of a pool, which
differ by up to a fourth either way."""

CHANGE_VARIANCE = 0.04**2
"""Variance of the change of a worker's log speed between two of its tasks."""

DECLARED_VARIANCE = 1.0
"""Initial variance of the logarithm of run time over declared time, until a queue's
own is learned: some declared times are off by a factor of ten."""

LEARNING_RATE = 0.05
"""Weight of one task in the learned bias and variance of a queue's declared times."""

MAX_LOG_SLOWNESS = 0.5
"""Bound of the logarithm of a worker's slowness. A worker that is slow for some seconds
is noticed within one task, and counts as normal again within a few."""

MIN_PERCENT = 25.0
"""Progress from which an active task's run time is extrapolated. Below it, rounding to
whole per cent and the delay of the first poll distort the result too much."""

MIN_DECLARED_S = 0.01
"""Lower bound of declared times, of which some are zero."""

StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class _Estimate:
    """An estimated logarithm and its variance."""

    value: float
    variance: float


@dataclasses.dataclass(slots=True)
class _DeclaredBias:
    """The logarithm of run time over declared time of a queue's tasks."""

    bias: float = 0.0
    variance: float = DECLARED_VARIANCE


class Speeds:
    """Slowness of each worker, relative to the others.

    Urgent work that is in time on a usual worker may be late on a slow one: when a
    third of a pool took a fourth longer, most late jobs ran there. Workers do not
    report their speed. The logarithm of a task's run time is the sum of its step's and
    its worker's, so both are estimated together, each in proportion to its variance
    (a Kalman filter without the covariances between the two).
    """

    def __init__(self) -> None:
        """Start without estimates: all workers count as equally fast."""
        self._workers: dict[str, _Estimate] = {}
        self._sum = 0.0
        self._steps: dict[StepKey, _Estimate] = {}
        self._queues: dict[str, _DeclaredBias] = {}

    def find_slowness(self, worker_id: str) -> float:
        """Return the run time of a task there relative to a usual worker."""
        estimate = self._workers.get(worker_id)
        if estimate is None:
            return 1.0
        # Only differences between workers are known: what they have in common is part
        # of the estimates of the steps.
        return math.exp(estimate.value - self._sum / len(self._workers))

    def knows(self, worker_id: str) -> bool:
        """Return whether anything was learned of a worker."""
        return worker_id in self._workers

    def learn_from_progress(self, unit: Unit, placement: Placement, now: float) -> None:
        """Learn from the progress of an active task, once per task."""
        # A gang member that is done waits for the others at 100 per cent.
        measurable = MIN_PERCENT <= placement.percent < 100
        if placement.measures_speed and measurable and unit.all_active:
            total_s = (now - unit.active_since) * 100 / placement.percent
            self._learn(unit, placement, total_s)

    def learn_from_end(self, unit: Unit, placement: Placement, now: float) -> None:
        """Learn from a task that succeeded before its progress could be used."""
        # The members of a gang end together: the end of one says nothing about its
        # worker.
        if placement.measures_speed and len(unit.indices) == 1:
            self._learn(unit, placement, now - placement.active_at)

    def forget_worker(self, worker_id: str) -> None:
        """Drop the estimate of a worker that is gone for good."""
        estimate = self._workers.pop(worker_id, None)
        if estimate is not None:
            self._sum -= estimate.value

    def forget_job(self, job_id: str) -> None:
        """Drop the estimates of a job's steps."""
        for key in [k for k in self._steps if k[0] == job_id]:
            del self._steps[key]

    def _learn(self, unit: Unit, placement: Placement, took_s: float) -> None:
        placement.measures_speed = False
        if took_s <= 0:
            return
        log_run_time = math.log(took_s)
        step = self._find_step(unit)
        worker = self._workers.setdefault(
            placement.worker_id, _Estimate(0.0, WORKER_VARIANCE)
        )
        self._sum -= worker.value
        residual = log_run_time - step.value - worker.value
        total = step.variance + worker.variance + TASK_VARIANCE
        for estimate in (step, worker):
            share = estimate.variance / total
            estimate.value += share * residual
            estimate.variance *= 1 - share
        worker.value = max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, worker.value))
        worker.variance += CHANGE_VARIANCE
        self._sum += worker.value
        self._update_declared_bias(unit, log_run_time - worker.value)

    def _find_step(self, unit: Unit) -> _Estimate:
        accepted = unit.job.accepted
        key = (accepted.job_id, unit.occurrence, unit.step_index)
        known = self._steps.get(key)
        if known is None:
            declared = self._queues.setdefault(accepted.queue, _DeclaredBias())
            value = _compute_log_declared(unit) + declared.bias
            known = self._steps[key] = _Estimate(value, declared.variance)
        return known

    def _update_declared_bias(self, unit: Unit, log_run_time: float) -> None:
        declared = self._queues[unit.job.accepted.queue]
        residual = log_run_time - _compute_log_declared(unit) - declared.bias
        declared.bias += LEARNING_RATE * residual
        declared.variance += LEARNING_RATE * (residual * residual - declared.variance)


def _compute_log_declared(unit: Unit) -> float:
    """Return the logarithm of the declared time."""
    return math.log(max(unit.step.estimate_s, MIN_DECLARED_S))
