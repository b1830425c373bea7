"""Metrics of how a simulated fleet was used."""

import dataclasses
import itertools
from collections.abc import Iterable, Mapping, Sequence

ACCELERATORS_PER_WORKER = 8


@dataclasses.dataclass(frozen=True, slots=True)
class JobStart:
    """A job, its arrival and its first start, in seconds."""

    job: str
    at: float
    started_at: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The free capacity of the fleet after one placement pass, in accelerators.

    ``largest_gang`` is the largest gang that could start: on whole workers of one
    rack, or on one worker. ``max_gang`` is the largest that the free accelerators
    would hold without fragmentation. ``blocked`` says that a large job waits although
    enough accelerators are free.
    """

    at: float
    free: int
    largest_gang: int
    max_gang: int
    blocked: bool
    shares: Mapping[str, int]

    @classmethod
    def take(
        cls,
        at: float,
        free: Mapping[str, Sequence[int]],
        waiting: Iterable[int],
        shares: Mapping[str, int],
    ) -> "Sample":
        """Return the sample for the free accelerators of each worker, by rack."""
        total = sum(map(sum, free.values()))
        whole = max(
            (
                sum(f for f in rack if f >= ACCELERATORS_PER_WORKER)
                for rack in free.values()
            ),
            default=0,
        )
        single = max((f for rack in free.values() for f in rack), default=0)
        rack_size = max(
            (len(r) * ACCELERATORS_PER_WORKER for r in free.values()), default=0
        )
        blocked = any(ACCELERATORS_PER_WORKER <= size <= total for size in waiting)
        return cls(
            at, total, max(whole, single), min(total, rack_size), blocked, shares
        )


def find_percentile(values: Iterable[float], fraction: float) -> float:
    """Return a percentile by the nearest rank, or zero without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def measure_fragmentation(samples: Sequence[Sample]) -> float:
    """Return the mean share of the free accelerators that no single gang can use."""
    spans = [(b.at - a.at, a) for a, b in itertools.pairwise(samples)]
    total = sum(s * a.free for s, a in spans)
    wasted = sum(
        s * a.free * (1 - a.largest_gang / a.max_gang) for s, a in spans if a.max_gang
    )
    return wasted / total if total else 0.0


def measure_blocked(samples: Sequence[Sample], until: float) -> float:
    """Return the share of time in which a large job was blocked by fragmentation."""
    spans = [(b.at - a.at, a) for a, b in itertools.pairwise(samples) if a.at < until]
    total = sum(s for s, _ in spans)
    return sum(s for s, a in spans if a.blocked) / total if total else 0.0
