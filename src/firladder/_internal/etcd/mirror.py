"""Keep a local copy of a prefix of the store, also during outages."""

import asyncio
import random
from collections.abc import Callable

from ..exceptions import StoreUnavailable, StoreUncertain
from ..models.entry import Entry
from .store import StoreClient

MIN_RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 3.0
"""Bounds of the backoff. Its jitter spreads the fleet's reads after an outage, which
would otherwise reach the store as one burst."""

OnChange = Callable[[dict[str, Entry]], None]


class PrefixMirror:
    """A local copy that may lag the store but never mixes two revisions."""

    def __init__(
        self,
        *,
        store: StoreClient,
        prefix: str,
        on_change: OnChange,
        rng: random.Random,
        allow_rollback: bool = False,
    ) -> None:
        """Call ``on_change`` with all entries after every change.

        With ``allow_rollback`` a store that was restored from an old backup is
        mirrored too; ``on_change`` then has to detect old entries by itself.
        """
        self._allow_rollback = allow_rollback
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._rng = rng
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.loaded = asyncio.Event()

    async def run(self) -> None:
        """Load the prefix and watch it until cancelled."""
        pause_s = MIN_RETRY_PAUSE_S
        while True:
            if await self._load():
                pause_s = MIN_RETRY_PAUSE_S
                await self._watch()
            else:
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))

    async def _load(self) -> bool:
        found = await self._store.range(self._prefix)
        if isinstance(found, StoreUnavailable | StoreUncertain):
            return False
        if found.revision < self.revision and not self._allow_rollback:
            # A store restored from an old backup would return the fleet to a
            # configuration that operators were told is superseded.
            return False
        self.revision = found.revision
        fresh = {entry.key: entry for entry in found.entries}
        if fresh != self.entries or not self.loaded.is_set():
            self.entries = fresh
            self._on_change(self.entries)
        self.loaded.set()
        return True

    async def _watch(self) -> None:
        async for revision, changed in self._store.watch(
            self._prefix, after=self.revision
        ):
            if revision < self.revision:
                # A restored store continues from its backup's revision. A watch
                # from a later revision would get no events until that is reached.
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
