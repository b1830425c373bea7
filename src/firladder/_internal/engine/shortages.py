"""Remember what did not fit in a pass, and so what cannot fit either."""

import dataclasses
import math

from ..models.workload import Resources, Step

ANY_WORKER_S = -math.inf
"""Seconds of a wish that also takes workers which are kept for others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a unit asks of ``pool``.

    ``one_rack`` tells that all tasks must be on one rack, ``run_time_s`` for how long
    workers must be open, in seconds.
    """

    pool: str
    need: Resources
    count: int
    one_rack: bool
    run_time_s: float

    def dominates(self, other: "Demand") -> bool:
        """Tell whether whatever serves this wish would serve the other one as well."""
        return (
            self.count >= other.count
            and self.run_time_s >= other.run_time_s
            and self.need.covers(other.need)
            and (self.one_rack or not other.one_rack)
        )


class Shortages:
    """The wishes that one pass could not serve.

    Answers a long queue before a full pool: thousands of like tasks wait, and looking
    at each worker for each of them makes a pass longer than the time between two
    events. Within a pass room only becomes less, so that what asks for no less than
    something that did not fit need not be looked at.
    """

    def __init__(self) -> None:
        """Know of no shortage yet."""
        self._failed: dict[str, list[Demand]] = {}

    def begin_pass(self) -> None:
        """Forget the pass before: room may have come up since."""
        self._failed.clear()

    def note(self, demand: Demand, step: Step, *, has_exclusions: bool) -> None:
        """Note that a wish could not be served.

        A step that is bound to a label, a rack or a number of tasks a worker, or a unit
        that avoids workers, may have failed for that reason alone: it tells nothing.
        """
        bound = bool(step.label or step.rack or step.most_per_worker)
        if not bound and not has_exclusions:
            self._failed.setdefault(demand.pool, []).append(demand)

    def covers(self, demand: Demand) -> bool:
        """Tell whether a wish cannot be served in this pass."""
        failed = self._failed.get(demand.pool, ())
        return any(demand.dominates(other) for other in failed)
