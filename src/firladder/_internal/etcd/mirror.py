"""Keep a copy of a prefix of the store, through outages."""

import asyncio
import random
from collections.abc import Callable

from ..exceptions import StoreUnavailable, StoreUncertain
from ..models.entry import Entry
from .store import StoreClient

RETRY_MIN_S = 0.2
RETRY_MAX_S = 3.0
"""Bounds of the pause between tries; jitter spreads the fleet's return after
an outage, which would otherwise meet the store as one burst of reads."""

OnChange = Callable[[dict[str, Entry]], None]


class PrefixMirror:
    """A local copy that lags the store but is never mixed from two revisions."""

    def __init__(
        self,
        *,
        store: StoreClient,
        prefix: str,
        on_change: OnChange,
        rng: random.Random,
        follow_back: bool = False,
    ) -> None:
        """Call ``on_change`` with all entries after every change.

        With ``follow_back`` a store that was restored from an old copy is
        followed too; the listener then has to tell old from new by itself.
        """
        self._follow_back = follow_back
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._rng = rng
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.loaded = asyncio.Event()

    async def run(self) -> None:
        """Load and follow the prefix until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            if await self._load():
                pause_s = RETRY_MIN_S
                await self._follow()
            else:
                pause_s = min(RETRY_MAX_S, pause_s * 2)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))

    async def _load(self) -> bool:
        found = await self._store.range(self._prefix)
        if isinstance(found, StoreUnavailable | StoreUncertain):
            return False
        if found.revision < self.revision and not self._follow_back:
            # A store restored from an old copy would take the fleet back to a
            # configuration that operators were told is superseded.
            return False
        self.revision = found.revision
        fresh = {entry.key: entry for entry in found.entries}
        if fresh != self.entries or not self.loaded.is_set():
            self.entries = fresh
            self._on_change(self.entries)
        self.loaded.set()
        return True

    async def _follow(self) -> None:
        async for revision, changed in self._store.watch(
            self._prefix, after=self.revision
        ):
            if revision < self.revision:
                # A restored store counts from its copy's revision on: a watch
                # from a later one stays open and silent until it gets there.
                return
            self.revision = revision
            if not changed:
                continue
            for entry in changed:
                if entry.deleted:
                    self.entries.pop(entry.key, None)
                else:
                    self.entries[entry.key] = entry
            self._on_change(self.entries)
