"""Await the answers to calls, and adapt their timeout to late ones."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from ..exceptions import OrderFailure, OrderRejected, SentUnanswered
from ..models.order import WorkerReport
from .session_context import SessionContext

T = TypeVar("T")

NOT_SENT_MARGIN_S = 0.02
"""Extra seconds to wait for a call to report that it was never sent."""


class AnswerTimer:
    """Awaits answers for as long as the leader's answers usually take."""

    def __init__(self, context: SessionContext, *, name: str) -> None:
        """Name the calls' tasks ``name``."""
        self._context = context
        self._name = name

    async def await_answer(
        self, call: Coroutine[Any, Any, T | OrderFailure], timeout_s: float
    ) -> T | OrderFailure:
        """Return the answer to a call, or ``SentUnanswered`` after the timeout.

        The call itself continues, so that a late answer still adapts the timeout of
        the next ones: a leader behind a slow link could otherwise claim no worker.
        """
        context = self._context
        sent_at = context.clock.read_monotonic()
        task = context.spawn(call, name=self._name)
        task.add_done_callback(lambda _: self._time_answer(task, sent_at))
        await asyncio.wait((task,), timeout=timeout_s + NOT_SENT_MARGIN_S)
        if task.done():
            return task.result()
        return SentUnanswered(reason="timed out before the answer")

    def _time_answer(self, task: "asyncio.Task[Any]", sent_at: float) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if isinstance(task.result(), float | WorkerReport | OrderRejected):
            took_s = self._context.clock.read_monotonic() - sent_at
            self._context.timeout_estimator.record_answer(took_s)
