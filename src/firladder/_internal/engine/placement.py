"""Choose workers for the tasks of a unit."""

import dataclasses
import itertools
import math
from collections.abc import Collection, Iterable, Sequence

from ..models.workload import Resources, Step

UNBOUNDED = 1 << 30
"""More tasks than any worker holds."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that may get tasks, with what is free there in this pass.

    ``backfill_window_s`` is for how long it may be used before it is needed for a gang
    that waits; ``slowness`` is how many times as long a task takes there.
    """

    worker_id: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    slowness: float = 1.0
    backfill_window_s: float = math.inf


def count_fitting_if_empty(candidate: Candidate, need: Resources) -> int:
    """Return how many like tasks an empty worker holds."""
    return count_fitting(candidate.capacity, need)


def count_fitting(free: Resources, need: Resources) -> int:
    """Return how many like tasks fit into free room."""
    # Asked for each worker by each unit that waits: a list made here only to be
    # dropped was a third of a pass over a large pool.
    room = UNBOUNDED
    if need.cpu_milli:
        room = free.cpu_milli // need.cpu_milli
    if need.memory_mb:
        room = min(room, free.memory_mb // need.memory_mb)
    if need.accelerators:
        room = min(room, free.accelerators // need.accelerators)
    return max(0, room) if room < UNBOUNDED else 1


def rank_fit(
    candidate: Candidate, free: Resources, need: Resources, *, fast_first: bool = False
) -> tuple[float, int, int, str]:
    """Rank a worker with ``free`` room for a task; the least rank is the best.

    Answers mixed loads of 1 and 8 accelerators: small tasks go where the least
    is left, so that whole workers stay free for large ones, which otherwise
    wait until a worker empties by chance. ``fast_first`` puts the worker's speed
    before that: urgent work has half its own time to spare, and a slow worker takes
    most of it.
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

    Its label, its past failures, and gangs that wait for a worker rule some out.
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
    """Tell whether some rack could hold all tasks if it were empty."""
    return measure_largest_rack(step.need, candidates) >= count


def measure_largest_rack(need: Resources, candidates: Sequence[Candidate]) -> int:
    """Return how many like tasks the largest rack would hold if it were empty."""
    return max(
        (
            sum(count_fitting_if_empty(c, need) for c in rack)
            for rack in group_by_rack(candidates)
        ),
        default=0,
    )


def group_by_rack(candidates: Sequence[Candidate]) -> list[list[Candidate]]:
    """Return the workers rack by rack."""
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
    """Return a worker for each of ``count`` tasks, or None if some have no room.

    ``taken`` tells how many tasks of the step each worker has already.
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
    """Tell whether so many tasks fit at most; on a full pool mostly they do not."""
    if step.need == Resources():
        return True
    room = 0
    for candidate in candidates:
        room += count_fitting(candidate.free, step.need)
        if room >= count:
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

    A gang that wants one rack gets the rack that it fills best. Spread over
    racks it would take several times as long, and hold its accelerators all
    that while; only ``spread_allowed``, or a gang larger than any rack, lets it.
    """
    suitable = list_suitable(step, candidates, avoided, run_time_s=run_time_s)
    held = taken or {}
    if step.rack:
        near = [c for c in suitable if c.rack == step.rack]
        found = assign_tasks(step, count, near, held, fast_first=fast_first)
        if found is not None or not spread_allowed:
            return found
    if step.one_rack and count > 1:
        options = [
            (
                _find_slowest(rack, found) if fast_first else 1.0,
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


def _find_slowest(rack: Sequence[Candidate], chosen: Sequence[str]) -> float:
    """Return how slow the slowest of the chosen workers is: a gang is as slow."""
    return max(round(c.slowness, 1) for c in rack if c.worker_id in chosen)
