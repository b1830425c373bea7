"""Capacity freed by preemption, reserved for the units it was freed for."""

import dataclasses
from collections.abc import Mapping, Sequence

from .placement import Candidate
from .preemption import PreemptionPlan
from .state import Placement, Unit, Worker

RESERVATION_S = 1.5
"""How long capacity freed by a preemption stays reserved for the unit it was freed
for. Stopping a task takes about 200 ms, and a poll must then report the end."""

MAX_RESERVATION_S = 5.0
"""The same while stopped tasks still hold the capacity: a leader behind a saturated
link, or with hundreds of stops to send, learns of the ends late."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Workers reserved for a unit, and the placements that were stopped for it."""

    workers: tuple[str, ...]
    made_at: float
    stopped: tuple[Placement, ...]

    def holds(self, now: float, workers: Mapping[str, Worker]) -> bool:
        """Return whether the reservation is still in force.

        If it expired while the stops are in flight, the unit would preempt again
        elsewhere: one urgent gang would then stop the work of three.
        """
        if now < self.made_at + RESERVATION_S:
            return True
        return now < self.made_at + MAX_RESERVATION_S and any(
            p.worker_id in workers and p.key in workers[p.worker_id].placements
            for p in self.stopped
        )


def reserve_workers(plan: PreemptionPlan, now: float) -> Reservation:
    """Return the reservation of the workers that a preemption frees."""
    stopped = tuple(
        placement
        for victim in plan.victims
        for placement in victim.placements.values()
        if placement.worker_id in plan.workers
    )
    return Reservation(plan.workers, now, stopped + plan.stopping)


class Reservations:
    """The reservations of one planner, kept from pass to pass."""

    def __init__(self) -> None:
        """Start without reservations."""
        self._reservations: dict[int, Reservation] = {}

    def add(self, unit: Unit, reservation: Reservation) -> None:
        """Add the reservation of a unit."""
        self._reservations[id(unit)] = reservation

    def clear(self) -> None:
        """Remove all reservations."""
        self._reservations.clear()

    def find(self, unit: Unit) -> Reservation | None:
        """Return a unit's reservation, or None."""
        return self._reservations.get(id(unit))

    def list_reserved(self, unit: Unit) -> list[str]:
        """Return the workers reserved for the other units of a unit's step."""
        step = unit.job.by_step[unit.occurrence, unit.step_index]
        found = [self.find(other) for other in step if other is not unit]
        return [w for reservation in found if reservation for w in reservation.workers]

    def drop(self, unit: Unit) -> None:
        """Remove a unit's reservation, if it has one."""
        self._reservations.pop(id(unit), None)

    def apply(
        self,
        waiting: Sequence[Unit],
        by_id: Mapping[str, Candidate],
        *,
        now: float,
        workers: Mapping[str, Worker],
    ) -> None:
        """Drop expired reservations; deduct the others from the free capacity.

        ``by_id`` has the candidates of this pass by their worker's id.
        """
        live = {id(u) for u in waiting}
        self._reservations = {
            key: reservation
            for key, reservation in self._reservations.items()
            if key in live and reservation.holds(now, workers)
        }
        for unit in waiting:
            reservation = self.find(unit)
            if reservation is None:
                continue
            if any(w not in by_id for w in reservation.workers):
                self.drop(unit)
                continue
            for worker_id in reservation.workers:
                by_id[worker_id].free = by_id[worker_id].free - unit.step.need


def is_capacity_free(reservation: Reservation, pool: Sequence[Candidate]) -> bool:
    """Return whether all of the reserved capacity is free.

    The reservation itself is already deducted from ``free``: a negative amount is
    capacity that stopped tasks have not released yet.
    """
    frees = (c.free for c in pool if c.worker_id in reservation.workers)
    return all(
        min(free.cpu_milli, free.memory_mb, free.accelerators) >= 0 for free in frees
    )
