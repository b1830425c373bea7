"""Watch a prefix of the store across failures and compacted history."""

import asyncio
import logging
import random
from collections.abc import Callable

from ..exceptions import HistoryLost
from ..network.http_client import MAX_RESPONSE_BYTES
from ..platform.store import Change, Changes, Listing, PlatformStore
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline

logger = logging.getLogger(__name__)

WATCH_WAIT_S = 4.0
"""Seconds that one watch call waits. A silent connection is only noticed after them,
but each call is billed, so shorter waits cost more."""

RETRY_S = 0.15
"""Initial seconds before a failed call is retried; doubles up to ``MAX_RETRY_S``."""

MAX_RETRY_S = 0.6


CHANGES_FACTOR = 3
"""Maximum bytes of changes to read where only the newest counts, as a multiple of the
state's size: two versions in base64. A new listing is faster than more."""

MIN_CHANGES_LIMIT_BYTES = 600_000
"""Minimum of that limit, in bytes, for a small state: what a link of 5 Mbit/s carries
in a second."""


class PrefixWatch:
    """Reports the items below a prefix in one listing, then each change."""

    def __init__(
        self,
        *,
        store: PlatformStore,
        prefix: str,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        rng: random.Random,
        clock: Clock,
        timeline: Timeline,
        wait_s: float = WATCH_WAIT_S,
        start: Listing | None = None,
        newest_only: bool = False,
        batch_s: float = 0.0,
    ) -> None:
        """Watch ``prefix``, continuing from ``start`` if it was listed already.

        After each answer the next call is made ``batch_s`` seconds later, so that the
        changes of that time take one call.

        With ``newest_only``, a failed watch continues from a new listing. Otherwise a
        node that missed many large changes would have to read them all, which may
        exceed the maximum size of a response.
        """
        self._newest_only = newest_only
        self._batch_s = batch_s
        self._state_bytes = 0
        self._clock = clock
        self._timeline = timeline
        self._failures = 0
        self._broken_at = 0.0
        self.failures_total = 0
        self.answered_at: float | None = None
        self._store = store
        self.prefix = prefix
        self._on_listing = on_listing
        self._on_change = on_change
        self._rng = rng
        self._wait_s = wait_s
        self._revision = start.revision if start is not None else None
        self._failed = False

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        pause_s = RETRY_S
        while True:
            self._failed = not await self._step()
            if not self._failed:
                pause_s = RETRY_S
                await asyncio.sleep(self._batch_s)
                continue
            await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(pause_s * 2, MAX_RETRY_S)

    async def _step(self) -> bool:
        if self._revision is None or (self._failed and self._newest_only):
            return await self._list()
        # After a failure the first watch does not wait. One that waits is not
        # answered until something changes, and for seconds the node would not
        # notice that the store is reachable again.
        found = await self._store.watch(
            self.prefix,
            after=self._revision,
            wait_s=0.0 if self._failed else self._wait_s,
            max_bytes=self._choose_max_bytes(),
        )
        if isinstance(found, HistoryLost):
            # The missed changes are lost: only a new listing shows the state.
            logger.info("relisting %s: %s", self.prefix, found.reason)
            self._record_answer()
            self._revision = None
            return True
        if not isinstance(found, Changes):
            self._record_failure(found.reason)
            return False
        self._record_answer()
        self._revision = found.revision
        sizes = (len(c.value) for c in found.changes if c.value is not None)
        self._state_bytes = max(self._state_bytes, *sizes, 0)
        for change in found.changes:
            self._on_change(change)
        return True

    def _choose_max_bytes(self) -> int:
        if not self._newest_only:
            return MAX_RESPONSE_BYTES
        return max(MIN_CHANGES_LIMIT_BYTES, CHANGES_FACTOR * self._state_bytes)

    async def _list(self) -> bool:
        listing = await self._store.read_range(self.prefix)
        if not isinstance(listing, Listing):
            self._record_failure(listing.reason)
            return False
        self._record_answer()
        self._revision = listing.revision
        self._state_bytes = sum(len(item.value) for item in listing.items)
        self._on_listing(listing)
        return True

    def _record_failure(self, reason: str) -> None:
        self.failures_total += 1
        self._failures += 1
        if self._failures > 1:
            return
        self._broken_at = self._clock.read_monotonic()
        self._timeline.record(
            Event.WATCH_BROKEN, prefix=self.prefix, after=self._revision, reason=reason
        )

    def _record_answer(self) -> None:
        self.answered_at = self._clock.read_monotonic()
        if not self._failures:
            return
        self._timeline.record(
            Event.WATCH_RESUMED,
            prefix=self.prefix,
            tries=self._failures,
            broken_s=round(self.answered_at - self._broken_at, 3),
        )
        self._failures = 0
