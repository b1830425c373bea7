"""Select the strategies of a planner by their names."""

import dataclasses
from typing import TypeVar

from ..policies.registry import Registry
from . import draining, fits, headroom, moves, victims, work_order
from .strategy_kinds import (
    FITS,
    HEADROOMS,
    MOVES,
    ORDERS,
    VICTIMS,
    Fit,
    Headroom,
    Move,
    Order,
    PlannerSettings,
    Victims,
)

CATALOGUE = (draining, fits, headroom, moves, victims, work_order)
"""The modules whose strategies are registered when they are imported."""

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class StrategyNames:
    """The registered names of a planner's strategies; leaders use the defaults."""

    order: str = "in_time_first"
    fit: str = "by_slack"
    victims: str = "least_loss"
    moves: tuple[str, ...] = ("off_draining", "off_slow")
    headroom: str = "learned"


@dataclasses.dataclass(frozen=True, slots=True)
class Strategies:
    """The strategies of one planner."""

    order: Order
    fit: Fit
    victims: Victims
    moves: tuple[Move, ...]
    headroom: Headroom


def choose_strategies(names: StrategyNames, settings: PlannerSettings) -> Strategies:
    """Return the strategies with these names."""
    return Strategies(
        _find(ORDERS, names.order)(settings),
        _find(FITS, names.fit)(settings),
        _find(VICTIMS, names.victims)(settings),
        tuple(_find(MOVES, name)(settings) for name in names.moves),
        _find(HEADROOMS, names.headroom)(settings),
    )


def _find(registry: Registry[T], name: str) -> T:
    found = registry.find(name)
    if found is None:
        raise ValueError(f"no strategy {name!r} among {registry.list_names()}")
    return found
