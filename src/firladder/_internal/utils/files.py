"""Detect changes of a file."""

import asyncio
import logging
import os
from collections.abc import Callable

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
"""Seconds between checks of a watched file."""


class WatchedFile:
    """A file that is polled for changes of its modification time and size."""

    def __init__(self, path: str) -> None:
        """Take the file's current state as unchanged."""
        self._path = path
        self._last_state = self._read_state()

    async def call_on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            state = self._read_state()
            if state != self._last_state:
                self._last_state = state
                callback()

    def _read_state(self) -> tuple[float, int]:
        try:
            stat = os.stat(self._path)
        except OSError as error:
            logger.warning("cannot read the status of %s: %s", self._path, error)
            return 0.0, 0
        return stat.st_mtime, stat.st_size
