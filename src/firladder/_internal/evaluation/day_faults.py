"""The faults of simulated days, as data that is applied to a day."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from .day_jobs import DAY_S, Day, DayJob, Departure, Spell, draw_job
from .day_kinds import Deployment

MAX_RETRIES = 4
RETRY_AFTER_S = (1.0, 3.0)
"""How often a caller comes back that was refused as the store is away, and when."""

Fault = Callable[[Day, random.Random], Day]
"""Returns the day with the fault; the workers concerned are drawn."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slowdown:
    """A share of the workers is slow for some seconds."""

    at_s: float
    duration_s: float = 7.0
    share: float = 1 / 6
    factor: float = 6.5

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Add a slow spell for each worker concerned."""
        until_s = self.at_s + self.duration_s
        added = tuple(
            Spell(self.at_s, until_s, worker_id, slowdown=self.factor)
            for worker_id in _draw_workers(day, rng, self.share)
        )
        return dataclasses.replace(day, spells=day.spells + added)


@dataclasses.dataclass(frozen=True, slots=True)
class FailingWorkers:
    """A share of the workers fails all that it starts for some seconds."""

    at_s: float
    duration_s: float = 6.5
    share: float = 0.1

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Add a failing spell for each worker concerned."""
        until_s = self.at_s + self.duration_s
        added = tuple(
            Spell(self.at_s, until_s, worker_id, failing=True)
            for worker_id in _draw_workers(day, rng, self.share)
        )
        return dataclasses.replace(day, spells=day.spells + added)


@dataclasses.dataclass(frozen=True, slots=True)
class Departures:
    """A share of the workers leaves for good after notice."""

    at_s: float
    notice_s: float = 3.0
    share: float = 0.06

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Add a departure for each worker concerned."""
        added = tuple(
            Departure(self.at_s, worker_id, self.notice_s)
            for worker_id in _draw_workers(day, rng, self.share)
        )
        return dataclasses.replace(day, departures=day.departures + added)


@dataclasses.dataclass(frozen=True, slots=True)
class Losses:
    """A share of the workers is lost without notice."""

    at_s: float
    share: float = 0.1

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Add a loss for each worker concerned."""
        lost = _draw_workers(day, rng, self.share)
        added = tuple((self.at_s, worker_id) for worker_id in lost)
        return dataclasses.replace(day, lost=day.lost + added)


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Jobs of one kind arrive at ``factor`` times their rate for some seconds."""

    at_s: float
    deployment: Deployment
    kind: str = "heavy"
    duration_s: float = 4.0
    factor: float = 2.6

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Add the additional jobs; their numbers follow those of the others."""
        kind = next(k for k in self.deployment.kinds if k.name == self.kind)
        added: list[DayJob] = []
        at_s = self.at_s
        while True:
            at_s += rng.expovariate(kind.arrivals_per_s * (self.factor - 1))
            if at_s >= self.at_s + self.duration_s:
                break
            number = len(day.jobs) + len(added) + 1
            added.append(draw_job(rng, self.deployment, kind, at_s, number))
        jobs = sorted((*day.jobs, *added), key=lambda j: j.accepted.accepted_at_s)
        return dataclasses.replace(day, jobs=tuple(jobs))


@dataclasses.dataclass(frozen=True, slots=True)
class Cancels:
    """A share of the callers cancels within a share of their objective."""

    from_s: float = 0.0
    until_s: float = DAY_S
    share: float = 0.25
    objective_share: float = 0.5

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Set when the jobs that arrive in the period are cancelled, if they are."""
        return dataclasses.replace(
            day, jobs=tuple(self._draw_cancel(job, rng) for job in day.jobs)
        )

    def _draw_cancel(self, job: DayJob, rng: random.Random) -> DayJob:
        at_s = job.accepted.accepted_at_s
        if not self.from_s <= at_s < self.until_s or rng.random() >= self.share:
            return job
        after_s = rng.uniform(0, self.objective_share) * job.objective_s
        return dataclasses.replace(job, cancelled_at_s=at_s + after_s)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """The store is away: nothing becomes durable, and no submission is accepted."""

    at_s: float
    duration_s: float = 4.5

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Add the outage."""
        period = (self.at_s, self.at_s + self.duration_s)
        return dataclasses.replace(day, outages=(*day.outages, period))


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """The leader is lost, and another one takes over after ``duration_s``.

    The default is the lease of a leader, which has to end first.
    """

    at_s: float
    duration_s: float = 5.0

    def __call__(self, day: Day, rng: random.Random) -> Day:
        """Add the time without a leader."""
        period = (self.at_s, self.at_s + self.duration_s)
        return dataclasses.replace(day, takeovers=(*day.takeovers, period))


def apply_faults(day: Day, faults: Sequence[Fault], seed: int) -> Day:
    """Return the day with faults, each drawn from the seed and its own position.

    So a fault concerns the same workers whatever the faults after it draw.
    """
    for number, fault in enumerate(faults):
        day = fault(day, random.Random(f"{seed} {number}"))
    return day


def draw_retry_s(day: Day, job_id: str, retries: int) -> float | None:
    """Return after how long a refused caller comes back, or None if it gives up.

    This depends on the day alone, so that planners are compared by the same callers.
    """
    if retries >= MAX_RETRIES:
        return None
    return random.Random(f"{len(day.jobs)} {job_id} {retries}").uniform(*RETRY_AFTER_S)


def _draw_workers(day: Day, rng: random.Random, share: float) -> list[str]:
    worker_ids = [worker.worker_id for worker in day.workers]
    return rng.sample(worker_ids, round(len(worker_ids) * share))
