"""Interface between a worker session and the term that it belongs to."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from ..engine.core import Core
from ..platform.workers import WorkerCalls
from ..utils.clocks import Clock
from .order_window import OrderWindow
from .timeout_estimator import TimeoutEstimator

T = TypeVar("T")


class Waiter(Protocol):
    """Something that waits until records are durable."""

    def wake(self) -> None:
        """Check again whether what is waited for is durable."""


class SessionContext(Protocol):
    """The term of leadership that a worker session acts for."""

    core: Core
    calls: WorkerCalls
    clock: Clock
    timeout_estimator: TimeoutEstimator
    order_window: OrderWindow
    claim_window: asyncio.Semaphore
    durability_waiters: set[Waiter]

    @property
    def may_renew(self) -> bool:
        """Return whether leases may still be granted or renewed."""

    def request_pass(self) -> None:
        """Schedule a planning pass and a write of changed jobs."""

    def record_order(
        self,
        kind: str,
        waited_s: float,
        took_s: float,
        *,
        answered: bool,
        urgent_start: bool,
    ) -> None:
        """Record how long a sent order was queued and how long its answer took."""

    def spawn(self, work: Coroutine[Any, Any, T], *, name: str) -> asyncio.Task[T]:
        """Run ``work`` until it or the term ends."""

    def step_down(self, reason: str) -> None:
        """End the term."""
