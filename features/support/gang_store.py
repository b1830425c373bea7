"""The platform's store in virtual time, and faults of calls to it and to workers."""

import asyncio
import dataclasses
import enum
import math
import types
from collections.abc import Callable

from firladder._internal.exceptions import LeaseEnded, NotFound, StoreUncertain
from firladder._internal.node.election import LEASE_S as LEADER_LEASE_S
from firladder._internal.node.keys import LEADER
from firladder._internal.node.records import Records
from firladder._internal.platform.store import (
    Change,
    Changes,
    Conflict,
    Item,
    Listing,
)

NO_STORE = StoreUncertain(reason="the store does not answer")
STEP_S = 0.02
STORE_S = 0.004
STORE = -1
"""The store in the place of a machine's number in a fault."""


class Fate(enum.Enum):
    """What happens to a call; a late copy is carried out after ``Fault.late_s``.

    An answer that is overtaken arrives as late.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not sent"
    LOST = "lost"
    UNANSWERED = "unanswered"
    LATE = "late"
    DOUBLED = "doubled"
    OVERTAKEN = "overtaken"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fate of some calls to one machine, or to all if ``machine`` is None.

    Only call ``number`` of that kind is affected, counted from 1, or each call between
    ``since`` and ``until`` with the probability ``share``.
    """

    kind: str
    machine: int | None
    fate: Fate
    number: int | None = None
    late_s: float = 0.0
    since: float = 0.0
    until: float = math.inf
    share: float = 1.0


class FaultyStore:
    """The platform's store; ``outages`` are spans in which no call is answered."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.changes: list[Change] = []
        self.revision = 1
        self.outages: list[tuple[float, float]] = []
        self.changed = asyncio.Event()
        self.reachable = True
        self.listing_s = 0.0

    def put(self, key: str, value: bytes) -> int:
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        self._record(Change(key, value, self.revision))
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(Change(key, None, self.revision))

    def _record(self, change: Change) -> None:
        self.changes.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    def is_down(self) -> bool:
        now = asyncio.get_running_loop().time()
        return any(since <= now < until for since, until in self.outages)


class StoreClient:
    """One node's view of the store; ``cut`` is set while the node cannot reach it."""

    def __init__(
        self, store: FaultyStore, choose_fault: Callable[[str, int], Fault]
    ) -> None:
        self.store = store
        self.cut = False
        self._choose_fault = choose_fault
        self._late: set[asyncio.Task] = set()

    @property
    def reachable(self) -> bool:
        return not (self.cut or self.store.is_down())

    async def read_item(self, key: str, *, timeout_s: float = 0.8):
        if not await self._reach(timeout_s):
            return NO_STORE
        return self.store.items.get(key, NotFound(reason="no such key"))

    async def _reach(self, timeout_s: float) -> bool:
        if self.cut or self.store.is_down():
            await asyncio.sleep(timeout_s)
            return False
        await asyncio.sleep(STORE_S)
        return True

    async def read_range(self, prefix: str):
        if not await self._reach(0.8):
            return NO_STORE
        await asyncio.sleep(self.store.listing_s)
        items = tuple(i for k, i in self.store.items.items() if k.startswith(prefix))
        return Listing(items, self.store.revision)

    async def watch(self, prefix, *, after, wait_s, max_bytes=0):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        if not await self._reach(wait_s + 0.6):
            return NO_STORE
        while True:
            found = tuple(
                c
                for c in self.store.changes
                if c.revision > after and c.key.startswith(prefix)
            )
            left_s = until - loop.time()
            if found or left_s <= STEP_S / 1000:
                break
            waiting = asyncio.ensure_future(self.store.changed.wait())
            await asyncio.wait({waiting}, timeout=left_s)
            waiting.cancel()
        if self.cut or self.store.is_down():
            await asyncio.sleep(0.6)
            return NO_STORE
        return Changes(found, max(after, self.store.revision))

    async def commit(self, *, expected, writes=(), remove=(), timeout_s=0.8):
        if not await self._reach(timeout_s):
            return NO_STORE
        fault = self._choose_fault("write", STORE)
        if fault.fate in (Fate.LOST, Fate.NOT_SENT):
            await asyncio.sleep(timeout_s)
            return NO_STORE
        if fault.fate is Fate.LATE:
            apply = self._apply_late(fault.late_s, expected, writes, remove)
            # The write in flight arrives even if its sender is gone.
            self._late.add(asyncio.get_running_loop().create_task(apply))
            await asyncio.sleep(timeout_s)
            return NO_STORE
        outcome = self._apply(expected, writes, remove)
        if fault.fate is Fate.UNANSWERED:
            await asyncio.sleep(timeout_s)
            return NO_STORE
        return outcome

    async def _apply_late(self, late_s, expected, writes, remove):
        await asyncio.sleep(late_s)
        self._apply(expected, writes, remove)

    def _apply(self, expected, writes, remove):
        store = self.store
        held = {k: store.items.get(k, Item(k, b"", 0)) for k, _ in expected}
        if any(held[key].revision != revision for key, revision in expected):
            return Conflict(tuple(held.values()))
        revision = store.revision + 1
        for write in writes:
            revision = store.put(write.key, write.value)
        for key in remove:
            store.remove(key)
        return revision


def make_records(client: StoreClient) -> Records:
    """Return what a node reads the state of jobs with if no leader tells it."""
    detector = types.SimpleNamespace(partitioned=False)
    return Records(store=client, fleet=None, clock=None, partition_detector=detector)


class FakeLeadership:
    """A leadership that lasts until its key is another's; renewed while reachable."""

    def __init__(self, client: StoreClient, token: int) -> None:
        self.client = client
        self.token = token
        self.renewed_at = asyncio.get_running_loop().time()

    @property
    def lease_valid_until(self) -> float:
        return self.renewed_at + LEADER_LEASE_S

    async def renew(self) -> LeaseEnded:
        store = self.client.store
        while True:
            if not (self.client.cut or store.is_down()):
                if store.items[LEADER].revision != self.token:
                    return LeaseEnded(reason="the key is another's")
                self.renewed_at = asyncio.get_running_loop().time()
            await asyncio.sleep(0.45)

    async def resign(self) -> None:
        """Leave the key; the play elects the successor."""
