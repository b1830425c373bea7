"""Give an organisation its guaranteed cell at once, evicting borrowers if need be.

The load this is made for: other organisations' work fills the fleet and the
owner's gang arrives. Reclaim never waits for a borrower to end, and never
touches a gang that runs in a guaranteed cell.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Sequence

from ..models.job import Member
from .backfill import Chooser
from .cell_packing import Slot
from .cells import Bench, Board
from .lending import Lending
from .placement import Action, Place, Preempt, QueuedJob

FRESH_S = 2.0
"""Seconds for which a job counts as just come: a few placement passes."""

TRIES = 16
"""Places tried for one cell at most. The first almost always serves; the packing
itself names one that does, and is tried last."""


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Workers on which a gang would start, with the members on each."""

    slot: Slot
    members: tuple[tuple[str, int], ...]


class Reclaimer(Lending):
    """Claims of one placement pass, in the order of the queue."""

    def __init__(
        self,
        board: Board,
        queue: Sequence[QueuedJob],
        reserved: frozenset[str],
        choose: Chooser,
    ) -> None:
        """Plan for the jobs in ``queue``, sparing workers kept for a large gang."""
        super().__init__(board)
        self._reserved = reserved
        self._choose = choose
        self._awaited = {j.organisation for j in queue if self._is_large(j)}

    def _is_large(self, job: QueuedJob) -> bool:
        size = max((b.accelerators for b in self.board.bays.values()), default=0)
        return 0 < size <= job.spec.accelerators

    def claim(self, job: QueuedJob) -> list[Action] | None:
        """Return what starts the job in its organisation's shape, or None.

        An empty list says that the cell is being vacated: its room is held back
        from everybody else until the evicted gangs are gone.
        """
        if job.spec.accelerators == 0:
            return None
        slots = self._list_candidates(job)
        tight = [s for s in slots if self._is_tight(s, job)]
        loose = [s for s in slots if s not in tight and not self._is_awaited(s)]
        actions = self._claim_any(job, tight)
        if actions is None and loose:
            return self._start_lent(job) or self._claim_any(job, loose)
        return actions

    def _start_lent(self, job: QueuedJob) -> list[Action]:
        """Start a small job that has just come in the tightest idle room, if any.

        That leaves cells of whole workers whole. A job that was evicted, or found
        no room, is older by now and takes a cell, which nobody takes from it:
        else owners' small jobs would evict each other without end.
        """
        if self.board.view.now - job.submitted_at > FRESH_S:
            return []
        rooms = [b.room for b in self.board.benches.values() if b.view.usable]
        members = self._choose(job, rooms)
        if members is None:
            return []
        self.board.start(job, members)
        self._guarded.add(job.spec.id)
        return [Place(job.spec.id, members)]

    def _is_awaited(self, slot: Slot) -> bool:
        """Tell whether a large job of the owner waits for a cell of whole workers."""
        return slot.organisation in self._awaited

    def _is_tight(self, slot: Slot, job: QueuedJob) -> bool:
        """Tell whether a slot is meant for such a job.

        A small job takes a cell of whole workers last, and not while a large job
        of its organisation waits: small ones would follow each other into the
        cell, and the large one would wait for ever for work that nobody evicts.
        """
        return not slot.whole or self._is_large(job)

    def _claim_any(self, job: QueuedJob, slots: Sequence[Slot]) -> list[Action] | None:
        for slot in slots:
            for site in itertools.islice(self._list_sites(job, slot), TRIES):
                if self._try_bind(site, job):
                    return self._occupy(site, job)
        return None

    def _list_candidates(self, job: QueuedJob) -> list[Slot]:
        """Return slots with room, smallest first; of equal ones those in use first.

        Of equal idle slots only one is returned, as any would do.
        """
        wanted = job.spec.members * job.spec.accelerators
        missing = {n.slot for n in self.board.packing.missing}
        seen: set[int] = set()
        found = []
        ordered = sorted(
            self.board.slots,
            key=lambda s: (s.accelerators, s not in self.board.bound, s.name),
        )
        for slot in ordered:
            if slot.organisation != job.organisation or slot.accelerators < wanted:
                continue
            if slot not in self.board.bound:
                if slot.accelerators in seen or slot in missing:
                    continue
                seen.add(slot.accelerators)
            found.append(slot)
        return found

    def _allows(self, bench: Bench, job: QueuedJob) -> bool:
        return (
            bench.view.name not in job.avoid
            and job.workers.match(bench.view.labels)
            and bench.allow_share(job.spec)
        )

    def _list_sites(self, job: QueuedJob, slot: Slot) -> Iterable[Site]:
        """Return the places for the job in the slot, the cheapest first."""
        if slot.whole:
            return self._list_whole_sites(job, slot)
        return self._list_part_sites(job, slot)

    def _list_part_sites(self, job: QueuedJob, slot: Slot) -> Iterable[Site]:
        spec, board = job.spec, self.board
        bound = board.bound.get(slot)
        if bound is not None:
            left = slot.accelerators - sum(bound.used.values())
            names = list(bound.used) if left >= spec.members * spec.accelerators else []
        else:
            names = [n for n, c in board.capacity.items() if c >= slot.accelerators]
        allowed = (n for n in names if n in board.bays)
        ordered = sorted(
            (n for n in allowed if self._allows(board.benches[n], job)),
            key=lambda n: (
                self._count_part_loss(n, job),
                self._rank_equal(n, job),
                board.capacity[n],
                len(board.benches[n].room.free),
                n,
            ),
        )
        return (Site(slot, ((n, spec.members),)) for n in ordered)

    def _rank_equal(self, worker: str, job: QueuedJob) -> tuple[bool, bool]:
        """Rank workers on which the same work would be lost.

        First those that are being vacated for this very job: were the choice
        made afresh in every pass, the owner could be sent from one half-vacated
        place to the next and start late. Last those kept for a waiting large
        gang, which owners' small jobs would else put off for ever.
        """
        holds = self.board.benches[worker].holds
        coming = any(g.preempted_for == job.spec.id for g, _ in holds)
        return not coming, worker in self._reserved and not self._is_large(job)

    def _list_whole_sites(self, job: QueuedJob, slot: Slot) -> Iterable[Site]:
        if job.spec.adjacency == "worker":
            yield from self._list_single_sites(job, slot)
            return
        sites = [
            (cost, site)
            for rack in sorted({b.rack for b in self.board.bays.values()})
            for cost, site in self._plan_rack(job, slot, rack)
        ]
        yield from (site for _, site in sorted(sites, key=lambda s: s[0]))

    def _list_single_sites(self, job: QueuedJob, slot: Slot) -> Iterable[Site]:
        names = [
            n
            for rack in sorted({b.rack for b in self.board.bays.values()})
            for n, count in self._list_room(job, slot, rack)
            if count >= job.spec.members
        ]
        names.sort(
            key=lambda n: (self._count_part_loss(n, job), self._rank_equal(n, job), n)
        )
        return (Site(slot, ((n, job.spec.members),)) for n in names)

    def _list_room(
        self, job: QueuedJob, slot: Slot, rack: str
    ) -> list[tuple[str, int]]:
        """Return the workers of a rack that the slot has or may take."""
        board, bound = self.board, self.board.bound.get(slot)
        if bound is not None and bound.rack != rack:
            return []
        used = bound.used if bound is not None else {}
        more = slot.accelerators - (board.count_covered(bound) if bound else 0)
        rooms = []
        for name, bay in board.bays.items():
            if bay.rack != rack or not self._allows(board.benches[name], job):
                continue
            if name in used:
                left = bay.accelerators - used[name]
            elif more > 0 and board.capacity[name] == bay.accelerators:
                left = bay.accelerators
            else:
                continue
            rooms.append((name, left // job.spec.accelerators))
        return [(n, c) for n, c in rooms if c > 0]

    def _plan_rack(
        self, job: QueuedJob, slot: Slot, rack: str
    ) -> Iterable[tuple[float, Site]]:
        """Choose workers of one rack, each next one the cheapest by then."""
        bound = self.board.bound.get(slot)
        used = bound.used if bound is not None else {}
        left = job.spec.members
        new_left = slot.accelerators - (
            self.board.count_covered(bound) if bound is not None else 0
        )
        rooms = dict(self._list_room(job, slot, rack))
        chosen: list[tuple[str, int]] = []
        lost: set[str] = set()
        cost = 0.0
        while left > 0:
            options = [n for n in rooms if n in used or new_left > 0]
            if not options:
                return
            best = min(
                options,
                key=lambda n: (
                    self._count_new_loss(n, lost),
                    self._rank_equal(n, job),
                    n not in used,
                    rooms[n] if rooms[n] >= left else -rooms[n],
                    n,
                ),
            )
            cost += self._count_new_loss(best, lost)
            lost |= {g.spec.id for g, _ in self.board.benches[best].holds}
            count = min(left, rooms.pop(best))
            if best not in used:
                new_left -= self.board.bays[best].accelerators
            chosen.append((best, count))
            left -= count
        yield cost, Site(slot, tuple(sorted(chosen)))

    def _try_bind(self, site: Site, job: QueuedJob) -> bool:
        """Bind the slot there, unless another unused cell would lose its place."""
        board, slot = self.board, site.slot
        before = len(board.packing.missing)
        saved, old = dict(board.capacity), board.bound.get(slot)
        kept = None if old is None else (dict(old.used), list(old.gangs))
        rack = board.bays[site.members[0][0]].rack
        used = {n: count * job.spec.accelerators for n, count in site.members}
        board.bind(slot, rack, used, None)
        packing = board.pack(lambda _: 0.0)
        if len(packing.missing) <= before:
            board.packing = packing
            return True
        board.capacity = saved
        if old is None or kept is None:
            del board.bound[slot]
        else:
            old.used, old.gangs = kept
        return False

    def _occupy(self, site: Site, job: QueuedJob) -> list[Action]:
        """Take the room if it is free, else evict those who hold it."""
        benches = self.board.benches
        ready = all(
            benches[n].room.count_members(job.spec) >= count
            for n, count in site.members
        )
        if ready:
            members = self._take(site, job)
            self.board.start(job, members)
            self._guarded.add(job.spec.id)
            return [Place(job.spec.id, members, site.slot.name)]
        for name, count in site.members:
            for gang in self._choose_victims(name, job, count):
                self.victims.setdefault(
                    gang.spec.id,
                    Preempt(
                        gang.spec.id, job.spec.id, f"reclaimed by {job.organisation}"
                    ),
                )
            self._hold_back(name, job, count)
        return []

    def _take(self, site: Site, job: QueuedJob) -> tuple[Member, ...]:
        workers = itertools.chain.from_iterable(
            itertools.repeat(name, count) for name, count in site.members
        )
        return tuple(
            Member(
                f"{job.spec.id}.{number}",
                name,
                self.board.benches[name].room.take(job.spec),
            )
            for number, name in enumerate(workers)
        )

    def _hold_back(self, worker: str, job: QueuedJob, count: int) -> None:
        # Room that comes free must not go to the next borrower in the queue:
        # the owner would evict again in every pass and never start.
        room = self.board.benches[worker].room
        wanted = count * job.spec.accelerators
        free = min(wanted, len(room.free))
        del room.free[:free]
        room.cpus -= count * job.spec.cpus
        room.memory_mb -= count * job.spec.memory_mb
        self._coming[worker] = self._coming.get(worker, 0) + wanted - free
