"""Client of the platform's key-value service.

The service speaks the JSON form of the etcd v3 interface (keys and values in
base64, 64-bit numbers as strings). Every call returns its result or one of
``StoreUnavailable`` (no effect), ``StoreUncertain`` (may have had effect) and
``StoreConflict`` (a comparison failed: no effect).
"""

import asyncio
import base64
from collections.abc import AsyncIterator, Iterable
from typing import Any

import msgspec

from ..exceptions import NotSent, StoreConflict, StoreUnavailable, StoreUncertain
from ..models.entry import (
    Committed,
    Compare,
    Delete,
    Entry,
    Lease,
    Put,
    Snapshot,
)
from ..network.http_client import HttpClient, HttpResponse
from ..utils.codec import encode_json

CALL_TIMEOUT_S = 2.0
"""Seconds for one call; the store answers in milliseconds when it is well."""

WATCH_SILENCE_S = 2.5
"""Seconds without an event or a progress note after which a watch is dead:
two notes and the time of one on its way."""

STALL_TIMEOUT_S = 1.0
"""Seconds without a part of a listing after which it is given up. It may hold a
configuration of a megabyte, which takes long over a small link."""

Lost = StoreUnavailable | StoreUncertain


class KeyValue(msgspec.Struct):
    """A key-value pair on the wire."""

    key: str = ""
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"


class Header(msgspec.Struct):
    """The part of each answer that carries the store's revision."""

    revision: str = "0"


class RangeAnswer(msgspec.Struct):
    """Answer to a range call."""

    header: Header
    kvs: list[KeyValue] = []


class TxnAnswer(msgspec.Struct):
    """Answer to a transaction."""

    header: Header
    succeeded: bool = False


class LeaseAnswer(msgspec.Struct):
    """Answer to a grant."""

    ID: str
    TTL: str


class KeepAliveResult(msgspec.Struct):
    """The inner part of a keep-alive answer; ``TTL`` 0 means expired."""

    ID: str = "0"
    TTL: str = "0"


class KeepAliveAnswer(msgspec.Struct):
    """Answer to a keep-alive."""

    result: KeepAliveResult


