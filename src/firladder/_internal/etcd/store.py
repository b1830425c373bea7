"""Client of the platform's key-value service.

The service offers the etcd v3 API as JSON (keys and values in base64, 64-bit
numbers as strings). Every call returns its result or one of ``StoreUnavailable``
(no effect), ``StoreUncertain`` (may have had an effect) and ``StoreConflict`` (a
comparison failed: no effect).
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
"""Time for one call; a healthy store answers in milliseconds."""

WATCH_TIMEOUT_S = 2.5
"""Time without an event or a progress notification after which a watch counts as
dead: two notification periods and the delay of one."""

STALL_TIMEOUT_S = 1.0
"""Time between two chunks of a listing after which the call is aborted. A listing may
hold a configuration of 1 MB, which takes long over a slow link."""

StoreFailure = StoreUnavailable | StoreUncertain


class KeyValue(msgspec.Struct):
    """A key-value pair on the wire."""

    key: str = ""
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"


class Header(msgspec.Struct):
    """The part of each response that carries the store's revision."""

    revision: str = "0"


class RangeResponse(msgspec.Struct):
    """Response to a range call."""

    header: Header
    kvs: list[KeyValue] = []


class TxnResponse(msgspec.Struct):
    """Response to a transaction."""

    header: Header
    succeeded: bool = False


class LeaseGrantResponse(msgspec.Struct):
    """Response to the grant of a lease."""

    ID: str
    TTL: str


class KeepAliveResult(msgspec.Struct):
    """The inner part of a keep-alive response; ``TTL`` 0 means expired."""

    ID: str = "0"
    TTL: str = "0"


class KeepAliveResponse(msgspec.Struct):
    """Response to a keep-alive."""

    result: KeepAliveResult


class WatchEvent(msgspec.Struct):
    """One change in a watch response."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """The inner part of a watch response."""

    header: Header
    events: list[WatchEvent] = []
    canceled: bool = False


class WatchResponse(msgspec.Struct):
    """One line of a watch stream."""

    result: WatchResult


def _to_base64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode_entry(kv: KeyValue, *, deleted: bool = False) -> Entry:
    return Entry(
        base64.b64decode(kv.key).decode(),
        base64.b64decode(kv.value),
        0 if deleted else int(kv.mod_revision),
        int(kv.lease),
    )


def compute_range_end(prefix: str) -> str:
    """Return the first key after all keys that start with ``prefix``."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class StoreClient:
    """Call the store from one process."""

    def __init__(self, *, url: str, http: HttpClient) -> None:
        """Call the service at ``url`` (``http://ip:port``)."""
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
    ) -> HttpResponse | StoreFailure:
        self.calls += 1
        response = await self._http.call(
            "POST",
            f"{self._url}{path}",
            body=encode_json(body),
            timeout_s=timeout_s,
            stall_timeout_s=stall_timeout_s,
        )
        if isinstance(response, HttpResponse) and response.status == 200:
            self.reachable = True
            return response
        self.reachable = False
        if isinstance(response, HttpResponse):
            if response.status == 503:
                return StoreUnavailable(reason="the store refuses calls")
            return StoreUncertain(reason=f"the store answered {response.status}")
        if isinstance(response, NotSent):
            return StoreUnavailable(reason=response.reason)
        return StoreUncertain(reason=response.reason)

    async def range(self, prefix: str) -> Snapshot | StoreFailure:
        """Return all entries whose keys start with ``prefix``."""
        return await self._range(
            {
                "key": _to_base64(prefix),
                "range_end": _to_base64(compute_range_end(prefix)),
            }
        )

    async def get(self, key: str) -> Entry | None | StoreFailure:
        """Return the entry of a key, or None if it is absent."""
        found = await self._range({"key": _to_base64(key)})
        if not isinstance(found, Snapshot):
            return found
        return found.entries[0] if found.entries else None

    async def _range(self, body: dict[str, Any]) -> Snapshot | StoreFailure:
        response = await self._call(
            "/v3/kv/range", body, stall_timeout_s=STALL_TIMEOUT_S
        )
        if not isinstance(response, HttpResponse):
            return response
        parsed = msgspec.json.decode(response.body, type=RangeResponse)
        return Snapshot(
            int(parsed.header.revision), tuple(_decode_entry(kv) for kv in parsed.kvs)
        )

    async def commit(
        self,
        compares: Iterable[Compare],
        changes: Iterable[Put | Delete],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Committed | StoreConflict | StoreFailure:
        """Apply all changes if all comparisons hold, else none."""
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
        response = await self._call("/v3/kv/txn", body, timeout_s=timeout_s)
        if not isinstance(response, HttpResponse):
            return response
        parsed = msgspec.json.decode(response.body, type=TxnResponse)
        if not parsed.succeeded:
            return StoreConflict(reason="a comparison did not hold")
        return Committed(int(parsed.header.revision))

    async def grant_lease(
        self, ttl_s: int, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Lease | StoreFailure:
        """Return a new lease of about ``ttl_s`` seconds."""
        response = await self._call(
            "/v3/lease/grant", {"TTL": str(ttl_s)}, timeout_s=timeout_s
        )
        if not isinstance(response, HttpResponse):
            return response
        parsed = msgspec.json.decode(response.body, type=LeaseGrantResponse)
        return Lease(int(parsed.ID), float(parsed.TTL))

    async def renew_lease(
        self, lease: Lease, *, timeout_s: float
    ) -> Lease | StoreConflict | StoreFailure:
        """Renew a lease; ``StoreConflict`` means that it has expired."""
        response = await self._call(
            "/v3/lease/keepalive", {"ID": str(lease.id)}, timeout_s=timeout_s
        )
        if not isinstance(response, HttpResponse):
            return response
        ttl_s = float(
            msgspec.json.decode(response.body, type=KeepAliveResponse).result.TTL
        )
        if ttl_s <= 0:
            return StoreConflict(reason="the lease has expired")
        return Lease(lease.id, ttl_s)

    async def revoke_lease(self, lease: Lease) -> StoreFailure | None:
        """Revoke a lease, which removes all keys bound to it."""
        response = await self._call("/v3/lease/revoke", {"ID": str(lease.id)})
        return None if isinstance(response, HttpResponse) else response

    async def watch(
        self, prefix: str, *, after: int
    ) -> AsyncIterator[tuple[int, tuple[Entry, ...]]]:
        """Yield the changes of each revision above ``after``, in order.

        Return when the stream ends, times out or is cancelled because its revision
        was compacted; the caller then reads the prefix again.
        """
        self.calls += 1
        body = {
            "create_request": {
                "key": _to_base64(prefix),
                "range_end": _to_base64(compute_range_end(prefix)),
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
                line = await asyncio.wait_for(anext(iterator), WATCH_TIMEOUT_S)
                if not line.strip():
                    continue
                result = msgspec.json.decode(line, type=WatchResponse).result
                if result.canceled:
                    return
                yield (
                    int(result.header.revision),
                    tuple(
                        _decode_entry(e.kv, deleted=e.type == "DELETE")
                        for e in result.events
                    ),
                )
        except TimeoutError:
            # A partition that drops packets causes silence, not an error. Without
            # the timeout this process would keep an old configuration, and report
            # the store as reachable, until it writes.
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
