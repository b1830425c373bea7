"""Limits on the workers that one unit may use: racks, failures, tasks per worker."""

from collections import Counter
from collections.abc import Iterable, Sequence

from .core import Core
from .guarantees import is_guaranteed
from .idleness import (
    IGNORE_BACKFILL_LIMIT_AFTER_S,
    SPREAD_IF_IDLE_AFTER_S,
    is_starved,
)
from .placement import Candidate, list_suitable
from .pool_view import PoolView
from .shortages import ANY_WORKER_S, Demand
from .state import Unit
from .waiting import WaitingUnits

SPREAD_AFTER_SHARE = 0.6
"""Share of the time within which guaranteed work must start after which a guaranteed
gang may be spread over racks. It then takes several times as long and holds its
accelerators for all that time."""

SPREAD_MARGIN_S = 1.5
"""Minimum part of the same time that is left when it may be spread. Room for it must
still be made, which takes up to a second behind a full link."""

AVOID_MAX_WAIT_S = 2.0
"""Seconds for which a unit waits for other workers than those where it failed or stood
still. They may be too few, in use by work that never ends, or all far from its data; a
worker at which several jobs fail is quarantined anyway."""


class UnitLimits:
    """What limits a unit's workers in one pass."""

    def __init__(
        self,
        core: Core,
        view: PoolView,
        waiting: WaitingUnits,
        now: float,
        *,
        reclaim_s: float,
    ) -> None:
        """Judge by the workers in ``view`` at ``now``."""
        self._core = core
        self._view = view
        self._waiting = waiting
        self._now = now
        self._reclaim_s = reclaim_s

    def describe_demand(self, unit: Unit, *, run_time_s: float) -> Demand:
        """Return what a unit needs from its pool."""
        pool_name = self._waiting.find_pool(unit.job)
        one_rack = not self.may_spread(unit) and self.needs_one_rack(unit, pool_name)
        if self.is_starved_in_idle_pool(
            unit, longer_than=IGNORE_BACKFILL_LIMIT_AFTER_S
        ):
            run_time_s = ANY_WORKER_S
        return Demand(
            pool_name, unit.step.need, len(unit.indices), one_rack, run_time_s
        )

    def needs_one_rack(self, unit: Unit, pool_name: str) -> bool:
        """Return whether a gang asks for one rack and some rack is large enough."""
        need, count = unit.step.need, len(unit.indices)
        if not unit.step.one_rack or count == 1:
            return False
        return self._view.measure_largest_rack(pool_name, need) >= count

    def may_spread(self, unit: Unit) -> bool:
        """Return whether a unit may use workers outside the rack that it asks for."""
        if unit.step.rack and unit.step.rack in self._view.evacuated_racks:
            # Nothing starts there until the operators end the evacuation.
            return True
        if unit.step.rack and not self._view.fits_rack(unit.step):
            # All its workers have left, or have become too small.
            return True
        if self.is_starved_in_idle_pool(unit, longer_than=SPREAD_IF_IDLE_AFTER_S):
            return True
        waited = self._now - unit.ready_at
        urgent = unit.job.accepted.priority == 0
        late = waited > min(
            self._reclaim_s * SPREAD_AFTER_SHARE, self._reclaim_s - SPREAD_MARGIN_S
        )
        return urgent and late and is_guaranteed(self._core, unit)

    def is_starved_in_idle_pool(self, unit: Unit, *, longer_than: float) -> bool:
        """Return whether a unit has waited that long in a pool that is mostly idle."""
        if not is_starved(unit, self._now, longer_than=longer_than):
            return False
        return self._waiting.find_pool(unit.job) in self._view.idle_pools

    def list_avoided(self, unit: Unit, pool: Sequence[Candidate]) -> set[str]:
        """Return the workers where the unit failed, unless others are not usable."""
        if not unit.avoided or self._now - unit.waiting_since > AVOID_MAX_WAIT_S:
            return set()
        usable = list_suitable(unit.step, pool, unit.avoided)
        return unit.avoided if usable else set()


def count_taken(unit: Unit) -> dict[str, int]:
    """Return how many tasks of a unit's step each worker has, if that is limited."""
    if not unit.step.most_per_worker:
        return {}
    taken: dict[str, int] = {}
    for other in unit.job.by_step[unit.occurrence, unit.step_index]:
        for placement in other.placements.values():
            taken[placement.worker_id] = taken.get(placement.worker_id, 0) + 1
    return taken


def list_filled(unit: Unit, reserved: Iterable[str] = ()) -> set[str]:
    """Return the workers that have as many tasks of a unit's step as they may.

    ``reserved`` names the workers that other units of the step will get.
    """
    if not unit.step.most_per_worker:
        return set()
    taken = Counter(count_taken(unit)) + Counter(reserved)
    return {w for w, count in taken.items() if count >= unit.step.most_per_worker}
