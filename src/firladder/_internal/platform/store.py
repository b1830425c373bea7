"""The platform's key-value store: compare-and-swap, leases and watches."""

import base64
import dataclasses
import logging
from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from ..exceptions import (
    AnswerTooLarge,
    HistoryLost,
    LeaseEnded,
    NotFound,
    NotSent,
    SentUnanswered,
    StoreAnswerTooLarge,
    StoreConflict,
    StoreUnavailable,
    StoreUncertain,
)
from ..network.http_client import MAX_RESPONSE_BYTES, HttpClient, HttpResponse
from ..utils.clocks import Clock
from ..utils.codec import encode_json

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.8
"""Seconds for an answer; the store takes 4 ms, and 240 ms when it is slow."""

PAGE_START_TIMEOUT_S = 1.5
"""Seconds until a page of a listing begins to arrive: the store takes up to 300 ms when
it is slow, and the beginning may wait behind other answers on a small link."""

STALL_TIMEOUT_S = 1.0
"""Seconds without a part of a large answer after which it is given up. A page or a
change may have a megabyte, which takes 1.7 s and more over a link of 5 Mbit/s."""

WATCH_MARGIN_S = 0.6
"""Seconds beyond a watch's own waiting time before its connection counts as
silent; a slow store answers within 240 ms."""

MAX_TRANSACTION_ENTRIES = 32
"""Entries that one transaction may hold, comparisons included."""

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored value. ``revision`` is its last change; 0 says there is none."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Items of a prefix; changes after ``revision`` are not in it for sure."""

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change to a key; ``value`` is None where the key was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What happened since; go on from ``revision``."""

    changes: tuple[Change, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A value to store; ``lease`` 0 keeps it for good."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A comparison did not hold, nothing was written; the compared items."""

    items: tuple[Item, ...]

    def find(self, key: str) -> Item | None:
        """Return the item that stands under a compared key, if there is one."""
        return next((i for i in self.items if i.key == key and i.revision), None)


class _Item(msgspec.Struct):
    key: str
    value: str | None = None
    revision: int = 0
    tombstone: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: float


class _Revision(msgspec.Struct):
    revision: int


class _Items(msgspec.Struct):
    items: list[_Item] = []


def _decode_value(text: str | None) -> bytes:
    try:
        return base64.b64decode(text or "", validate=True)
    except ValueError:
        # Another writer's value need not be readable; it decodes to nothing
        # and is left out where it is read.
        return b""


def _convert(item: _Item) -> Item:
    return Item(item.key, _decode_value(item.value), item.revision)


