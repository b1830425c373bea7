"""Which workers a unit takes first, before best fit decides among equals."""

import dataclasses
import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .placement import Candidate

DOUBTFUL = 0.5
"""Probability that a run fails through its worker's fault from which the worker is used
last. One failed run, which is most likely the task's own fault, stays below it."""

DOUBTFUL_RANK = 1000.0
LATE_RANK = 100.0
"""Added to ranks; more than any slowness."""

UNKNOWN_RANK = 0.05
"""Added to the rank of a worker of which nothing is known, so that it comes after those
known to be usual: half of the difference between two ranks."""


def estimate_slowness(candidate: "Candidate") -> float:
    """Return a worker's slowness including the uncertainty of its estimate."""
    profile = candidate.profile
    if not profile.spread:
        return profile.slowness
    return profile.slowness * math.exp(profile.spread)


class Preference:
    """Prefers no worker, so that best fit alone decides.

    A lower rank is better. Racks are tried from the lowest bound on, so the rank of
    members of a rack must never be below the rack's bound.
    """

    def rank(self, candidate: "Candidate") -> float:
        """Rank a worker for one task."""
        return 1.0

    def rank_gang(self, members: Sequence["Candidate"]) -> float:
        """Rank the members of a gang, which runs at the pace of its slowest one."""
        return 1.0

    def find_bound(self, rack: Sequence["Candidate"]) -> float:
        """Return a lower bound of the ranks of gangs on a rack."""
        return 1.0

    def explores(self, candidate: "Candidate") -> bool:
        """Return whether a worker gets one task of a step before it gets another."""
        return False


class FastFirst(Preference):
    """Prefers fast workers.

    Urgent work has only half of its run time to spare, and a slow worker uses up most
    of that.
    """

    def rank(self, candidate: "Candidate") -> float:
        """Rank by slowness, rounded so that best fit decides among similar workers."""
        return round(candidate.slowness, 1)

    def rank_gang(self, members: Sequence["Candidate"]) -> float:
        """Rank by the slowest member."""
        return max(map(self.rank, members))

    def find_bound(self, rack: Sequence["Candidate"]) -> float:
        """Return the rank of the fastest worker."""
        return min(map(self.rank, rack))


class CertainFirst(FastFirst):
    """Prefers workers that are known to be fast; doubtful ones come last.

    Load: urgent work, and gangs with little slack, on a heterogeneous pool.
    """

    def rank(self, candidate: "Candidate") -> float:
        """Rank by the slowness that is not exceeded as far as is known."""
        rank = round(estimate_slowness(candidate), 1)
        if not candidate.profile.measured:
            rank += UNKNOWN_RANK
        if candidate.profile.doubt >= DOUBTFUL:
            rank += DOUBTFUL_RANK
        return rank


@dataclasses.dataclass(frozen=True, slots=True)
class SlowFirst(Preference):
    """Prefers workers that are too slow for urgent work, then unknown ones.

    Load: work with slack on a heterogeneous pool, which leaves the fast workers to
    urgent work. Workers on which the work would be late itself, with a slowness above
    ``limit``, come after all others; ``urgent_limit`` is the same for urgent work.
    """

    limit: float
    urgent_limit: float

    def rank(self, candidate: "Candidate") -> float:
        """Rank a worker for one task."""
        profile = candidate.profile
        slowness = estimate_slowness(candidate)
        if profile.doubt >= DOUBTFUL:
            return DOUBTFUL_RANK + slowness
        if slowness > self.limit:
            return LATE_RANK + round(slowness, 1)
        if not profile.measured:
            return -self.urgent_limit
        return -round(profile.slowness, 1)

    def rank_gang(self, members: Sequence["Candidate"]) -> float:
        """Rank by the worst member: the gang is late if a single one is."""
        worst = max(map(self.rank, members))
        return worst if worst >= LATE_RANK else 0.0

    def find_bound(self, rack: Sequence["Candidate"]) -> float:
        """Return the rank of the best worker; all are alike that are not late."""
        return max(0.0, min(map(self.rank, rack)))

    def explores(self, candidate: "Candidate") -> bool:
        """Return whether nothing is known of a worker: one task shows its speed."""
        return not candidate.profile.measured


BEST_FIT = Preference()
FAST_FIRST = FastFirst()
CERTAIN_FIRST = CertainFirst()
