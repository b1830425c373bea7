"""The scheduler: places gangs on the workers of its failure domain."""

import asyncio
import contextlib
from collections.abc import Mapping

import msgspec

from ..charts.interpreter import load_chart
from ..etcd.workers import WorkerClient
from ..exceptions import NotLeader, SettingError
from ..fleet.metrics import FleetMetrics
from ..fleet.operations import add_operations
from ..fleet.process import Process
from ..models.entry import Compare
from ..models.message import AnyBody, FetchDomain, Heartbeat, Refused
from ..network.http_client import HttpClient
from ..network.http_server import HttpServer, RouteTable
from ..policies.placement import PlacementPolicy
from ..policies.placement_catalogue import PLACEMENTS
from ..utils.events import Event
from ..utils.settings import ResolvedSetting
from ..utils.tasks import cancel_and_wait
from .domain import DomainLeader
from .gang_messages import GangTimes
from .leadership import Leadership
from .ledger import JOB_PREFIX, Ledger

routes = RouteTable()
add_operations(routes)


class SchedulerMetrics(FleetMetrics):
    """Metrics of a scheduler."""

    def __init__(self) -> None:
        """Register the scheduler's metrics and those of every process."""
        super().__init__()
        self.epoch = self._gauge(
            "firladder_leader_epoch", "Epoch under which this process leads, or 0"
        )
        self.gangs = self._gauge(
            "firladder_gangs_held_count", "Gangs that hold accelerators here"
        )
        self.queued = self._gauge(
            "firladder_jobs_queued_count", "Jobs that wait in this failure domain"
        )
        self.ended = self._gauge(
            "firladder_jobs_ended_total", "Jobs that ended here, by outcome"
        )


class Scheduler(Process):
    """Stand for election, and lead the failure domain while elected."""

    role = "scheduler"

    def __init__(self, settings: Mapping[str, ResolvedSetting]) -> None:
        """Build all parts; ``begin`` starts listening."""
        super().__init__(settings)
        self.metrics = SchedulerMetrics()
        self.worker_client = WorkerClient(
            http=HttpClient(max_idle_per_host=4, source_ip=self.source_ip)
        )
        self.leadership = Leadership(
            identity=self.identity,
            store=self.store,
            ttl_s=self.read_setting("leader_ttl_s"),
            chart=load_chart("leadership"),
            clock=self.clock,
            timeline=self.timeline,
            list_peers=lambda: self.membership.list_peers(
                role="scheduler", failure_domain=self.identity.failure_domain
            ),
        )
        self.policy = self._find_policy()
        self.leader: DomainLeader | None = None
        self.http = HttpServer(self, routes)
        self.fabric.handle(FetchDomain, self._answer_domain)

    def _find_policy(self) -> PlacementPolicy:
        policy = PLACEMENTS.find(self.read_setting("placement"))
        if policy is None:
            raise SettingError(
                setting="--placement (FIRLADDER_PLACEMENT)",
                reason=f"must be one of {', '.join(PLACEMENTS.list_names())}",
            )
        return policy

    def describe(self) -> Heartbeat:
        """Return the heartbeat with this scheduler's epoch."""
        # Set from the election on, before the workers are claimed: a former
        # leader that cannot reach the store must learn of its successor by then.
        return msgspec.structs.replace(
            super().describe(), leading=self.leadership.elected_epoch
        )

    async def begin(self) -> None:
        """Start listening, and stand for election."""
        self.http.listen(self.read_setting("http_address"))
        self.tasks.spawn(self.leadership.run(), name="leadership")
        self.tasks.spawn(self._serve_terms(), name="terms")

    async def _serve_terms(self) -> None:
        """Lead in each term from its election to its loss."""
        while True:
            await self.leadership.changed.wait()
            self.leadership.changed.clear()
            if self.leadership.state == "claiming":
                await self._serve_term(self.leadership.epoch)

    async def _serve_term(self, epoch: int) -> None:
        ledger = Ledger(
            store=self.store,
            failure_domain=self.identity.failure_domain,
            term=Compare(self.leadership.key, epoch),
            on_superseded=lambda: self.leadership.step_down(
                "the store names another leader"
            ),
            logical=self.logical,
        )
        mirror = self.mirror(JOB_PREFIX, ledger.read_entries)
        mirror_task = self.tasks.spawn(mirror.run(), name="mirror-jobs")
        leader = DomainLeader(
            failure_domain=self.identity.failure_domain,
            leadership=self.leadership,
            ledger=ledger,
            workers=self.worker_client,
            configuration=self.configuration,
            list_machines=lambda: self.inventory.list_role(
                "worker", self.identity.failure_domain
            ),
            policy=self.policy,
            times=GangTimes(
                self.read_setting("task_ttl_s"),
                self.read_setting("start_ttl_s"),
                self.read_setting("stop_grace_s"),
            ),
            clock=self.clock,
            timeline=self.timeline,
        )
        await mirror.loaded.wait()
        await self.inventory_loaded.wait()
        self.leader = leader
        term = self.tasks.spawn(leader.run(), name=f"term-{epoch}")
        while self.leadership.epoch == epoch and self.leadership.state != "stopped":
            await self.leadership.changed.wait()
            self.leadership.changed.clear()
        self.leader = None
        for task in (term, mirror_task):
            await cancel_and_wait(task)
        await leader.close()
        if self.leadership.state == "claiming":
            self.leadership.changed.set()

    async def _answer_domain(self, body: FetchDomain) -> AnyBody:
        if self.leader is None:
            return Refused(failure=NotLeader(reason="this scheduler does not lead"))
        return self.leader.describe()

    def collect_metrics(self) -> None:
        """Update all gauges."""
        metrics = self.metrics
        metrics.collect(self, self.http)
        metrics.epoch.set({}, self.describe().leading)
        state = self.leader.describe() if self.leader is not None else None
        metrics.gangs.set({}, state.running if state else 0)
        metrics.queued.set({}, state.queued if state else 0)
        for (event, outcome), count in self.timeline.counts.items():
            if event is Event.JOB_ENDED:
                metrics.ended.set({"outcome": outcome}, count)

    async def drain(self) -> None:
        """Finish pending starts, then resign; running gangs continue."""
        if self.leader is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.leader.settle(), self.read_setting("drain_s")
                )
        await self.leadership.resign()
        self.timeline.record(Event.LEADERSHIP_LOST, reason="stopping")
        await self.http.stop_listening()

    async def close(self) -> None:
        """Close all sockets."""
        if self.leader is not None:
            await self.leader.close()
        await self.http.close()
        await super().close()
