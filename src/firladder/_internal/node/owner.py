"""What the attendant of a worker needs of the term that it belongs to."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from ..engine.core import Core
from ..platform.workers import WorkerCalls
from ..utils.clocks import Clock
from .answer_timer import AnswerTimer

T = TypeVar("T")


class Owner(Protocol):
    """The term that attends workers."""

    core: Core
    calls: WorkerCalls
    clock: Clock
    answer_timer: AnswerTimer

    @property
    def may_renew(self) -> bool:
        """Tell whether leases may still be renewed."""

    def note_change(self) -> None:
        """Plan and write what an event has changed."""

    def note_order(self, kind: str, waited_s: float, took_s: float) -> None:
        """Count an order that waited for others and was then sent."""

    def spawn(self, work: Coroutine[Any, Any, T], *, name: str) -> asyncio.Task[T]:
        """Run ``work`` until it ends, or the term does."""

    def step_down(self, reason: str) -> None:
        """End the term."""
