"""What the attendant of a worker needs of the term that it belongs to."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from ..engine.core import Core
from ..platform.workers import WorkerCalls
from ..utils.clocks import Clock
from .timeout_estimator import TimeoutEstimator

T = TypeVar("T")


class SessionContext(Protocol):
    """The term that attends workers."""

    core: Core
    calls: WorkerCalls
    clock: Clock
    timeout_estimator: TimeoutEstimator

    @property
    def may_renew(self) -> bool:
        """Tell whether leases may still be renewed."""

    def request_pass(self) -> None:
        """Plan and write what an event has changed."""

    def record_order(self, kind: str, waited_s: float, took_s: float) -> None:
        """Count an order that waited for others and was then sent."""

    def spawn(self, work: Coroutine[Any, Any, T], *, name: str) -> asyncio.Task[T]:
        """Run ``work`` until it ends, or the term does."""

    def step_down(self, reason: str) -> None:
        """End the term."""
