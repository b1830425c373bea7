"""Stand-ins for the platform's store, workers and advice service, in one process."""

import argparse
import asyncio
import itertools
from typing import Any

import msgspec

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    HttpServer,
    reply_json,
)

from .platform_advice import AdviceFaults
from .platform_advice import routes as advice_routes
from .platform_store import MemoryStore, StoreApp, routes
from .platform_workers import HEARTBEAT_S, Ledger, Worker, WorkerFaults
from .process import run_standin

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Limit of a call to the store: a value of 1 MB in base64, and the rest of the body."""

MISSED_BEATS = 3
"""Heartbeats after which the entry of a crashed worker is removed."""

BACKGROUND_TASKS: set["asyncio.Task[Any]"] = set()


class PlatformApp(StoreApp):
    """The store, and the ledger of the workers' runs."""

    def __init__(self, store: MemoryStore, ledger: Ledger) -> None:
        """Serve ``store`` and ``ledger``."""
        super().__init__(store)
        self.ledger = ledger


@routes.route("GET", "/ledger")
async def show_ledger(app: PlatformApp, call: HttpCall) -> HttpReply:
    """Return all starts, done and running tasks, problems and store calls."""
    ledger = app.ledger
    running = {
        w.worker_id: sorted(r.task for r in w.runs.values()) for w in ledger.workers
    }
    return reply_json(
        {
            "starts": ledger.starts,
            "done": sorted(ledger.done),
            "failed": sorted(ledger.failed),
            "crashes": dict(ledger.crashes),
            "problems": ledger.problems,
            "advice": dict(ledger.advice.outcomes),
            "rejected_tickets": ledger.rejected_tickets,
            "running": running,
            "calls": app.store.calls,
        }
    )


@routes.route("POST", "/worker-faults/{number}")
async def set_worker_faults(app: PlatformApp, call: HttpCall) -> HttpReply:
    """Replace the faults of a worker, which may be down."""
    worker = app.ledger.workers[int(call.params["number"])]
    worker.faults = msgspec.json.decode(call.body, type=WorkerFaults)
    return reply_json({})


@routes.route("POST", "/restart-workers")
async def restart_workers(app: PlatformApp, call: HttpCall) -> HttpReply:
    """Take the workers with these numbers down for ``down_s``, all at one moment."""
    body = msgspec.json.decode(call.body)
    chosen = [app.ledger.workers[number] for number in body["numbers"]]
    restarts = [w.restart(body["down_s"]) for w in chosen if not w.down]
    app.ledger.tasks.update(map(asyncio.ensure_future, restarts))
    return reply_json({})


@routes.route("POST", "/advice-faults")
async def set_advice_faults(app: PlatformApp, call: HttpCall) -> HttpReply:
    """Replace the faults of the advice service."""
    app.ledger.advice.faults = msgspec.json.decode(call.body, type=AdviceFaults)
    return reply_json({})


async def send_heartbeats(store: MemoryStore, worker: Worker) -> None:
    """Register a worker at the start and then every 30 heartbeats, unless silent.

    The entry of an incarnation that has crashed is removed three heartbeats later,
    unless the next one has registered under its id.
    """
    last_beats: dict[str, int] = {}
    registered_life = (-1, "")
    for beat in itertools.count(1):
        worker_id, life = worker.worker_id, (worker.born, worker.worker_id)
        if not (worker.faults.silent or worker.down):
            if worker_id not in last_beats or life != registered_life or beat % 30 == 0:
                registered_life = life
                entry = msgspec.json.encode(worker.describe())
                await store.put(f"servers/{worker_id}", entry)
            last_beats[worker_id] = beat
        former = [w for w, last in last_beats.items() if beat - last > MISSED_BEATS]
        for name in former:
            if name != worker_id or worker.down:
                await store.apply([], [f"servers/{name}"])
                del last_beats[name]
        await asyncio.sleep(HEARTBEAT_S)


def is_chosen(number: int, share: float) -> bool:
    """Return whether the item with this number is in an evenly spread share of all."""
    return int((number + 1) * share) > int(number * share)


async def serve(options: argparse.Namespace) -> None:
    """Start the store and the workers."""
    store, ledger = MemoryStore(options.seed), Ledger()
    app = PlatformApp(store, ledger)
    HttpServer(app, routes, max_body_bytes=MAX_BODY_BYTES).listen(options.store)
    if options.advice:
        HttpServer(ledger.advice, advice_routes).listen(options.advice)
    loops = [store.expire_leases()]
    for number, pair in enumerate(options.workers.split(",")):
        address, _, advertised = pair.partition(">")
        worker = Worker(
            number,
            advertised or address,
            ledger,
            options.seed,
            keeps_id=is_chosen(number, options.restart_share),
            states_birth=options.restart_share > 0,
        )
        ledger.workers.append(worker)
        worker.listen(address)
        loops += [worker.end_due_runs(), send_heartbeats(store, worker)]
    BACKGROUND_TASKS.update(asyncio.get_running_loop().create_task(x) for x in loops)


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--store", required=True, help="ip:port of the store")
    parser.add_argument(
        "--workers",
        required=True,
        help="ip:port[>ip:port],...: each worker's address, and the one it advertises",
    )
    parser.add_argument("--advice", help="ip:port of the advice service")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--restart_share",
        type=float,
        default=0.0,
        help="share of the workers that keep their ids; if any do, all say when they "
        "have started",
    )
    run_standin(parser, serve)


if __name__ == "__main__":
    main()
