"""Run the project's platform stand-in with a few more faults and limits.

A restarted runner registers at once, not with its next heartbeat. A runner can be
drained and taken away: it announces the drain, serves on for ``drain_s``, and then
leaves for good. Running tasks may save checkpoints. The store refuses values that are
too long. The advice service may allow no runner for the steps of a job. A runner can be
cut off from the store alone, and another writer's entry can name its address.
"""

import asyncio
import base64
import hashlib
import itertools
import os
from typing import Any

import msgspec

from firladder._internal.network.http_server import (
    Handler,
    HttpCall,
    HttpReply,
    RouteTable,
    reply_json,
)
from standins import platform, platform_advice, platform_store, platform_workers
from standins.platform_store import MemoryStore, routes

STORES: list[MemoryStore] = []
DRAINED: dict[int, int] = {}
"""The remaining milliseconds that a draining runner announces, by its number."""

GONE_S = 1000.0

HEARTBEAT_S = 1.5
"""``heartbeat_ms`` of the settings."""

SILENT_BEATS = 3
"""Heartbeat intervals of silence after which the store removes an entry."""

REGISTERED_AGAIN_S = 2.0
"""Seconds after a cut until a runner's entry is back, as the pages say."""

FOREIGN_SERVICE = "node-exporter"
FOREIGN_KEY = "servers/node-exporter-1"

REFUSED_JOBS: set[str] = set()
"""Jobs whose steps no runner may run."""

MAX_VALUE_BYTES = 1048576
"""``value_bytes`` of the settings: the store takes no longer value."""

CHECKPOINT_BYTES = int(os.environ.get("CHECKPOINT_BYTES", "0"))
"""Length of the checkpoints that running tasks save; 0 if they save none."""

_restart = platform_workers.Worker.restart
_describe = platform_workers.Worker.describe
_hold = platform_workers.hold
_commit = platform_store.commit
_advise = platform_advice.AdviceService.advise


class RegisteringStore(MemoryStore):
    """A store that the runners can find."""

    def __init__(self, seed: int = 0) -> None:
        """Start empty."""
        super().__init__(seed)
        STORES.append(self)


def describe(worker: platform_workers.Worker) -> dict[str, Any]:
    """Return a runner's entry; a draining one says so."""
    entry = _describe(worker)
    if worker.number in DRAINED:
        entry |= {"state": "draining", "remaining_ms": DRAINED[worker.number]}
    return entry


async def register(worker: platform_workers.Worker) -> None:
    """Write a runner's entry."""
    entry = msgspec.json.encode(worker.describe())
    await STORES[0].put(f"servers/{worker.worker_id}", entry)


async def cut_from_store(worker: platform_workers.Worker, for_s: float) -> None:
    """Cut a runner off from the store alone: its entry is removed, and comes back.

    The store removes it after three heartbeat intervals of silence. The runner writes
    it again two seconds after the cut.
    """
    await asyncio.sleep(min(for_s, SILENT_BEATS * HEARTBEAT_S))
    await STORES[0].apply([], [f"servers/{worker.worker_id}"])
    await asyncio.sleep(max(0.0, for_s - SILENT_BEATS * HEARTBEAT_S))
    await asyncio.sleep(REGISTERED_AGAIN_S)
    await register(worker)


async def write_foreign_entry(worker: platform_workers.Worker) -> None:
    """Write an entry for a service that isn't configured, at a runner's address."""
    for seq in itertools.count(1):
        entry = worker.describe()
        entry |= {"backend": FOREIGN_SERVICE, "seq": seq}
        await STORES[0].put(FOREIGN_KEY, msgspec.json.encode(entry))
        await asyncio.sleep(HEARTBEAT_S)


async def restart(worker: platform_workers.Worker, down_s: float) -> None:
    """Crash without a word, come back later with a new id, and register."""
    if not worker.down:
        await _restart(worker, down_s)
        await register(worker)