class PlatformStore:
    """Calls to the store; each failure says whether the call may have effect."""

    def __init__(self, *, address: str, http: HttpClient, clock: Clock) -> None:
        """Call the store at ``address`` (``ip:port``)."""
        self._clock = clock
        self._unreachable_since = 0.0
        self.address = address
        self._http = http
        self.calls = 0
        self.reachable = True
        self.on_reachability_change: Callable[[bool, str], None] = (
            lambda reachable, reason: None
        )

    def unreachable_s(self, now: float) -> float:
        """Return for how long no call was answered; 0 if the last one was."""
        return 0.0 if self.reachable else now - self._unreachable_since

    async def read_item(
        self, key: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Item | NotFound | StoreUnavailable | StoreUncertain:
        """Return the item under ``key``."""
        answer = await self._call("GET", "/-/kv-key", {"key": key}, timeout_s=timeout_s)
        if not isinstance(answer, HttpResponse):
            return answer
        if answer.status == 404:
            return NotFound(reason="no such key", field=key)
        found = self._decode(answer, _Item)
        return _convert(found) if isinstance(found, _Item) else found

    async def read_range(
        self, prefix: str
    ) -> Listing | StoreUnavailable | StoreUncertain:
        """Return all items under ``prefix``, page by page."""
        items: list[Item] = []
        revision: int | None = None
        query = {"prefix": prefix}
        while True:
            answer = await self._call(
                "GET",
                "/-/kv-range",
                query,
                timeout_s=PAGE_START_TIMEOUT_S,
                stall_timeout_s=STALL_TIMEOUT_S,
            )
            if not isinstance(answer, HttpResponse):
                return answer
            page = self._decode(answer, _Range)
            if not isinstance(page, _Range):
                return page
            items += map(_convert, page.items)
            # Pages are no snapshot: whoever goes on from the first page's
            # revision sees again what changed between the pages.
            revision = page.at if revision is None else revision
            if not page.has_more or not page.items:
                return Listing(tuple(items), revision)
            query["after"] = page.items[-1].key

    async def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Changes | HistoryLost | StoreUnavailable | StoreUncertain:
        """Return the changes after a revision, waiting for the first.

        If they take more than ``max_bytes``, they are not read: ``HistoryLost``.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            "GET",
            "/-/kv-watch",
            query,
            timeout_s=wait_s + WATCH_MARGIN_S,
            stall_timeout_s=STALL_TIMEOUT_S,
            max_bytes=max_bytes,
        )
        if isinstance(answer, StoreAnswerTooLarge):
            return HistoryLost(reason=answer.reason)
        if not isinstance(answer, HttpResponse):
            return answer
        if answer.status == 410:
            return HistoryLost(reason=f"history after {after} is gone")
        found = self._decode(answer, _Events)
        if not isinstance(found, _Events):
            return found
        changes = (
            Change(e.key, None if e.tombstone else _decode_value(e.value), e.revision)
            for e in found.events
        )
        return Changes(tuple(changes), max(found.at, after))

    async def commit(
        self,
        *,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[Write] = (),
        remove: Sequence[str] = (),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> int | Conflict | LeaseEnded | StoreUnavailable | StoreUncertain:
        """Write all or nothing if each key has the revision expected of it.

        Return the new revision. After ``StoreUncertain`` the write may be there,
        or may come seconds later if the comparison still holds then.
        """
        body = {
            "expected": [{"key": k, "revision": r} for k, r in expected],
            "puts": [
                {
                    "key": w.key,
                    "value": base64.b64encode(w.value).decode(),
                    "lease": w.lease,
                }
                for w in writes
            ],
            "remove": list(remove),
        }
        answer = await self._call(
            "POST", "/-/kv-txn", body=encode_json(body), timeout_s=timeout_s
        )
        if not isinstance(answer, HttpResponse):
            return answer
        if answer.status == 404:
            return LeaseEnded(reason="the lease of a written key has ended")
        if answer.status == 412:
            held = self._decode(answer, _Items, status=412)
            if not isinstance(held, _Items):
                return held
            return Conflict(tuple(map(_convert, held.items)))
        done = self._decode(answer, _Revision)
        return done.revision if isinstance(done, _Revision) else done

    async def grant_lease(
        self, ttl_s: float
    ) -> int | StoreUnavailable | StoreUncertain:
        """Return a new lease that ends ``ttl_s`` after its last renewal."""
        body = encode_json({"ttl_ms": int(ttl_s * 1000)})
        answer = await self._call("POST", "/-/kv-lease", body=body)
        if not isinstance(answer, HttpResponse):
            return answer
        found = self._decode(answer, _Lease)
        return found.lease if isinstance(found, _Lease) else found

    async def renew_lease(
        self, lease: int, *, timeout_s: float
    ) -> None | LeaseEnded | StoreUnavailable | StoreUncertain:
        """Renew a lease; None says it was done."""
        answer = await self._call("POST", f"/-/kv-keep/{lease}", timeout_s=timeout_s)
        if not isinstance(answer, HttpResponse):
            return answer
        if answer.status == 404:
            return LeaseEnded(reason="the lease has ended")
        if answer.status == 200:
            return None
        return StoreUncertain(reason=f"unexpected status {answer.status}")

    async def end_lease(self, lease: int) -> StoreConflict | None:
        """End a lease; its keys go at once. A failure leaves it to its time."""
        answer = await self._call("DELETE", f"/-/kv-lease-end/{lease}")
        if isinstance(answer, HttpResponse) and answer.status in (200, 204, 404):
            return None
        return StoreConflict(reason=f"lease not ended: {answer}")

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        stall_timeout_s: float | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpResponse | StoreUnavailable | StoreUncertain:
        self.calls += 1
        url = f"http://{self.address}{path}"
        if query:
            url += "?" + urlencode(query)
        chunks_before = self._http.chunks_received
        answer = await self._http.call(
            method,
            url,
            body=body,
            timeout_s=timeout_s,
            stall_timeout_s=stall_timeout_s,
            max_bytes=max_bytes,
        )
        if isinstance(answer, AnswerTooLarge):
            return StoreAnswerTooLarge(reason=answer.reason)
        if isinstance(answer, NotSent | SentUnanswered):
            # What waits behind a large answer on a small link may run out of time.
            # While that answer arrives, the store is not away.
            if self._http.chunks_received == chunks_before:
                self._mark_unreachable(answer.reason)
                # Connections may have fallen silent for good. Tried one after the
                # other, each idle one would cost a call its whole time.
                self._http.drop_idle_connections()
            kind = StoreUnavailable if isinstance(answer, NotSent) else StoreUncertain
            return kind(reason=answer.reason)
        if answer.status in (429, 503):
            # The store says that it did nothing.
            turned_away = StoreUnavailable(reason=f"turned away: {answer.status}")
            self._mark_unreachable(turned_away.reason)
            return turned_away
        if not self.reachable:
            self.reachable = True
            self.on_reachability_change(True, "")
        return answer

    def _mark_unreachable(self, reason: str) -> None:
        if self.reachable:
            self.reachable = False
            self._unreachable_since = self._clock.read_monotonic()
            self.on_reachability_change(False, reason)

    def _decode(
        self, answer: HttpResponse, type_: type[T], *, status: int = 200
    ) -> T | StoreUncertain:
        if answer.status != status:
            logger.warning("store answered %d: %r", answer.status, answer.body[:200])
            return StoreUncertain(reason=f"unexpected status {answer.status}")
        try:
            return msgspec.json.decode(answer.body, type=type_)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning("store's answer cannot be read: %s", error)
            return StoreUncertain(reason=f"unreadable answer: {error}")
