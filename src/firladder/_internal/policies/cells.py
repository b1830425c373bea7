"""Bind guaranteed cells to workers, and keep every guarantee reclaimable.

Invariant: beside the gangs that run in guaranteed cells there is always a placement
for every unused cell, on accelerators that are free or lent. ``PlacementPlan`` computes
these placements in each pass by packing all unused cells around the bound ones, and a
cell is bound only if the others can still be packed. So the owner's job can always be
started by preempting borrowers alone. Without that check, gangs in small cells could
occupy a part of every worker, and an organisation with a cell of whole workers would
have enough accelerators free by count but not in the shape.

A cell is bound to workers only when a job starts in it; until then it is placed
wherever reclaiming it loses the least work.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from ..models.job import JobSpec, Member
from .cell_packing import Bin, CellSlot, Need, Packing, list_slots, pack_needs
from .placement import DomainView, FreeCapacity, QueuedJob, RunningJob, WorkerView

Cost = Callable[[str], float]


@dataclasses.dataclass(slots=True)
class BoundSlot:
    """A slot in use: its rack, and the accelerators its gangs hold on each worker."""

    slot: CellSlot
    rack: str
    used: dict[str, int]
    gangs: list[RunningJob]


@dataclasses.dataclass(slots=True)
class WorkerPlan:
    """A worker in a plan: its free capacity, and the gangs that hold the rest.

    ``cpus`` and ``memory_mb`` are totals; ``holds`` pairs each gang with the number of
    accelerators it holds.
    """

    view: WorkerView
    room: FreeCapacity
    cpus: int
    memory_mb: int
    holds: list[tuple[RunningJob, int]]

    def is_within_share(self, spec: JobSpec) -> bool:
        """Return whether a member uses no more than its accelerators' share.

        A guarantee covers accelerators with a proportional share of CPUs and memory.
        A member that uses more could keep another cell on the worker from starting,
        so it runs as a borrower and can be preempted.
        """
        worker_size = max(1, self.view.accelerators)
        return (
            spec.cpus * worker_size <= self.cpus * spec.accelerators
            and spec.memory_mb * worker_size <= self.memory_mb * spec.accelerators
        )


class PlacementPlan:
    """Plan of one placement pass: free capacity of the workers, and bound cells."""

    def __init__(self, view: DomainView) -> None:
        """Plan from the running gangs, and bind the cells they run in."""
        self.view = view
        self.worker_plans = _plan_workers(view)
        self.bins = {
            wp.view.name: Bin(wp.view.name, wp.view.rack, wp.view.accelerators)
            for wp in self.worker_plans.values()
            if wp.view.usable
        }
        everywhere = [
            Bin(w.name, w.rack, w.accelerators) for w in view.workers if w.accelerators
        ]
        self.slots = list_slots(view.organisations, view.failure_domain, everywhere)
        self.bound: dict[CellSlot, BoundSlot] = {}
        # By worker: accelerators that no bound cell takes.
        self.capacity: dict[str, int] = {}
        self._bind_running()
        self.packing = self.pack(lambda _: 0.0)

    def _bind_running(self) -> None:
        """Bind the cells of running gangs, oldest first.

        After a change of shapes or a loss of workers, the unused cells may no longer
        fit around the gangs. Then the newest gangs lose their cells until all unused
        cells fit: such a gang runs on as a borrower, and its organisation can reclaim
        the cell on other workers.
        """
        by_name = {(s.organisation, s.name): s for s in self.slots}
        holders = sorted(
            (
                (g, by_name[g.organisation, g.cell])
                for g in self.view.running
                if g.cell and not g.stopping and (g.organisation, g.cell) in by_name
            ),
            key=lambda item: (item[0].started_at, item[0].spec.id),
        )
        kept = list(holders)
        lost = len(self._pack_around([]).missing)
        while len(self._pack_around(kept).missing) > lost and kept:
            kept.pop()
        self._pack_around(kept)

    def _pack_around(self, holders: Sequence[tuple[RunningJob, CellSlot]]) -> Packing:
        self.bound = {}
        self.capacity = {
            name: worker.accelerators for name, worker in self.bins.items()
        }
        for gang, slot in holders:
            used: dict[str, int] = {}
            for member in gang.members:
                used[member.worker] = used.get(member.worker, 0) + len(
                    member.accelerators
                )
            rack = next(
                (
                    self.worker_plans[w].view.rack
                    for w in used
                    if w in self.worker_plans
                ),
                "",
            )
            self.bind(slot, rack, used, gang)
        return self.pack(lambda _: 0.0)

    def bind(
        self, slot: CellSlot, rack: str, used: dict[str, int], gang: RunningJob | None
    ) -> None:
        """Add a gang to a slot, and bind the slot if it is not bound yet."""
        bound = self.bound.get(slot)
        if bound is None:
            bound = self.bound[slot] = BoundSlot(slot, rack, {}, [])
            if not slot.whole_workers:
                for worker in used:
                    if worker in self.capacity:
                        self.capacity[worker] -= slot.accelerators
        for worker, count in used.items():
            if (
                slot.whole_workers
                and worker not in bound.used
                and worker in self.capacity
            ):
                self.capacity[worker] = 0
            bound.used[worker] = bound.used.get(worker, 0) + count
        if gang is not None:
            bound.gangs.append(gang)

    def start(self, job: QueuedJob, members: tuple[Member, ...]) -> RunningJob:
        """Add a gang that starts in this pass; its capacity is taken already."""
        gang = RunningJob(
            job.spec, job.organisation, job.urgency, members, self.view.now
        )
        for member in members:
            worker_plan = self.worker_plans[member.worker]
            worker_plan.holds.append((gang, len(member.accelerators)))
        return gang

    def list_needs(self) -> Iterable[Need]:
        """Yield what is still to be packed: idle slots, and the rest of bound ones."""
        for slot in self.slots:
            bound = self.bound.get(slot)
            if bound is None:
                yield Need(slot, slot.accelerators)
            elif slot.whole_workers:
                rest = slot.accelerators - self.count_covered(bound)
                if rest > 0:
                    yield Need(slot, rest, bound.rack)

    def count_covered(self, bound: BoundSlot) -> int:
        """Return the accelerators of the whole workers that a bound slot uses."""
        return sum(
            self.worker_plans[w].view.accelerators
            for w in bound.used
            if w in self.worker_plans
        )

    def pack(self, cost: Cost) -> Packing:
        """Pack all needs at the least cost."""
        return pack_needs(self.list_needs(), self.bins, self.capacity, cost)

    def count_held(self, worker: str) -> float:
        """Return how many accelerators of a worker gangs hold."""
        return sum(held for _, held in self.worker_plans[worker].holds)

    def list_guaranteed(self) -> set[str]:
        """Return the jobs that run in guaranteed cells."""
        return {g.spec.id for bound in self.bound.values() for g in bound.gangs}


def _plan_workers(view: DomainView) -> dict[str, WorkerPlan]:
    worker_plans = {
        w.name: WorkerPlan(
            w,
            FreeCapacity(w, list(w.free), w.cpus_free, w.memory_free_mb),
            w.cpus_free,
            w.memory_free_mb,
            [],
        )
        for w in view.workers
    }
    for gang in view.running:
        for member in gang.members:
            worker_plan = worker_plans.get(member.worker)
            if worker_plan is None:
                continue
            worker_plan.holds.append((gang, len(member.accelerators)))
            worker_plan.cpus += gang.spec.cpus
            worker_plan.memory_mb += gang.spec.memory_mb
    return worker_plans


def find_degraded(view: DomainView) -> dict[str, str]:
    """Return the organisations whose guarantee cannot be placed now, and why.

    After a loss of workers a guarantee may not be satisfiable whatever is preempted;
    its owner is told so instead of waiting.
    """
    plan = PlacementPlan(view)
    reasons: dict[str, str] = {}
    for need in plan.packing.missing:
        reasons.setdefault(
            need.slot.organisation,
            f"no place for cell {need.slot.name} ({need.accelerators} accelerators): "
            f"{len(plan.bins)} of {len(view.workers)} workers are usable",
        )
    return reasons
