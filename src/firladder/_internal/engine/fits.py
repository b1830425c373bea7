"""Which workers waiting work takes first."""

import dataclasses
import math
from collections.abc import Iterator, Mapping, Sequence

from .placement import Candidate
from .pool_view import PoolView
from .preferences import (
    BEST_FIT,
    CERTAIN_FIRST,
    DOUBTFUL,
    FAST_FIRST,
    Preference,
    SlowFirst,
    estimate_slowness,
)
from .state import Unit
from .strategy_kinds import FITS, PlannerSettings

ORDER_S = 0.15
"""Seconds of an objective that are not run time: a plan is stored and its start orders
are answered in about 0.1 s, and an end is read and stored in less."""


@FITS.register("best_fit")
class BestFit:
    """Best fit for all work, after the worker's speed for urgent work."""

    def __init__(self, settings: PlannerSettings) -> None:
        """Take no setting."""

    def begin_pass(self, view: PoolView, now: float, wall: float) -> None:
        """Start a pass; nothing is kept for it."""

    def choose_preference(self, unit: Unit, pool: Sequence[Candidate]) -> Preference:
        """Return the preference for fast workers if the unit is urgent."""
        return FAST_FIRST if unit.job.accepted.priority == 0 else BEST_FIT

    def list_in_time(
        self, unit: Unit, pool: Sequence[Candidate]
    ) -> list[Candidate] | None:
        """Return None: whatever is free is used."""
        return None

    def describe_choice(
        self, unit: Unit, pool: Sequence[Candidate], members: Sequence[Candidate]
    ) -> Mapping[str, object]:
        """Return nothing: best fit decided."""
        return {}


@dataclasses.dataclass(frozen=True, slots=True)
class _PoolSpeeds:
    """The range of the known slowness of a pool's workers, and its doubtful ones."""

    pool: Sequence[Candidate]
    fastest: float
    slowest: float
    has_doubtful: bool

    def is_split_by(self, limit: float) -> bool:
        """Return whether some workers are slower than ``limit`` and others are not."""
        return self.fastest <= limit < self.slowest


@FITS.register("by_slack")
class BySlack(BestFit):
    """Workers that are too slow for urgent work go to work that has slack.

    Load: variable demand on a pool of which some workers are too slow for urgent work.
    On other pools this is the best fit for all work.
    """

    def __init__(self, settings: PlannerSettings) -> None:
        """Judge by the estimates of ``settings``."""
        self._core = settings.core
        self._estimates = settings.estimates
        self._wall = 0.0
        self._speeds: dict[int, _PoolSpeeds] = {}
        self._urgent_limits: dict[str, float] | None = None

    def begin_pass(self, view: PoolView, now: float, wall: float) -> None:
        """Start a pass: drop what was computed for the previous one."""
        self._wall = wall
        self._speeds.clear()
        self._urgent_limits = None

    def choose_preference(self, unit: Unit, pool: Sequence[Candidate]) -> Preference:
        """Return which workers of its pool the unit takes first."""
        urgent_limit = self._find_split(unit, pool)
        if urgent_limit is None:
            return super().choose_preference(unit, pool)
        if unit.job.accepted.priority == 0:
            return CERTAIN_FIRST
        return SlowFirst(self._compute_limit(unit), urgent_limit)

    def list_in_time(
        self, unit: Unit, pool: Sequence[Candidate]
    ) -> list[Candidate] | None:
        """Return the workers on which urgent work ends in time, unless all are alike.

        Load: a burst on a full heterogeneous pool. Urgent work that starts at once on
        a worker that is too slow for it is late; stopping work that loses little on a
        faster one keeps it in time.
        """
        if unit.job.accepted.priority != 0:
            return None
        speeds = self._measure(pool)
        if speeds.slowest <= speeds.fastest:
            return None
        limit = self._compute_limit(unit)
        if not speeds.is_split_by(limit):
            return None
        return [c for c in pool if estimate_slowness(c) <= limit]

    def describe_choice(
        self, unit: Unit, pool: Sequence[Candidate], members: Sequence[Candidate]
    ) -> Mapping[str, object]:
        """Return the limits and the slowest member if the pool is heterogeneous."""
        urgent_limit = self._find_split(unit, pool)
        if urgent_limit is None:
            return {}
        slowest = max(members, key=estimate_slowness)
        return {
            "job": unit.job.accepted.job_id,
            "step": unit.step_index,
            "index": unit.indices[0],
            "run": unit.run,
            "slowest": slowest.worker_id,
            "slowness": round(estimate_slowness(slowest), 2),
            "measured": slowest.profile.measured,
            "limit": round(self._compute_limit(unit), 2),
            "urgent_limit": round(urgent_limit, 2),
        }

    def _find_split(self, unit: Unit, pool: Sequence[Candidate]) -> float | None:
        """Return the limit of urgent work if the pool is heterogeneous, or None.

        Doubtful workers are to be used last on any pool.
        """
        speeds = self._measure(pool)
        if speeds.slowest <= speeds.fastest and not speeds.has_doubtful:
            return None
        limit = self._find_urgent_limit(unit.job.accepted.pool)
        if speeds.is_split_by(limit) or speeds.has_doubtful:
            return limit
        return None

    def _measure(self, pool: Sequence[Candidate]) -> _PoolSpeeds:
        # The pool is kept, so that its id is not used again for another one.
        speeds = self._speeds.get(id(pool))
        if speeds is None:
            known = [c.profile.slowness for c in pool if c.profile.measured]
            speeds = self._speeds[id(pool)] = _PoolSpeeds(
                pool,
                min(known, default=1.0),
                max(known, default=1.0),
                any(c.profile.doubt >= DOUBTFUL for c in pool),
            )
        return speeds

    def _compute_limit(self, unit: Unit) -> float:
        """Return the slowness up to which a run that starts now ends in time."""
        accepted = unit.job.accepted
        age_s = max(0.0, self._wall - accepted.accepted_at_s)
        return compute_limit(
            accepted.stretch,
            accepted.slo_s,
            run_time_s=self._estimates.estimate_run(unit),
            age_s=age_s,
        )

    def _find_urgent_limit(self, pool: str) -> float:
        """Return the slowness above which a worker is too slow for urgent work."""
        if self._urgent_limits is None:
            self._urgent_limits = {}
            for name, limit in self._list_urgent_limits():
                known = self._urgent_limits.get(name, math.inf)
                self._urgent_limits[name] = min(known, limit)
        return self._urgent_limits.get(pool, math.inf)

    def _list_urgent_limits(self) -> Iterator[tuple[str, float]]:
        """Yield pools and the limits of their urgent queues.

        A queue's objective is taken from its jobs: the configuration may have changed
        since they were accepted.
        """
        seen: set[tuple[str, str]] = set()
        for job in self._core.jobs.values():
            accepted = job.accepted
            key = accepted.queue, accepted.pool
            if accepted.priority != 0 or key in seen:
                continue
            seen.add(key)
            run_time_s = self._core.run_times.get((accepted.queue, 0))
            yield (
                accepted.pool,
                compute_limit(
                    accepted.stretch, accepted.slo_s, run_time_s=run_time_s, age_s=0.0
                ),
            )


def compute_limit(
    stretch: float, slo_s: float, *, run_time_s: float | None, age_s: float
) -> float:
    """Return the slowness up to which a run ends within its objective.

    Without a known run time it is the objective's multiple of the run time alone.
    """
    if not run_time_s:
        return stretch
    return stretch + (slo_s - ORDER_S - age_s) / run_time_s
