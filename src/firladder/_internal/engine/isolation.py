"""Keep tasks that may crash their workers away from other work."""

from collections.abc import Iterator, Sequence

from .core import Core
from .placement import Candidate
from .state import Phase, Placement, Unit, Worker

MAX_ISOLATION_WAIT_S = 2.0
"""Seconds for which a suspected unit waits for idle workers. It may be innocent, and
there may never be any."""

SUSPECT_AFTER_SOLE = 2
"""Crashes of workers that only its job used, from which a unit is suspected."""

SUSPECT_AFTER = 3
"""The same for any crashes: at the next one it is given up."""

PROBATION_S = 2.0
"""Seconds after its start for which a unit under which workers crashed promptly keeps
its workers to itself; twice the longest time that a prompt crash takes."""


def is_suspect(unit: Unit) -> bool:
    """Return whether a unit may crash its next worker.

    A crash that was not prompt says little, and less if other jobs ran there. Workers
    that crash by themselves would otherwise keep whole workers for each of their tasks.
    """
    if any(c.prompt for c in unit.crashes):
        return True
    sole_runs = {c.run for c in unit.crashes if c.sole}
    return (
        len(sole_runs) >= SUSPECT_AFTER_SOLE
        or len({c.run for c in unit.crashes}) >= SUSPECT_AFTER
    )


def is_on_probation(worker: Worker, now: float) -> bool:
    """Return whether no other task should start there, as one may crash the worker."""
    return any(_may_crash(p, now) for p in worker.placements.values())


def _may_crash(placement: Placement, now: float) -> bool:
    unit = placement.unit
    if unit is None or not unit.crashes or placement.phase is Phase.STOPPING:
        return False
    if not is_suspect(unit):
        return False
    if not unit.all_active or not all(c.prompt for c in unit.crashes):
        return True
    return now - unit.active_since < PROBATION_S


def list_apart(
    unit: Unit,
    pool: Sequence[Candidate],
    core: Core,
    now: float,
) -> Iterator[list[Candidate]]:
    """Yield the workers for a suspected unit, those where it can do least harm first.

    Until it has waited for ``MAX_ISOLATION_WAIT_S`` only idle ones are yielded that do
    not crash by themselves: an innocent unit would soon be charged again there.
    """
    stable = [c for c in pool if not _is_unstable(c, core, now)]
    yield [c for c in stable if c.free == c.capacity]
    if awaits_isolation(unit, now):
        return
    tasks = {c.worker_id: len(core.workers[c.worker_id].placements) for c in pool}
    for most in sorted(set(tasks.values())):
        yield [c for c in pool if tasks[c.worker_id] <= most]


def _is_unstable(candidate: Candidate, core: Core, now: float) -> bool:
    address = core.workers[candidate.worker_id].entry.address
    return core.restarts.is_unstable(address, now)


def awaits_isolation(unit: Unit, now: float) -> bool:
    """Return whether a suspected unit is still to wait for idle workers."""
    return is_suspect(unit) and now - unit.waiting_since < MAX_ISOLATION_WAIT_S
