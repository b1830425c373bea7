"""Keep tasks that may crash their workers away from other work."""

from collections.abc import Iterator, Sequence

from .core import Core
from .placement import Candidate
from .state import Phase, Placement, Unit, Worker

MAX_ISOLATION_WAIT_S = 2.0
"""Seconds for which a unit that was charged with crashes waits for suitable workers. It
may be innocent, and there may never be any."""

SUSPECT_AFTER = 2
"""Crashes from which a unit is suspected although none was prompt."""

PROBATION_S = 2.0
"""Seconds after its start for which a unit under which workers crashed promptly keeps
its workers to itself; twice the longest time that a prompt crash takes."""


def is_suspect(unit: Unit) -> bool:
    """Return whether a unit may crash its next worker.

    Not after one crash late in a run, which says little, and not after those of a
    worker that crashes by itself: each of its tasks would keep a whole worker later.
    """
    crashes = [c for c in unit.crashes if not c.explained]
    prompt = any(c.prompt for c in crashes)
    return prompt or len({c.run for c in crashes}) >= SUSPECT_AFTER


def is_on_probation(worker: Worker, now: float) -> bool:
    """Return whether no other task should start there, as one may crash the worker."""
    return any(_may_crash(p, now) for p in worker.placements.values())


def _may_crash(placement: Placement, now: float) -> bool:
    unit = placement.unit
    if unit is None or not unit.charged or placement.phase is Phase.STOPPING:
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
) -> Iterator[Sequence[Candidate]]:
    """Yield the workers for a charged unit, those where it can do least harm first.

    Until it has waited for ``MAX_ISOLATION_WAIT_S``, a suspected unit gets idle workers
    only, and none gets one that crashes by itself: it would soon be charged again.
    """
    stable = [c for c in pool if not _is_unstable(c, core, now)]
    suspect = is_suspect(unit)
    yield [c for c in stable if c.free == c.capacity] if suspect else stable
    if now - unit.waiting_since < MAX_ISOLATION_WAIT_S:
        return
    if not suspect:
        yield pool
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
