"""Planners for simulated days: the engine's, and baselines made of its strategies."""

from ..engine.planning import Planner
from ..engine.strategies import StrategyNames
from ..policies.registry import Registry

PLANNERS: Registry[type[Planner]] = Registry("planner")
"""Planners by name; leaders run "engine"."""

PLANNERS.register("engine")(Planner)


@PLANNERS.register("impatient")
class EagerReclaimPlanner(Planner):
    """Reclaims at once, without regard to the work that is lost."""

    strategy_names = StrategyNames(victims="least_loss_at_once")


@PLANNERS.register("easy_backfill")
class BackfillPlanner(Planner):
    """First come, first served, with reservations for gangs and no preemption."""

    strategy_names = StrategyNames(order="arrival", victims="none")


@PLANNERS.register("first_come")
class FirstComePlanner(Planner):
    """First come, first served: nothing starts before an earlier arrival."""

    strategy_names = StrategyNames(order="strict_arrival", victims="none")
