"""Stand-in for the service that knows which workers may run a step."""

import asyncio
import itertools
import time
from collections import Counter, defaultdict

import msgspec

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    RouteTable,
    reply_json,
)

routes = RouteTable()

DECISION_S = 0.02
PER_WORKER_S = 0.001
VALID_S = 4.0
"""The times that the site's configuration states for its queue with advice."""

MAX_WAITING = 32
MAX_WORKERS = 100


class AdviceFaults(msgspec.Struct):
    """Faults to inject, and the ids of the workers that may run nothing."""

    silent: bool = False
    busy: bool = False
    refused: list[str] = []


class AdviceRequest(msgspec.Struct):
    """A request for the workers that may run a step."""

    step: str
    workers: list[str]


class AdviceService:
    """Hands out tickets, one request of each calling VM after the other."""

    def __init__(self) -> None:
        """Start without tickets."""
        self.faults = AdviceFaults()
        self.outcomes: Counter[str] = Counter()
        self._turns: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._waiting = 0
        self._numbers = itertools.count(1)
        self._tickets: dict[str, tuple[str, str, float]] = {}

    async def advise(self, caller: str, request: AdviceRequest) -> HttpReply:
        """Answer a request when those before it of the same caller are answered."""
        if self.faults.busy or self._waiting >= MAX_WAITING:
            return HttpReply(429)
        if len(request.workers) > MAX_WORKERS:
            return HttpReply(400)
        self._waiting += 1
        try:
            async with self._turns[caller]:
                await asyncio.sleep(DECISION_S + PER_WORKER_S * len(request.workers))
        finally:
            self._waiting -= 1
        good = [
            (worker, self._issue(request.step, worker))
            for worker in request.workers
            if worker not in self.faults.refused
        ]
        return reply_json({"good": good})

    def _issue(self, step: str, worker: str) -> str:
        ticket = f"ticket-{next(self._numbers)}"
        self._tickets[ticket] = (step, worker, time.monotonic() + VALID_S)
        return ticket

    def is_valid(self, ticket: str, task: str, worker: str) -> bool:
        """Return whether a worker may start a task with a ticket now."""
        step, allowed, expires_at = self._tickets.get(ticket, ("", "", 0.0))
        known = (step, allowed) == (task.rpartition(".")[0], worker)
        return known and time.monotonic() < expires_at


@routes.route("POST", "/-/advise")
async def advise(service: AdviceService, call: HttpCall) -> HttpReply:
    """Return which of the workers may run the step, with their tickets."""
    if service.faults.silent:
        service.outcomes["silent"] += 1
        await call.disconnected.wait()
    request = msgspec.json.decode(call.body, type=AdviceRequest)
    reply = await service.advise(call.source_ip, request)
    service.outcomes[str(reply.status)] += 1
    return reply
