"""Client of the platform's key-value store: transactions, leases, watches."""

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
"""Time for a response; the store takes 4 ms, and 240 ms when it is slow."""

PAGE_START_TIMEOUT_S = 1.5
"""Time until a page of a listing begins to arrive: a slow store takes up to 300 ms,
and the page may queue behind other responses on a slow link."""

STALL_TIMEOUT_S = 1.0
"""Time between two chunks of a large response after which the call is aborted. A page
or a change may have 1 MB, which takes 1.7 s and more over a link of 5 Mbit/s."""

WATCH_MARGIN_S = 0.6
"""Time added to a watch's own waiting time before its connection counts as dead;
a slow store answers within 240 ms."""

MAX_TRANSACTION_ENTRIES = 32
"""Comparisons, writes and removals that one transaction may hold together."""

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored value and the revision of its last change, 0 if the key is absent."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The items of a prefix; changes after ``revision`` may be missing."""

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
    """The changes that a watch returned; the next watch starts at ``revision``."""

    changes: tuple[Change, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A value to store; with ``lease`` 0 it never expires."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The compared items of a transaction that failed and wrote nothing."""

    items: tuple[Item, ...]

    def find(self, key: str) -> Item | None:
        """Return the current item of a compared key, or None if it is absent."""
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
        # Other writers may store invalid values. They decode to empty bytes, which
        # the readers skip.
        return b""


def _name_prefix(writes: Sequence[Write], remove: Sequence[str]) -> str:
    keys = [*(w.key for w in writes), *remove]
    return keys[0].rpartition("/")[0] if keys else ""


def _convert(item: _Item) -> Item:
    return Item(item.key, _decode_value(item.value), item.revision)


class PlatformStore:
    """Call the store; each failure says whether the call may have had an effect."""

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
        """Return the time since the store became unreachable; 0 if it is reachable."""
        return 0.0 if self.reachable else now - self._unreachable_since

    async def read_item(
        self, key: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Item | NotFound | StoreUnavailable | StoreUncertain:
        """Return the item under ``key``."""
        response = await self._call(
            "GET", "/-/kv-key", {"key": key}, timeout_s=timeout_s
        )
        if not isinstance(response, HttpResponse):
            return response
        if response.status == 404:
            return NotFound(reason="no such key", field=key)
        found = self._decode(response, _Item)
        return _convert(found) if isinstance(found, _Item) else found

    async def read_range(
        self, prefix: str
    ) -> Listing | StoreUnavailable | StoreUncertain:
        """Return all items under ``prefix``, read page by page."""
        items: list[Item] = []
        revision: int | None = None
        query = {"prefix": prefix}
        while True:
            response = await self._call(
                "GET",
                "/-/kv-range",
                query,
                timeout_s=PAGE_START_TIMEOUT_S,
                stall_timeout_s=STALL_TIMEOUT_S,
                about=prefix,
            )
            if not isinstance(response, HttpResponse):
                return response
            page = self._decode(response, _Range)
            if not isinstance(page, _Range):
                return page
            items += map(_convert, page.items)
            # Pages are not one snapshot. A watch from the first page's revision
            # returns all changes that were made between the pages.
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
        """Return the changes after a revision, waiting up to ``wait_s`` for the first.

        Changes of more than ``max_bytes`` are not read: ``HistoryLost``.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        response = await self._call(
            "GET",
            "/-/kv-watch",
            query,
            timeout_s=wait_s + WATCH_MARGIN_S,
            stall_timeout_s=STALL_TIMEOUT_S,
            max_bytes=max_bytes,
            about=prefix,
        )
        if isinstance(response, StoreAnswerTooLarge):
            return HistoryLost(reason=response.reason)
        if not isinstance(response, HttpResponse):
            return response
        if response.status == 410:
            return HistoryLost(reason=f"history after {after} is gone")
        found = self._decode(response, _Events)
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
        """Write all or nothing, provided that each key has its expected revision.

        Return the new revision. After ``StoreUncertain`` the transaction may have been
        applied, or may be applied seconds later if the comparisons still hold then.
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
        response = await self._call(
            "POST",
            "/-/kv-txn",
            body=encode_json(body),
            timeout_s=timeout_s,
            about=_name_prefix(writes, remove),
        )
        if not isinstance(response, HttpResponse):
            return response
        if response.status == 404:
            return LeaseEnded(reason="the lease of a written key has ended")
        if response.status == 412:
            held = self._decode(response, _Items, status=412)
            if not isinstance(held, _Items):
                return held
            return Conflict(tuple(map(_convert, held.items)))
        done = self._decode(response, _Revision)
        return done.revision if isinstance(done, _Revision) else done

    async def grant_lease(
        self, ttl_s: float
    ) -> int | StoreUnavailable | StoreUncertain:
        """Return a new lease that expires ``ttl_s`` after its last renewal."""
        body = encode_json({"ttl_ms": int(ttl_s * 1000)})
        response = await self._call("POST", "/-/kv-lease", body=body)
        if not isinstance(response, HttpResponse):
            return response
        found = self._decode(response, _Lease)
        return found.lease if isinstance(found, _Lease) else found

    async def renew_lease(
        self, lease: int, *, timeout_s: float
    ) -> None | LeaseEnded | StoreUnavailable | StoreUncertain:
        """Renew a lease; return None on success."""
        response = await self._call("POST", f"/-/kv-keep/{lease}", timeout_s=timeout_s)
        if not isinstance(response, HttpResponse):
            return response
        if response.status == 404:
            return LeaseEnded(reason="the lease has ended")
        if response.status == 200:
            return None
        return StoreUncertain(reason=f"unexpected status {response.status}")

    async def revoke_lease(self, lease: int) -> StoreConflict | None:
        """Revoke a lease and remove its keys; after a failure it expires by itself."""
        response = await self._call("DELETE", f"/-/kv-lease-end/{lease}")
        if isinstance(response, HttpResponse) and response.status in (200, 204, 404):
            return None
        return StoreConflict(reason=f"cannot revoke the lease: {response}")

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
        about: str = "",
    ) -> HttpResponse | StoreUnavailable | StoreUncertain:
        self.calls += 1
        url = f"http://{self.address}{path}"
        if query:
            url += "?" + urlencode(query)
        chunks_before = self._http.chunks_received
        response = await self._http.call(
            method,
            url,
            body=body,
            timeout_s=timeout_s,
            stall_timeout_s=stall_timeout_s,
            max_bytes=max_bytes,
            kind=f"{path.split('/')[2]} {about}".rstrip(),
        )
        if isinstance(response, AnswerTooLarge):
            return StoreAnswerTooLarge(reason=response.reason)
        if isinstance(response, NotSent | SentUnanswered):
            # A call that queues behind a large response on a slow link may time out.
            # As long as that response arrives, the store is reachable.
            if self._http.chunks_received == chunks_before:
                self._mark_unreachable(response.reason)
                # Idle connections may be dead without a reset. Each of them would
                # cost one call its whole timeout.
                self._http.drop_idle_connections()
            kind = StoreUnavailable if isinstance(response, NotSent) else StoreUncertain
            return kind(reason=response.reason)
        if response.status in (429, 503):
            # With these statuses the store guarantees that nothing was written.
            refusal = StoreUnavailable(reason=f"refused with status {response.status}")
            self._mark_unreachable(refusal.reason)
            return refusal
        if not self.reachable:
            self.reachable = True
            self.on_reachability_change(True, "")
        return response

    def _mark_unreachable(self, reason: str) -> None:
        if self.reachable:
            self.reachable = False
            self._unreachable_since = self._clock.read_monotonic()
            self.on_reachability_change(False, reason)

    def _decode(
        self, response: HttpResponse, type_: type[T], *, status: int = 200
    ) -> T | StoreUncertain:
        if response.status != status:
            logger.warning(
                "unexpected status %d from the store: %r",
                response.status,
                response.body[:200],
            )
            return StoreUncertain(reason=f"unexpected status {response.status}")
        try:
            return msgspec.json.decode(response.body, type=type_)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning("cannot decode the store's response: %s", error)
            return StoreUncertain(reason=f"cannot decode response: {error}")
