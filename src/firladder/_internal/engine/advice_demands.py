"""The steps that need tickets of the advice service, now or soon."""

import dataclasses
import math
from collections import Counter
from collections.abc import Iterator, Mapping

from ..models.workload import AdviceTerms
from .advice import StepName, name_step
from .core import Core
from .estimates import Estimates
from .state import Job, Unit, UnitState
from .waiting import are_earlier_steps_done, is_due

MAX_COUNTED_TASKS = 100
"""Single tasks of a step that count at once: the others wait for a later request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """A step that needs tickets, with its waiting units.

    It is ``due``, or comes up soon. ``taken`` has the tasks of the step on each worker,
    if the step limits them.
    """

    units: tuple[Unit, ...]
    terms: AdviceTerms
    due: bool
    taken: Mapping[str, int]

    @property
    def job(self) -> Job:
        """Return the job of the step."""
        return self.units[0].job

    @property
    def step(self) -> StepName:
        """Return the name of the step."""
        return name_step(self.units[0])

    @property
    def urgent(self) -> bool:
        """Return whether the step may preempt other work."""
        return self.job.accepted.priority == 0

    @property
    def gang(self) -> bool:
        """Return whether all tasks of a unit must be placed together."""
        return len(self.units[0].indices) > 1

    @property
    def tasks(self) -> int:
        """Return how many tasks must be placed: a whole gang, or the single ones."""
        if self.gang:
            return len(self.units[0].indices)
        return min(len(self.units), MAX_COUNTED_TASKS)

    def measure_wait(self, now: float) -> float:
        """Return for how many seconds the step could have been planned."""
        since = self.units[0].waiting_since
        return max(0.0, now - since) if since >= 0 else 0.0


def list_demands(core: Core, now: float, wall: float) -> Iterator[Demand]:
    """Yield the steps that are due, and those that will be while tickets are valid."""
    estimates = Estimates(core)
    for job in core.jobs.values():
        terms = core.advice.find_terms(job)
        if terms is None or job.terminal or job.cancelled:
            continue
        ahead_s = terms.valid_s / 2
        for (occurrence, number), units in job.by_step.items():
            if not is_due(job, occurrence, wall + ahead_s):
                continue
            waiting = tuple(u for u in units if _is_waiting(u))
            if not waiting:
                continue
            done = are_earlier_steps_done(job, occurrence, number)
            if not done and _measure_time_left(waiting[0], estimates, now) > ahead_s:
                continue
            due = done and is_due(job, occurrence, wall)
            yield Demand(waiting, terms, due, _count_taken(waiting[0]))


def _is_waiting(unit: Unit) -> bool:
    return unit.state is UnitState.WAITING and not unit.placements


def _measure_time_left(unit: Unit, estimates: Estimates, now: float) -> float:
    """Return in how many seconds the steps before a unit's are expected to end."""
    before = [
        earlier
        for number in unit.step.after
        for earlier in unit.job.by_step[unit.occurrence, number]
        if earlier.state is not UnitState.DONE
    ]
    if any(earlier.state is not UnitState.BUSY for earlier in before):
        return math.inf
    left = (estimates.estimate_remaining(earlier, now) for earlier in before)
    return max(left, default=0.0)


def _count_taken(unit: Unit) -> Mapping[str, int]:
    if not unit.step.most_per_worker:
        return {}
    return Counter(
        placement.worker_id
        for other in unit.job.by_step[unit.occurrence, unit.step_index]
        for placement in other.placements.values()
    )
