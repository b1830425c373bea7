"""Room that is being made by stopping work, and for whom it is kept."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from .placement import Candidate
from .state import Placement, Unit, Worker

RESERVATION_S = 1.5
"""Seconds for which room made by an eviction is kept for the unit that it was
made for; stops take some 200 ms, and a look to see the end."""

MAX_RESERVATION_S = 5.0
"""The same while stopped work still holds it: a leader behind a full link, or one with
hundreds of stops to send, sees their ends late."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is being made: where, since when, and what still has to go."""

    workers: tuple[str, ...]
    made_at: float
    stopped: tuple[Placement, ...]

    def holds(self, now: float, workers: Mapping[str, Worker]) -> bool:
        """Tell whether the room is still kept.

        Given up while the stops are on their way, it would be made once more
        somewhere else: the work of one urgent gang then stops that of three.
        """
        if now < self.made_at + RESERVATION_S:
            return True
        return now < self.made_at + MAX_RESERVATION_S and any(
            p.worker_id in workers and p.key in workers[p.worker_id].placements
            for p in self.stopped
        )


class Reservations:
    """The claims of one planner, from one pass to the next."""

    def __init__(self) -> None:
        """Start without any."""
        self._reservations: dict[int, Reservation] = {}

    def add(self, unit: Unit, reservation: Reservation) -> None:
        """Keep room for a unit."""
        self._reservations[id(unit)] = reservation

    def find(self, unit: Unit) -> Reservation | None:
        """Return what is kept for a unit."""
        return self._reservations.get(id(unit))

    def drop(self, unit: Unit) -> None:
        """Keep nothing for a unit any more."""
        self._reservations.pop(id(unit), None)

    def hold(
        self,
        waiting: Sequence[Unit],
        candidates: Iterable[Candidate],
        *,
        now: float,
        workers: Mapping[str, Worker],
    ) -> None:
        """Take what is kept off the room of a pass; drop claims that have ended."""
        live = {id(u) for u in waiting}
        self._reservations = {
            key: reservation
            for key, reservation in self._reservations.items()
            if key in live and reservation.holds(now, workers)
        }
        by_id = {c.worker_id: c for c in candidates}
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
    """Tell whether all of a claim's room is there.

    The claim's own room was taken off before; what is left below zero is room that
    stopped work has not given back yet.
    """
    frees = (c.free for c in pool if c.worker_id in reservation.workers)
    return all(
        min(free.cpu_milli, free.memory_mb, free.accelerators) >= 0 for free in frees
    )
