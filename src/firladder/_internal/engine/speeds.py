"""Learn how fast each worker is, from the tasks that run on it and elsewhere."""

import dataclasses
import math

from .state import Placement, Unit

TASK_VARIANCE = 0.15**2
"""Variance of the logarithm of the time that like tasks of one step take on like
workers: they differ by some 15%."""

WORKER_VARIANCE = 0.2**2
"""The same of one task on the workers of a pool; by as much as a fourth either way."""

CHANGE_VARIANCE = 0.04**2
"""What a worker's own speed may have changed between two of its tasks."""

DECLARED_VARIANCE = 1.0
"""The same of declared times, until a queue's own are known: tenfold off with some."""

LEARNING_RATE = 0.05
"""Weight of one task in what is known of a queue's declared times."""

MAX_LOG_SLOWNESS = 0.5
"""Bound of the logarithm of how many times as long a task takes: a worker that is
slow for some seconds is found out within a task, and forgiven within a few."""

MIN_PERCENT = 25.0
"""Progress from which a running task's pace can be read: below it, a whole per cent
and the time that the first look took weigh too much."""

MIN_DECLARED_S = 0.01
"""The least declared time that is reckoned with; some callers declare none."""

StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class _Estimate:
    """A logarithm that is not known for sure."""

    value: float
    variance: float


@dataclasses.dataclass(slots=True)
class _DeclaredBias:
    """How a queue's tasks compare to their declared times: logarithms."""

    bias: float = 0.0
    variance: float = DECLARED_VARIANCE


class Speeds:
    """Slowness of each worker, relative to the others.

    Urgent work that is in time on a usual worker is late on a slow one: a third of a
    pool that takes a fourth longer makes most of the late ones. Nobody tells a worker's
    speed. Each task shows the sum of what its step takes and what its worker adds, so
    that both are estimated together, each by how little is known of it (a Kalman
    filter without the covariances between the two).
    """

    def __init__(self) -> None:
        """Know nothing yet: all workers count as alike."""
        self._workers: dict[str, _Estimate] = {}
        self._sum = 0.0
        self._steps: dict[StepKey, _Estimate] = {}
        self._queues: dict[str, _DeclaredBias] = {}

    def find_slowness(self, worker_id: str) -> float:
        """Return how many times as long a task takes there as on a usual worker."""
        estimate = self._workers.get(worker_id)
        if estimate is None:
            return 1.0
        # Only differences are known: what all have in common belongs to the tasks.
        return math.exp(estimate.value - self._sum / len(self._workers))

    def learn_from_progress(self, unit: Unit, placement: Placement, now: float) -> None:
        """Learn from a task that is at work; each is counted once."""
        # A member of a gang that is done waits for the others at a hundred per cent.
        seen = MIN_PERCENT <= placement.percent < 100
        if placement.measures_speed and seen and unit.all_active:
            whole_s = (now - unit.active_since) * 100 / placement.percent
            self._learn(unit, placement, whole_s)

    def learn_from_end(self, unit: Unit, placement: Placement, now: float) -> None:
        """Learn from a task that ended well before its progress was seen."""
        # The members of a gang end together: an end tells nothing of its worker.
        if placement.measures_speed and len(unit.indices) == 1:
            self._learn(unit, placement, now - placement.active_at)

    def forget_worker(self, worker_id: str) -> None:
        """Drop what is known of a worker that is gone for good."""
        estimate = self._workers.pop(worker_id, None)
        if estimate is not None:
            self._sum -= estimate.value

    def forget_job(self, job_id: str) -> None:
        """Drop what is remembered of a job's steps."""
        for key in [k for k in self._steps if k[0] == job_id]:
            del self._steps[key]

    def _learn(self, unit: Unit, placement: Placement, took_s: float) -> None:
        placement.measures_speed = False
        if took_s <= 0:
            return
        took = math.log(took_s)
        step = self._find_step(unit)
        worker = self._workers.setdefault(
            placement.worker_id, _Estimate(0.0, WORKER_VARIANCE)
        )
        self._sum -= worker.value
        residual = took - step.value - worker.value
        total = step.variance + worker.variance + TASK_VARIANCE
        for estimate in (step, worker):
            share = estimate.variance / total
            estimate.value += share * residual
            estimate.variance *= 1 - share
        worker.value = max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, worker.value))
        worker.variance += CHANGE_VARIANCE
        self._sum += worker.value
        self._update_declared_bias(unit, took - worker.value)

    def _find_step(self, unit: Unit) -> _Estimate:
        accepted = unit.job.accepted
        key = (accepted.job_id, unit.occurrence, unit.step_index)
        known = self._steps.get(key)
        if known is None:
            declared = self._queues.setdefault(accepted.queue, _DeclaredBias())
            value = _read_declared(unit) + declared.bias
            known = self._steps[key] = _Estimate(value, declared.variance)
        return known

    def _update_declared_bias(self, unit: Unit, took: float) -> None:
        declared = self._queues[unit.job.accepted.queue]
        residual = took - _read_declared(unit) - declared.bias
        declared.bias += LEARNING_RATE * residual
        declared.variance += LEARNING_RATE * (residual * residual - declared.variance)


def _read_declared(unit: Unit) -> float:
    """Return the logarithm of the declared time."""
    return math.log(max(unit.step.estimate_s, MIN_DECLARED_S))
