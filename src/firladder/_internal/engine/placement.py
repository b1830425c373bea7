"""Choose workers for the tasks of a unit."""

import dataclasses
import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence

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
    return (
        round(candidate.slowness, 1) if fast_first else 1.0,
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
    left: dict[str, Resources] = {}
    used = dict(taken)
    chosen: list[str] = []
    current: Candidate | None = None
    for _ in range(count):
        if current is None or not _accepts(step, current, left, used):
            current = _find_best_fit(step, candidates, left, used, fast_first)
            if current is None:
                return None
        worker_id = current.worker_id
        chosen.append(worker_id)
        left[worker_id] = left.get(worker_id, current.free) - step.need
        used[worker_id] = used.get(worker_id, 0) + 1
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


def _find_best_fit(
    step: Step,
    candidates: Iterable[Candidate],
    left: Mapping[str, Resources],
    used: Mapping[str, int],
    fast_first: bool,
) -> Candidate | None:
    """Return the worker of the lowest rank that takes another task of the step."""
    best: Candidate | None = None
    best_rank: tuple[float, int, int, str] | None = None
    # This runs for each worker and each task that is placed: a fleet of 3,000 has
    # hundreds of millions of such checks in a minute.
    cpu_milli, memory_mb = step.need.cpu_milli, step.need.memory_mb
    accelerators, limit = step.need.accelerators, step.most_per_worker
    for candidate in candidates:
        worker_id = candidate.worker_id
        free = left.get(worker_id, candidate.free)
        if (
            free.accelerators < accelerators
            or free.memory_mb < memory_mb
            or free.cpu_milli < cpu_milli
            or (limit and used.get(worker_id, 0) >= limit)
        ):
            continue
        rank = rank_fit(candidate, free, step.need, fast_first=fast_first)
        if best_rank is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best


def _accepts(
    step: Step,
    candidate: Candidate,
    left: Mapping[str, Resources],
    used: Mapping[str, int],
) -> bool:
    worker_id = candidate.worker_id
    if step.most_per_worker and used.get(worker_id, 0) >= step.most_per_worker:
        return False
    return left.get(worker_id, candidate.free).covers(step.need)


def takes_another(
    step: Step, candidate: Candidate, taken: Mapping[str, int], *, run_time_s: float
) -> bool:
    """Return whether the worker that got the step's last task takes one more.

    It is then the best fit again: it has even less free capacity than before.
    """
    if run_time_s > candidate.backfill_window_s:
        return False
    return _accepts(step, candidate, {}, taken)


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
