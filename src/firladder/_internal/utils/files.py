"""Notice that a file has changed."""

import asyncio
import logging
import os
from collections.abc import Callable

logger = logging.getLogger(__name__)

LOOK_S = 1.0
"""Seconds between looks at a file, which may change unannounced."""


class WatchedFile:
    """A file of which changes since the last look are noticed."""

    def __init__(self, path: str) -> None:
        """Remember the file as it is now."""
        self._path = path
        self._seen = self._read_state()

    async def call_on_change(self, react: Callable[[], None]) -> None:
        """Call ``react`` after each change, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            found = self._read_state()
            if found != self._seen:
                self._seen = found
                react()

    def _read_state(self) -> tuple[float, int]:
        try:
            found = os.stat(self._path)
        except OSError as error:
            logger.warning("%s cannot be looked at: %s", self._path, error)
            return 0.0, 0
        return found.st_mtime, found.st_size
