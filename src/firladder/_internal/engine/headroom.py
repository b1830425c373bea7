"""Capacity that is kept free from lower-priority work for urgent arrivals."""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Sequence

from ..models.workload import Resources
from .placement import Candidate
from .state import Job, Unit
from .strategy_kinds import HEADROOMS, PlannerSettings
from .urgent_demand import NOTHING, Amounts, UrgentDemand, list_amounts, subtract

MAX_SHARE = 0.15
"""Greatest share of a pool that is kept free. The rest is always open to lower work."""

FIXED_SHARE = 0.1
"""Share of a pool that the fixed way keeps free; the learned one keeps 5 to 15%."""

RELEASE_AFTER_S = 5.0
"""Seconds without urgent arrivals after which nothing is kept free. At two arrivals a
second such a gap means that the urgent work has ended."""

POLL_S = 0.5
"""Time until the leader reads the end of a stopped task and starts the next: a poll, a
write to the store and an order."""

NOTE_INTERVAL_S = 1.0
"""Shortest time between two log lines about the headroom of one pool."""


@dataclasses.dataclass(slots=True)
class _Pool:
    """What is known of a pool; ``held`` is None until a pass finds it short.

    ``spare`` is what is free in the pass beyond what is wanted, or less; ``noted`` is
    how many held workers were logged last.
    """

    demand: UrgentDemand = dataclasses.field(default_factory=UrgentDemand)
    held: frozenset[str] | None = None
    spare: Amounts = NOTHING
    noted: int = 0
    noted_at: float = 0.0


@HEADROOMS.register("none")
class NoHeadroom:
    """Keeps nothing free."""

    def __init__(self, settings: PlannerSettings) -> None:
        """Take no setting."""

    def begin_pass(
        self,
        waiting: Iterable[Unit],
        find_pool: Callable[[Job], str],
        now: float,
        wall: float,
    ) -> None:
        """Start a pass; nothing is kept for it."""

    def list_held(
        self, unit: Unit, pool_name: str, pool: Sequence[Candidate]
    ) -> Collection[str]:
        """Return no worker."""
        return ()


@HEADROOMS.register("learned")
class LearnedHeadroom:
    """Keeps free what urgent work is expected to ask for while room is made for it.

    Load: bursts of urgent gangs on a pool that lower work would fill. Each gang would
    wait for the stop of that work, and the work would be lost.

    Nothing is kept while more is free than that, without recent urgent arrivals, and
    from work that must start now to be in time or has waited for its objective.
    """

    def __init__(self, settings: PlannerSettings) -> None:
        """Expect the time for making room that ``settings`` name."""
        self._core = settings.core
        self._estimates = settings.estimates
        self._making_room_s = settings.restart_s + POLL_S
        self._pools: dict[str, _Pool] = {}
        self._now = self._wall = 0.0

    def begin_pass(
        self,
        waiting: Iterable[Unit],
        find_pool: Callable[[Job], str],
        now: float,
        wall: float,
    ) -> None:
        """Learn from the urgent units that are planned for the first time."""
        self._now, self._wall = now, wall
        for state in self._pools.values():
            state.held, state.spare = None, NOTHING
        for unit in waiting:
            if unit.job.accepted.priority == 0 and unit.ready_at == now:
                state = self._pools.setdefault(find_pool(unit.job), _Pool())
                run_time_s = self._estimates.estimate_run(unit)
                state.demand.add(unit, run_time_s=run_time_s, now=now)

    def list_held(
        self, unit: Unit, pool_name: str, pool: Sequence[Candidate]
    ) -> Collection[str]:
        """Return the workers that a unit may not use."""
        state = self._pools.get(pool_name)
        if state is None or unit.job.accepted.priority == 0:
            return ()
        if self._now - state.demand.last_at > RELEASE_AFTER_S:
            self._note(state, pool_name, NOTHING, NOTHING, 0)
            return ()
        if self._is_due(unit):
            return ()
        if state.held is None:
            state.held = self._choose_if_short(state, unit, pool_name, pool)
        return state.held or ()

    def _choose_if_short(
        self, state: _Pool, unit: Unit, pool_name: str, pool: Sequence[Candidate]
    ) -> frozenset[str] | None:
        """Return the workers to hold, or None while there is more than enough room.

        The free capacity is counted anew only when it may be short: a step of dozens of
        tasks would otherwise count the whole pool for each of them.
        """
        asked = list_amounts(unit.step.need, len(unit.indices))
        state.spare = subtract(state.spare, asked)
        if min(state.spare) >= 0:
            return None
        limit = _measure_share(pool, MAX_SHARE)
        wanted = _take_least(self._measure_wanted(state.demand, pool), limit)
        usable = _list_usable(pool, wanted, state.demand.bearable_slowness)
        free = _sum_amounts(c.free for c in usable)
        state.spare = subtract(subtract(free, asked), wanted)
        if min(state.spare) >= 0:
            return None
        held = frozenset(_choose_workers(usable, wanted, limit))
        self._note(state, pool_name, wanted, free, len(held))
        return held

    def _measure_wanted(
        self, demand: UrgentDemand, pool: Sequence[Candidate]
    ) -> Amounts:
        return demand.expect(self._making_room_s, self._now)

    def _is_due(self, unit: Unit) -> bool:
        """Return whether work must start now to be in time, or has waited enough.

        No unit is held back for longer than its own objective.
        """
        accepted = unit.job.accepted
        run_time_s = self._estimates.estimate_run(unit)
        objective_s = accepted.stretch * run_time_s + accepted.slo_s
        left_s = objective_s - run_time_s - (self._wall - accepted.accepted_at_s)
        if 0 <= left_s < self._making_room_s:
            return True
        return self._now - unit.ready_at >= objective_s

    def _note(
        self, state: _Pool, pool_name: str, wanted: Amounts, free: Amounts, held: int
    ) -> None:
        if held == state.noted or self._now - state.noted_at < NOTE_INTERVAL_S:
            return
        state.noted, state.noted_at = held, self._now
        self._core.note(
            "headroom kept" if held else "headroom released",
            pool=pool_name,
            wanted=[round(amount) for amount in wanted],
            free=[round(amount) for amount in free],
            workers=held,
            urgent_per_s=round(state.demand.rate, 2),
        )


