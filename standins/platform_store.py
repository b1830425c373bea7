"""Stand-in for the platform's metadata store, with the platform's own interface.

Keeps revisions, transactions, leases and watches in memory. Faults can be set while
it runs: rejected calls, calls without an answer, lost or late transactions.
"""

import asyncio
import base64
import itertools
import random
import time
from typing import Any

import msgspec

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    RouteTable,
    reply_json,
)

routes = RouteTable()


class StoreFaults(msgspec.Struct):
    """Faults to inject; calls from the IP addresses in ``turned_away`` get 503.

    ``lost_share`` of the transactions are applied, after ``late_s`` seconds, but not
    answered. ``silent`` leaves every call unanswered, ``busy`` answers all with 503.
    """

    turned_away: tuple[str, ...] = ()
    silent: bool = False
    busy: bool = False
    lost_share: float = 0.0
    late_s: float = 0.0
    delay_s: float = 0.0


class Row(msgspec.Struct):
    """A stored value with its revisions and its lease (0: none)."""

    value: str
    revision: int
    created: int
    lease: int


class MemoryStore:
    """The state of the store."""

    def __init__(self, seed: int = 0) -> None:
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.revision = 1
        self.oldest_revision = 0
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_ids = itertools.count(1)
        self.changed = asyncio.Condition()
        self.faults = StoreFaults()
        self.rng = random.Random(seed)
        self.calls = 0

    async def apply(self, puts: list[dict[str, Any]], remove: list[str]) -> int:
        """Apply puts and removals as one revision and return it."""
        self.revision += 1
        for put in puts:
            former = self.rows.get(put["key"])
            created = former.created if former is not None else self.revision
            row = Row(put["value"], self.revision, created, put.get("lease", 0))
            self.rows[put["key"]] = row
            self.history.append(_describe(put["key"], row))
        for key in remove:
            if self.rows.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "revision": self.revision, "tombstone": True}
                )
        applied = self.revision
        async with self.changed:
            self.changed.notify_all()
        return applied

    async def put(self, key: str, value: bytes) -> int:
        """Write one key, as the operator or a worker does."""
        return await self.apply([{"key": key, "value": encode_value(value)}], [])

    async def expire_leases(self) -> None:
        """Remove expired leases and their keys periodically."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """Remove a lease and its keys."""
        self.leases.pop(lease, None)
        keys = [k for k, row in self.rows.items() if row.lease == lease]
        if keys:
            await self.apply([], keys)

    def drop_history(self) -> None:
        """Discard the history of changes, so that older watches get 410."""
        self.history.clear()
        self.oldest_revision = self.revision


def encode_value(value: bytes) -> str:
    """Return a value in base64, as the interface carries it."""
    return base64.b64encode(value).decode()


def _describe(key: str, row: Row) -> dict[str, Any]:
    return {"key": key, **msgspec.to_builtins(row)}


class StoreApp:
    """The application that the HTTP routes act on."""

    def __init__(self, store: MemoryStore) -> None:
        """Serve ``store``."""
        self.store = store

    async def admit(self, call: HttpCall) -> HttpReply | None:
        """Count a call and apply the faults; return the rejection, if any."""
        self.store.calls += 1
        faults = self.store.faults
        if faults.silent:
            await call.disconnected.wait()
        if faults.busy or call.source_ip in faults.turned_away:
            return HttpReply(503)
        await asyncio.sleep(faults.delay_s)
        return None


@routes.route("GET", "/-/kv-key")
async def read_key(app: StoreApp, call: HttpCall) -> HttpReply:
    """Return one key's item, or 404."""
    refused = await app.admit(call)
    if refused is not None:
        return refused
    key = call.query["key"]
    row = app.store.rows.get(key)
    if row is None:
        return reply_json({"at": app.store.revision}, status=404)
    return reply_json({**_describe(key, row), "at": app.store.revision})


@routes.route("GET", "/-/kv-range")
async def read_range(app: StoreApp, call: HttpCall) -> HttpReply:
    """Return a page of the items with a key prefix, in key order."""
    refused = await app.admit(call)
    if refused is not None:
        return refused
    after = call.query.get("after", "")
    keys = sorted(
        k for k in app.store.rows if k.startswith(call.query["prefix"]) and k > after
    )
    items = [_describe(k, app.store.rows[k]) for k in keys[:50]]
    more = len(keys) > 50
    return reply_json({"items": items, "has_more": more, "at": app.store.revision})


