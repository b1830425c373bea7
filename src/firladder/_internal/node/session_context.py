"""Interface between a worker session and the term that it belongs to."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from ..engine.core import Core
from ..platform.workers import WorkerCalls
from ..utils.clocks import Clock
from .start_pacer import StartPacer
from .timeout_estimator import TimeoutEstimator

T = TypeVar("T")


class SessionContext(Protocol):
    """The term of leadership that a worker session acts for."""

    core: Core
    calls: WorkerCalls
    clock: Clock
    start_pacer: StartPacer
    timeout_estimator: TimeoutEstimator

    @property
    def may_renew(self) -> bool:
        """Return whether leases may still be renewed."""

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