async def leave(worker: platform_workers.Worker, drain_s: float) -> None:
    """Announce the drain, serve on for a while, and leave for good."""
    DRAINED[worker.number] = int(drain_s * 1000)
    await register(worker)
    await asyncio.sleep(drain_s + 0.5)
    await STORES[0].apply([], [f"servers/{worker.worker_id}"])
    await _restart(worker, GONE_S)


@routes.route("POST", "/cut-from-store/{number}")
async def start_cut(app: platform.PlatformApp, call: HttpCall) -> HttpReply:
    """Cut a runner off from the store for a while."""
    body = msgspec.json.decode(call.body)
    worker = app.ledger.workers[int(call.params["number"])]
    cut = asyncio.ensure_future(cut_from_store(worker, body["for_s"]))
    app.ledger.tasks.add(cut)
    return reply_json({})


@routes.route("POST", "/foreign-entry/{number}")
async def start_foreign(app: platform.PlatformApp, call: HttpCall) -> HttpReply:
    """Let another writer keep an entry with a runner's address from now on."""
    worker = app.ledger.workers[int(call.params["number"])]
    written = asyncio.ensure_future(write_foreign_entry(worker))
    app.ledger.tasks.add(written)
    return reply_json({})


@routes.route("POST", "/refuse-job/{job}")
async def refuse_job(app: platform.PlatformApp, call: HttpCall) -> HttpReply:
    """Let the advice service allow no runner for a job from now on."""
    REFUSED_JOBS.add(call.params["job"])
    return reply_json({})


async def advise(
    service: platform_advice.AdviceService,
    caller: str,
    request: platform_advice.AdviceRequest,
) -> HttpReply:
    """Answer as usual, but without tickets for a job that no runner may run."""
    reply = await _advise(service, caller, request)
    if reply.status == 200 and request.step.split(".")[0] in REFUSED_JOBS:
        return reply_json({"good": []})
    return reply


@routes.route("POST", "/leave/{number}")
async def start_leaving(app: platform.PlatformApp, call: HttpCall) -> HttpReply:
    """Drain a runner and take it away."""
    body = msgspec.json.decode(call.body)
    worker = app.ledger.workers[int(call.params["number"])]
    left = asyncio.ensure_future(leave(worker, body["drain_s"]))
    app.ledger.tasks.add(left)
    return reply_json({})


def replace_handler(table: RouteTable, former: Handler, handler: Handler) -> None:
    """Let another handler answer the calls of a route."""
    table._routes = [
        (method, pattern, handler if known is former else known)
        for method, pattern, known in table._routes
    ]


async def commit(app: platform_store.StoreApp, call: HttpCall) -> HttpReply:
    """Apply a transaction, unless one of its values is too long."""
    puts = msgspec.json.decode(call.body)["puts"]
    sizes = [len(base64.b64decode(put["value"])) for put in puts]
    if max(sizes, default=0) > MAX_VALUE_BYTES:
        app.too_long = getattr(app, "too_long", 0) + 1
        return reply_json({"reason": "value"}, status=400)
    return await _commit(app, call)


def name_checkpoint(task: str, run: int) -> str:
    """Return the checkpoint of a running task: an opaque name."""
    digits = hashlib.sha256(f"{task} {run}".encode()).hexdigest()
    return (digits * (CHECKPOINT_BYTES // len(digits) + 1))[:CHECKPOINT_BYTES]


async def hold(worker: platform_workers.Worker, call: HttpCall) -> HttpReply:
    """Return the lists of a runner whose tasks save checkpoints."""
    reply = await _hold(worker, call)
    if not CHECKPOINT_BYTES or reply.status != 200:
        return reply
    lists = msgspec.json.decode(reply.body)
    for row in lists["running"]:
        row[2] = name_checkpoint(row[0], row[1])
    return reply_json(lists)


if __name__ == "__main__":
    platform.MemoryStore = RegisteringStore  # type: ignore[misc]
    platform_workers.Worker.restart = restart  # type: ignore[method-assign]
    platform_workers.Worker.describe = describe  # type: ignore[method-assign]
    platform_advice.AdviceService.advise = advise  # type: ignore[method-assign]
    replace_handler(routes, _commit, commit)
    replace_handler(platform_workers.routes, _hold, hold)
    platform.main()
