"""Choose workers for the tasks of a unit."""

import dataclasses
import itertools
import math
import operator
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..models.workload import Resources, Step
from .preferences import BEST_FIT, Preference
from .profiles import UNKNOWN, WorkerProfile
from .state import Worker

UNBOUNDED = 1 << 30
"""A task count that is larger than any worker can hold."""

Rank = tuple[float, int, int, str]
"""A worker's preference rank, its accelerators and memory (MB) left, and its id."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that may get tasks, with its free capacity in this pass.

    ``backfill_window_s`` is for how long it may be used until a waiting gang needs it.
    """

    worker_id: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    profile: WorkerProfile = UNKNOWN
    backfill_window_s: float = math.inf

    @property
    def slowness(self) -> float:
        """Return the run time of a task there relative to a usual worker."""
        return self.profile.slowness


def count_fitting_if_empty(candidate: Candidate, need: Resources) -> int:
    """Return how many tasks of this size fit on the worker if it is empty."""
    return count_fitting(candidate.capacity, need)


def count_fitting(free: Resources, need: Resources) -> int:
    """Return how many tasks of this size fit into the free capacity."""
    # This runs for each worker and each waiting unit: building a list of the limits
    # here took a third of a pass over a large pool.
    fitting = UNBOUNDED
    if need.cpu_milli:
        fitting = free.cpu_milli // need.cpu_milli
    if need.memory_mb:
        fitting = min(fitting, free.memory_mb // need.memory_mb)
    if need.accelerators:
        fitting = min(fitting, free.accelerators // need.accelerators)
    return max(0, fitting) if fitting < UNBOUNDED else 1


def rank_fit(candidate: Candidate, need: Resources, preferred: float) -> Rank:
    """Rank a worker for a task after its ``preferred`` rank; the lowest is the best.

    This is best fit: with tasks of 1 and of 8 accelerators, small tasks go where they
    leave the least capacity, so that whole workers stay free for large tasks. Those
    would otherwise wait until a worker becomes empty by chance.
    """
    free = candidate.free
    return (
        preferred,
        free.accelerators - need.accelerators,
        free.memory_mb - need.memory_mb,
        candidate.worker_id,
    )


def list_suitable(
    step: Step,
    candidates: Iterable[Candidate],
    avoided: Collection[str],
    *,
    run_time_s: float = 0.0,
) -> list[Candidate]:
    """Return the workers that the step may use for ``run_time_s`` seconds.

    Workers are excluded by the step's label, by earlier failures there (``avoided``),
    and by gangs that wait for them.
    """
    label, need = step.label, step.need
    # This runs for each worker and each unit that is placed.
    return [
        c
        for c in candidates
        if run_time_s <= c.backfill_window_s
        and c.capacity.covers(need)
        and (not label or label in c.labels)
        and not (avoided and c.worker_id in avoided)
    ]


def fits_one_rack(step: Step, count: int, candidates: Sequence[Candidate]) -> bool:
    """Return whether some rack could hold all tasks if it were empty."""
    return measure_largest_rack(step.need, candidates) >= count


def measure_largest_rack(need: Resources, candidates: Sequence[Candidate]) -> int:
    """Return how many tasks of this size fit on the largest rack if it is empty."""
    return max(
        (
            sum(count_fitting_if_empty(c, need) for c in rack)
            for rack in group_by_rack(candidates)
        ),
        default=0,
    )


def collect_racks(workers: Iterable[Worker]) -> dict[str, set[Resources]]:
    """Return the different capacities of the registered workers of each rack."""
    racks: dict[str, set[Resources]] = {}
    for worker in workers:
        if worker.registered:
            racks.setdefault(worker.rack, set()).add(worker.entry.capacity)
    return racks


def group_by_rack(candidates: Sequence[Candidate]) -> list[list[Candidate]]:
    """Return the workers grouped by rack."""
    ordered = sorted(candidates, key=operator.attrgetter("rack", "worker_id"))
    grouped = itertools.groupby(ordered, key=operator.attrgetter("rack"))
    return [list(group) for _, group in grouped]


def assign_tasks(
    step: Step,
    count: int,
    candidates: Sequence[Candidate],
    taken: Mapping[str, int],
    *,
    preference: Preference = BEST_FIT,
) -> list[str] | None:
    """Return a worker for each of ``count`` tasks, or None if not all of them fit.

    ``taken`` maps workers to the number of the step's tasks that they already have.
    """
    fits = _list_fits(step, count, candidates, taken, preference=preference)
    if sum(fit.tasks for fit in fits) < count:
        return None
    # A worker that has got a task has even less free capacity than before, so it is
    # the best fit until it is full.
    fits.sort(key=_get_rank)
    slots = itertools.chain.from_iterable(
        itertools.repeat(fit.rank[-1], fit.tasks) for fit in fits
    )
    return list(itertools.islice(slots, count))


class _Fit(NamedTuple):
    """How many tasks a worker takes, and its rank for them."""

    rank: Rank
    tasks: int
    candidate: Candidate


_get_rank = operator.attrgetter("rank")


def _list_fits(
    step: Step,
    count: int,
    candidates: Iterable[Candidate],
    taken: Mapping[str, int],
    *,
    preference: Preference,
) -> list[_Fit]:
    """Return the workers that take at least one of the step's tasks."""
    need, limit = step.need, step.most_per_worker
    anywhere = need == Resources()
    prefer = preference.rank
    fits = []
    # This runs for each worker and each unit that is placed.
    for candidate in candidates:
        free = candidate.free
        if not free.covers(need):
            continue
        fitting = count if anywhere else count_fitting(free, need)
        if limit:
            fitting = min(fitting, limit - taken.get(candidate.worker_id, 0))
        if fitting > 0:
            rank = rank_fit(candidate, need, prefer(candidate))
            fits.append(_Fit(rank, fitting, candidate))
    return fits


def takes_another(
    step: Step, candidate: Candidate, taken: Mapping[str, int], *, run_time_s: float
) -> bool:
    """Return whether a worker takes one more of the step's tasks."""
    limit = step.most_per_worker
    if limit and taken.get(candidate.worker_id, 0) >= limit:
        return False
    if run_time_s > candidate.backfill_window_s:
        return False
    return candidate.free.covers(step.need)


def order_by_fit(
    step: Step,
    candidates: Sequence[Candidate],
    taken: Mapping[str, int],
    *,
    run_time_s: float,
    preference: Preference,
) -> list[Candidate]:
    """Return the workers for single tasks of a step, in the order to fill them.

    If the step has a rack, only workers there are returned.
    """
    suitable = list_suitable(step, candidates, (), run_time_s=run_time_s)
    if step.rack:
        suitable = [c for c in suitable if c.rack == step.rack]
    fits = _list_fits(step, 1, suitable, taken, preference=preference)
    fits.sort(key=_get_rank)
    return [fit.candidate for fit in fits]


def place_unit(
    step: Step,
    count: int,
    candidates: Sequence[Candidate],
    *,
    avoided: Collection[str] = (),
    taken: dict[str, int] | None = None,
    spread_allowed: bool = False,
    run_time_s: float = 0.0,
    preference: Preference = BEST_FIT,
) -> list[str] | None:
    """Return a worker for each of ``count`` tasks, or None.

    A gang that asks for one rack gets the one with the least free capacity that
    suffices. Spread over racks, it would take several times as long and hold its
    accelerators for all that time, so it is spread only if ``spread_allowed``, or if
    it is larger than any rack.
    """
    suitable = list_suitable(step, candidates, avoided, run_time_s=run_time_s)
    held = taken or {}
    if step.rack:
        in_rack = [c for c in suitable if c.rack == step.rack]
        found = assign_tasks(step, count, in_rack, held, preference=preference)
        if found is not None or not spread_allowed:
            return found
    if step.one_rack and count > 1:
        found = _choose_rack(step, count, suitable, held, preference=preference)
        if found is not None:
            return found
        if not spread_allowed and fits_one_rack(step, count, candidates):
            return None
    return assign_tasks(step, count, suitable, held, preference=preference)


def _choose_rack(
    step: Step,
    count: int,
    candidates: Sequence[Candidate],
    taken: Mapping[str, int],
    *,
    preference: Preference,
) -> list[str] | None:
    """Return a gang's workers on the rack with the least that suffices.

    The gang's preference goes before that. Racks are tried from the least on, and only
    as long as one may be better.
    """
    needed = count * step.need.accelerators
    racks = [
        (
            preference.find_bound(rack),
            sum(c.free.accelerators for c in rack),
            number,
            rack,
        )
        for number, rack in enumerate(group_by_rack(candidates))
        # Workers on which more is reserved than free have less than nothing.
        if sum(max(0, c.free.accelerators) for c in rack) >= needed
    ]
    best: tuple[float, int, list[str]] | None = None
    for bound, free, _, rack in sorted(racks):
        if best is not None and (bound, free) > best[:2]:
            break
        found = assign_tasks(step, count, rack, taken, preference=preference)
        if found is None:
            continue
        members = [c for c in rack if c.worker_id in found]
        row = (preference.rank_gang(members), free, found)
        best = row if best is None else min(best, row)
    return None if best is None else best[2]
