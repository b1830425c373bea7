"""Metrics that all daemons export."""

import resource
from collections import Counter as Count
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry

from ..network.http_server import HttpServer

if TYPE_CHECKING:
    from .process import Process


class FleetMetrics:
    """Metrics of a process as a member of the fleet."""

    def __init__(self) -> None:
        """Register all metrics in a registry of their own."""
        self.registry = Registry()
        self.revision = self._gauge(
            "firladder_configuration_revision", "Revision of the configuration in force"
        )
        self.peers = self._gauge(
            "firladder_peers_alive_count", "Peers heard of lately, by failure domain"
        )
        self.store_calls = self._gauge(
            "firladder_store_calls_total", "Calls made to the platform's store"
        )
        self.store_reachable = self._gauge(
            "firladder_store_reachable_bool",
            "1 if the last call to the store went well",
        )
        self.sent = self._gauge(
            "firladder_fabric_sent_bytes_total", "Bytes sent to other processes"
        )
        self.received = self._gauge(
            "firladder_fabric_received_bytes_total",
            "Bytes received from others",
        )
        self.memory = self._gauge(
            "firladder_resident_peak_bytes", "Largest resident memory so far"
        )
        self.processor = self._gauge(
            "firladder_processor_seconds_total", "Processor time used so far"
        )

        self.age = self._gauge(
            "firladder_configuration_age_seconds",
            "Time since this process adopted its configuration",
        )
        self.loop_lag = self._gauge(
            "firladder_loop_lag_seconds", "Longest delay of the event loop lately"
        )
        self.events = self._gauge(
            "firladder_events_total", "Events of the time line, by number and message"
        )
        self.connections = self._gauge(
            "firladder_connections_open_count", "Open HTTP connections"
        )
        self.dropped = self._gauge(
            "firladder_connections_dropped_total",
            "HTTP connections closed for want of places or of a whole request",
        )
        self.malformed = self._gauge(
            "firladder_fabric_malformed_total",
            "Messages between processes that could not be read",
        )

    def collect(self, process: "Process", http: HttpServer) -> None:
        """Update the metrics that all daemons export."""
        self.read_usage()
        self.revision.set({}, process.configuration.current.revision)
        self.age.set({}, process.clock.read_monotonic() - process.adopted_at)
        alive = Count(
            heartbeat.identity.failure_domain
            for heartbeat in process.membership.list_peers()
        )
        heard = {
            p.heartbeat.identity.failure_domain for p in process.membership.list_all()
        }
        for domain in heard:
            self.peers.set({"failure_domain": domain}, alive[domain])
        self.store_calls.set({}, process.store.calls)
        self.store_reachable.set({}, int(process.store.reachable))
        self.sent.set({}, process.fabric.sent_bytes)
        self.received.set({}, process.fabric.received_bytes)
        self.malformed.set({}, process.fabric.malformed)
        self.loop_lag.set({}, process.loop_lag.read())
        self.connections.set({}, http.connection_tracker.count())
        self.dropped.set({}, http.connection_tracker.dropped)
        totals: Count[tuple[int, str]] = Count()
        for (event, _), count in process.timeline.counts.items():
            totals[event.number, event.message] += count
        for (number, message), count in totals.items():
            self.events.set({"number": str(number), "message": message}, count)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)

    def read_usage(self) -> None:
        """Update the metrics of this process's resource usage."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.memory.set({}, usage.ru_maxrss * 1024)
        self.processor.set({}, usage.ru_utime + usage.ru_stime)
