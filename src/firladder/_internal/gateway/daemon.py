"""The gateway: the daemon that callers and operators talk to."""

import asyncio
import math
from collections.abc import Mapping

import msgspec
from aioprometheus import Histogram

from ..charts.interpreter import load_chart
from ..etcd.targets import TargetClient, TargetHealth
from ..fleet.metrics import FleetMetrics
from ..fleet.process import Process
from ..models.message import Heartbeat
from ..models.request import RequestResult
from ..network.http_server import HttpServer
from ..policies.dispatching import find_policies
from ..utils.events import Event
from ..utils.settings import ResolvedSetting
from .configuration import ConfigurationHandler
from .dispatch import Dispatcher
from .jobs import JobHandler
from .ownership import RequestIdRegistry
from .requests import RequestHandler
from .routes import routes
from .targets import TargetTable

SHARE_INTERVAL_S = 0.1
"""Seconds between updates from the heartbeats of the other gateways."""

DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, math.inf)
"""Finest where a person waits; heavy requests exceed the last finite bucket."""

CONFIGURATION_TIMEOUT_S = 3.0
"""The store answers in milliseconds and a peer within a few heartbeats: after
this time both are considered unreachable."""

CONFIGURATION_POLL_INTERVAL_S = 0.01


class GatewayMetrics(FleetMetrics):
    """Metrics of a gateway."""

    def __init__(self) -> None:
        """Register the gateway's metrics in addition to the common ones."""
        super().__init__()
        self.queued = self._gauge(
            "firladder_requests_queued_count", "Requests that wait in this gateway"
        )
        self.in_flight = self._gauge(
            "firladder_requests_in_flight_count", "Requests at targets, by service"
        )
        self.ended = self._counter(
            "firladder_requests_ended_total",
            "Requests with a final answer, by outcome and type of failure",
        )
        self.duration = Histogram(
            "firladder_requests_duration_seconds",
            "Time from a request's arrival to its answer",
            registry=self.registry,
            buckets=DURATION_BUCKETS_S,
        )

    def count_request(self, result: RequestResult, spent_s: float) -> None:
        """Count a request's final answer."""
        failure = type(result.failure).__struct_config__.tag if result.failure else ""
        self.ended.inc({"outcome": result.outcome, "failure": str(failure)})
        self.duration.add({}, spent_s)


