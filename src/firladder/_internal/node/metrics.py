"""Prometheus metrics of a node."""

import resource
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from .daemon import Node

BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5]


class NodeMetrics:
    """Metrics of one node; metric names include the unit."""

    def __init__(self) -> None:
        """Register all metrics in a new registry."""
        self.registry = Registry()
        self.calls = Counter(
            "firladder_client_calls_total",
            "Clients' calls answered, by method and status",
            registry=self.registry,
        )
        self.latency = Histogram(
            "firladder_client_latency_seconds",
            "Time from a client's whole call to its answer, by method",
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.version = self._gauge(
            "firladder_queues_version", "Version of the configuration in force"
        )
        self.heard = self._gauge(
            "firladder_queues_heard_version",
            "Newest version of the configuration that is known to exist",
        )
        self.confirmed = self._gauge(
            "firladder_queues_confirmed_age_seconds",
            "Time since the store last told the newest configuration",
        )
        self.received = self._gauge(
            "firladder_queues_received_bytes_total",
            "Bytes of configurations read, by source",
        )
        self.watch_failures = self._gauge(
            "firladder_watch_failures_total",
            "Watches of the store without a whole answer, by prefix",
        )
        self.peers = self._gauge("firladder_nodes_known_count", "Other nodes known")
        self.leading = self._gauge(
            "firladder_leading_token", "Fencing token while this node leads, else 0"
        )
        self.jobs = self._gauge(
            "firladder_jobs_open_count", "Jobs that have not ended, at the leader"
        )
        self.workers = self._gauge(
            "firladder_workers_known_count",
            "Workers at the leader, by whether they can be reached",
        )
        self.evacuated = self._gauge(
            "firladder_evacuated_domain_tasks_count",
            "Tasks at workers of a failure domain that gets no new work, by domain",
        )
        self.store = self._gauge(
            "firladder_store_made_calls_total", "Calls made to the platform's store"
        )
        self.worker_calls = self._gauge(
            "firladder_worker_calls_total", "Calls made to workers in this term"
        )
        self.decisions = self._gauge(
            "firladder_core_decisions_total",
            "Decisions of the scheduling core in this term, by what was decided",
        )
        self.measured = self._gauge(
            "firladder_workers_measured_count",
            "Workers whose speed was observed, at the leader, by pool",
        )
        self.spread = self._gauge(
            "firladder_workers_spread_ratio",
            "Standard deviation of the logarithm of workers' slowness, by pool",
        )
        self.profiles = self._gauge(
            "firladder_profiles_written_bytes",
            "Size of the newest record of what the leader has learned of workers",
        )
        self.order_waits = Histogram(
            "firladder_order_wait_seconds",
            "Time that an order waits for others to the same worker, by kind",
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.order_answers = Histogram(
            "firladder_order_answer_seconds",
            "Time until an order's answer, or until it is given up, by kind",
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.advice_calls = Counter(
            "firladder_advice_calls_total",
            "Requests to the advice service, by outcome",
            registry=self.registry,
        )
        self.tickets = self._gauge(
            "firladder_advice_tickets_count", "Valid tickets known at the leader"
        )
        self.waiting_for_advice = self._gauge(
            "firladder_advice_waiting_steps_count",
            "Steps at the leader that are due and have no ticket",
        )
        self.memory = self._gauge(
            "firladder_node_resident_peak_bytes", "Largest resident memory so far"
        )
        self.processor = self._gauge(
            "firladder_node_processor_seconds_total", "Processor time used so far"
        )

    def observe(self, method: str, status: int, spent_s: float) -> None:
        """Record one answered client call."""
        self.calls.inc({"method": method, "status": str(status)})
        self.latency.observe({"method": method}, spent_s)

    def observe_order(self, kind: str, waited_s: float, took_s: float) -> None:
        """Record one order to a worker."""
        self.order_waits.observe({"kind": kind}, waited_s)
        self.order_answers.observe({"kind": kind}, took_s)

    def observe_advice(self, outcome: str) -> None:
        """Record one request to the advice service."""
        self.advice_calls.inc({"outcome": outcome})

    def collect(self, node: "Node") -> None:
        """Update the gauges from the current state of ``node``."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.memory.set({}, usage.ru_maxrss * 1024)
        self.processor.set({}, usage.ru_utime + usage.ru_stime)
        self.version.set({}, node.configuration.version)
        self.heard.set({}, node.configuration.newest_known_version)
        confirmed_s = node.measure_confirmation_age()
        if confirmed_s is not None:
            self.confirmed.set({}, confirmed_s)
        for source, size in node.configuration.received_bytes.items():
            self.received.set({"source": source}, size)
        for watch in node.watches:
            self.watch_failures.set({"prefix": watch.prefix}, watch.failures_total)
        self.peers.set({}, len(node.fleet.list_peers()))
        self.store.set({}, node.store.calls)
        term = node.term
        self.leading.set({}, term.leadership.token if term is not None else 0)
        if term is None:
            return
        open_jobs = [j for j in term.core.jobs.values() if not j.terminal]
        self.jobs.set({}, len(open_jobs))
        self.worker_calls.set({}, term.calls.calls)
        for what, count in term.decisions.items():
            self.decisions.set({"what": what}, count)
        for pool in term.core.profiles.machines.pools.values():
            self.measured.set({"pool": pool.name}, pool.mean_count)
            self.spread.set({"pool": pool.name}, pool.spread)
        self.profiles.set({}, term.profile_writer.written_bytes)
        for domain in term.core.evacuated:
            count = sum(
                len(w.placements)
                for w in term.core.workers.values()
                if w.entry.failure_domain == domain
            )
            self.evacuated.set({"failure_domain": domain}, count)
        now = node.clock.read_monotonic()
        self.tickets.set({}, term.core.advice.count_tickets(now))
        waiting = term.advice.waiting_steps if term.advice is not None else 0
        self.waiting_for_advice.set({}, waiting)
        for reachable in (True, False):
            found = [w for w in term.core.workers.values() if w.reachable is reachable]
            self.workers.set({"reachable": str(reachable).lower()}, len(found))

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the Prometheus text format, and the content type."""
        content, headers = render(self.registry, ["text/plain"])
        return content, headers.get("Content-Type", "text/plain")

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)
