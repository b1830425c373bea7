"""Estimate the run times of jobs from declared and measured ones.

Declared run times may be wrong by a factor of ten either way. A reservation based on
them would be hours too late or too early, and the jobs backfilled around it would
either never start or delay it.
"""

import statistics
from collections import defaultdict, deque
from collections.abc import Callable, Mapping

from ..models.job import JobSpec
from .registry import Registry

MAX_RATIOS = 20
"""Ratios kept per class: enough for a stable median, few enough to follow a change
of the class's jobs within twenty of them."""

MAX_CLASSES = 500
"""Classes kept; the oldest is dropped first. Bounds the leader's memory to 500 times
20 floats when callers give every job labels of its own."""

MIN_RATIO, MAX_RATIO = 0.01, 100.0

Estimator = Callable[[JobSpec, str, Mapping[str, float]], float]

ESTIMATORS: Registry[Estimator] = Registry("run time estimator")


def name_job_class(spec: JobSpec, organisation: str) -> str:
    """Return the key of the job's class: its organisation and labels."""
    labels = ",".join(f"{k}={v}" for k, v in sorted(spec.labels.items()))
    return f"{organisation}|{labels}"


@ESTIMATORS.register("declared")
def use_declared(
    spec: JobSpec, organisation: str, history: Mapping[str, float]
) -> float:
    """Return the declared run time, in seconds."""
    return spec.run_time_s


@ESTIMATORS.register("history")
def correct_declared(
    spec: JobSpec, organisation: str, history: Mapping[str, float]
) -> float:
    """Return the declared run time times the median ratio of the job's class."""
    ratio = history.get(name_job_class(spec, organisation))
    if ratio is None:
        ratio = history.get(organisation, 1.0)
    return spec.run_time_s * ratio


class RunHistory:
    """Ratios of actual to declared run time, by class and by organisation."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._ratios: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_RATIOS)
        )
        self._medians: dict[str, float] = {}

    def record_run(self, spec: JobSpec, organisation: str, run_s: float) -> None:
        """Record the actual run time of a finished job."""
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_s / spec.run_time_s))
        for name in (name_job_class(spec, organisation), organisation):
            self._ratios[name].append(ratio)
            self._medians[name] = statistics.median(self._ratios[name])
        while len(self._ratios) > MAX_CLASSES:
            oldest = next(iter(self._ratios))
            del self._ratios[oldest], self._medians[oldest]

    @property
    def medians(self) -> Mapping[str, float]:
        """Return the median ratio of each class."""
        return self._medians
