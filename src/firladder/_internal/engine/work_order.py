"""Orders in which waiting work is placed."""

from .lateness import is_late
from .state import Unit
from .strategy_kinds import ORDERS, PlannerSettings


@ORDERS.register("in_time_first")
class InTimeFirst:
    """By priority; within it, work that can be in time before work that is late.

    Load: a burst that exceeds the capacity, in which each job would wait behind jobs
    that are already late.
    """

    strict = False

    def __init__(self, settings: PlannerSettings) -> None:
        """Judge lateness by the estimates of ``settings``."""
        self._estimates = settings.estimates

    def rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        """Rank a waiting unit."""
        accepted = unit.job.accepted
        late = is_late(
            accepted,
            run_time_s=self._estimates.estimate_run(unit),
            age_s=wall - accepted.accepted_at_s,
        )
        return (
            accepted.priority,
            late,
            accepted.accepted_at_s,
            unit.occurrence,
            unit.step_index,
            unit.indices[0],
        )


@ORDERS.register("priority_arrival")
class PriorityArrival:
    """By priority, then by arrival, whether work is late or not."""

    strict = False

    def __init__(self, settings: PlannerSettings) -> None:
        """Take no setting."""

    def rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        """Rank a waiting unit."""
        accepted = unit.job.accepted
        return (
            accepted.priority,
            accepted.accepted_at_s,
            unit.occurrence,
            unit.step_index,
            unit.indices[0],
        )


@ORDERS.register("arrival")
class Arrival:
    """By arrival, whatever the priority; later units fill what earlier ones leave."""

    strict = False

    def __init__(self, settings: PlannerSettings) -> None:
        """Take no setting."""

    def rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        """Rank a waiting unit."""
        accepted = unit.job.accepted
        return (accepted.accepted_at_s, unit.step_index, unit.indices[0])


@ORDERS.register("strict_arrival")
class StrictArrival(Arrival):
    """By arrival; nothing is placed before an earlier unit that does not fit."""

    strict = True
