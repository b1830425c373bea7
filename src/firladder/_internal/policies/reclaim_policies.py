"""The registered reclaim policies: the default one and a baseline."""

from collections.abc import Callable, Iterable, Sequence

from .backfill import Chooser
from .cell_packing import CellSlot
from .cells import PlacementPlan
from .placement import Action, Preempt, QueuedJob, RunningJob
from .reclaim import Candidate, Reclaimer
from .registry import Registry

Reclaim = Callable[
    [PlacementPlan, Sequence[QueuedJob], frozenset[str], Chooser],
    tuple[list[Action], set[str]],
]

RECLAIMS: Registry[Reclaim] = Registry("reclaim policy")


class YoungestFirstReclaimer(Reclaimer):
    """Preempts the youngest borrowers until the owner's job fits (baseline).

    It considers start times alone, so it also preempts gangs on workers that the owner
    does not get.
    """

    def _list_candidates(self, job: QueuedJob, slot: CellSlot) -> Iterable[Candidate]:
        borrowers = sorted(
            (
                g
                for g in self.plan.view.running
                if self.is_borrower(g) and not self.is_stopping(g)
            ),
            key=lambda g: -g.started_at,
        )
        ranks = {g.spec.id: rank for rank, g in enumerate(borrowers)}

        def find_oldest_victim(candidate: Candidate) -> int:
            victims = (
                g
                for name, count in candidate.members
                for g in self._choose_victims(name, job, count)
            )
            return max((ranks[g.spec.id] for g in victims), default=-1)

        return sorted(super()._list_candidates(job, slot), key=find_oldest_victim)

    def _rank_victim(self, gang: RunningJob, held: int) -> tuple[float, str]:
        return -gang.started_at, gang.spec.id

    def _start_or_preempt(self, candidate: Candidate, job: QueuedJob) -> list[Action]:
        before = set(self.victims)
        actions = super()._start_or_preempt(candidate, job)
        new = set(self.victims) - before
        running = self.plan.view.running
        oldest = min((g.started_at for g in running if g.spec.id in new), default=None)
        for gang in running if oldest is not None else ():
            younger = gang.started_at >= (oldest or 0.0) and gang.members
            if younger and self.is_borrower(gang) and not self.is_stopping(gang):
                self.victims[gang.spec.id] = Preempt(
                    gang.spec.id, job.spec.id, "youngest first"
                )
        return actions


@RECLAIMS.register("least_lost")
def reclaim_least_lost(
    plan: PlacementPlan,
    queue: Sequence[QueuedJob],
    reserved: frozenset[str],
    choose: Chooser,
) -> tuple[list[Action], set[str]]:
    """Start owners' jobs in their cells, preempting where the least work is lost."""
    return _reclaim(Reclaimer(plan, queue, reserved, choose), queue)


@RECLAIMS.register("youngest_first")
def reclaim_youngest_first(
    plan: PlacementPlan,
    queue: Sequence[QueuedJob],
    reserved: frozenset[str],
    choose: Chooser,
) -> tuple[list[Action], set[str]]:
    """Start owners' jobs in their cells, preempting the youngest borrowers first."""
    return _reclaim(YoungestFirstReclaimer(plan, queue, reserved, choose), queue)


def _reclaim(
    reclaimer: Reclaimer, queue: Sequence[QueuedJob]
) -> tuple[list[Action], set[str]]:
    reclaims = {j.spec.id: reclaimer.reclaim_cell(j) for j in queue}
    placed = [a for actions in reclaims.values() for a in actions or ()]
    handled = {job for job, actions in reclaims.items() if actions is not None}
    return [*placed, *reclaimer.victims.values()], handled