@HEADROOMS.register("fixed_share")
class FixedHeadroom(LearnedHeadroom):
    """Keeps a fixed share of a pool free while urgent work arrives."""

    def _measure_wanted(
        self, demand: UrgentDemand, pool: Sequence[Candidate]
    ) -> Amounts:
        return _measure_share(pool, FIXED_SHARE)


def _list_usable(
    pool: Iterable[Candidate], wanted: Amounts, bearable_slowness: float
) -> list[Candidate]:
    """Return the workers that urgent work could use now and be in time."""
    return [
        c
        for c in pool
        if c.slowness <= bearable_slowness
        and all(
            free > 0 or not amount
            for free, amount in zip(list_amounts(c.free), wanted, strict=True)
        )
    ]


def _choose_workers(
    usable: Sequence[Candidate], wanted: Amounts, limit: Amounts
) -> Iterable[str]:
    """Yield workers of as few racks as possible until they have what is wanted free.

    Most urgent gangs want one rack, and their members whole workers. The free capacity
    of all never exceeds ``limit``: in a small pool, one worker may be more than that.
    """
    racks: dict[str, int] = {}
    for candidate in usable:
        racks[candidate.rack] = (
            racks.get(candidate.rack, 0) + candidate.free.accelerators
        )
    ordered = sorted(
        usable,
        key=lambda c: (-racks[c.rack], c.rack, -c.free.accelerators, c.worker_id),
    )
    missing, left = wanted, limit
    for candidate in ordered:
        if max(missing) <= 0:
            return
        free = list_amounts(candidate.free)
        if min(subtract(left, free)) < 0:
            continue
        yield candidate.worker_id
        missing, left = subtract(missing, free), subtract(left, free)


def _sum_amounts(amounts: Iterable[Resources]) -> Amounts:
    rows = [list_amounts(a) for a in amounts]
    cpu, memory, accelerators = map(sum, zip(*rows, strict=True)) if rows else NOTHING
    return cpu, memory, accelerators


def _measure_share(pool: Iterable[Candidate], share: float) -> Amounts:
    cpu, memory, accelerators = _sum_amounts(c.capacity for c in pool)
    return cpu * share, memory * share, accelerators * share


def _take_least(one: Amounts, other: Amounts) -> Amounts:
    return min(one[0], other[0]), min(one[1], other[1]), min(one[2], other[2])
