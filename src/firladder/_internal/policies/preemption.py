"""Choose the victims of preemption among borrowers by the work that they lose."""

from collections.abc import Iterable

from .cells import PlacementPlan
from .placement import Preempt, QueuedJob, RunningJob

RESTART_S = 30.0
"""Seconds of its run time that a checkpointable gang is assumed to lose when preempted,
for checkpoint and restart; so it is preempted before one without checkpoints."""


class VictimChooser:
    """Chooses which borrowers to preempt in one placement pass."""

    def __init__(self, plan: PlacementPlan) -> None:
        """Compute the work that preempting each running gang would lose."""
        self.plan = plan
        self.victims: dict[str, Preempt] = {}
        self._guaranteed = plan.list_guaranteed()
        # By worker: accelerators that victims still hold and owners' jobs will get.
        self._promised_accelerators: dict[str, int] = {}
        self._losses = {
            g.spec.id: 0.0 if g.stopping else estimate_loss(g, plan.view.now)
            for g in plan.view.running
        }

    def is_borrower(self, gang: RunningJob) -> bool:
        """Return whether a gang runs outside guaranteed cells and may be preempted."""
        return gang.spec.id not in self._guaranteed

    def is_stopping(self, gang: RunningJob) -> bool:
        """Return whether a gang is stopping or already a victim of this pass."""
        return gang.stopping or gang.spec.id in self.victims

    def cost(self, worker: str) -> float:
        """Return the work lost if all borrowers of a worker were preempted."""
        return sum(
            self._losses[g.spec.id]
            for g, _ in self.plan.worker_plans[worker].holds
            if self.is_borrower(g) and g.spec.id not in self.victims
        )

    def _estimate_victims_loss(self, worker: str, job: QueuedJob) -> float:
        victims = self._choose_victims(worker, job, job.spec.members)
        return sum(self._losses[g.spec.id] for g in victims)

    def _estimate_added_loss(self, worker: str, lost: set[str]) -> float:
        return sum(
            self._losses[g.spec.id]
            for g, _ in self.plan.worker_plans[worker].holds
            if self.is_borrower(g) and g.spec.id not in {*self.victims, *lost}
        )

    def _choose_victims(
        self, worker: str, job: QueuedJob, count: int
    ) -> list[RunningJob]:
        """Return the borrowers to preempt so that the members fit, cheapest first."""
        worker_plan, spec = self.plan.worker_plans[worker], job.spec
        stopping = [(g, n) for g, n in worker_plan.holds if self.is_stopping(g)]
        accelerators = (
            count * spec.accelerators
            - len(worker_plan.room.free)
            - sum(n for _, n in stopping)
            + self._promised_accelerators.get(worker, 0)
        )
        cpus = count * spec.cpus - worker_plan.room.cpus - _sum_cpus(stopping)
        memory = (
            count * spec.memory_mb - worker_plan.room.memory_mb - _sum_memory(stopping)
        )
        borrowers: dict[str, tuple[RunningJob, int]] = {}
        for gang, held in worker_plan.holds:
            if self.is_borrower(gang) and not self.is_stopping(gang):
                known = borrowers.get(gang.spec.id, (gang, 0))[1]
                borrowers[gang.spec.id] = (gang, known + held)
        ordered = sorted(borrowers.values(), key=lambda item: self._rank_victim(*item))
        chosen: list[RunningJob] = []
        for gang, held in ordered:
            if accelerators <= 0 and cpus <= 0 and memory <= 0:
                break
            if held == 0 and cpus <= 0 and memory <= 0:
                continue
            chosen.append(gang)
            accelerators -= held
            members = sum(m.worker == worker for m in gang.members)
            cpus -= members * gang.spec.cpus
            memory -= members * gang.spec.memory_mb
        return chosen

    def _rank_victim(self, gang: RunningJob, held: int) -> tuple[float, str]:
        return self._losses[gang.spec.id] / max(1, held), gang.spec.id


def estimate_loss(gang: RunningJob, now: float) -> float:
    """Return the accelerator seconds of work that a preemption would lose."""
    held = sum(max(1, len(m.accelerators)) for m in gang.members)
    ran_s = max(0.0, now - gang.started_at)
    return held * (min(RESTART_S, ran_s) if gang.spec.checkpointable else ran_s)


def _sum_cpus(holds: Iterable[tuple[RunningJob, int]]) -> int:
    return sum(g.spec.cpus for g, _ in holds)


def _sum_memory(holds: Iterable[tuple[RunningJob, int]]) -> int:
    return sum(g.spec.memory_mb for g, _ in holds)
