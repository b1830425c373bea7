"""Write what the leader has learned of workers to the store, and read it."""

import asyncio
import logging

from ..engine.core import Core
from ..exceptions import LeaseEnded, MalformedBody, NotFound, NotLeader
from ..platform.store import Conflict, Item, PlatformStore, Write
from ..utils.clocks import Clock
from .keys import LEADER, PROFILES

logger = logging.getLogger(__name__)

MIN_INTERVAL_S = 5.0
"""Least seconds between two writes: a record of thousands of workers takes a tenth of a
second on the link of a small VM, and a successor learns as much in a few seconds."""

CHECK_INTERVAL_S = 0.5
"""Seconds between two checks whether a write is due."""


class ProfileWriter:
    """Writes the record of the profiles while the leader's key is this node's.

    Each write compares the revision of the record that it replaces, so that a late one
    has no effect. A failure costs nothing but the record: the leader keeps what it
    knows, and writes it later.
    """

    def __init__(
        self, *, core: Core, store: PlatformStore, token: int, clock: Clock
    ) -> None:
        """Write while the leader's key has the revision ``token``."""
        self._core = core
        self._store = store
        self._token = token
        self._clock = clock
        self._revision = 0
        self._written_at: float | None = None
        self.writes = 0
        self.written_bytes = 0

    async def read(self) -> None:
        """Restore the record of a former leader, if it can be read."""
        found = await self._store.read_item(PROFILES)
        if not isinstance(found, Item):
            if not isinstance(found, NotFound):
                logger.warning("profiles not read: %s", found.reason)
            return
        self._revision = found.revision
        restored = self._core.profiles.restore(
            found.value, self._clock.read_monotonic(), wall=self._clock.read_wall()
        )
        if isinstance(restored, MalformedBody):
            logger.warning("cannot decode the profiles: %s", restored.reason)

    async def run(self) -> NotLeader:
        """Write until another node leads; return that failure."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._is_due():
                continue
            failure = await self._write()
            if failure is not None:
                return failure

    def _is_due(self) -> bool:
        """Return whether to write now; records of jobs go first."""
        core = self._core
        if core.dirty or not core.profiles.unrecorded or not self._store.reachable:
            return False
        now = self._clock.read_monotonic()
        return self._written_at is None or now - self._written_at >= MIN_INTERVAL_S

    async def _write(self) -> NotLeader | None:
        profiles = self._core.profiles
        self._written_at = self._clock.read_monotonic()
        value = profiles.encode(self._written_at, wall=self._clock.read_wall())
        result = await self._store.commit(
            expected=[(LEADER, self._token), (PROFILES, self._revision)],
            writes=[Write(PROFILES, value)],
        )
        if isinstance(result, int):
            self._revision = result
            self.writes += 1
            self.written_bytes = len(value)
            return None
        profiles.mark_unrecorded()
        if isinstance(result, Conflict):
            return self._read_conflict(result)
        if isinstance(result, LeaseEnded):
            return NotLeader(reason=result.reason)
        logger.info("profiles not written: %s", result.reason)
        return None

    def _read_conflict(self, conflict: Conflict) -> NotLeader | None:
        leader = conflict.find(LEADER)
        if leader is None or leader.revision != self._token:
            return NotLeader(
                reason="the leader's key belongs to another node or is gone"
            )
        # An earlier write of this term whose answer was lost, or a record that could
        # not be read when the term began.
        item = conflict.find(PROFILES)
        self._revision = item.revision if item is not None else 0
        logger.info("conflict with an earlier record of the profiles")
        return None
