"""Bind guaranteed cells to workers, and keep every guarantee reclaimable.

The invariant, kept by construction: beside the gangs that run in guaranteed
cells there is at all times a place for every cell that is not in use, and
whatever lies there is free or lent. ``Board`` finds these places anew in each
pass by packing all unused cells around the bound ones; nothing is bound unless
the packing of the rest still succeeds. So the owner's job can always be started
by evicting borrowers alone. Were a cell bound without that check, gangs in
small cells could come to lie on every worker, and an organisation with a cell
of whole workers would find its guarantee free by count and nowhere in shape.

Cells are bound late, when a job starts in them: until then an idle cell lies
wherever reclaiming it costs the least work.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from ..models.job import JobSpec, Member
from .cell_packing import Bay, Need, Packing, Slot, list_slots, pack_needs
from .placement import DomainView, QueuedJob, Room, RunningJob, WorkerView

Cost = Callable[[str], float]


@dataclasses.dataclass(slots=True)
class Bound:
    """A slot in use: where it lies and what its gangs take of each worker."""

    slot: Slot
    rack: str
    used: dict[str, int]
    gangs: list[RunningJob]


@dataclasses.dataclass(slots=True)
class Bench:
    """A worker in a plan: its free room, and what gangs hold of it."""

    view: WorkerView
    room: Room
    cpus: int
    memory_mb: int
    holds: list[tuple[RunningJob, int]]

    def allow_share(self, spec: JobSpec) -> bool:
        """Tell whether a member takes no more than its accelerators' share.

        A guarantee is of accelerators with their part of processors and memory.
        A member that takes more could keep a neighbouring cell from starting,
        so it runs as a borrower and can be evicted.
        """
        whole = max(1, self.view.accelerators)
        return (
            spec.cpus * whole <= self.cpus * spec.accelerators
            and spec.memory_mb * whole <= self.memory_mb * spec.accelerators
        )


class Board:
    """One placement pass's plan: the room left and the cells bound."""

    def __init__(self, view: DomainView) -> None:
        """Lay the running gangs out, and bind the cells they run in."""
        self.view = view
        self.benches = _lay_benches(view)
        self.bays = {
            b.view.name: Bay(b.view.name, b.view.rack, b.view.accelerators)
            for b in self.benches.values()
            if b.view.usable
        }
        everywhere = [
            Bay(w.name, w.rack, w.accelerators) for w in view.workers if w.accelerators
        ]
        self.slots = list_slots(view.organisations, view.failure_domain, everywhere)
        self.bound: dict[Slot, Bound] = {}
        self.capacity: dict[str, int] = {}
        self._bind_running()
        self.packing = self.pack(lambda _: 0.0)

    def _bind_running(self) -> None:
        """Bind the cells of running gangs, oldest first.

        After a change of shapes, or the loss of workers, gangs may lie where
        the cells no longer fit around them. Then the newest lose their cells,
        until all unused cells have a place: such a gang runs on as a borrower,
        and its organisation's cell is free to be claimed elsewhere.
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

    def _pack_around(self, holders: Sequence[tuple[RunningJob, Slot]]) -> Packing:
        self.bound = {}
        self.capacity = {name: bay.accelerators for name, bay in self.bays.items()}
        for gang, slot in holders:
            used: dict[str, int] = {}
            for member in gang.members:
                used[member.worker] = used.get(member.worker, 0) + len(
                    member.accelerators
                )
            rack = next(
                (self.benches[w].view.rack for w in used if w in self.benches), ""
            )
            self.bind(slot, rack, used, gang)
        return self.pack(lambda _: 0.0)

    def bind(
        self, slot: Slot, rack: str, used: dict[str, int], gang: RunningJob | None
    ) -> None:
        """Put a gang into a slot, binding the slot if it was not."""
        bound = self.bound.get(slot)
        if bound is None:
            bound = self.bound[slot] = Bound(slot, rack, {}, [])
            if not slot.whole:
                for worker in used:
                    if worker in self.capacity:
                        self.capacity[worker] -= slot.accelerators
        for worker, count in used.items():
            if slot.whole and worker not in bound.used and worker in self.capacity:
                self.capacity[worker] = 0
            bound.used[worker] = bound.used.get(worker, 0) + count
        if gang is not None:
            bound.gangs.append(gang)

    def start(self, job: QueuedJob, members: tuple[Member, ...]) -> RunningJob:
        """Lay a gang out that starts in this pass; its room is taken already."""
        gang = RunningJob(
            job.spec, job.organisation, job.urgency, members, self.view.now
        )
        for member in members:
            bench = self.benches[member.worker]
            bench.holds.append((gang, len(member.accelerators)))
        return gang

    def list_needs(self) -> Iterable[Need]:
        """Return what still has to find a place: idle slots, and rests of bound."""
        for slot in self.slots:
            bound = self.bound.get(slot)
            if bound is None:
                yield Need(slot, slot.accelerators)
            elif slot.whole:
                rest = slot.accelerators - self.count_covered(bound)
                if rest > 0:
                    yield Need(slot, rest, bound.rack)

    def count_covered(self, bound: Bound) -> int:
        """Return the accelerators of the whole workers that a bound slot has."""
        return sum(
            self.benches[w].view.accelerators for w in bound.used if w in self.benches
        )

    def pack(self, cost: Cost) -> Packing:
        """Find a place for everything that needs one."""
        return pack_needs(self.list_needs(), self.bays, self.capacity, cost)

    def count_held(self, worker: str) -> float:
        """Return the accelerators that gangs hold of a worker."""
        return sum(held for _, held in self.benches[worker].holds)

    def list_guarded(self) -> set[str]:
        """Return the jobs that run in guaranteed cells."""
        return {g.spec.id for bound in self.bound.values() for g in bound.gangs}


def _lay_benches(view: DomainView) -> dict[str, Bench]:
    benches = {
        w.name: Bench(
            w,
            Room(w, list(w.free), w.cpus_free, w.memory_free_mb),
            w.cpus_free,
            w.memory_free_mb,
            [],
        )
        for w in view.workers
    }
    for gang in view.running:
        for member in gang.members:
            bench = benches.get(member.worker)
            if bench is None:
                continue
            bench.holds.append((gang, len(member.accelerators)))
            bench.cpus += gang.spec.cpus
            bench.memory_mb += gang.spec.memory_mb
    return benches


def find_degraded(view: DomainView) -> dict[str, str]:
    """Return the organisations whose guarantee has no place now, and why.

    Workers die, and with them the room of a shape. The guarantee then cannot be
    honoured whatever is evicted, and its owner is told so instead of waiting.
    """
    board = Board(view)
    reasons: dict[str, str] = {}
    for need in board.packing.missing:
        reasons.setdefault(
            need.slot.organisation,
            f"no place for cell {need.slot.name} ({need.accelerators} accelerators): "
            f"{len(board.bays)} of {len(view.workers)} workers are usable",
        )
    return reasons
