"""How long work takes and lasts, and which workers a waiting gang can have."""

from .core import Core
from .placement import Candidate, count_fitting_if_empty, group_by_rack, list_suitable
from .state import Phase, Unit

ORPHAN_STOP_S = 0.5
"""Seconds until a run that is not ours to have is gone: a stop and a look."""


class Estimates:
    """Expected times, learned from what ended; declared times are far off."""

    def __init__(self, core: Core) -> None:
        """Learn from ``core``."""
        self._core = core
        self._left: dict[int, float] = {}
        self._free: dict[str, float] = {}

    def begin_pass(self) -> None:
        """Forget what was worked out for the pass before.

        A full pool has some thousand tasks, and each waiting gang asks for all of
        them: worked out anew each time, that was half of what a pass costs.
        """
        self._left.clear()
        self._free.clear()

    def invalidate(self, unit: Unit) -> None:
        """Note that a unit was planned or stopped within this pass."""
        self._left.pop(id(unit), None)
        for placement in unit.placements.values():
            self._free.pop(placement.worker_id, None)

    def estimate_run(self, unit: Unit) -> float:
        """Return how long a run takes, in seconds."""
        return self._core.estimate_run(unit)

    def estimate_remaining(self, unit: Unit | None, now: float) -> float:
        """Return in how many seconds a unit's run is likely to be done."""
        if unit is None:
            return ORPHAN_STOP_S
        known = self._left.get(id(unit))
        if known is None:
            known = self._left[id(unit)] = self._compute_remaining(unit, now)
        return known

    def _compute_remaining(self, unit: Unit, now: float) -> float:
        expected = self.estimate_run(unit)
        active = [p for p in unit.placements.values() if p.phase is Phase.ACTIVE]
        if not active:
            return expected
        elapsed = now - max(p.active_at for p in active)
        percent = max(p.percent for p in active)
        if percent >= 20:
            since = max(p.progressed_at for p in active) - max(
                p.active_at for p in active
            )
            total = max(since, 0.1) * 100 / percent
            return max(0.0, total - elapsed)
        return max(0.2, expected - elapsed)

    def estimate_time_to_free(self, candidate: Candidate, now: float) -> float:
        """Return in how many seconds all work on a worker is likely to be done."""
        known = self._free.get(candidate.worker_id)
        if known is None:
            worker = self._core.workers[candidate.worker_id]
            known = self._free[candidate.worker_id] = max(
                (
                    self.estimate_remaining(p.unit, now)
                    for p in worker.placements.values()
                ),
                default=0.0,
            )
        return known

    def limit_backfill(self, unit: Unit, pool: list[Candidate], now: float) -> bool:
        """Keep the workers that the gang can have soonest from longer work.

        Answers a steady stream of small tasks beside a large gang: each takes the
        room that one before it leaves, and the gang would wait for ever. Tasks
        that end before the gang can begin still run there.
        """
        step = unit.step
        suitable = list_suitable(step, pool, unit.avoided)
        groups = group_by_rack(suitable) if step.one_rack else [suitable]
        best: tuple[float, list[Candidate]] | None = None
        for group in groups:
            capacity = sum(count_fitting_if_empty(c, step.need) for c in group)
            if capacity < len(unit.indices):
                continue
            frees = sorted(
                ((self.estimate_time_to_free(c, now), c) for c in group),
                key=lambda row: row[0],
            )
            chosen: list[Candidate] = []
            room = 0
            at = 0.0
            for free_at, candidate in frees:
                chosen.append(candidate)
                room += count_fitting_if_empty(candidate, step.need)
                at = free_at
                if room >= len(unit.indices):
                    break
            if best is None or at < best[0]:
                best = (at, chosen)
        if best is None:
            return False
        for candidate in best[1]:
            candidate.backfill_window_s = min(candidate.backfill_window_s, best[0])
        return True
