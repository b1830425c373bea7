"""Remember the demands that did not fit in a pass, to rule out larger ones."""

import dataclasses
import math

from ..models.workload import Resources, Step

ANY_WORKER_S = -math.inf
"""Run time of a demand that may also use workers on which backfilling is limited."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a unit needs from ``pool``: ``count`` times the resources ``need``.

    If ``one_rack``, all tasks must be on one rack. ``run_time_s`` must fit into the
    backfill window of each worker. If ``held_back``, the workers that are kept free for
    urgent arrivals may not be used.
    """

    pool: str
    need: Resources
    count: int
    one_rack: bool
    run_time_s: float
    held_back: bool = False

    def dominates(self, other: "Demand") -> bool:
        """Return whether any workers that satisfy this demand satisfy ``other`` too."""
        return (
            self.count >= other.count
            and self.run_time_s >= other.run_time_s
            and self.need.covers(other.need)
            and (self.one_rack or not other.one_rack)
            and (self.held_back or not other.held_back)
        )


class Shortages:
    """The demands that could not be satisfied in one pass.

    When thousands of similar tasks wait for a full pool, checking each worker for each
    task makes a pass longer than the time between two events. Free capacity only
    shrinks within a pass, so a demand that asks for at least as much as one that did
    not fit can be skipped.
    """

    def __init__(self) -> None:
        """Start without shortages."""
        self._failed: dict[str, list[Demand]] = {}

    def begin_pass(self) -> None:
        """Clear the shortages of the previous pass: capacity may be free now."""
        self._failed.clear()

    def record(self, demand: Demand, step: Step, *, has_exclusions: bool) -> None:
        """Record a demand that could not be satisfied.

        A step with a label, a rack or a limit of tasks per worker, or a unit that
        avoids workers, may not fit for that reason alone. It rules out no other demand
        and is not recorded.
        """
        constrained = bool(step.label or step.rack or step.most_per_worker)
        if not constrained and not has_exclusions:
            self._failed.setdefault(demand.pool, []).append(demand)

    def rules_out(self, demand: Demand) -> bool:
        """Return whether a demand certainly cannot be satisfied in this pass."""
        failed = self._failed.get(demand.pool, ())
        return any(demand.dominates(other) for other in failed)
