"""Choose workers for the tasks of a unit."""

import dataclasses
import itertools
import math
from collections.abc import Collection, Iterable, Sequence

from ..models.workload import Resources, Step
from .state import Worker

UNBOUNDED = 1 << 30
"""A task count that is larger than any worker can hold."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that may get tasks, with its free capacity in this pass.

    ``backfill_window_s`` is for how long it may be used until a waiting gang needs it;
    ``slowness`` is the run time of a task there relative to a usual worker.
    """

    worker_id: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    slowness: float = 1.0
    backfill_window_s: float = math.inf


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


def rank_fit(
    candidate: Candidate, free: Resources, need: Resources, *, fast_first: bool = False
) -> tuple[float, int, int, str]:
    """Rank a worker with ``free`` capacity for a task; the lowest rank is the best.

    This is best fit: with tasks of 1 and of 8 accelerators, small tasks go where they
    leave the least capacity, so that whole workers stay free for large tasks. Those
    would otherwise wait until a worker becomes empty by chance.

    ``fast_first`` ranks by the worker's speed first: urgent work has only half of its
    run time to spare, and a slow worker uses up most of that.
    """
    left = free - need
    return (
        round(candidate.slowness, 1) if fast_first else 1.0,
        left.accelerators,
        left.memory_mb,
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
    return [
        c
        for c in candidates
        if (not step.label or step.label in c.labels)
        and c.worker_id not in avoided
        and run_time_s <= c.backfill_window_s
        and c.capacity.covers(step.need)
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
    ordered = sorted(candidates, key=lambda c: (c.rack, c.worker_id))
    grouped = itertools.groupby(ordered, key=lambda c: c.rack)
    return [list(group) for _, group in grouped]


def assign_tasks(
    step: Step,
    count: int,
    candidates: Sequence[Candidate],
    taken: dict[str, int],
    *,
    fast_first: bool = False,
) -> list[str] | None:
    """Return a worker for each of ``count`` tasks, or None if not all of them fit.

    ``taken`` maps workers to the number of the step's tasks that they already have.
    """
    if not _may_fit(step, count, candidates):
        return None
    free = {c.worker_id: c.free for c in candidates}
    used = dict(taken)
    by_id = {c.worker_id: c for c in candidates}
    chosen: list[str] = []
    current: str | None = None
    for _ in range(count):
        if current is None or not _accepts(step, current, free, used):
            ranked = (
                (rank_fit(c, free[w], step.need, fast_first=fast_first), w)
                for w, c in by_id.items()
                if _accepts(step, w, free, used)
            )
            current = min(ranked, default=((), None))[1]
            if current is None:
                return None
        chosen.append(current)
        free[current] = free[current] - step.need
        used[current] = used.get(current, 0) + 1
    return chosen


def _may_fit(step: Step, count: int, candidates: Iterable[Candidate]) -> bool:
    """Return False if the tasks certainly do not fit: a quick check for full pools."""
    if step.need == Resources():
        return True
    fitting = 0
    for candidate in candidates:
        fitting += count_fitting(candidate.free, step.need)
        if fitting >= count:
            return True
    return False


def _accepts(
    step: Step, worker_id: str, free: dict[str, Resources], used: dict[str, int]
) -> bool:
    if step.most_per_worker and used.get(worker_id, 0) >= step.most_per_worker:
        return False
    return free[worker_id].covers(step.need)


def place_unit(
    step: Step,
    count: int,
    candidates: Sequence[Candidate],
    *,
    avoided: Collection[str] = (),
    taken: dict[str, int] | None = None,
    spread_allowed: bool = False,
    run_time_s: float = 0.0,
    fast_first: bool = False,
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
        found = assign_tasks(step, count, in_rack, held, fast_first=fast_first)
        if found is not None or not spread_allowed:
            return found
    if step.one_rack and count > 1:
        options = [
            (
                _find_gang_slowness(rack, found) if fast_first else 1.0,
                sum(c.free.accelerators for c in rack),
                found,
            )
            for rack in group_by_rack(suitable)
            if (found := assign_tasks(step, count, rack, held, fast_first=fast_first))
            is not None
        ]
        if options:
            return min(options)[2]
        if not spread_allowed and fits_one_rack(step, count, candidates):
            return None
    return assign_tasks(step, count, suitable, held, fast_first=fast_first)


def _find_gang_slowness(rack: Sequence[Candidate], chosen: Sequence[str]) -> float:
    """Return the slowness of the slowest chosen worker, which determines a gang's."""
    return max(round(c.slowness, 1) for c in rack if c.worker_id in chosen)
