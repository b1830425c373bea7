"""The registered ways to reclaim: the product's own, and a baseline."""

from collections.abc import Callable, Iterable, Sequence

from .backfill import Chooser
from .cell_packing import Slot
from .cells import Board
from .placement import Action, Preempt, QueuedJob, RunningJob
from .reclaim import Reclaimer, Site
from .registry import Registry

Reclaim = Callable[
    [Board, Sequence[QueuedJob], frozenset[str], Chooser],
    tuple[list[Action], set[str]],
]

RECLAIMS: Registry[Reclaim] = Registry("reclaim policy")


class YoungestFirst(Reclaimer):
    """The baseline: evict the youngest borrowers, one by one, until a place is vacant.

    It looks at nothing but the time of start, so that gangs go which stand
    nowhere near the place that the owner gets.
    """

    def _list_sites(self, job: QueuedJob, slot: Slot) -> Iterable[Site]:
        lent = sorted(
            (
                g
                for g in self.board.view.running
                if self.is_lent(g) and not self.is_leaving(g)
            ),
            key=lambda g: -g.started_at,
        )
        ages = {g.spec.id: rank for rank, g in enumerate(lent)}

        def find_last(site: Site) -> int:
            victims = (
                g
                for name, count in site.members
                for g in self._choose_victims(name, job, count)
            )
            return max((ages[g.spec.id] for g in victims), default=-1)

        return sorted(super()._list_sites(job, slot), key=find_last)

    def _rank_victim(self, gang: RunningJob, held: int) -> tuple[float, str]:
        return -gang.started_at, gang.spec.id

    def _occupy(self, site: Site, job: QueuedJob) -> list[Action]:
        before = set(self.victims)
        actions = super()._occupy(site, job)
        new = set(self.victims) - before
        running = self.board.view.running
        oldest = min((g.started_at for g in running if g.spec.id in new), default=None)
        for gang in running if oldest is not None else ():
            younger = gang.started_at >= (oldest or 0.0) and gang.members
            if younger and self.is_lent(gang) and not self.is_leaving(gang):
                self.victims[gang.spec.id] = Preempt(
                    gang.spec.id, job.spec.id, "youngest first"
                )
        return actions


@RECLAIMS.register("least_lost")
def reclaim_least_lost(
    board: Board,
    queue: Sequence[QueuedJob],
    reserved: frozenset[str],
    choose: Chooser,
) -> tuple[list[Action], set[str]]:
    """Start owners' jobs in their cells, evicting where the least work is lost."""
    return _reclaim(Reclaimer(board, queue, reserved, choose), queue)


@RECLAIMS.register("youngest_first")
def reclaim_youngest_first(
    board: Board,
    queue: Sequence[QueuedJob],
    reserved: frozenset[str],
    choose: Chooser,
) -> tuple[list[Action], set[str]]:
    """Start owners' jobs in their cells, evicting the youngest borrowers first."""
    return _reclaim(YoungestFirst(board, queue, reserved, choose), queue)


def _reclaim(
    reclaimer: Reclaimer, queue: Sequence[QueuedJob]
) -> tuple[list[Action], set[str]]:
    claims = {j.spec.id: reclaimer.claim(j) for j in queue}
    placed = [a for actions in claims.values() for a in actions or ()]
    owed = {job for job, actions in claims.items() if actions is not None}
    return [*placed, *reclaimer.victims.values()], owed
