"""Find out whether the store answers again before something is written to it."""

import asyncio

from ..exceptions import NotFound
from ..platform.store import Item, PlatformStore
from .keys import LEADER

PROBE_TIMEOUT_S = 0.3
"""Timeout of a probe, in seconds. One that was sent before the store recovered is never
answered and must not delay the next one. A slow store takes 0.25 s."""


class StoreProbe:
    """Probes an unreachable store, one read at a time for all that wait for it.

    A write that gets no answer may be applied later, so its caller can only be told
    that the outcome is unknown. A read leaves nothing behind.
    """

    def __init__(self, store: PlatformStore) -> None:
        """Probe ``store``."""
        self._store = store
        self._running: asyncio.Task[bool] | None = None

    async def answers(self, *, within_s: float) -> bool:
        """Return whether the store answers in time; a reachable one is not probed."""
        if self._store.reachable:
            return True
        if self._running is None or self._running.done():
            self._running = asyncio.create_task(self._probe(), name="probe-store")
        probe = self._running
        await asyncio.wait((probe,), timeout=within_s)
        return probe.done() and probe.result()

    async def _probe(self) -> bool:
        found = await self._store.read_item(LEADER, timeout_s=PROBE_TIMEOUT_S)
        return isinstance(found, Item | NotFound)
