"""Run background tasks, and log those that fail."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)

CANCEL_RETRY_S = 0.5
"""Seconds until a task that is still running is cancelled again."""


class TaskSet:
    """The background tasks of one owner, which are cancelled together."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any], *, name: str) -> asyncio.Task[Any]:
        """Run ``work`` in the background until it ends or the set is closed."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        # The event loop holds only weak references: without this set, a running
        # task can be garbage-collected and its request is never answered.
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.error("task %s failed", task.get_name(), exc_info=error)

    async def close(self) -> None:
        """Cancel the running tasks and wait until they have ended."""
        await asyncio.gather(*(cancel_and_wait(task) for task in tuple(self._tasks)))


async def cancel_and_wait(task: "asyncio.Task[Any]") -> None:
    """Cancel a task repeatedly until it has ended.

    In Python 3.11, ``wait_for`` swallows a cancellation that arrives together
    with its result. The task then continues, and a caller that waits for its
    end, such as a scheduler between two terms, would wait forever.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait((task,), timeout=CANCEL_RETRY_S)
