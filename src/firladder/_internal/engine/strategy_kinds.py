"""The kinds of strategies that a planner is made of, and their registries."""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Protocol

from ..policies.registry import Registry
from .core import Core
from .estimates import Estimates
from .placement import Candidate
from .pool_view import PoolView
from .preemption import PreemptionPlan
from .preferences import Preference
from .state import Job, Unit


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """What strategies decide by, apart from the units and the workers.

    ``reclaim_s`` is the time within which guaranteed urgent work must start;
    ``restart_s`` is what a task that saves checkpoints loses by a stop.
    """

    core: Core
    estimates: Estimates
    reclaim_s: float
    restart_s: float


class Order(Protocol):
    """Which waiting work is placed first.

    With ``strict``, nothing is placed after the first unit that does not fit.
    """

    strict: bool

    def rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        """Rank a waiting unit; the lowest rank goes first."""


class Fit(Protocol):
    """On which workers a unit is placed."""

    def begin_pass(self, view: PoolView, now: float, wall: float) -> None:
        """Start a pass over the workers in ``view``."""

    def choose_preference(self, unit: Unit, pool: Sequence[Candidate]) -> Preference:
        """Return which workers of its pool the unit takes first."""

    def list_in_time(
        self, unit: Unit, pool: Sequence[Candidate]
    ) -> list[Candidate] | None:
        """Return the workers that room is made on before others are used, or None."""

    def describe_choice(
        self, unit: Unit, pool: Sequence[Candidate], members: Sequence[Candidate]
    ) -> Mapping[str, object]:
        """Return what a placement was decided by, or nothing if best fit decided."""


class Victims(Protocol):
    """Which running work is preempted for an urgent unit."""

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
        """Return the units to stop now, or None.

        With ``may_start_elsewhere`` the unit can start at once on slower workers.
        """


class Move(Protocol):
    """Which running work is stopped to run on other workers."""

    def list_units(self, now: float) -> Iterable[Unit]:
        """Yield the units to stop; each is stopped before the next is asked for."""


class Headroom(Protocol):
    """Which workers are kept free from lower-priority work."""

    def begin_pass(
        self,
        waiting: Iterable[Unit],
        find_pool: Callable[[Job], str],
        now: float,
        wall: float,
    ) -> None:
        """Start a pass over the waiting units."""

    def list_held(
        self, unit: Unit, pool_name: str, pool: Sequence[Candidate]
    ) -> Collection[str]:
        """Return the workers of its pool that a unit may not use now."""


class MakeOrder(Protocol):
    """Makes an order for a planner."""

    def __call__(self, settings: PlannerSettings) -> Order: ...


class MakeFit(Protocol):
    """Makes a fit for a planner."""

    def __call__(self, settings: PlannerSettings) -> Fit: ...


class MakeVictims(Protocol):
    """Makes a choice of victims for a planner."""

    def __call__(self, settings: PlannerSettings) -> Victims: ...


class MakeMove(Protocol):
    """Makes a choice of moves for a planner."""

    def __call__(self, settings: PlannerSettings) -> Move: ...


class MakeHeadroom(Protocol):
    """Makes a headroom for a planner."""

    def __call__(self, settings: PlannerSettings) -> Headroom: ...


ORDERS: Registry[MakeOrder] = Registry("order")
FITS: Registry[MakeFit] = Registry("fit")
VICTIMS: Registry[MakeVictims] = Registry("choice of victims")
MOVES: Registry[MakeMove] = Registry("move")
HEADROOMS: Registry[MakeHeadroom] = Registry("headroom")
