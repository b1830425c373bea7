"""Pack the guaranteed cells of a failure domain onto its workers.

Enough accelerators may be free by count but not in the shape: one on each of sixteen
workers does not make a cell of sixteen. The packing is checked when the configuration
changes, so that every accepted guarantee can be kept, and in every placement pass,
around the gangs that run in guaranteed cells.

Cells are rounded up to buddy sizes: a power of two of accelerators on one worker, or a
power of two of whole workers of one rack. Such sizes divide each other, so packing the
largest first succeeds whenever any order does, whichever placement each one gets.
Without the rounding a cell of three could be placed so that a cell of four does not fit
although a better packing exists, and an accepted guarantee could not be reclaimed.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence

from ..exceptions import GuaranteesDoNotFit
from ..models.configuration import Cell, Organisation
from ..models.machine import Machine


@dataclasses.dataclass(frozen=True, slots=True)
class CellSlot:
    """One guaranteed cell of an organisation, not yet bound to workers.

    ``accelerators`` is the rounded size. With ``whole_workers`` the slot takes whole
    workers of one rack.
    """

    organisation: str
    name: str
    accelerators: int
    whole_workers: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Accelerators to be packed for an idle slot, or for the rest of one in use.

    ``rack`` is set if part of the slot is in use there already.
    """

    slot: CellSlot
    accelerators: int
    rack: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Bin:
    """A worker as a bin of the packing."""

    name: str
    rack: str
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class CellPlacement:
    """A possible placement of a guaranteed cell: accelerators on each worker."""

    organisation: str
    workers: tuple[tuple[str, int], ...]


@dataclasses.dataclass(slots=True)
class Packing:
    """The placements found, and the needs that do not fit."""

    placements: dict[CellSlot, tuple[tuple[str, int], ...]]
    missing: list[Need]


def round_cell(size: int, worker_size: int, rack_workers: int) -> tuple[int, bool]:
    """Return the buddy size of a cell, and whether it takes whole workers."""
    if size <= worker_size:
        return min(_round_up(size), worker_size), False
    workers = _round_up(-(-size // worker_size))
    if workers > rack_workers >= -(-size // worker_size):
        workers = rack_workers
    return workers * worker_size, True


def _round_up(number: int) -> int:
    return 1 << (number - 1).bit_length()


def list_slots(
    organisations: Mapping[str, Organisation],
    failure_domain: str,
    bins: Iterable[Bin],
) -> list[CellSlot]:
    """Return the guaranteed cells of a failure domain, largest first."""
    present = list(bins)
    worker_size = max((b.accelerators for b in present), default=1)
    racks: dict[str, int] = {}
    for worker in present:
        racks[worker.rack] = racks.get(worker.rack, 0) + 1
    rack_workers = max(racks.values(), default=1)
    slots = [
        CellSlot(name, f"{cell.accelerators}#{number}", *round_cell(*sizes))
        for name, org in organisations.items()
        for cell, number in _number_cells(org.shape, failure_domain)
        for sizes in [(cell.accelerators, max(1, worker_size), rack_workers)]
    ]
    return sorted(slots, key=lambda s: (-s.accelerators, s.organisation, s.name))


def _number_cells(
    shape: Sequence[Cell], failure_domain: str
) -> Iterable[tuple[Cell, int]]:
    seen: dict[int, int] = {}
    for cell in shape:
        if cell.failure_domain != failure_domain:
            continue
        for _ in range(cell.count):
            number = seen.get(cell.accelerators, 0)
            seen[cell.accelerators] = number + 1
            yield cell, number


def pack_needs(
    needs: Iterable[Need],
    bins: Mapping[str, Bin],
    capacity: Mapping[str, int],
    cost: Callable[[str], float] = lambda _: 0.0,
) -> Packing:
    """Pack every need into the workers' remaining capacity.

    The rests of slots in use are packed first, as they are tied to a rack; then the
    largest. The cheapest placement by ``cost`` is chosen, then the fullest worker, so
    that other workers stay empty.
    """
    left = dict(capacity)
    racks: dict[str, list[str]] = {}
    for worker in bins.values():
        if worker.name in left:
            racks.setdefault(worker.rack, []).append(worker.name)
    packing = Packing({}, [])
    ordered = sorted(needs, key=lambda n: (n.rack is None, -n.accelerators))
    for need in ordered:
        placement = (
            _find_whole_workers(need, racks, bins, left, cost)
            if need.slot.whole_workers
            else _find_single_worker(need, racks, left, cost)
        )
        if placement is None:
            packing.missing.append(need)
            continue
        for name, taken in placement:
            left[name] -= taken
        packing.placements[need.slot] = placement
    return packing


def _find_single_worker(
    need: Need,
    racks: Mapping[str, list[str]],
    left: Mapping[str, int],
    cost: Callable[[str], float],
) -> tuple[tuple[str, int], ...] | None:
    names = left if need.rack is None else racks.get(need.rack, ())
    fitting = [n for n in names if left[n] >= need.accelerators]
    if not fitting:
        return None
    best = min(fitting, key=lambda n: (cost(n), left[n], n))
    return ((best, need.accelerators),)


def _find_whole_workers(
    need: Need,
    racks: Mapping[str, list[str]],
    bins: Mapping[str, Bin],
    left: Mapping[str, int],
    cost: Callable[[str], float],
) -> tuple[tuple[str, int], ...] | None:
    found = []
    for rack in racks if need.rack is None else (need.rack,):
        empty = [n for n in racks.get(rack, ()) if left[n] == bins[n].accelerators > 0]
        empty.sort(key=lambda n: (cost(n), -left[n], n))
        sums = list(itertools.accumulate(left[n] for n in empty))
        enough = next((i for i, s in enumerate(sums) if s >= need.accelerators), None)
        if enough is not None:
            chosen = empty[: enough + 1]
            found.append((sum(map(cost, chosen)), len(empty), rack, chosen))
    if not found:
        return None
    return tuple((n, left[n]) for n in min(found)[3])


def place_cells(
    organisations: Mapping[str, Organisation],
    workers: Iterable[Machine],
    failure_domain: str,
) -> list[CellPlacement] | GuaranteesDoNotFit:
    """Return a placement for every guaranteed cell, or the first that does not fit."""
    bins = {w.name: Bin(w.name, w.rack, w.accelerators) for w in workers}
    slots = list_slots(organisations, failure_domain, bins.values())
    packing = pack_needs(
        (Need(s, s.accelerators) for s in slots),
        bins,
        {b.name: b.accelerators for b in bins.values()},
    )
    if packing.missing:
        slot = packing.missing[0].slot
        return GuaranteesDoNotFit(
            reason=(
                f"failure domain {failure_domain}: no place for cell {slot.name} of "
                f"{slot.organisation}, which takes {slot.accelerators} accelerators"
            ),
            field=f"organisation.{slot.organisation}.shape",
        )
    return [
        CellPlacement(slot.organisation, placement)
        for slot, placement in packing.placements.items()
    ]
