"""Choose running units that end sooner on other workers."""

import dataclasses
import math
from collections import Counter
from collections.abc import Iterable, Iterator

from .placement import Candidate, place_unit
from .pool_view import PoolView
from .preferences import CERTAIN_FIRST, DOUBTFUL, estimate_slowness
from .state import Phase, Placement, Unit, UnitState
from .strategy_kinds import MOVES, PlannerSettings

MAX_MOVES_PER_JOB = 2
"""Moves of one job, so that work which is slow by itself is not moved for ever."""

MAX_MOVES_IN_FLIGHT = 4
"""Units that were stopped for a move and are not active again. When a whole pool slows
down, estimates change for all workers within a second; most work must go on there."""

MIN_SLOWNESS = 2.0
"""Slowness from which a worker's runs are considered. Workers of a heterogeneous pool
take up to 1.6 times as long, and the fit allows for that; moving work off them (from
1.25) lost 5,000 to 12,000 more core-seconds a day and gained nothing. Workers that
become slow take several times as long."""

MIN_PERCENT = 10.0
"""Progress from which a member's own pace is used; below it, rounding to whole per cent
and the delay of the first poll distort it."""

START_S = 0.25
"""Seconds from a stop's end to the new run: a pass, a write and an order."""

USEFUL_FACTOR = 3.0
"""Multiple of its objective up to which a late result is of use to its caller."""

