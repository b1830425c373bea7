"""Simulate the scheduling of requests, with a simulated clock and targets.

Queues, shares, scores and routes are the gateway's own code; only the clock, the
arrivals and the targets are simulated, from a seed.
"""

import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator

from ..etcd.inventory import Inventory
from ..exceptions import Failure
from ..gateway.targets import TargetTable
from ..models.configuration import Configuration, Urgency
from ..models.machine import Machine
from ..policies.dispatching import DispatchPolicies, ServiceQueues
from ..policies.request_views import WaitingRequest
from ..policies.selectors import Selector

SERVICE = "planwerk"
TARGETS = 24
SLOTS_PER_TARGET = 8
GATEWAYS = 8
MEAN_RUN_S = 0.2
CAPACITY_PER_S = TARGETS * SLOTS_PER_TARGET / MEAN_RUN_S
"""Requests per second that all targets together can run."""

BROKEN_RUN_S = 0.005
"""Time to failure on a broken target; short, so that the target seems fast."""

QUEUE_LIMIT = 2000
HEARTBEAT_INTERVAL_S = 1.0
DISPATCH_INTERVAL_S = 0.02
MAX_RETRIES = 4

MATCH_ALL = Selector()


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request as its caller sends it; ``run_s`` is hidden from the policies."""

    at: float
    organisation: str
    urgency: Urgency
    run_s: float
    deadline_s: float
    gateway: int
    weight: int = 1
    retries: int = 0


@dataclasses.dataclass(slots=True)
class Outcomes:
    """The outcomes of the requests, as their callers see them."""

    completion_s: dict[Urgency, list[float]] = dataclasses.field(default_factory=dict)
    in_time: Counter[str] = dataclasses.field(default_factory=Counter)
    offered: Counter[str] = dataclasses.field(default_factory=Counter)
    failed: Counter[str] = dataclasses.field(default_factory=Counter)
    in_time_within_load: int = 0
    late: int = 0
    refused: int = 0
    retried_in_time: int = 0
    longest_wait_s: float = 0.0

    def find_quantile(self, urgency: Urgency, part: float) -> float:
        """Return a quantile of the completion times, in seconds."""
        times = sorted(self.completion_s.get(urgency, []))
        return times[min(len(times) - 1, int(part * len(times)))] if times else 0.0


@dataclasses.dataclass(slots=True)
class FakeTarget:
    """A target with some slots, and a queue for the requests beyond them."""

    slowness: float = 1.0
    broken: bool = False
    busy: int = 0
    waiting: "deque[Callable[[float], None]]" = dataclasses.field(default_factory=deque)


@dataclasses.dataclass(slots=True)
class FakeGateway:
    """The scheduling state of one gateway."""

    table: TargetTable
    queues: ServiceQueues
    in_flight: int = 0


class RequestDriver:
    """A simulation of all gateways and targets under one set of policies."""

    def __init__(
        self,
        policies: DispatchPolicies,
        *,
        seed: int = 1,
        slow: int = 0,
        slowness: float = 10.0,
        broken: int = 0,
        recovers_at: float = math.inf,
        callers_retry: bool = False,
        load_end_s: float = math.inf,
    ) -> None:
        """Make ``slow`` targets slow and ``broken`` ones broken until ``recovers_at``.

        Broken targets fail every request at once.

        Answers after ``load_end_s`` do not count as goodput: requests that are still
        queued when the arrivals end would favour a policy that queues more.
        """
        self._rng = random.Random(seed)
        self._configuration = Configuration(revision=1)
        self._targets = {
            f"runner-{n:02}": FakeTarget(slowness if n < slow else 1.0, n < broken)
            for n in range(TARGETS)
        }
        self._gateways = [self._make_gateway(policies, n) for n in range(GATEWAYS)]
        self._callers_retry = callers_retry
        self._load_end_s = load_end_s
        self._recovers_at = recovers_at
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._arrivals: dict[str, Arrival] = {}
        self._unanswered = 0
        self.outcomes = Outcomes()

    def _make_gateway(self, policies: DispatchPolicies, number: int) -> FakeGateway:
        inventory = Inventory()
        inventory.machines = {
            name: Machine(
                name=name,
                role="target",
                failure_domain="bern-halle",
                address="",
                service=SERVICE,
                slots=SLOTS_PER_TARGET,
                connections=64,
            )
            for name in self._targets
        }
        table = TargetTable(
            inventory=inventory, own_address=f"gateway-{number}", share=policies.share
        )
        table.refresh()
        queues = ServiceQueues(policies, queue_limit=QUEUE_LIMIT)
        return FakeGateway(table, queues)

    def run(self, arrivals: Iterator[Arrival]) -> Outcomes:
        """Simulate until every arrival has an outcome."""
        for arrival in arrivals:
            self._unanswered += 1
            self.outcomes.offered[arrival.organisation] += 1
            self._schedule(arrival.at, functools.partial(self._arrive, arrival))
        self._schedule(0.0, self._dispatch_all)
        self._schedule(0.0, self._exchange_demands)
        while self._events and self._unanswered:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.outcomes

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _dispatch_all(self, now: float) -> None:
        for gateway in self._gateways:
            self._send_ready(gateway, now)
        self._schedule(now + DISPATCH_INTERVAL_S, self._dispatch_all)

    def _exchange_demands(self, now: float) -> None:
        demands = {
            f"gateway-{n}": len(g.queues) + g.in_flight
            for n, g in enumerate(self._gateways)
        }
        for gateway in self._gateways:
            gateway.table.set_demands({SERVICE: demands})
        self._schedule(now + HEARTBEAT_INTERVAL_S, self._exchange_demands)

    def _arrive(self, arrival: Arrival, now: float) -> None:
        gateway = self._gateways[arrival.gateway]
        key = str(next(self._numbers))
        req = WaitingRequest(
            key,
            arrival.organisation,
            arrival.urgency,
            now,
            now + arrival.deadline_s,
            arrival.weight,
        )
        failure = gateway.queues.admit(
            req,
            room=gateway.table.measure_capacity(
                SERVICE, MATCH_ALL, self._configuration
            ),
            in_flight=gateway.in_flight,
            expected_s=gateway.table.estimate_latency(SERVICE),
            request_share=1.0,
            rng=self._rng,
        )
        if failure is not None:
            self._reject(arrival, failure, now)
            return
        self._arrivals[key] = arrival
        gateway.queues.push(req, MATCH_ALL)
        self._send_ready(gateway, now)

    def _reject(self, arrival: Arrival, failure: Failure, now: float) -> None:
        retry_delay_s = failure.retry_after_s
        if (
            not self._callers_retry
            or retry_delay_s is None
            or arrival.retries >= MAX_RETRIES
        ):
            self.outcomes.refused += 1
            self._unanswered -= 1
            return
        retry = dataclasses.replace(
            arrival,
            retries=arrival.retries + 1,
            gateway=self._rng.randrange(GATEWAYS),
        )
        self._schedule(now + retry_delay_s, functools.partial(self._arrive, retry))

    def _send_ready(self, gateway: FakeGateway, now: float) -> None:
        table = gateway.table
        sends = gateway.queues.choose(
            lambda s: table.list_views(SERVICE, s, self._configuration, now),
            now,
            self._rng,
        )
        expected_s = table.estimate_latency(SERVICE)
        for req, name in sends:
            if gateway.in_flight and now + expected_s > req.deadline:
                failure = gateway.queues.refuse_late(
                    now, expected_s=expected_s, rng=self._rng
                )
                self._reject(self._arrivals.pop(req.id), failure, now)
                continue
            arrival = self._arrivals.pop(req.id)
            wait_s = now - req.arrived_at
            self.outcomes.longest_wait_s = max(self.outcomes.longest_wait_s, wait_s)
            table.states[name].stats.record_sent(req.id, now)
            gateway.in_flight += 1
            self._send(gateway, req, arrival, name, now)

    def _send(
        self,
        gateway: FakeGateway,
        req: WaitingRequest,
        arrival: Arrival,
        name: str,
        now: float,
    ) -> None:
        target = self._targets[name]

        def start(at: float) -> None:
            target.busy += 1
            bad = at < self._recovers_at
            run_s = arrival.run_s * (target.slowness if bad else 1.0)
            fails = bad and target.broken
            end = functools.partial(finish, fails)
            self._schedule(at + (BROKEN_RUN_S if fails else run_s), end)

        def finish(fails: bool, at: float) -> None:
            target.busy -= 1
            if target.waiting:
                target.waiting.popleft()(at)
            stats = gateway.table.states[name].stats
            stats.record_end(req.id)
            gateway.in_flight -= 1
            if fails:
                gateway.table.record_failure(name, at)
                self.outcomes.failed[req.organisation] += 1
                self._unanswered -= 1
            else:
                gateway.table.record_success(name, at - now, at)
                self._record_answer(req, arrival, at)
            self._send_ready(gateway, at)

        if target.busy < SLOTS_PER_TARGET:
            start(now)
        else:
            target.waiting.append(start)

    def _record_answer(self, req: WaitingRequest, arrival: Arrival, now: float) -> None:
        self._unanswered -= 1
        self.outcomes.completion_s.setdefault(req.urgency, []).append(
            now - req.arrived_at
        )
        if now > req.deadline:
            self.outcomes.late += 1
            return
        self.outcomes.in_time[req.organisation] += 1
        self.outcomes.in_time_within_load += now <= self._load_end_s
        self.outcomes.retried_in_time += arrival.retries > 0
