"""The process of an entry VM: client API, membership and, if elected, leadership."""

import asyncio
import logging
import random
import signal
from collections import Counter
from collections.abc import Callable

from ..charts.interpreter import ChartInstance, load_chart
from ..exceptions import SettingError
from ..models.message import AnyBody
from ..network.fabric import Fabric
from ..network.http_client import HttpClient
from ..network.http_server import HttpServer
from ..network.traffic import TrafficMeter
from ..platform.advice import AdviceCalls
from ..platform.configuration import CONFIGURATION_PREFIX
from ..platform.settings import NodeSettings, read_node_settings
from ..platform.store import Change, Item, Listing, PlatformStore
from ..platform.workers import WorkerCalls
from ..utils.clocks import LogicalClock, SystemClock
from ..utils.events import Event, Timeline
from ..utils.files import WatchedFile
from ..utils.identifiers import mint_incarnation
from ..utils.tasks import TaskSet
from .client_api import ClientApi
from .configuration import ConfigurationCache
from .election import (
    Campaign,
    Leadership,
    decode_leader,
    measure_fitness,
)
from .fleet import Fleet
from .handover import LeadershipHandover
from .keys import LEADER
from .link_backlog import LinkBacklog
from .metrics import NodeMetrics
from .operations import METRICS, READY
from .order_sender import MAX_ORDERS_IN_FLIGHT
from .partition import PartitionDetector
from .peer_handlers import PeerHandlers, apply_announcement
from .prefix_watch import PrefixWatch
from .records import Records
from .term import LOAD_TIMEOUT_S, Term

logger = logging.getLogger(__name__)

ANNOUNCE_TIMEOUT_S = 0.3
"""Timeout of an announcement to the leader, in seconds; its watch is the backup."""

UNREADY_PERIOD_S = 2.6
"""Seconds between reporting 'not ready' and closing the listener at a stop: the load
balancer checks once a second and reacts to the second failure."""

OPEN_CALLS_TIMEOUT_S = 1.5
"""Seconds for finishing the calls that are open when the listener closes."""

FINAL_CALLS_TIMEOUT_S = 0.8
"""Seconds for finishing the calls still open after idle connections are closed; the
platform kills the process a second later."""

CAMPAIGN_PAUSE_S = 0.25
"""Seconds between two campaigns while there is no leader."""

SLOW_LOAD_PAUSE_S = 1.0
"""Seconds until the next campaign after a term whose records were not read in time."""

MAX_WORKER_CONNECTIONS = 2 + MAX_ORDERS_IN_FLIGHT
"""Maximum connections to a worker: a waiting poll, an immediate poll, and orders."""

MAX_STORE_CONNECTIONS = 16
"""Maximum connections to the store: some open watches, and calls made for callers."""