class Gateway(Process):
    """Serve requests to targets, and calls about jobs and configuration."""

    role = "gateway"

    def __init__(self, settings: Mapping[str, ResolvedSetting]) -> None:
        """Create all parts, without listening yet."""
        super().__init__(settings)
        self.metrics = GatewayMetrics()
        self.target_client = TargetClient(source_ip=self.source_ip)
        policies = find_policies()
        self.targets = TargetTable(
            inventory=self.inventory,
            own_address=self.identity.address,
            share=policies.share,
        )
        self.id_registry = RequestIdRegistry(identity=self.identity, store=self.store)
        self.dispatcher = Dispatcher(
            targets=self.targets,
            client=self.target_client,
            configuration=self.configuration,
            chart=load_chart("request"),
            clock=self.clock,
            rng=self.rng,
            timeline=self.timeline,
            policies=policies,
            queue_limit=self.read_setting("queue_limit"),
        )
        self.requests = RequestHandler(
            id_registry=self.id_registry,
            dispatcher=self.dispatcher,
            configuration=self.configuration,
            membership=self.membership,
            fabric=self.fabric,
            clock=self.clock,
            timeline=self.timeline,
        )
        self.jobs = JobHandler(
            store=self.store,
            configuration=self.configuration,
            inventory=self.inventory,
            clock=self.clock,
            timeline=self.timeline,
        )
        self.changes = ConfigurationHandler(
            store=self.store,
            holder=self.configuration,
            inventory=self.inventory,
            find_newest=self.membership.find_newest_revision,
            timeline=self.timeline,
        )
        self.http = HttpServer(self, routes)

    def describe(self) -> Heartbeat:
        """Add this gateway's demand and its leaving targets to the heartbeat."""
        return msgspec.structs.replace(
            super().describe(),
            demand=self.dispatcher.count_demand(),
            leaving_targets=self.targets.list_leaving(self.identity.failure_domain),
        )

    def adopt_inventory(self) -> None:
        """Update the targets from a new VM list."""
        self.targets.refresh()

    async def begin(self) -> None:
        """Start the background tasks, then listen for callers."""
        self.tasks.spawn(self.dispatcher.run(), name="dispatcher")
        self.tasks.spawn(self._share_demand(), name="share-demand")
        self.tasks.spawn(self._probe_targets(), name="probe-targets")
        await self._await_configuration()
        self.http.listen(self.read_setting("http_address"))

    async def _await_configuration(self) -> None:
        """Wait until configuration and targets are known, or a timeout expires.

        A gateway that listened before its first read of the store would reject
        callers although nothing is wrong. When partitioned from the store and
        all peers it still starts to listen, so that the load balancer can check
        its health and callers are told why they are not served.
        """
        began = self.clock.read_monotonic()
        while self.clock.read_monotonic() - began < CONFIGURATION_TIMEOUT_S:
            if self.configuration.loaded and self.inventory_loaded.is_set():
                return
            await asyncio.sleep(CONFIGURATION_POLL_INTERVAL_S)

    async def _share_demand(self) -> None:
        """Keep shares and leaving targets up to date with the other gateways."""
        while True:
            heartbeats = self.membership.list_peers(role="gateway")
            self.targets.set_demands(self._collect_demands(heartbeats))
            newly_leaving = self.targets.update_leaving(
                heartbeats, own_domain=self.identity.failure_domain
            )
            for name in newly_leaving:
                self.timeline.record(Event.TARGET_LEAVING, target=name)
            await asyncio.sleep(SHARE_INTERVAL_S)

    def _collect_demands(
        self, heartbeats: list[Heartbeat]
    ) -> dict[str, dict[str, int]]:
        services = {s.machine.service for s in self.targets.states.values()}
        own_demand = self.dispatcher.count_demand()
        active = [h for h in heartbeats if not h.draining]
        return {
            service: {
                **{h.identity.address: h.demand.get(service, 0) for h in active},
                self.identity.address: own_demand.get(service, 0),
            }
            for service in services
        }

    async def _probe_targets(self) -> None:
        """Ask the targets of this failure domain whether they are leaving.

        The VM list lags and may be unreachable: a leaving target would get new
        requests until the list says so, and abort them when it stops. Gateways
        of other failure domains learn of it from this one. Targets of a failure
        domain from which no gateway is heard are probed by every gateway.
        """
        while True:
            await asyncio.sleep(self.read_setting("heartbeat_s"))
            represented = {
                h.identity.failure_domain
                for h in self.membership.list_peers(role="gateway")
            } - {self.identity.failure_domain}
            probed = [
                name
                for name, state in self.targets.states.items()
                if state.machine.failure_domain not in represented
            ]
            newly_leaving = await asyncio.gather(
                *(self._probe_target(name) for name in probed)
            )
            if any(newly_leaving):
                # Heartbeats go to the other failure domains in turn, so without
                # this they would learn of it only after several heartbeats.
                self.membership.announce(role="gateway")

    async def _probe_target(self, name: str) -> bool:
        """Return whether the target has just reported that it is leaving."""
        state = self.targets.states.get(name)
        if state is None:
            return False
        health = await self.target_client.check(state.machine.address)
        if not isinstance(health, TargetHealth):
            return False  # a target that does not answer keeps its state
        newly_leaving = health.state == "leaving" and not state.leaving
        if newly_leaving:
            self.timeline.record(Event.TARGET_LEAVING, target=name)
        state.leaving = health.state == "leaving"
        return newly_leaving

    def collect_metrics(self) -> None:
        """Update all gauges."""
        metrics = self.metrics
        metrics.collect(self, self.http)
        metrics.queued.set({}, self.dispatcher.count_queued())
        for service, count in self.dispatcher.in_flight.items():
            metrics.in_flight.set({"service": service}, count)

    async def drain(self) -> None:
        """Wait until the load balancer has noticed, then finish all requests."""
        await asyncio.sleep(self.read_setting("unready_s"))
        await self.http.stop_listening()
        limit_s = self.read_setting("drain_s")
        self.dispatcher.begin_drain(self.clock.read_monotonic() + limit_s)
        try:
            await asyncio.wait_for(self.requests.drain(), limit_s)
        except TimeoutError:
            self.timeline.record(
                Event.PROCESS_DRAINING, reason="the time to drain is over"
            )
            self.dispatcher.end_all()
        await asyncio.sleep(0.2)  # the last answers are still being written

    async def close(self) -> None:
        """Close all sockets."""
        await self.http.close()
        await self.requests.close()
        await self.dispatcher.close()
        await self.target_client.close()
        await super().close()
