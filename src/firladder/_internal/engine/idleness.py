"""Find jobs that are starved in a pool that is mostly idle."""

from collections.abc import Iterable, Mapping

from ..models.workload import Resources
from .state import Unit, Worker

IDLE_SHARE = 0.5
"""Share of a pool in use below which it counts as idle. Protecting a gang from
backfilling, or waiting for one rack, then wastes more capacity than it gains."""

IGNORE_BACKFILL_LIMIT_AFTER_S = 4.0
"""How long a job that is not urgent waits in an idle pool for workers on which
backfilling is limited; then it may use them."""

SPREAD_IF_IDLE_AFTER_S = 10.0
"""How long a gang that is not urgent waits in an idle pool for its rack before it may
be spread over racks. Spread, it takes several times as long, and a rack often becomes
free within a task's run time."""


def find_idle_pools(
    workers: Iterable[Worker], free_capacity: Mapping[str, Resources]
) -> set[str]:
    """Return the pools of which less than ``IDLE_SHARE`` is in use.

    ``free_capacity`` maps the id of each worker to its free capacity.
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
        for pool, total in capacity.items()
        if min(_list_shares(free[pool], total), default=0.0) > 1 - IDLE_SHARE
    }


def is_starved(unit: Unit, now: float, *, longer_than: float) -> bool:
    """Return whether a job that is not urgent has waited that long with nothing placed.

    This happened at the end of a burst of wide gangs: backfilling was limited on most
    workers for three of them, each of which waited for its last worker. Small jobs and
    other gangs waited, some for ever, while more than half of the pool was free.
    """
    if unit.job.accepted.priority == 0 or now - unit.ready_at <= longer_than:
        return False
    return not any(other.placements for other in unit.job.units)


def _list_shares(part: Resources, capacity: Resources) -> list[float]:
    """Return ``part`` as a share of ``capacity``, for each resource that there is."""
    return [
        amount / total
        for amount, total in (
            (part.cpu_milli, capacity.cpu_milli),
            (part.memory_mb, capacity.memory_mb),
            (part.accelerators, capacity.accelerators),
        )
        if total
    ]
