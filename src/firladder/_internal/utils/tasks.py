"""Keep background tasks referenced, and log those that die of a defect."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)

CANCEL_AGAIN_S = 0.5
"""Seconds after which a task that is still running is cancelled again."""


class TaskSet:
    """Background tasks of one owner, cancelled together."""

    def __init__(self) -> None:
        """Start empty."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any], *, name: str) -> asyncio.Task[Any]:
        """Run ``work`` in the background until it ends or the set is closed."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        # The event loop keeps weak references only: without this set a task
        # can vanish in mid-flight and its request would never be answered.
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.error("task %s died", task.get_name(), exc_info=error)

    async def close(self) -> None:
        """Cancel what still runs and wait for its end."""
        await asyncio.gather(*(cancel_and_wait(task) for task in tuple(self._tasks)))


async def cancel_and_wait(task: "asyncio.Task[Any]") -> None:
    """Cancel a task until it has ended.

    Python 3.11's ``wait_for`` swallows a cancellation that arrives together
    with its result. The task then goes on, and whoever waits for its end, such
    as a scheduler between two terms of office, waits for ever.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait((task,), timeout=CANCEL_AGAIN_S)