MAX_DONE_SHARE = 0.5
"""Work that is done, as a share of the gain, up to which work without checkpoints is
moved: all of it is repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    """A member of a running unit, as far as its worker's profile tells.

    ``usual_s`` is the time of all its work on a usual worker, and ``left`` the share
    of it that is left.
    """

    worker_id: str
    slowness: float
    usual_s: float
    left: float

    @property
    def remaining_s(self) -> float:
        """Return the time until the member ends if it stays."""
        return self.left * self.usual_s * self.slowness


@dataclasses.dataclass(frozen=True, slots=True)
class _Gain:
    """What a move to workers of ``slowness`` brings, in seconds."""

    stays_s: float
    moved_s: float
    cost_s: float
    slowness: float

    @property
    def saved_s(self) -> float:
        """Return by how much sooner the unit ends."""
        return self.stays_s - self.moved_s - self.cost_s


@MOVES.register("off_slow")
class OffSlow:
    """Moves units that will be late off workers that are slower than free ones.

    Load: workers that become several times slower for seconds, and members of gangs on
    a slow worker for which all others wait. A unit is moved if it ends sooner by more
    than the move costs. Limits and counts are those of one leader.
    """

    def __init__(self, settings: PlannerSettings) -> None:
        """Judge by the estimates and the profiles of ``settings``."""
        self._core = settings.core
        self._estimates = settings.estimates
        self._restart_s = settings.restart_s
        self._moved: Counter[str] = Counter()
        self._in_flight: list[tuple[Unit, int]] = []
        self._view: PoolView | None = None

    def list_units(self, now: float) -> Iterator[Unit]:
        """Yield the units that must be stopped now, with the workers to avoid set."""
        self._in_flight = [row for row in self._in_flight if _is_in_flight(*row)]
        slow = list(self._list_on_slow(now))
        if not slow:
            return
        self._view = None
        for job_id in [i for i in self._moved if i not in self._core.jobs]:
            del self._moved[job_id]
        for unit in slow:
            if len(self._in_flight) >= MAX_MOVES_IN_FLIGHT:
                return
            job_id = unit.job.accepted.job_id
            if self._moved[job_id] < MAX_MOVES_PER_JOB and self._should_move(unit, now):
                self._moved[job_id] += 1
                self._in_flight.append((unit, unit.run))
                yield unit

    def _list_on_slow(self, now: float) -> Iterable[Unit]:
        """Return the whole running units with a member on a worker known to be slow."""
        units: dict[int, Unit] = {}
        for worker in self._core.workers.values():
            active = [p for p in worker.placements.values() if p.phase is Phase.ACTIVE]
            if not active:
                continue
            profile = self._core.profiles.find(worker.worker_id, now)
            at_least = profile.slowness * math.exp(-profile.spread)
            if not profile.measured or at_least < MIN_SLOWNESS:
                continue
            for placement in active:
                unit = placement.unit
                if unit is not None and _may_move(unit):
                    units[id(unit)] = unit
        return units.values()

    def _should_move(self, unit: Unit, now: float) -> bool:
        members = [self._measure(p, unit, now) for p in unit.placements.values()]
        behind = max(members, key=lambda m: m.remaining_s)
        stays = self._count_missed(unit, behind.remaining_s, now)
        if stays == 0:
            return False
        slowness = self._find_elsewhere(unit, behind, now)
        if slowness is None:
            return False
        gain = self._compute_gain(unit, members, behind, slowness)
        done_s = now - unit.active_since
        moved = self._count_missed(unit, gain.moved_s + gain.cost_s, now)
        if moved >= stays or gain.saved_s <= gain.cost_s:
            return False
        if not unit.step.checkpoints and done_s >= MAX_DONE_SHARE * gain.saved_s:
            return False
        unit.avoided.add(behind.worker_id)
        self._core.note(
            "moved to faster workers",
            job=unit.job.accepted.job_id,
            step=unit.step_index,
            index=unit.indices[0],
            run=unit.run,
            worker=behind.worker_id,
            slowness=round(behind.slowness, 2),
            other_slowness=round(slowness, 2),
            left=round(behind.left, 2),
            stays_s=round(gain.stays_s, 2),
            moved_s=round(gain.moved_s, 2),
            done_s=round(done_s, 2),
        )
        return True

    def _measure(self, placement: Placement, unit: Unit, now: float) -> _Member:
        slowness = self._core.profiles.find(placement.worker_id, now).slowness
        usual_s = self._estimates.estimate_run(unit)
        worked = placement.percent - (placement.first_percent or 0.0)
        took_s = placement.progressed_at - placement.active_at
        if worked >= MIN_PERCENT and took_s > 0:
            # The worker may have become slow only lately.
            usual_s = max(usual_s, took_s * 100 / worked / slowness)
        left = 1 - min(100.0, placement.percent) / 100
        return _Member(placement.worker_id, slowness, usual_s, left)

    def _count_missed(self, unit: Unit, remaining_s: float, now: float) -> int:
        """Return how many limits a unit misses: its objective, and that of any use.

        They count from when the unit could start. A move that misses as many would
        cost work and gain nothing for a caller.
        """
        accepted = unit.job.accepted
        run_time_s = self._estimates.estimate_run(unit)
        objective_s = accepted.stretch * run_time_s + accepted.slo_s
        ends_s = now - unit.ready_at + remaining_s
        return (ends_s > objective_s) + (ends_s > USEFUL_FACTOR * objective_s)

    def _find_elsewhere(self, unit: Unit, behind: _Member, now: float) -> float | None:
        """Return the slowness of the slowest of other workers with room, or None."""
        if self._view is None:
            # Each stop frees capacity only later, so one view serves all units.
            self._view = PoolView(self._core, now)
        own = {p.worker_id for p in unit.placements.values()}
        pool = self._core.workers[behind.worker_id].entry.pool
        usable = [
            self._free_own(candidate, unit) if candidate.worker_id in own else candidate
            for candidate in self._view.list_pool(pool)
            if candidate.profile.measured
            and candidate.profile.doubt < DOUBTFUL
            and estimate_slowness(candidate) < behind.slowness
        ]
        found = place_unit(
            unit.step,
            len(unit.indices),
            usable,
            avoided=unit.avoided | {behind.worker_id},
            preference=CERTAIN_FIRST,
        )
        if found is None:
            return None
        return max(estimate_slowness(c) for c in usable if c.worker_id in found)

    def _free_own(self, candidate: Candidate, unit: Unit) -> Candidate:
        needs = [
            p.need
            for p in unit.placements.values()
            if p.worker_id == candidate.worker_id
        ]
        return dataclasses.replace(candidate, free=sum(needs, start=candidate.free))

    def _compute_gain(
        self, unit: Unit, members: list[_Member], behind: _Member, slowness: float
    ) -> _Gain:
        # Work with checkpoints saves one when it is stopped; other work is repeated.
        saves = unit.step.checkpoints
        work_s = max(m.usual_s * (m.left if saves else 1.0) for m in members)
        cost_s = self._restart_s + START_S
        return _Gain(behind.remaining_s, work_s * slowness, cost_s, slowness)


def _may_move(unit: Unit) -> bool:
    return unit.state is UnitState.BUSY and unit.all_active and not unit.charged


def _is_in_flight(unit: Unit, run: int) -> bool:
    """Return whether a unit that was stopped in ``run`` is not active again."""
    if unit.job.terminal or unit.state in (UnitState.DONE, UnitState.FAILED):
        return False
    return unit.run == run or not unit.all_active
