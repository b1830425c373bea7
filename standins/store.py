"""Stand-in for the platform's key-value service, with the etcd v3 JSON interface.

Keeps revisions, transactions, leases and watches in memory. Counts every call (an
open watch as one) and can be slow, unavailable or lose answers.
"""

import argparse
import asyncio
import base64
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    HttpServer,
    RouteTable,
    reply_json,
)

from .process import run_standin

PROGRESS_INTERVAL_S = 1.0
MAX_HISTORY_REVISIONS = 20_000

routes = RouteTable()


class Faults(msgspec.Struct):
    """Faults to inject; calls from the IP prefixes in ``cut`` are not answered.

    ``lose_answers`` answers to writes of keys with the prefix ``lose_key`` are lost
    ("lease": those to lease grants). Calls on keys with the prefix ``stall_prefix``
    have neither an effect nor an answer.
    """

    delay_s: float = 0.0
    outage: bool = False
    lose_answers: int = 0
    lose_key: str = ""
    stall_prefix: str = ""
    cut: tuple[str, ...] = ()


class Store:
    """The state of the service."""

    def __init__(self) -> None:
        self.revision = 1
        self.data: dict[str, tuple[str, int, int]] = {}
        self.history: list[tuple[int, list[dict[str, Any]]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_ids = itertools.count(1000)
        self.changed = asyncio.Condition()
        self.calls: Counter[str] = Counter()
        self.faults = Faults()
        self.watching = 0

    async def commit(self, changes: list[tuple[str, str | None, int]]) -> int:
        """Apply changes (key, value or None, lease) as one revision and return it."""
        self.revision += 1
        # Other commits may advance the revision while the watches are notified below.
        applied = self.revision
        events: list[dict[str, Any]] = []
        for key, value, lease in changes:
            if value is None:
                if self.data.pop(key, None) is None:
                    continue
                events.append(
                    {"type": "DELETE", "kv": _encode_kv(key, "", self.revision, 0)}
                )
            else:
                self.data[key] = (value, self.revision, lease)
                events.append(
                    {"type": "PUT", "kv": _encode_kv(key, value, self.revision, lease)}
                )
        self.history.append((self.revision, events))
        del self.history[:-MAX_HISTORY_REVISIONS]
        async with self.changed:
            self.changed.notify_all()
        return applied

    async def expire_leases(self) -> None:
        """Remove expired leases and their keys periodically."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """Remove a lease and all keys bound to it."""
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, bound) in self.data.items() if bound == lease]
        if keys:
            await self.commit([(k, None, 0) for k in keys])


def _decode_text(value: str) -> str:
    return base64.b64decode(value).decode()


def _encode_kv(key: str, value: str, revision: int, lease: int) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": value,
        "mod_revision": str(revision),
        "lease": str(lease),
    }


def _header(store: Store) -> dict[str, str]:
    return {"revision": str(store.revision)}


async def _admit(store: Store, call: HttpCall, kind: str) -> HttpReply | None:
    store.calls[kind] += 1
    if any(call.source_ip.startswith(p) for p in store.faults.cut):
        await call.disconnected.wait()
    if store.faults.delay_s:
        await asyncio.sleep(store.faults.delay_s)
    if store.faults.outage:
        return reply_json({"error": "unavailable", "code": 14}, status=503)
    return None


async def _stall(store: Store, call: HttpCall, keys: list[str]) -> None:
    prefix = store.faults.stall_prefix
    if prefix and any(key.startswith(prefix) for key in keys):
        await call.disconnected.wait()


async def _lose_answer(store: Store, call: HttpCall, keys: list[str]) -> None:
    matched = any(key.startswith(store.faults.lose_key) for key in keys)
    if store.faults.lose_answers > 0 and matched:
        # The write took effect, but its caller gets no answer.
        store.faults.lose_answers -= 1
        await call.disconnected.wait()


@routes.route("POST", "/v3/kv/range")
async def range_keys(store: Store, call: HttpCall) -> HttpReply:
    """Return a key, or all keys from it up to ``range_end``, exclusive."""
    if refused := await _admit(store, call, "read"):
        return refused
    body = msgspec.json.decode(call.body)
    start = _decode_text(body["key"])
    end = _decode_text(body["range_end"]) if body.get("range_end") else start + "\0"
    await _stall(store, call, [start])
    kvs = [
        _encode_kv(key, *store.data[key])
        for key in sorted(store.data)
        if start <= key < end
    ]
    return reply_json({"header": _header(store), "kvs": kvs, "count": str(len(kvs))})


def _matches(store: Store, compare: dict[str, Any]) -> bool:
    found = store.data.get(_decode_text(compare["key"]))
    return (found[1] if found else 0) == int(compare["mod_revision"])


def _read_change(op: dict[str, Any]) -> tuple[str, str | None, int]:
    if "request_delete_range" in op:
        return (_decode_text(op["request_delete_range"]["key"]), None, 0)
    put = op["request_put"]
    return (_decode_text(put["key"]), put["value"], int(put.get("lease", 0)))


@routes.route("POST", "/v3/kv/txn")
async def run_transaction(store: Store, call: HttpCall) -> HttpReply:
    """Apply all changes if all comparisons hold, else none."""
    if refused := await _admit(store, call, "write"):
        return refused
    body = msgspec.json.decode(call.body)
    changes = [_read_change(op) for op in body.get("success", [])]
    lease_missing = any(lease and lease not in store.leases for _, _, lease in changes)
    if lease_missing:
        return reply_json({"error": "lease not found", "code": 5}, status=404)
    keys = [key for key, _, _ in changes]
    await _stall(store, call, keys)
    revision = store.revision
    succeeded = all(_matches(store, c) for c in body.get("compare", []))
    if succeeded and changes:
        revision = await store.commit(changes)
    header = {"revision": str(revision)}
    answer = reply_json({"header": header, "succeeded": succeeded})
    await _lose_answer(store, call, keys)
    return answer


@routes.route("POST", "/v3/lease/grant")
async def grant_lease(store: Store, call: HttpCall) -> HttpReply:
    """Grant a lease."""
    if refused := await _admit(store, call, "write"):
        return refused
    ttl = float(msgspec.json.decode(call.body)["TTL"])
    lease = next(store.lease_ids)
    store.leases[lease] = (ttl, time.monotonic() + ttl)
    await _lose_answer(store, call, ["lease"])
    return reply_json(
        {"header": _header(store), "ID": str(lease), "TTL": str(int(ttl))}
    )


@routes.route("POST", "/v3/lease/keepalive")
async def renew_lease(store: Store, call: HttpCall) -> HttpReply:
    """Renew a lease; TTL 0 in the answer means that it has expired."""
    if refused := await _admit(store, call, "write"):
        return refused
    lease = int(msgspec.json.decode(call.body)["ID"])
    ttl = 0.0
    if lease in store.leases:
        ttl = store.leases[lease][0]
        store.leases[lease] = (ttl, time.monotonic() + ttl)
    result = {"header": _header(store), "ID": str(lease), "TTL": str(int(ttl))}
    return reply_json({"result": result})


@routes.route("POST", "/v3/lease/revoke")
async def revoke_lease(store: Store, call: HttpCall) -> HttpReply:
    """Revoke a lease and remove its keys."""
    if refused := await _admit(store, call, "write"):
        return refused
    await store.end_lease(int(msgspec.json.decode(call.body)["ID"]))
    return reply_json({"header": _header(store)})


@routes.route("POST", "/v3/watch")
async def watch_keys(store: Store, call: HttpCall) -> HttpReply:
    """Stream the changes of a key range from a revision on."""
    if refused := await _admit(store, call, "watch"):
        return refused
    create = msgspec.json.decode(call.body)["create_request"]
    return HttpReply(200, stream=_stream_changes(store, call, create))


async def _stream_changes(
    store: Store, call: HttpCall, create: dict[str, Any]
) -> AsyncIterator[bytes]:
    start, end = _decode_text(create["key"]), _decode_text(create["range_end"])
    position = int(create["start_revision"])
    if store.history and position < store.history[0][0] - 1:
        yield _encode_line({"header": _header(store), "canceled": True})
        return
    store.watching += 1
    try:
        yield _encode_line({"header": _header(store), "created": True})
        while not call.disconnected.is_set() and not store.faults.outage:
            if any(call.source_ip.startswith(p) for p in store.faults.cut):
                await call.disconnected.wait()
                return
            for revision, events in _list_since(store, position):
                wanted = [
                    e for e in events if start <= _decode_text(e["kv"]["key"]) < end
                ]
                if wanted:
                    header = {"revision": str(revision)}
                    yield _encode_line({"header": header, "events": wanted})
            position = store.revision + 1
            async with store.changed:
                if store.revision >= position:
                    continue
                try:
                    await asyncio.wait_for(store.changed.wait(), PROGRESS_INTERVAL_S)
                except TimeoutError:
                    yield _encode_line({"header": _header(store), "events": []})
    finally:
        store.watching -= 1


def _list_since(store: Store, position: int) -> list[tuple[int, list[dict[str, Any]]]]:
    return list(
        itertools.takewhile(lambda h: h[0] >= position, reversed(store.history))
    )[::-1]


def _encode_line(result: dict[str, Any]) -> bytes:
    return msgspec.json.encode({"result": result}) + b"\n"


@routes.route("POST", "/faults")
async def set_faults(store: Store, call: HttpCall) -> HttpReply:
    """Replace the faults to inject."""
    store.faults = msgspec.json.decode(call.body, type=Faults)
    return reply_json(store.faults)


@routes.route("GET", "/calls")
async def count_calls(store: Store, call: HttpCall) -> HttpReply:
    """Return the calls so far by kind, and the number of open watches."""
    return reply_json({**store.calls, "watching": store.watching})


async def main(options: argparse.Namespace) -> None:
    """Serve until stopped."""
    store = Store()
    server = HttpServer(store, routes, max_body_bytes=2 * 1024 * 1024)
    server.listen(options.address)
    store.expiry = asyncio.create_task(store.expire_leases())  # type: ignore[attr-defined]


if __name__ == "__main__":
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--address", required=True)
    run_standin(arguments, main)