class Node:
    """The node daemon; creates its components and connects them."""

    def __init__(self, settings_path: str) -> None:
        """Read the settings and create all components; nothing listens yet."""
        self.settings_path = settings_path
        # Created before the file is read, so that a change in between is detected.
        self._settings_file = WatchedFile(settings_path)
        self.settings: NodeSettings = read_node_settings(settings_path)
        self.rng = random.Random()
        self.clock = SystemClock()
        self.incarnation = mint_incarnation()
        self.logical = LogicalClock()
        self.timeline = Timeline(
            process=self.settings.vm,
            clock=self.clock,
            logical=self.logical,
            domain=self.settings.failure_domain,
            capacity=512,
        )
        self.lifecycle = ChartInstance(load_chart("process"))
        self.leaving = False
        self._closing = False
        self.term: Term | None = None
        self.metrics = NodeMetrics()
        self.calls: Counter[tuple[str, int]] = Counter()
        self._tasks = TaskSet()
        self._load_timeout_s = LOAD_TIMEOUT_S
        self._stopping = asyncio.Event()
        self._leader_missing = asyncio.Event()
        self._backlog = LinkBacklog(link_mbps=self.settings.link_mbps)
        self._traffic = TrafficMeter(on_sent=self._backlog.add)
        self._worker_http = HttpClient(
            max_idle_per_host=MAX_WORKER_CONNECTIONS,
            source_ip=self.settings.ip,
            traffic=self._traffic,
        )
        self._advice_calls = AdviceCalls(
            # The service may close an idle connection at any time; requests are rare.
            http=HttpClient(
                persistent=False, source_ip=self.settings.ip, traffic=self._traffic
            ),
            read_address=lambda: self.settings.advice_address,
        )
        self.store = PlatformStore(
            address=self.settings.store_address,
            http=HttpClient(
                max_idle_per_host=MAX_STORE_CONNECTIONS,
                source_ip=self.settings.ip,
                traffic=self._traffic,
            ),
            clock=self.clock,
        )
        self.store.on_reachability_change = self._record_store_state
        self.fabric = Fabric(
            address=f"{self.settings.ip}:{self.settings.peer_port}",
            sender=f"{self.settings.vm}/{self.incarnation}",
            logical=self.logical,
            traffic=self._traffic,
        )
        self.configuration = ConfigurationCache()
        self.configuration.listeners.append(self._on_configuration_adopted)
        self._fitness = measure_fitness(
            processor_cores=self.settings.processor_cores,
            link_mbps=self.settings.link_mbps,
        )
        self.fleet = Fleet(
            ip=self.settings.ip,
            failure_domain=self.settings.failure_domain,
            port=self.settings.peer_port,
            seeds=self.settings.peers,
            fabric=self.fabric,
            configuration=self.configuration,
            clock=self.clock,
            rng=self.rng,
            timeline=self.timeline,
            reaches_store=lambda: self.store.reachable,
            fitness=self._fitness,
            lacks_advice=self._lacks_advice,
        )
        self._handover = LeadershipHandover(
            own=self._fitness,
            list_candidates=self.fleet.list_fitness,
            reaches_store=lambda: self.store.reachable,
        )
        self.fleet.on_leader.append(self._on_leader_known)
        self.partition_detector = PartitionDetector(
            fleet=self.fleet,
            store=self.store,
            clock=self.clock,
            timeline=self.timeline,
        )
        self.records = Records(
            store=self.store,
            fleet=self.fleet,
            clock=self.clock,
            partition_detector=self.partition_detector,
        )
        self._configuration_watch = self._make_watch(
            CONFIGURATION_PREFIX,
            self.configuration.apply_listing,
            self.configuration.apply_change,
            newest_only=True,
        )
        self.watches = (
            self._configuration_watch,
            self._make_watch(
                LEADER, self._apply_leader_listing, self._apply_leader_change
            ),
        )
        self.client_api = ClientApi(self, self.records)
        self._client_server = HttpServer(
            self, self.client_api, traffic=self._traffic, kind="clients"
        )
        self._ready_server = HttpServer(
            self, READY, traffic=self._traffic, kind="readiness"
        )
        self._metrics_server = HttpServer(
            self, METRICS, traffic=self._traffic, kind="metrics"
        )
        PeerHandlers(self).register()

    async def run(self) -> None:
        """Serve until a signal arrives, then shut down gracefully."""
        self._install_signal_handlers()
        self.timeline.record(
            Event.NODE_STARTED,
            incarnation=self.incarnation,
            ip=self.settings.ip,
            store=self.settings.store_address,
        )
        self.fabric.start()
        self._metrics_server.listen(self.settings.metrics_address)
        self._ready_server.listen(self.settings.ready_address)
        self._client_server.listen(self.settings.clients_address)
        self.fleet.start()
        for watch in self.watches:
            self._tasks.spawn(watch.run(), name=f"watch-{watch.prefix}")
        self._tasks.spawn(self.partition_detector.run(), name="isolation")
        self._tasks.spawn(self._lead_forever(), name="lead")
        reading = self._settings_file.call_on_change(self._reload_settings)
        self._tasks.spawn(reading, name="settings")
        self.lifecycle.fire("ready")
        await self._stopping.wait()
        await self._leave()

    async def _leave(self) -> None:
        self.leaving = True
        self.lifecycle.fire("drain")
        self.timeline.record(Event.NODE_STOPPING, leads=self.term is not None)
        if self.term is not None:
            await self.term.close()
        await asyncio.sleep(UNREADY_PERIOD_S)
        self._closing = True
        await self._client_server.stop_listening()
        await asyncio.sleep(OPEN_CALLS_TIMEOUT_S)
        await self._client_server.finish(within_s=FINAL_CALLS_TIMEOUT_S)
        self.lifecycle.fire("stop")
        self.timeline.record(Event.NODE_STOPPED)
        await self._tasks.close()
        await self.fleet.close()
        await self._client_server.close()
        await self._ready_server.close()
        await self._metrics_server.close()
        await self.fabric.close()

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)

    # -- settings ------------------------------------------------------------------

    def _reload_settings(self) -> None:
        try:
            fresh = read_node_settings(self.settings_path)
        except SettingError as error:
            # A partly written or invalid file must not end a running process: it
            # keeps its settings.
            self.timeline.record(Event.SETTINGS_REFUSED, reason=str(error))
            return
        self.settings = fresh
        self.store.address = fresh.store_address
        self.timeline.record(Event.SETTINGS_RELOADED, store=fresh.store_address)

    # -- store watches -------------------------------------------------------------

    def _make_watch(
        self,
        prefix: str,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        *,
        newest_only: bool = False,
    ) -> PrefixWatch:
        return PrefixWatch(
            store=self.store,
            prefix=prefix,
            on_listing=on_listing,
            on_change=on_change,
            rng=self.rng,
            clock=self.clock,
            timeline=self.timeline,
            newest_only=newest_only,
        )

    def measure_confirmation_age(self) -> float | None:
        """Return the seconds since the store confirmed the newest configuration.

        None if it never has.
        """
        answered_at = self._configuration_watch.answered_at
        if answered_at is None:
            return None
        return self.clock.read_monotonic() - answered_at

    def _on_configuration_adopted(self) -> None:
        self.timeline.record(
            Event.QUEUES_ADOPTED,
            version=self.configuration.version,
            former=self.configuration.previous_version,
            source=self.configuration.source,
            bytes=len(self.configuration.raw),
        )
        self.fleet.distribution.advertise()
        if self.term is not None:
            self.term.adopt_configuration(self.configuration.current)

    def _record_store_state(self, reachable: bool, reason: str) -> None:
        event = Event.STORE_REACHABLE if reachable else Event.STORE_UNREACHABLE
        self.timeline.record(event, reason=reason)

    def _apply_leader_listing(self, listing: Listing) -> None:
        held = [item for item in listing.items if item.key == LEADER]
        if not held:
            self._on_leader_missing()
        for item in held:
            self._apply_leader_record(item.value, item.revision)

    def _apply_leader_change(self, change: Change) -> None:
        if change.key != LEADER:
            return
        if change.value is None:
            self._on_leader_missing()
        else:
            self._apply_leader_record(change.value, change.revision)

    def _apply_leader_record(self, value: bytes, revision: int) -> None:
        record = decode_leader(value)
        if record is not None:
            self._leader_missing.clear()
            self.fleet.record_leader(record.ip, revision)

    def _on_leader_missing(self) -> None:
        if self.term is None:
            self.fleet.forget_leader(self.fleet.leader_token)
        self._leader_missing.set()

    def _on_leader_known(self) -> None:
        self.timeline.record(
            Event.OTHER_LEADER_KNOWN,
            ip=self.fleet.leader_ip,
            token=self.fleet.leader_token,
        )
        term = self.term
        if term is not None and self.fleet.leader_token > term.leadership.token:
            term.step_down("another node leads")

    # -- leadership ----------------------------------------------------------------

    async def _lead_forever(self) -> None:
        campaign = Campaign(
            store=self.store,
            ip=self.settings.ip,
            incarnation=self.incarnation,
            clock=self.clock,
            rng=self.rng,
            delay_s=self._fitness.delay_s,
        )
        while not self.leaving:
            await self._leader_missing.wait()
            if self.leaving:
                return
            won = await campaign.try_once()
            if isinstance(won, Leadership):
                await self._serve_term(won)
            elif isinstance(won, Item):
                self._apply_leader_record(won.value, won.revision)
            await asyncio.sleep(
                CAMPAIGN_PAUSE_S
                if self._load_timeout_s == LOAD_TIMEOUT_S
                else SLOW_LOAD_PAUSE_S
            )

    async def _serve_term(self, leadership: Leadership) -> None:
        term = Term(
            store=self.store,
            calls=WorkerCalls(http=self._worker_http, token=leadership.token),
            leadership=leadership,
            settings=self.settings,
            clock=self.clock,
            rng=self.rng,
            timeline=self.timeline,
            on_order=self.metrics.observe_order,
            traffic=self._traffic,
            backlog=self._backlog,
            load_timeout_s=self._load_timeout_s,
            advice_calls=self._advice_calls,
            on_advice_call=self.metrics.observe_advice,
        )
        self.term = term
        self.timeline.record(Event.TERM_STARTED, token=leadership.token)
        self.fleet.record_leader(self.settings.ip, leadership.token)
        term.adopt_configuration(self.configuration.current)
        due = self._tasks.spawn(self._hand_over_when_due(term), name="hand-over")
        reason = await term.run()
        self.term = None
        if due.done():
            await leadership.resign()
        else:
            due.cancel()
        # If no other node takes over, this one needs more time for its next term.
        self._load_timeout_s = (
            2 * self._load_timeout_s if term.load_timed_out else LOAD_TIMEOUT_S
        )
        self.fleet.forget_leader(leadership.token)
        self.timeline.record(Event.TERM_ENDED, token=leadership.token, reason=reason)

    def _lacks_advice(self) -> bool:
        """Return whether this leader can get no tickets for queues with advice."""
        advice = self.term.advice if self.term is not None else None
        return advice is not None and (
            advice.unavailable or not self._advice_calls.available
        )

    async def _hand_over_when_due(self, term: Term) -> None:
        await self._handover.wait_until_due()
        term.step_down("a VM with a larger link can lead")

    def announce(self, body: AnyBody) -> None:
        """Announce a stored record to the leader in the background."""
        self._tasks.spawn(self.announce_now(body), name="announce")

    async def announce_now(self, body: AnyBody) -> None:
        """Announce a stored record to the leader, whose watch is the backup."""
        if self.term is not None and self.term.ready:
            apply_announcement(self.term, body)
            return
        await self.fleet.ask_leader(body, timeout_s=ANNOUNCE_TIMEOUT_S)

    # -- state for operators -------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send new connections here."""
        known = bool(self.configuration.version)
        return known and not self.leaving and not self.partition_detector.partitioned

    @property
    def draining(self) -> bool:
        """Return whether callers should open their next connection elsewhere."""
        return self._closing or self.partition_detector.partitioned

    def record_call(self, method: str, status: int, spent_s: float) -> None:
        """Record an answered call in the metrics."""
        self.calls[method, status] += 1
        self.metrics.observe(method, status, spent_s)
