"""Find work that stands still beside a pool that is mostly idle."""

from collections.abc import Iterable, Mapping

from ..models.workload import Resources
from .state import Unit, Worker

IDLE_SHARE = 0.5
"""Share of a pool in use, below which it counts as idle: holding workers free for one
gang, or waiting for one rack, then keeps more from work than it ever gives back."""

IGNORE_BACKFILL_LIMIT_AFTER_S = 4.0
"""Seconds that a job which is not urgent stands still in an idle pool while workers
are kept for others; then it takes them."""

SPREAD_IF_IDLE_AFTER_S = 10.0
"""Seconds that it stands still there for want of its rack: elsewhere it takes several
times as long, and a rack often comes free within the run time of a task."""


def find_idle_pools(
    workers: Iterable[Worker], free_capacity: Mapping[str, Resources]
) -> set[str]:
    """Return the pools of which less than ``IDLE_SHARE`` is in use.

    ``free_capacity`` has what is free on each worker, by its id.
    """
    capacity: dict[str, Resources] = {}
    free: dict[str, Resources] = {}
    for worker in workers:
        if not worker.registered:
            continue
        pool = worker.entry.pool
        capacity[pool] = capacity.get(pool, Resources()) + worker.entry.capacity
        free[pool] = free.get(pool, Resources()) + free_capacity[worker.worker_id]
    return {
        pool
        for pool, whole in capacity.items()
        if min(_list_shares(free[pool], whole), default=0.0) > 1 - IDLE_SHARE
    }


def is_starved(unit: Unit, now: float, *, longer_than: float) -> bool:
    """Tell whether a job that is not urgent has had nothing at work for so long.

    Answers the end of a burst of wide gangs: three of them kept most workers for
    themselves, each set waiting for its last worker, and small work and other gangs
    waited beside a pool that was more than half free, some for good.
    """
    if unit.job.accepted.priority == 0 or now - unit.ready_at <= longer_than:
        return False
    return not any(other.placements for other in unit.job.units)


def _list_shares(part: Resources, whole: Resources) -> list[float]:
    """Return the share of each kind of room that there is."""
    return [
        amount / total
        for amount, total in (
            (part.cpu_milli, whole.cpu_milli),
            (part.memory_mb, whole.memory_mb),
            (part.accelerators, whole.accelerators),
        )
        if total
    ]
