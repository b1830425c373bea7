"""Planners that keep headroom in other ways than the engine's, for comparison."""

from ..engine.planning import Planner
from ..engine.strategies import StrategyNames
from .day_policies import PLANNERS


@PLANNERS.register("no_headroom")
class NoHeadroomPlanner(Planner):
    """Keeps nothing free for urgent arrivals."""

    strategy_names = StrategyNames(headroom="none")


@PLANNERS.register("learned_headroom")
class LearnedHeadroomPlanner(Planner):
    """Keeps free what urgent arrivals are expected to ask for."""

    strategy_names = StrategyNames(headroom="learned")


@PLANNERS.register("fixed_headroom")
class FixedHeadroomPlanner(Planner):
    """Keeps a fixed share of each pool free while urgent work arrives."""

    strategy_names = StrategyNames(headroom="fixed_share")
