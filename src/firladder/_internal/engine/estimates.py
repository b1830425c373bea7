"""Estimate run times, and limit backfilling in front of waiting gangs."""

from collections.abc import Collection

from .core import Core
from .placement import Candidate, count_fitting_if_empty, group_by_rack, list_suitable
from .state import Phase, Unit

ORPHAN_STOP_S = 0.5
"""Time until an orphan run has ended: one stop order and one poll."""


class Estimates:
    """Expected run times, learned from ended tasks: declared times are far off."""

    def __init__(self, core: Core) -> None:
        """Estimate from the run times that ``core`` has learned."""
        self._core = core
        self._remaining: dict[int, float] = {}
        self._time_to_free: dict[str, float] = {}

    def begin_pass(self) -> None:
        """Clear the cached estimates of the previous pass.

        A full pool runs about a thousand tasks, and each waiting gang needs the
        estimates of all of them. Without the cache they took half of a pass.
        """
        self._remaining.clear()
        self._time_to_free.clear()

    def invalidate(self, unit: Unit) -> None:
        """Drop the cached estimates of a unit that was planned or stopped."""
        self._remaining.pop(id(unit), None)
        for placement in unit.placements.values():
            self._time_to_free.pop(placement.worker_id, None)

    def estimate_run(self, unit: Unit) -> float:
        """Return the expected duration of a run, in seconds."""
        return self._core.estimate_run(unit)

    def estimate_remaining(self, unit: Unit | None, now: float) -> float:
        """Return in how many seconds a unit's run is expected to end."""
        if unit is None:
            return ORPHAN_STOP_S
        cached = self._remaining.get(id(unit))
        if cached is None:
            cached = self._remaining[id(unit)] = self._compute_remaining(unit, now)
        return cached

    def _compute_remaining(self, unit: Unit, now: float) -> float:
        expected = self.estimate_run(unit)
        active = [p for p in unit.placements.values() if p.phase is Phase.ACTIVE]
        if not active:
            return expected
        elapsed = now - max(p.active_at for p in active)
        percent = max(p.percent for p in active)
        if percent >= 20:
            measured_s = max(p.progressed_at for p in active) - max(
                p.active_at for p in active
            )
            total = max(measured_s, 0.1) * 100 / percent
            return max(0.0, total - elapsed)
        return max(0.2, expected - elapsed)

    def estimate_time_to_free(self, candidate: Candidate, now: float) -> float:
        """Return in how many seconds all tasks on a worker are expected to end."""
        cached = self._time_to_free.get(candidate.worker_id)
        if cached is None:
            worker = self._core.workers[candidate.worker_id]
            cached = self._time_to_free[candidate.worker_id] = max(
                (
                    self.estimate_remaining(p.unit, now)
                    for p in worker.placements.values()
                ),
                default=0.0,
            )
        return cached

    def limit_backfill(
        self,
        unit: Unit,
        pool: list[Candidate],
        now: float,
        *,
        avoided: Collection[str],
    ) -> bool:
        """Limit backfilling on the workers where the gang can start soonest.

        Without this, a steady stream of small tasks starves a large gang: each task
        takes the capacity that an earlier one frees. Tasks that are expected to end
        before the gang can start may still run there. Return whether there are
        enough workers for the gang.
        """
        step = unit.step
        suitable = list_suitable(step, pool, avoided)
        groups = group_by_rack(suitable) if step.one_rack else [suitable]
        best: tuple[float, list[Candidate]] | None = None
        for group in groups:
            capacity = sum(count_fitting_if_empty(c, step.need) for c in group)
            if capacity < len(unit.indices):
                continue
            by_time = sorted(
                ((self.estimate_time_to_free(c, now), c) for c in group),
                key=lambda row: row[0],
            )
            chosen: list[Candidate] = []
            fitting = 0
            start_in_s = 0.0
            for free_in_s, candidate in by_time:
                chosen.append(candidate)
                fitting += count_fitting_if_empty(candidate, step.need)
                start_in_s = free_in_s
                if fitting >= len(unit.indices):
                    break
            if best is None or start_in_s < best[0]:
                best = (start_in_s, chosen)
        if best is None:
            return False
        for candidate in best[1]:
            candidate.backfill_window_s = min(candidate.backfill_window_s, best[0])
        return True
