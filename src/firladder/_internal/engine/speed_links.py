"""What the tasks of one step on one machine tell of both."""

import dataclasses
import math

from .machines import Machine
from .slow_phases import Window
from .step_times import StepTime

OUTLIER_SHARE = 0.03
"""Share of tasks that take several times as long as others of their kind."""

OUTLIER_DENSITY = OUTLIER_SHARE / 6
"""Density of their logarithmic run times: anywhere within a factor of 20 either way."""


@dataclasses.dataclass(slots=True, eq=False)
class SpeedLink:
    """The tasks of one step that run on one machine at the same time.

    They have the step and the machine in common, so they count as one observation:
    ``precision`` and ``weighted`` are sums over the tasks' own. The contributions to
    the machine and to the step are replaced whenever a task is observed again.
    """

    machine: Machine
    step: StepTime
    precision: float = 0.0
    weighted: float = 0.0
    running: int = 0
    paired: bool = False
    machine_precision: float = 0.0
    machine_weighted: float = 0.0
    step_precision: float = 0.0
    step_weighted: float = 0.0

    def estimate_machine(self) -> tuple[float, float]:
        """Return the machine's log slowness, told by other steps, and its variance."""
        machine = self.machine
        precision = machine.total_precision - self.machine_precision
        return (
            (machine.total_weighted - self.machine_weighted) / precision,
            1 / precision,
        )

    def estimate_step(self) -> tuple[float, float]:
        """Return the step's log run time, told by other machines, and its variance."""
        step = self.step
        precision = step.precision - self.step_precision
        return (step.weighted - self.step_weighted) / precision, 1 / precision

    def predict(self) -> tuple[float, float]:
        """Return the expected log run time of a task here, and its variance."""
        machine_mean, machine_variance = self.estimate_machine()
        step_mean, step_variance = self.estimate_step()
        return machine_mean + step_mean, machine_variance + step_variance

    def update(self, now: float) -> None:
        """Replace what the tasks tell of the machine and of the step."""
        if self.precision <= 0:
            return
        machine, step = self.machine, self.step
        machine_mean, machine_variance = self.estimate_machine()
        step_mean, step_variance = self.estimate_step()
        mean, variance = self.weighted / self.precision, 1 / self.precision
        to_step = 1 / (variance + machine_variance)
        to_machine = 1 / (variance + step_variance)
        for_step = to_step * (mean - machine_mean)
        for_machine = to_machine * (mean - step_mean)
        step.precision += to_step - self.step_precision
        step.weighted += for_step - self.step_weighted
        machine.precision += to_machine - self.machine_precision
        machine.weighted += for_machine - self.machine_weighted
        self.step_precision, self.step_weighted = to_step, for_step
        self.machine_precision, self.machine_weighted = to_machine, for_machine
        machine.changed_at = now
        machine.update_mean()


@dataclasses.dataclass(slots=True, eq=False)
class Sample:
    """What one task of one run tells.

    Its run time is extrapolated from its progress since ``began_at``, where it stood
    at ``began_percent``. ``exact`` says that it began from the start, so that its end
    tells its run time. Its contribution is replaced by each newer observation.
    """

    link: SpeedLink
    began_at: float
    began_percent: float
    exact: bool
    window: Window
    log_time: float | None = None
    noise: float = 0.0
    precision: float = 0.0
    weighted: float = 0.0
    inlier_share: float = 1.0
    done: bool = False
    polled: bool = False

    def observe(self, log_time: float, noise: float, now: float) -> None:
        """Replace the logarithm of the task's run time, known up to ``noise``."""
        link = self.link
        mean, variance = link.predict()
        own = noise + link.step.queue.task_variance
        share = compute_inlier_share(log_time - mean, own + variance)
        precision = share / own
        link.precision += precision - self.precision
        link.weighted += precision * log_time - self.weighted
        self.precision, self.weighted = precision, precision * log_time
        self.log_time, self.noise, self.inlier_share = log_time, noise, share
        link.update(now)


def compute_inlier_share(residual: float, variance: float) -> float:
    """Return the probability that a task is a usual one, given its residual.

    This bounds the influence of a task that takes seven times as long as others.
    """
    density = math.exp(-residual * residual / (2 * variance)) / math.sqrt(
        2 * math.pi * variance
    )
    inlier = (1 - OUTLIER_SHARE) * density
    return inlier / (inlier + OUTLIER_DENSITY)
