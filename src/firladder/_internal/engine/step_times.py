"""What each step takes on a usual worker, and what the steps of a queue take."""

import dataclasses
import math

from .state import Unit

DECLARED_VARIANCE = 1.0
"""Initial variance of the logarithm of run time over declared time, until a queue's
own is learned: some declared times are off by a factor of ten."""

MIN_DECLARED_S = 0.01
"""Lower bound of declared times, of which some are zero."""

TASK_VARIANCE = 0.2**2
"""Initial variance of the logarithm of the work of one step's tasks: they differ by 15%
to 30%."""

MIN_TASK_VARIANCE = 0.1**2
MAX_TASK_VARIANCE = 0.5**2
"""Bounds of the learned variance: progress is known to a few per cent at best, and what
differs by more says nothing of workers anyway."""

TASK_WEIGHT = 20
"""Weight of the initial variance, in tasks."""

MIN_STEP_VARIANCE = 0.02
"""Least variance of a step's expected run time before any of its tasks has run."""

MAX_LEARNED_STEPS = 20
"""Steps of a queue that count: callers change what they submit."""

StepKey = tuple[int, int]


@dataclasses.dataclass(slots=True)
class _Deviation:
    """The mean and the variance of a logarithm over the steps of a queue."""

    mean: float | None
    variance: float
    steps: int = 0

    def add(self, value: float) -> None:
        self.steps += 1
        rate = 1 / (1 + min(self.steps, MAX_LEARNED_STEPS))
        if self.mean is None:
            self.mean = value
            return
        residual = value - self.mean
        self.mean += rate * residual
        self.variance += rate * (residual * residual - self.variance)


@dataclasses.dataclass(slots=True)
class QueueTimes:
    """The run times of a queue: over declared time, by themselves, and within a step.

    Where declared times are far off, the usual run time of the queue's steps tells
    more than what a caller declares.
    """

    declared: _Deviation = dataclasses.field(
        default_factory=lambda: _Deviation(0.0, DECLARED_VARIANCE)
    )
    usual: _Deviation = dataclasses.field(
        default_factory=lambda: _Deviation(None, DECLARED_VARIANCE)
    )
    task_variance: float = TASK_VARIANCE
    tasks: int = 0

    def predict(self, log_declared: float) -> tuple[float, float]:
        """Return the expected logarithm of a step's run time, and its variance."""
        usual, declared = self.usual, self.declared
        if usual.mean is not None and usual.variance < declared.variance:
            return usual.mean, max(MIN_STEP_VARIANCE, usual.variance)
        bias = declared.mean or 0.0
        return log_declared + bias, max(MIN_STEP_VARIANCE, declared.variance)

    def add_step(self, log_time: float, log_declared: float) -> None:
        """Learn from a step of which a task has ended."""
        self.declared.add(log_time - log_declared)
        self.usual.add(log_time)

    def add_task(self, square: float) -> None:
        """Learn from the square of how much a task differs from its step."""
        self.tasks += 1
        rate = 1 / (TASK_WEIGHT + self.tasks)
        variance = self.task_variance + rate * (square - self.task_variance)
        self.task_variance = min(MAX_TASK_VARIANCE, max(MIN_TASK_VARIANCE, variance))


@dataclasses.dataclass(slots=True, eq=False)
class StepTime:
    """The logarithm of a step's run time on a usual worker.

    ``precision`` and ``weighted`` (precision times value) are sums over its prior and
    the observations of its tasks.
    """

    job_id: str
    queue: QueueTimes
    log_declared: float
    precision: float
    weighted: float
    learned: bool = False


class StepTimes:
    """The steps of all jobs that have begun."""

    def __init__(self) -> None:
        """Start without any."""
        self._jobs: dict[str, dict[StepKey, StepTime]] = {}
        self.queues: dict[tuple[str, int], QueueTimes] = {}

    def obtain(self, unit: Unit) -> StepTime:
        """Return the estimate of a unit's step."""
        accepted = unit.job.accepted
        steps = self._jobs.get(accepted.job_id)
        if steps is None:
            steps = self._jobs[accepted.job_id] = {}
        key = (unit.occurrence, unit.step_index)
        step = steps.get(key)
        if step is None:
            queue = self.obtain_queue(accepted.queue, unit.step_index)
            log_declared = math.log(max(unit.step.estimate_s, MIN_DECLARED_S))
            mean, variance = queue.predict(log_declared)
            step = steps[key] = StepTime(
                accepted.job_id, queue, log_declared, 1 / variance, mean / variance
            )
        return step

    def obtain_queue(self, name: str, step_index: int) -> QueueTimes:
        """Return what was learned of a step of a queue's jobs."""
        key = (name, step_index)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = QueueTimes()
        return queue

    def forget_job(self, job_id: str) -> None:
        """Drop the estimates of a job's steps."""
        self._jobs.pop(job_id, None)
