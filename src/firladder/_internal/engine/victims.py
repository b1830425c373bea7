"""Which running work is preempted for urgent work, and when."""

import functools
from collections.abc import Collection, Sequence

from .guarantees import is_guaranteed
from .placement import Candidate
from .preemption import (
    PreemptionPlan,
    PreemptionPlanner,
    count_cores,
    estimate_penalty,
)
from .state import Unit
from .strategy_kinds import VICTIMS, PlannerSettings

MAX_LOSS_RATIO = 4.0
"""Core-seconds of lower-priority work that may be lost per core-second of urgent work
beyond its organisation's guarantee. Urgent work in time is worth several times what
its core-seconds cost. With a higher ratio, a large gang that has just started is lost
for a small job and becomes late itself. Within the guarantee there is no limit: those
accelerators were only lent to others."""

CHEAP_ONLY_SHARE = 0.35
"""Share of the time within which guaranteed work must start during which it accepts
only preemptions that cost less than ``MAX_LOSS_RATIO``. Stop and start orders need the
rest. A few expensive preemptions make up most of the lost work: one for two tasks stops
a gang that has done thousands of core-seconds. The wait halves the work that an urgent
burst on a full pool loses, without a disadvantage to callers."""

RECLAIM_MARGIN_S = 2.0
"""Minimum part of the same time that is left for the preemption: a stop takes up to
0.9 s, reading its end and storing and ordering the new run another 0.5 s, and a busy
leader longer."""


@VICTIMS.register("least_loss")
class LeastLoss:
    """Stops the work that loses least, if the urgent work is worth that or must start.

    Load: urgent work on a pool that is full of lower-priority work, and a burst of
    small urgent jobs within a guarantee. What must start whatever it costs first uses
    the capacity that earlier stops free soon: each job would otherwise stop a gang of
    its own, although the first gang frees enough for all of them.
    """

    def __init__(self, settings: PlannerSettings) -> None:
        """Weigh the loss against the estimates of ``settings``."""
        self._core = settings.core
        self._estimates = settings.estimates
        self._reclaim_s = settings.reclaim_s
        self._restart_s = settings.restart_s

    def choose(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        now: float,
        *,
        avoided: Collection[str],
        spread_allowed: bool,
        may_start_elsewhere: bool,
    ) -> PreemptionPlan | None:
        """Return the units to stop now for an urgent unit, or None."""
        plan = functools.partial(
            self._plan, unit, pool, now, avoided=avoided, spread_allowed=spread_allowed
        )
        found = plan(use_stopping=False)
        if found is None or self._is_worth_cost(unit, found):
            return found
        if may_start_elsewhere or not self._must_reclaim(unit, now):
            return None
        return plan(use_stopping=True)

    def _plan(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        now: float,
        *,
        avoided: Collection[str],
        spread_allowed: bool,
        use_stopping: bool,
    ) -> PreemptionPlan | None:
        planner = PreemptionPlanner(
            candidates=pool,
            workers=self._core.workers,
            now=now,
            restart_s=self._restart_s,
            use_stopping=use_stopping,
        )
        return planner.plan(unit, avoided=avoided, spread_allowed=spread_allowed)

    def _must_reclaim(self, unit: Unit, now: float) -> bool:
        cheap_only_s = min(
            self._reclaim_s * CHEAP_ONLY_SHARE, self._reclaim_s - RECLAIM_MARGIN_S
        )
        return now - unit.ready_at >= cheap_only_s and is_guaranteed(self._core, unit)

    def _is_worth_cost(self, unit: Unit, found: PreemptionPlan) -> bool:
        # What was lost before decides which work is stopped, not whether any is: urgent
        # work would otherwise wait for work that was preempted once late in its run.
        cost = found.cost - sum(
            max(0.0, victim.lost_core_s - estimate_penalty(victim))
            for victim in found.victims
        )
        cores = count_cores(unit.step.need) * len(unit.indices)
        return cost <= MAX_LOSS_RATIO * cores * self._estimates.estimate_run(unit)


@VICTIMS.register("least_loss_at_once")
class LeastLossAtOnce(LeastLoss):
    """Reclaims guaranteed capacity at once, without regard to the work lost."""

    def _must_reclaim(self, unit: Unit, now: float) -> bool:
        return is_guaranteed(self._core, unit)


@VICTIMS.register("none")
class NoVictims:
    """Preempts nothing."""

    def __init__(self, settings: PlannerSettings) -> None:
        """Take no setting."""

    def choose(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        now: float,
        *,
        avoided: Collection[str],
        spread_allowed: bool,
        may_start_elsewhere: bool,
    ) -> PreemptionPlan | None:
        """Return None."""
        return None
