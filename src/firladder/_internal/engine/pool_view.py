"""The workers as one planning pass sees them."""

import functools
import itertools
from collections.abc import Iterator

from ..models.workload import Resources, Step
from .core import Core
from .health import find_suspect_pools
from .idleness import find_idle_pools
from .isolation import is_on_probation
from .placement import Candidate, collect_racks, measure_largest_rack
from .state import Worker


class PoolView:
    """The candidates of each pool, with the free capacity that the pass has left.

    What most passes do not need is computed on first use.
    """

    def __init__(self, core: Core, now: float) -> None:
        """View the workers of ``core`` at ``now``."""
        self._core = core
        self._now = now
        self._free = {w.worker_id: w.free for w in core.workers.values()}
        self._pools: dict[str, list[Candidate]] = {}
        for worker in self._list_usable(now):
            candidate = self._make_candidate(worker)
            self._pools.setdefault(worker.entry.pool, []).append(candidate)
        every = itertools.chain.from_iterable(self._pools.values())
        self.by_id = {c.worker_id: c for c in every}
        self._largest_racks: dict[tuple[str, Resources], int] = {}

    def list_pool(self, name: str) -> list[Candidate]:
        """Return the candidates of a pool."""
        return self._pools.get(name, [])

    def measure_largest_rack(self, name: str, need: Resources) -> int:
        """Return how many tasks of this size the largest rack of a pool can hold."""
        largest = self._largest_racks.get((name, need))
        if largest is None:
            largest = measure_largest_rack(need, self.list_pool(name))
            self._largest_racks[name, need] = largest
        return largest

    def fits_rack(self, step: Step) -> bool:
        """Return whether a worker near the step's data is large enough for a task."""
        sizes = self._racks.get(step.rack, ())
        return any(size.covers(step.need) for size in sizes)

    @functools.cached_property
    def idle_pools(self) -> set[str]:
        """Return the pools of which little is in use, without evacuated workers."""
        workers = self._core.workers.values()
        open_workers = [w for w in workers if not self._core.is_evacuated(w)]
        return find_idle_pools(open_workers, self._free)

    @functools.cached_property
    def evacuated_racks(self) -> set[str]:
        """Return the racks in failure domains that are evacuated."""
        workers = self._core.workers.values()
        return {w.rack for w in workers if w.rack and self._core.is_evacuated(w)}

    @functools.cached_property
    def _racks(self) -> dict[str, set[Resources]]:
        return collect_racks(self._core.workers.values())

    def _list_usable(self, now: float) -> Iterator[Worker]:
        core = self._core
        suspect = find_suspect_pools(core.workers.values(), now)
        for worker in core.workers.values():
            if not self._is_usable(worker, now):
                continue
            quarantined = now < worker.quarantined_until
            if quarantined and worker.entry.pool not in suspect:
                continue
            if core.charged and is_on_probation(worker, now):
                continue
            yield worker

    def _is_usable(self, worker: Worker, now: float) -> bool:
        return (
            worker.claimed
            and worker.registered
            and worker.may_send_lease
            and not worker.entry.draining
            and not self._core.is_evacuated(worker)
            and now >= worker.full_until
        )

    def _make_candidate(self, worker: Worker) -> Candidate:
        entry = worker.entry
        return Candidate(
            worker.worker_id,
            worker.rack,
            entry.labels,
            entry.capacity,
            self._free[worker.worker_id],
            profile=self._core.profiles.find(worker.worker_id, self._now),
        )
