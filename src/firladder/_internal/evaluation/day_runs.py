"""Runs of units on the simulated workers, whose speeds may change meanwhile."""

import dataclasses
from collections.abc import Mapping

from ..engine.state import Phase, Unit
from .day_outcomes import JobOutcome

CROSS_RACK_SLOWDOWN = 3.0
"""Factor on the run time of a gang that requests one rack and runs on several."""

UnitKey = tuple[str, int, int, int]
"""A job's id, an occurrence, the number of a step, and a unit's first task."""


def name_unit(unit: Unit) -> UnitKey:
    """Return the key of a unit, which is the same under each leader."""
    job_id = unit.job.accepted.job_id
    return job_id, unit.occurrence, unit.step_index, unit.indices[0]


@dataclasses.dataclass(slots=True)
class _Member:
    """A task's work since ``since``, when a share ``done`` was done already."""

    worker_id: str
    since: float
    remaining_s: float
    done: float = 0.0

    def compute_percent(self, now: float) -> int:
        if self.remaining_s <= 0:
            return 100
        percent = 100 * self.done
        percent += 100 * (1 - self.done) * (now - self.since) / self.remaining_s
        return min(100, int(percent))

    def change_speed(self, factor: float, now: float) -> None:
        if self.remaining_s <= 0:
            return
        elapsed_s = min(now - self.since, self.remaining_s)
        self.done += (1 - self.done) * elapsed_s / self.remaining_s
        self.remaining_s = max(0.0, self.remaining_s - elapsed_s) * factor
        self.since = now


@dataclasses.dataclass(slots=True, eq=False)
class SimulatedRun:
    """A run of a unit; its work starts when all members have started.

    ``unit`` is the unit as the present leader knows it. Since ``since``, the run needs
    another ``duration_s``, which is ``slowdown`` times that of the same work on usual
    workers; members that are done earlier wait for the others. ``progress_s`` is the
    work done before. The run ends at ``ends_at``; each change of that time counts up
    ``revision``. If it ``fails`` then, one of ``at_fault`` is the failing worker, or
    any. A run with a lost member is ``broken`` and never ends.
    """

    unit: Unit
    number: int
    outcome: JobOutcome
    waiting: dict[int, str] = dataclasses.field(default_factory=dict)
    members: dict[int, _Member] = dataclasses.field(default_factory=dict)
    started_at: float | None = None
    since: float = 0.0
    duration_s: float = 0.0
    slowdown: float = 1.0
    progress_s: float = 0.0
    ends_at: float = 0.0
    slow_s: float = 0.0
    revision: int = 0
    fails: bool = False
    at_fault: tuple[str, ...] = ()
    broken: bool = False

    def start(
        self,
        now: float,
        *,
        progress_s: float,
        slowdowns: Mapping[str, float],
        racks: Mapping[str, str],
    ) -> None:
        """Start the work that is left after ``progress_s`` seconds of it."""
        job, unit = self.outcome.job, self.unit
        remaining_s = job.run_duration_s - progress_s
        crosses_racks = (
            unit.step.one_rack
            and len(unit.indices) > 1
            and len({racks[w] for w in self.waiting.values()}) > 1
        )
        rack_factor = CROSS_RACK_SLOWDOWN if crosses_racks else 1.0
        factors = {
            index: job.find_task_factor(unit.step_index, index)
            for index in self.waiting
        }
        self.members = {
            index: _Member(
                worker_id,
                now,
                remaining_s
                * factors[index]
                * slowdowns.get(worker_id, 1)
                * rack_factor,
            )
            for index, worker_id in self.waiting.items()
        }
        self.started_at = self.since = now
        self.duration_s = max(m.remaining_s for m in self.members.values())
        self.slowdown = self.duration_s / remaining_s
        self.progress_s = progress_s
        usual_s = remaining_s * max(factors.values())
        self.outcome.cross_rack_s = self.duration_s * (1 - 1 / rack_factor)
        self.slow_s = self.duration_s / rack_factor - usual_s

    def change_speed(self, worker_id: str, factor: float, now: float) -> None:
        """Multiply the run times of the members on a worker from now on."""
        left_s = self.since + self.duration_s - now
        if left_s <= 0:
            return
        nominal_left_s = self.duration_s / self.slowdown
        done_s = (now - self.since) / self.slowdown
        for member in self.members.values():
            if member.worker_id == worker_id:
                member.change_speed(factor, now)
        self.duration_s = max(
            m.since + m.remaining_s - now for m in self.members.values()
        )
        self.progress_s += done_s
        self.slowdown = self.duration_s / (nominal_left_s - done_s)
        self.slow_s += self.duration_s - left_s
        self.since = now
        self.ends_at = now + (self.ends_at - now) * self.duration_s / left_s
        self.revision += 1

    @property
    def goes_on(self) -> bool:
        """Return whether the run is whole, and its leader has not ordered a stop."""
        unit = self.unit
        return (
            not self.broken
            and unit.run == self.number
            and len(unit.placements) == len(unit.indices)
            and all(p.phase is not Phase.STOPPING for p in unit.placements.values())
        )

    def measure_progress(self, now: float) -> float:
        """Return the seconds of work that are done."""
        return self.progress_s + (now - self.since) / self.slowdown

    def compute_percent(self, index: int, now: float) -> int:
        """Return what a task shows as its progress."""
        if self.started_at is None:
            return 0
        if now - self.since >= self.duration_s:
            return 99
        return self.members[index].compute_percent(now)