class WatchEvent(msgspec.Struct):
    """One change in a watch answer."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """The inner part of a watch answer."""

    header: Header
    events: list[WatchEvent] = []
    canceled: bool = False


class WatchAnswer(msgspec.Struct):
    """One line of a watch stream."""

    result: WatchResult


def _to_base64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _read_entry(kv: KeyValue, *, deleted: bool = False) -> Entry:
    return Entry(
        base64.b64decode(kv.key).decode(),
        base64.b64decode(kv.value),
        0 if deleted else int(kv.mod_revision),
        int(kv.lease),
    )


def end_of_prefix(prefix: str) -> str:
    """Return the first key after all keys that begin with ``prefix``."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class StoreClient:
    """Calls to the store, from one process."""

    def __init__(self, *, url: str, http: HttpClient) -> None:
        """Talk to the service at ``url`` (``http://ip:port``)."""
        self._url = url.rstrip("/")
        self._http = http
        self.calls = 0
        self.reachable = True

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        stall_timeout_s: float | None = None,
    ) -> HttpResponse | Lost:
        self.calls += 1
        answer = await self._http.call(
            "POST",
            f"{self._url}{path}",
            body=encode_json(body),
            timeout_s=timeout_s,
            stall_timeout_s=stall_timeout_s,
        )
        if isinstance(answer, HttpResponse) and answer.status == 200:
            self.reachable = True
            return answer
        self.reachable = False
        if isinstance(answer, HttpResponse):
            if answer.status == 503:
                return StoreUnavailable(reason="the store refuses calls")
            return StoreUncertain(reason=f"the store answered {answer.status}")
        if isinstance(answer, NotSent):
            return StoreUnavailable(reason=answer.reason)
        return StoreUncertain(reason=answer.reason)

    async def range(self, prefix: str) -> Snapshot | Lost:
        """Return all entries whose keys begin with ``prefix``."""
        return await self._range(
            {"key": _to_base64(prefix), "range_end": _to_base64(end_of_prefix(prefix))}
        )

    async def get(self, key: str) -> Entry | None | Lost:
        """Return one entry, or None if there is no such key."""
        found = await self._range({"key": _to_base64(key)})
        if not isinstance(found, Snapshot):
            return found
        return found.entries[0] if found.entries else None

    async def _range(self, body: dict[str, Any]) -> Snapshot | Lost:
        answer = await self._call("/v3/kv/range", body, stall_timeout_s=STALL_TIMEOUT_S)
        if not isinstance(answer, HttpResponse):
            return answer
        parsed = msgspec.json.decode(answer.body, type=RangeAnswer)
        return Snapshot(
            int(parsed.header.revision), tuple(_read_entry(kv) for kv in parsed.kvs)
        )

    async def commit(
        self,
        compares: Iterable[Compare],
        changes: Iterable[Put | Delete],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Committed | StoreConflict | Lost:
        """Make all changes if all comparisons hold, else none."""
        body = {
            "compare": [
                {
                    "key": _to_base64(c.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(c.mod_revision),
                }
                for c in compares
            ],
            "success": [_encode_change(change) for change in changes],
        }
        answer = await self._call("/v3/kv/txn", body, timeout_s=timeout_s)
        if not isinstance(answer, HttpResponse):
            return answer
        parsed = msgspec.json.decode(answer.body, type=TxnAnswer)
        if not parsed.succeeded:
            return StoreConflict(reason="a comparison did not hold")
        return Committed(int(parsed.header.revision))

    async def grant_lease(
        self, ttl_s: int, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Lease | Lost:
        """Return a new lease of about ``ttl_s`` seconds."""
        answer = await self._call(
            "/v3/lease/grant", {"TTL": str(ttl_s)}, timeout_s=timeout_s
        )
        if not isinstance(answer, HttpResponse):
            return answer
        parsed = msgspec.json.decode(answer.body, type=LeaseAnswer)
        return Lease(int(parsed.ID), float(parsed.TTL))

    async def renew_lease(
        self, lease: Lease, *, timeout_s: float
    ) -> Lease | StoreConflict | Lost:
        """Renew; a conflict means that the lease has expired."""
        answer = await self._call(
            "/v3/lease/keepalive", {"ID": str(lease.id)}, timeout_s=timeout_s
        )
        if not isinstance(answer, HttpResponse):
            return answer
        ttl_s = float(msgspec.json.decode(answer.body, type=KeepAliveAnswer).result.TTL)
        if ttl_s <= 0:
            return StoreConflict(reason="the lease has expired")
        return Lease(lease.id, ttl_s)

    async def revoke_lease(self, lease: Lease) -> Lost | None:
        """Give a lease up, with all keys bound to it."""
        answer = await self._call("/v3/lease/revoke", {"ID": str(lease.id)})
        return None if isinstance(answer, HttpResponse) else answer

    async def watch(
        self, prefix: str, *, after: int
    ) -> AsyncIterator[tuple[int, tuple[Entry, ...]]]:
        """Yield the changes of each revision above ``after``, in order.

        Ends when the stream breaks, falls silent or has lost its place; the
        caller then reads the prefix again.
        """
        self.calls += 1
        body = {
            "create_request": {
                "key": _to_base64(prefix),
                "range_end": _to_base64(end_of_prefix(prefix)),
                "start_revision": str(after + 1),
                "progress_notify": True,
            }
        }
        lines = self._http.stream(
            "POST",
            f"{self._url}/v3/watch",
            body=encode_json(body),
            timeout_s=CALL_TIMEOUT_S,
        )
        iterator = aiter(lines)
        try:
            while True:
                line = await asyncio.wait_for(anext(iterator), WATCH_SILENCE_S)
                if not line.strip():
                    continue
                result = msgspec.json.decode(line, type=WatchAnswer).result
                if result.canceled:
                    return
                yield (
                    int(result.header.revision),
                    tuple(
                        _read_entry(e.kv, deleted=e.type == "DELETE")
                        for e in result.events
                    ),
                )
        except TimeoutError:
            # A cut that drops packets shows as silence, not as an error: the
            # configuration would stand still here while others move on, and
            # status would call the store reachable as long as nobody writes.
            self.reachable = False
        except StopAsyncIteration:
            return
        finally:
            await lines.aclose()  # type: ignore[attr-defined]


def _encode_change(change: Put | Delete) -> dict[str, Any]:
    if isinstance(change, Delete):
        return {"request_delete_range": {"key": _to_base64(change.key)}}
    return {
        "request_put": {
            "key": _to_base64(change.key),
            "value": _to_base64(change.value),
            "lease": str(change.lease),
        }
    }
