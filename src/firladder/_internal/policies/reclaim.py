"""Reclaim an organisation's guaranteed cell, preempting borrowers if necessary.

When an owner's gang arrives while other organisations' work fills the fleet, reclaim
never waits for a borrower to end, and never preempts a gang in a guaranteed cell.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Sequence

from ..models.job import Member
from .backfill import Chooser
from .cell_packing import CellSlot
from .cells import PlacementPlan, WorkerPlan
from .placement import Action, Place, Preempt, QueuedJob
from .preemption import VictimChooser

NEW_JOB_S = 2.0
"""Seconds for which a job counts as newly submitted: a few placement passes."""

MAX_CANDIDATES = 16
"""Candidates tried for one cell. The first one almost always allows the other cells
to be packed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A possible placement of a gang in a slot: the number of members by worker."""

    slot: CellSlot
    members: tuple[tuple[str, int], ...]


class Reclaimer(VictimChooser):
    """Reclaims cells for the jobs of one placement pass, in queue order."""

    def __init__(
        self,
        plan: PlacementPlan,
        queue: Sequence[QueuedJob],
        reserved: frozenset[str],
        choose: Chooser,
    ) -> None:
        """Plan for the jobs in ``queue``; avoid workers reserved for large gangs."""
        super().__init__(plan)
        self._reserved = reserved
        self._choose = choose
        self._owners_awaiting_whole_workers = {
            j.organisation for j in queue if self._is_large(j)
        }

    def _is_large(self, job: QueuedJob) -> bool:
        size = max((b.accelerators for b in self.plan.bins.values()), default=0)
        return 0 < size <= job.spec.accelerators

    def reclaim_cell(self, job: QueuedJob) -> list[Action] | None:
        """Return the actions to start the job in a cell, or None if it gets none.

        An empty list means that the cell is being vacated: its capacity is withheld
        from other jobs until the victims have stopped.
        """
        if job.spec.accelerators == 0:
            return None
        slots = self._list_usable_slots(job)
        suitable = [s for s in slots if self._is_suitable(s, job)]
        others = [
            s for s in slots if s not in suitable and not self._awaits_whole_workers(s)
        ]
        actions = self._reclaim_any(job, suitable)
        if actions is None and others:
            return self._start_in_free_capacity(job) or self._reclaim_any(job, others)
        return actions

    def _start_in_free_capacity(self, job: QueuedJob) -> list[Action]:
        """Start a newly submitted small job in free capacity, outside the cells.

        This keeps cells of whole workers unfragmented. A job that was preempted, or did
        not fit, is older by then and gets a cell, in which it can't be preempted:
        otherwise owners' small jobs would preempt each other without end.
        """
        if self.plan.view.now - job.submitted_at > NEW_JOB_S:
            return []
        capacities = [
            wp.room for wp in self.plan.worker_plans.values() if wp.view.usable
        ]
        members = self._choose(job, capacities)
        if members is None:
            return []
        self.plan.start(job, members)
        self._guaranteed.add(job.spec.id)
        return [Place(job.spec.id, members)]

    def _awaits_whole_workers(self, slot: CellSlot) -> bool:
        """Return whether a large job of the slot's owner waits for whole workers."""
        return slot.organisation in self._owners_awaiting_whole_workers

    def _is_suitable(self, slot: CellSlot, job: QueuedJob) -> bool:
        """Return whether the size of the job suits the slot.

        A small job takes a cell of whole workers last, and not while a large job of
        its organisation waits: successive small jobs could occupy the cell without
        end, and a large job can't preempt them there.
        """
        return not slot.whole_workers or self._is_large(job)

    def _reclaim_any(
        self, job: QueuedJob, slots: Sequence[CellSlot]
    ) -> list[Action] | None:
        for slot in slots:
            for candidate in itertools.islice(
                self._list_candidates(job, slot), MAX_CANDIDATES
            ):
                if self._try_bind(candidate, job):
                    return self._start_or_preempt(candidate, job)
        return None

    def _list_usable_slots(self, job: QueuedJob) -> list[CellSlot]:
        """Return the slots that are large enough, smallest first.

        Of slots of the same size, those in use come first, and only one idle slot is
        returned, as idle ones are equivalent.
        """
        wanted = job.spec.members * job.spec.accelerators
        missing = {n.slot for n in self.plan.packing.missing}
        seen: set[int] = set()
        found = []
        ordered = sorted(
            self.plan.slots,
            key=lambda s: (s.accelerators, s not in self.plan.bound, s.name),
        )
        for slot in ordered:
            if slot.organisation != job.organisation or slot.accelerators < wanted:
                continue
            if slot not in self.plan.bound:
                if slot.accelerators in seen or slot in missing:
                    continue
                seen.add(slot.accelerators)
            found.append(slot)
        return found

    def _is_allowed(self, worker_plan: WorkerPlan, job: QueuedJob) -> bool:
        return (
            worker_plan.view.name not in job.avoid
            and job.workers.match(worker_plan.view.labels)
            and worker_plan.is_within_share(job.spec)
        )

    def _list_candidates(self, job: QueuedJob, slot: CellSlot) -> Iterable[Candidate]:
        """Return the candidates for the job in the slot, cheapest first."""
        if slot.whole_workers:
            return self._list_whole_worker_candidates(job, slot)
        return self._list_part_worker_candidates(job, slot)

    def _list_part_worker_candidates(
        self, job: QueuedJob, slot: CellSlot
    ) -> Iterable[Candidate]:
        spec, plan = job.spec, self.plan
        bound = plan.bound.get(slot)
        if bound is not None:
            left = slot.accelerators - sum(bound.used.values())
            names = list(bound.used) if left >= spec.members * spec.accelerators else []
        else:
            names = [n for n, c in plan.capacity.items() if c >= slot.accelerators]
        allowed = (n for n in names if n in plan.bins)
        ordered = sorted(
            (n for n in allowed if self._is_allowed(plan.worker_plans[n], job)),
            key=lambda n: (
                self._estimate_victims_loss(n, job),
                self._rank_tied(n, job),
                plan.capacity[n],
                len(plan.worker_plans[n].room.free),
                n,
            ),
        )
        return (Candidate(slot, ((n, spec.members),)) for n in ordered)

    def _rank_tied(self, worker: str, job: QueuedJob) -> tuple[bool, bool]:
        """Rank workers on which the same amount of work would be lost.

        Workers that are being vacated for this job come first: otherwise each pass
        could choose others, and the owner would start late. Workers reserved for a
        waiting large gang come last for small jobs, which could otherwise delay it
        without bound.
        """
        holds = self.plan.worker_plans[worker].holds
        vacating = any(g.preempted_for == job.spec.id for g, _ in holds)
        return not vacating, worker in self._reserved and not self._is_large(job)

    def _list_whole_worker_candidates(
        self, job: QueuedJob, slot: CellSlot
    ) -> Iterable[Candidate]:
        if job.spec.adjacency == "worker":
            yield from self._list_single_worker_candidates(job, slot)
            return
        candidates = [
            (cost, candidate)
            for rack in sorted({b.rack for b in self.plan.bins.values()})
            for cost, candidate in self._plan_rack(job, slot, rack)
        ]
        yield from (
            candidate for _, candidate in sorted(candidates, key=lambda s: s[0])
        )

    def _list_single_worker_candidates(
        self, job: QueuedJob, slot: CellSlot
    ) -> Iterable[Candidate]:
        names = [
            n
            for rack in sorted({b.rack for b in self.plan.bins.values()})
            for n, count in self._list_member_capacity(job, slot, rack)
            if count >= job.spec.members
        ]
        names.sort(
            key=lambda n: (
                self._estimate_victims_loss(n, job),
                self._rank_tied(n, job),
                n,
            )
        )
        return (Candidate(slot, ((n, job.spec.members),)) for n in names)

    def _list_member_capacity(
        self, job: QueuedJob, slot: CellSlot, rack: str
    ) -> list[tuple[str, int]]:
        """Return the members that fit on each worker that the slot has or may take."""
        plan, bound = self.plan, self.plan.bound.get(slot)
        if bound is not None and bound.rack != rack:
            return []
        used = bound.used if bound is not None else {}
        more = slot.accelerators - (plan.count_covered(bound) if bound else 0)
        capacities = []
        for name, worker in plan.bins.items():
            if worker.rack != rack or not self._is_allowed(
                plan.worker_plans[name], job
            ):
                continue
            if name in used:
                left = worker.accelerators - used[name]
            elif more > 0 and plan.capacity[name] == worker.accelerators:
                left = worker.accelerators
            else:
                continue
            capacities.append((name, left // job.spec.accelerators))
        return [(n, c) for n, c in capacities if c > 0]

    def _plan_rack(
        self, job: QueuedJob, slot: CellSlot, rack: str
    ) -> Iterable[tuple[float, Candidate]]:
        """Choose workers of one rack greedily, each time the cheapest."""
        bound = self.plan.bound.get(slot)
        used = bound.used if bound is not None else {}
        left = job.spec.members
        new_left = slot.accelerators - (
            self.plan.count_covered(bound) if bound is not None else 0
        )
        capacities = dict(self._list_member_capacity(job, slot, rack))
        chosen: list[tuple[str, int]] = []
        lost: set[str] = set()
        cost = 0.0
        while left > 0:
            options = [n for n in capacities if n in used or new_left > 0]
            if not options:
                return
            best = min(
                options,
                key=lambda n: (
                    self._estimate_added_loss(n, lost),
                    self._rank_tied(n, job),
                    n not in used,
                    capacities[n] if capacities[n] >= left else -capacities[n],
                    n,
                ),
            )
            cost += self._estimate_added_loss(best, lost)
            lost |= {g.spec.id for g, _ in self.plan.worker_plans[best].holds}
            count = min(left, capacities.pop(best))
            if best not in used:
                new_left -= self.plan.bins[best].accelerators
            chosen.append((best, count))
            left -= count
        yield cost, Candidate(slot, tuple(sorted(chosen)))

    def _try_bind(self, candidate: Candidate, job: QueuedJob) -> bool:
        """Bind the slot to the candidate unless another unused cell no longer fits."""
        plan, slot = self.plan, candidate.slot
        before = len(plan.packing.missing)
        saved, old = dict(plan.capacity), plan.bound.get(slot)
        kept = None if old is None else (dict(old.used), list(old.gangs))
        rack = plan.bins[candidate.members[0][0]].rack
        used = {n: count * job.spec.accelerators for n, count in candidate.members}
        plan.bind(slot, rack, used, None)
        packing = plan.pack(lambda _: 0.0)
        if len(packing.missing) <= before:
            plan.packing = packing
            return True
        plan.capacity = saved
        if old is None or kept is None:
            del plan.bound[slot]
        else:
            old.used, old.gangs = kept
        return False

    def _start_or_preempt(self, candidate: Candidate, job: QueuedJob) -> list[Action]:
        """Start the job if the capacity is free; otherwise preempt its holders."""
        worker_plans = self.plan.worker_plans
        ready = all(
            worker_plans[n].room.count_members(job.spec) >= count
            for n, count in candidate.members
        )
        if ready:
            members = self._take(candidate, job)
            self.plan.start(job, members)
            self._guaranteed.add(job.spec.id)
            return [Place(job.spec.id, members, candidate.slot.name)]
        for name, count in candidate.members:
            for gang in self._choose_victims(name, job, count):
                self.victims.setdefault(
                    gang.spec.id,
                    Preempt(
                        gang.spec.id, job.spec.id, f"reclaimed by {job.organisation}"
                    ),
                )
            self._withhold(name, job, count)
        return []

    def _take(self, candidate: Candidate, job: QueuedJob) -> tuple[Member, ...]:
        workers = itertools.chain.from_iterable(
            itertools.repeat(name, count) for name, count in candidate.members
        )
        return tuple(
            Member(
                f"{job.spec.id}.{number}",
                name,
                self.plan.worker_plans[name].room.take(job.spec),
            )
            for number, name in enumerate(workers)
        )

    def _withhold(self, worker: str, job: QueuedJob, count: int) -> None:
        # Capacity that becomes free must not go to the next borrower in the queue:
        # the owner would preempt again in every pass and never start.
        free_capacity = self.plan.worker_plans[worker].room
        wanted = count * job.spec.accelerators
        free = min(wanted, len(free_capacity.free))
        del free_capacity.free[:free]
        free_capacity.cpus -= count * job.spec.cpus
        free_capacity.memory_mb -= count * job.spec.memory_mb
        self._promised_accelerators[worker] = (
            self._promised_accelerators.get(worker, 0) + wanted - free
        )