@routes.route("GET", "/-/kv-watch")
async def watch(app: StoreApp, call: HttpCall) -> HttpReply:
    """Return the changes after a revision, waiting for one up to ``wait_ms``."""
    refused = await app.admit(call)
    if refused is not None:
        return refused
    store = app.store
    prefix, after = call.query["prefix"], int(call.query["after"])
    deadline = time.monotonic() + int(call.query["wait_ms"]) / 1000
    while True:
        if after < store.oldest_revision:
            return HttpReply(410)
        events = [
            e
            for e in store.history
            if e["revision"] > after and e["key"].startswith(prefix)
        ]
        remaining_s = deadline - time.monotonic()
        if events or remaining_s <= 0:
            return reply_json({"events": events, "at": store.revision})
        async with store.changed:
            try:
                await asyncio.wait_for(store.changed.wait(), remaining_s)
            except TimeoutError:
                continue


@routes.route("POST", "/-/kv-txn")
async def commit(app: StoreApp, call: HttpCall) -> HttpReply:
    """Apply a transaction if all expected revisions match, else nothing."""
    refused = await app.admit(call)
    if refused is not None:
        return refused
    store = app.store
    body = msgspec.json.decode(call.body)
    lost = store.rng.random() < store.faults.lost_share
    if lost and store.faults.late_s:
        await asyncio.sleep(store.faults.late_s)
    keys = [row["key"] for row in body["expected"]]
    held = {k: store.rows[k] for k in keys if k in store.rows}
    conflict = any(
        (held[row["key"]].revision if row["key"] in held else 0) != row["revision"]
        for row in body["expected"]
    )
    if conflict:
        items = [_describe(k, row) for k, row in held.items()]
        reply = reply_json({"items": items}, status=412)
    elif any(p.get("lease") and p["lease"] not in store.leases for p in body["puts"]):
        reply = HttpReply(404)
    else:
        revision = await store.apply(body["puts"], body["remove"])
        reply = reply_json({"revision": revision})
    if lost:
        await call.disconnected.wait()
    return reply


@routes.route("POST", "/-/kv-lease")
async def grant(app: StoreApp, call: HttpCall) -> HttpReply:
    """Grant a lease."""
    refused = await app.admit(call)
    if refused is not None:
        return refused
    ttl_s = max(1.0, msgspec.json.decode(call.body)["ttl_ms"] / 1000)
    lease = next(app.store.lease_ids)
    app.store.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
    return reply_json({"lease": lease, "ttl_ms": ttl_s * 1000})


@routes.route("POST", "/-/kv-keep/{lease}")
async def keep(app: StoreApp, call: HttpCall) -> HttpReply:
    """Renew a lease."""
    refused = await app.admit(call)
    if refused is not None:
        return refused
    lease = int(call.params["lease"])
    if lease not in app.store.leases:
        return HttpReply(404)
    ttl_s, _ = app.store.leases[lease]
    app.store.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
    return reply_json({"ttl_ms": ttl_s * 1000})


@routes.route("DELETE", "/-/kv-lease-end/{lease}")
async def end(app: StoreApp, call: HttpCall) -> HttpReply:
    """End a lease and remove its keys."""
    refused = await app.admit(call)
    if refused is not None:
        return refused
    await app.store.end_lease(int(call.params["lease"]))
    return reply_json({})


@routes.route("POST", "/faults")
async def set_faults(app: StoreApp, call: HttpCall) -> HttpReply:
    """Replace the faults to inject."""
    app.store.faults = msgspec.json.decode(call.body, type=StoreFaults)
    return reply_json({})


@routes.route("POST", "/drop-history")
async def drop_history(app: StoreApp, call: HttpCall) -> HttpReply:
    """Discard the history, as the platform may at any time."""
    app.store.drop_history()
    return reply_json({})


@routes.route("POST", "/put")
async def put(app: StoreApp, call: HttpCall) -> HttpReply:
    """Write one key, as the operator or any other writer does."""
    body = msgspec.json.decode(call.body)
    value = body["value"]
    raw = value.encode() if isinstance(value, str) else msgspec.json.encode(value)
    return reply_json({"revision": await app.store.put(body["key"], raw)})


@routes.route("POST", "/remove")
async def remove(app: StoreApp, call: HttpCall) -> HttpReply:
    """Remove one key, as the operator does."""
    body = msgspec.json.decode(call.body)
    return reply_json({"revision": await app.store.apply([], [body["key"]])})
