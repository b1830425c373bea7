"""The workers of which one group must hold a unit, and what is known of each."""

import dataclasses
from collections.abc import Iterable, Sequence

from .advice import Advice
from .advice_demands import Demand
from .placement import Candidate, count_fitting, group_by_rack, rank_fit
from .preferences import BEST_FIT, FAST_FIRST


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Candidates that may hold a unit together: a rack, or the whole pool.

    ``open`` are those that can be asked for. The numbers say how many tasks fit ``now``
    or in all (``ever``) on the workers with tickets (``known``), and on these and those
    that can be asked for (``possible``).
    """

    open: tuple[Candidate, ...]
    known_now: int
    possible_now: int
    known_ever: int
    possible_ever: int


def group_candidates(
    advice: Advice, demand: Demand, candidates: list[Candidate], now: float
) -> list[Group]:
    """Return the groups of workers of which one must hold the step's unit."""
    step = demand.units[0].step
    if step.rack:
        near = [c for c in candidates if c.rack == step.rack]
        group = _measure(advice, demand, near, now)
        if group.open:
            return [group]
    if step.one_rack and demand.gang:
        racks = group_by_rack(candidates)
        groups = [_measure(advice, demand, rack, now) for rack in racks]
        fitting = [g for g in groups if g.possible_ever >= demand.tasks]
        if fitting:
            return fitting
    return [_measure(advice, demand, candidates, now)]


def rank_worker(
    advice: Advice, demand: Demand, candidate: Candidate
) -> tuple[object, ...]:
    """Rank a worker by how likely it is to be wanted, as a planning pass does."""
    verdict = advice.find_verdict(demand.step, candidate.worker_id)
    need = demand.units[0].step.need
    preference = FAST_FIRST if demand.urgent else BEST_FIT
    return (
        verdict is not None and not verdict.ticket,
        not candidate.free.covers(need),
        round(candidate.profile.doubt, 1),
        rank_fit(candidate, need, preference.rank(candidate)),
    )


def _measure(
    advice: Advice, demand: Demand, candidates: Sequence[Candidate], now: float
) -> Group:
    name, terms = demand.step, demand.terms
    with_ticket = advice.list_usable(name, terms, now)
    settled = advice.list_settled(name, terms, now)
    usable = [c for c in candidates if c.worker_id in with_ticket]
    open_ = [c for c in candidates if c.worker_id not in settled]
    known = usable
    if not (demand.urgent or demand.gang):
        # Waiting for capacity, single tasks renew their tickets when there is some.
        known = [c for c in candidates if _had_ticket(advice, demand, c)]
    known_now = _count_fits(demand, usable, free=True)
    possible = {c.worker_id: c for c in (*known, *open_)}.values()
    return Group(
        tuple(open_),
        known_now,
        known_now + _count_fits(demand, open_, free=True),
        _count_fits(demand, known, free=False),
        _count_fits(demand, possible, free=False),
    )


def _had_ticket(advice: Advice, demand: Demand, candidate: Candidate) -> bool:
    verdict = advice.find_verdict(demand.step, candidate.worker_id)
    return verdict is not None and bool(verdict.ticket)


def _count_fits(demand: Demand, candidates: Iterable[Candidate], *, free: bool) -> int:
    """Return how many tasks of the step fit, on ``free`` or on all capacity."""
    step, taken = demand.units[0].step, demand.taken
    limit = step.most_per_worker or demand.tasks
    total = 0
    # This runs for each worker and each waiting step that is looked at.
    for c in candidates:
        fitting = count_fitting(c.free if free else c.capacity, step.need)
        total += max(0, min(limit - taken.get(c.worker_id, 0), fitting))
    return total
