"""Which workers a unit takes first, before best fit decides among equals."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .placement import Candidate


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


BEST_FIT = Preference()
FAST_FIRST = FastFirst()
