"""One term of leadership: runs the scheduling core and does its network I/O."""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from ..engine.core import Core
from ..engine.leases import STORE_OUTAGE_GRACE_S
from ..engine.planning import Planner
from ..engine.progress import (
    JobProgress,
    decode_accepted,
    decode_progress,
)
from ..engine.state import Worker
from ..exceptions import MalformedBody, NotLeader
from ..models.workload import QueueConfiguration
from ..network.traffic import TrafficMeter
from ..platform.discovery import WORKER_PREFIX, decode_worker
from ..platform.evacuation import EVACUATION_PREFIX
from ..platform.settings import NodeSettings
from ..platform.store import Change, Listing, PlatformStore
from ..platform.workers import WorkerCalls
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from ..utils.tasks import TaskSet
from .advice import AdviceLoop, AskAdvice, ObserveCall
from .election import Leadership
from .evacuations import Evacuations
from .keys import CANCELS, JOBS, PROGRESS, SUBMISSIONS
from .leader_load import LeaderLoad
from .link_backlog import LinkBacklog
from .order_window import OrderWindow
from .pass_loop import PassBudget, PassLoop
from .prefix_watch import PrefixWatch
from .profile_writer import ProfileWriter
from .progress_writer import ProgressWriter
from .retention import Retention
from .session_context import Waiter
from .timeout_estimator import TimeoutEstimator
from .worker_session import MAX_CLAIMS_IN_FLIGHT, WorkerSession

logger = logging.getLogger(__name__)

T = TypeVar("T")

ObserveOrder = Callable[[str, float, float], None]
"""Receives an order's kind, its time in the queue and its response time, in seconds."""

TICK_S = 0.25
"""Seconds between two checks for expired runs, stalled runs and repeated stops."""

LOAD_TIMEOUT_S = 4.0
"""Timeout for reading the records, in seconds. A slower leader resigns in favour of a
node with a better connection to the store, as nothing is scheduled meanwhile."""

WORKER_BATCH_S = 0.1
"""Seconds for which changes of entries are collected. Hundreds of workers change them a
hundred times a second, and a drain is announced seconds ahead."""

READ_RETRY_S = 0.1
"""Seconds before a failed listing is retried."""

PROFILES_GRACE_S = 0.1
"""Seconds for which a new leader waits for the profiles after everything else was read:
without them it only learns anew."""


PRIORITY_DECISIONS = frozenset(
    (
        "active run not listed",
        "crash charged",
        "done without a run",
        "end skipped",
        "gang aborted",
        "gang apart",
        "job ended",
        "job set aside",
        "member ended alone",
        "no worker allowed",
        "runs lapsed",
        "stray run stopped",
        "ticket rejected",
        "worker lost",
    )
)
"""Decisions that are logged although routine lines are dropped."""


class Term:
    """Leads the fleet from an election until the leadership ends."""

    def __init__(
        self,
        *,
        store: PlatformStore,
        calls: WorkerCalls,
        leadership: Leadership,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        on_order: ObserveOrder,
        traffic: TrafficMeter,
        backlog: LinkBacklog,
        load_timeout_s: float = LOAD_TIMEOUT_S,
        advice_calls: AskAdvice | None = None,
        on_advice_call: ObserveCall = lambda _outcome: None,
    ) -> None:
        """Prepare to lead under ``leadership``; nothing is read or sent yet."""
        self._load_timeout_s = load_timeout_s
        self._on_order = on_order
        self.load_timed_out = False
        self.core = Core(
            lease_s=settings.max_lease_s,
            member_wait_s=settings.member_wait_s,
            note=self._record_decision,
        )
        self.calls = calls
        self.timeout_estimator = TimeoutEstimator()
        self.order_window = OrderWindow(backlog=backlog, clock=clock)
        self.claim_window = asyncio.Semaphore(MAX_CLAIMS_IN_FLIGHT)
        self.durability_waiters: set[Waiter] = set()
        self._leader_load = LeaderLoad()
        self._traffic = traffic
        self.clock = clock
        self.leadership = leadership
        self._store = store
        self._settings = settings
        self._rng = rng
        self._timeline = timeline
        self._tasks = TaskSet()
        self._planner = Planner(
            self.core, reclaim_s=settings.reclaim_s, restart_s=settings.restart_s
        )
        self.advice: AdviceLoop | None = None
        if advice_calls is not None:
            self.advice = AdviceLoop(
                core=self.core,
                calls=advice_calls,
                clock=clock,
                rng=rng,
                timeline=timeline,
                on_advice=self.request_pass,
                on_call=on_advice_call,
            )
        self._evacuations = Evacuations(
            core=self.core, timeline=timeline, on_change=self.request_pass
        )
        self._revisions: dict[str, int] = {}
        self._sessions: dict[str, WorkerSession] = {}
        self._ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._pass_loop = PassLoop(run_pass=self._plan_once, clock=clock)
        self._entry_revisions: dict[str, int] = {}
        self.ready = False
        self.passes = 0
        self.decisions: Counter[str] = Counter()
        self._progress_writer = ProgressWriter(
            core=self.core,
            store=store,
            token=leadership.token,
            revisions=self._revisions,
            clock=clock,
            on_durable=self._on_durable,
            on_write=self._leader_load.record_write,
        )
        self.profile_writer = ProfileWriter(
            core=self.core, store=store, token=leadership.token, clock=clock
        )
        self._retention = Retention(
            core=self.core,
            store=store,
            token=leadership.token,
            clock=clock,
            retention_s=settings.retention_s,
            revisions=self._revisions,
        )

    @property
    def may_renew(self) -> bool:
        """Return whether leases of workers may still be granted or renewed.

        Without the store a leader continues for a limited time, as the store itself is
        likely down. A successor waits for that time before it reuses the workers.
        """
        return (
            self.clock.read_monotonic()
            < self.leadership.lease_valid_until + STORE_OUTAGE_GRACE_S
        )

    def step_down(self, reason: str) -> None:
        """End the term; safe to call again."""
        if not self._ended.done():
            self._ended.set_result(reason)

    def spawn(self, work: Coroutine[Any, Any, T], *, name: str) -> asyncio.Task[T]:
        """Run ``work`` until it or the term ends."""
        return self._tasks.spawn(work, name=name)

    def request_pass(self) -> None:
        """Schedule a planning pass and a write of changed jobs."""
        self._pass_loop.request()

    def record_order(
        self,
        kind: str,
        waited_s: float,
        took_s: float,
        *,
        answered: bool,
        urgent_start: bool,
    ) -> None:
        """Record how long a sent order was queued and how long its answer took."""
        self._leader_load.record_order(
            waited_s, took_s, answered=answered, urgent_start=urgent_start
        )
        self._on_order(kind, waited_s, took_s)

    def adopt_configuration(self, configuration: QueueConfiguration) -> None:
        """Schedule by ``configuration`` from now on."""
        self.core.configuration = configuration
        self.request_pass()

    async def run(self) -> str:
        """Lead until the term ends; return the reason for its end."""
        renew = self._tasks.spawn(self.leadership.renew(), name="renew-leadership")
        renew.add_done_callback(lambda _: self.step_down("the lease has ended"))
        load = self._tasks.spawn(self._load_and_start(), name="load")
        try:
            await asyncio.wait(
                (load, self._ended),
                timeout=self._load_timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not self.ready and not self._ended.done():
                self.load_timed_out = True
                self.step_down("the records were not read in time")
                await self.leadership.resign()
            return await self._ended
        finally:
            self.ready = False
            await self._tasks.close()

    async def _load_and_start(self) -> None:
        if await self._load():
            self._start_loops()

    async def close(self) -> None:
        """End the term and resign the leadership."""
        self.step_down("this process stops")
        await self.leadership.resign()

    def _start_loops(self) -> None:
        self.ready = True
        # The first report is about this term, not about the time before it.
        self._traffic.take_report()
        writer = self._tasks.spawn(self._progress_writer.run(), name="journal")
        writer.add_done_callback(self._on_writer_end)
        profile_writer = self._tasks.spawn(self.profile_writer.run(), name="profiles")
        profile_writer.add_done_callback(self._on_writer_end)
        self._tasks.spawn(self._pass_loop.run(), name="plan")
        self._tasks.spawn(self._tick_forever(), name="tick")
        self._tasks.spawn(self._retention.run(), name="retention")
        if self.advice is not None:
            self._tasks.spawn(self.advice.run(), name="advice")

    def _on_writer_end(self, task: "asyncio.Task[NotLeader]") -> None:
        if not task.cancelled() and task.exception() is None:
            self.step_down(task.result().reason)

    # -- loading and watching the store --------------------------------------------

    async def _load(self) -> bool:
        profiles = self._tasks.spawn(self.profile_writer.read(), name="read-profiles")
        submissions, progress, workers, evacuations = await asyncio.gather(
            self._read_prefix(SUBMISSIONS),
            self._read_prefix(PROGRESS),
            self._read_prefix(WORKER_PREFIX),
            self._read_prefix(EVACUATION_PREFIX),
        )
        if submissions is None or progress is None or workers is None:
            return False
        if evacuations is None:
            return False
        await asyncio.wait((profiles,), timeout=PROFILES_GRACE_S)
        profiles.cancel()
        self._apply_worker_listing(workers)
        self._evacuations.apply_listing(evacuations)
        recorded: dict[str, JobProgress] = {}
        for item in progress.items:
            job_id = item.key.removeprefix(PROGRESS)
            self._revisions[job_id] = item.revision
            found = decode_progress(item.value)
            if isinstance(found, MalformedBody):
                logger.error(
                    "cannot decode the progress of job %s: %s", job_id, found.reason
                )
                self.core.set_job_aside(job_id, found.reason)
                continue
            recorded[job_id] = found
        for item in submissions.items:
            self._apply_submission(item.key, item.value, recorded)
        # In this order: if the process stands still between, expiries are late.
        wall = self.clock.read_wall()
        now = self.clock.read_monotonic()
        self.core.restore_expiries(recorded, now=now, wall=wall)
        self.core.end_former_lives(recorded, now=now)
        for worker in self.core.workers.values():
            self._open_session(worker)
        self._timeline.record(
            Event.TERM_LOADED,
            token=self.leadership.token,
            jobs=len(self.core.jobs),
            workers=len(self.core.workers),
        )
        self._watch_prefix(
            SUBMISSIONS,
            submissions,
            self._apply_submission_listing,
            self._apply_submission_change,
        )
        self._watch_workers(workers)
        self._watch_prefix(
            EVACUATION_PREFIX,
            evacuations,
            self._evacuations.apply_listing,
            self._evacuations.apply_change,
            newest_only=True,
        )
        return True

    async def _read_prefix(self, prefix: str) -> Listing | None:
        while not self._ended.done():
            listing = await self._store.read_range(prefix)
            if isinstance(listing, Listing):
                return listing
            await asyncio.sleep(READ_RETRY_S)
        return None

    def _watch_workers(self, start: Listing) -> None:
        self._watch_prefix(
            WORKER_PREFIX,
            start,
            self._apply_worker_listing,
            self._apply_worker_change,
            batch_s=WORKER_BATCH_S,
        )

    def _watch_prefix(
        self,
        prefix: str,
        start: Listing,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        *,
        newest_only: bool = False,
        batch_s: float = 0.0,
    ) -> None:
        watch = PrefixWatch(
            store=self._store,
            prefix=prefix,
            on_listing=on_listing,
            on_change=on_change,
            rng=self._rng,
            clock=self.clock,
            timeline=self._timeline,
            start=start,
            newest_only=newest_only,
            batch_s=batch_s,
        )
        self._tasks.spawn(watch.run(), name=f"watch-{prefix}")

    def _apply_submission_listing(self, listing: Listing) -> None:
        for item in listing.items:
            self._apply_submission(item.key, item.value, {})
        self.request_pass()

    def _apply_submission_change(self, change: Change) -> None:
        if change.value is not None:
            self._apply_submission(change.key, change.value, {})
            self.request_pass()

    def _apply_submission(
        self, key: str, value: bytes, recorded: dict[str, JobProgress]
    ) -> None:
        if key.startswith(CANCELS):
            self.core.cancel_job(key.removeprefix(CANCELS))
            return
        if not key.startswith(JOBS):
            return
        job_id = key.removeprefix(JOBS)
        if job_id in self.core.jobs or job_id in self.core.set_aside:
            return
        failure = self.add_record(value, recorded.get(job_id))
        if failure is not None:
            self.core.set_job_aside(job_id, failure.reason)

    def add_record(
        self, value: bytes, progress: JobProgress | None = None
    ) -> MalformedBody | None:
        """Add a stored job to the schedule, or return why it cannot be decoded."""
        accepted = decode_accepted(value)
        if isinstance(accepted, MalformedBody):
            logger.warning("stored job left out: %s", accepted.reason)
            return accepted
        self.core.add_job(accepted, progress)
        self.request_pass()
        return None

    def _apply_worker_listing(self, listing: Listing) -> None:
        registered = {item.key for item in listing.items}
        for worker in list(self.core.workers.values()):
            if worker.registered and WORKER_PREFIX + worker.worker_id not in registered:
                self.core.unregister_worker(worker.worker_id)
        for item in listing.items:
            self._apply_worker_entry(item.key, item.value, item.revision)
        self.request_pass()

    def _apply_worker_change(self, change: Change) -> None:
        if change.value is None:
            self._entry_revisions.pop(change.key, None)
            self.core.unregister_worker(change.key.removeprefix(WORKER_PREFIX))
        else:
            self._apply_worker_entry(change.key, change.value, change.revision)
        self.request_pass()

    def _apply_worker_entry(self, key: str, value: bytes, revision: int) -> None:
        if self._entry_revisions.get(key) == revision:
            return
        self._entry_revisions[key] = revision
        entry = decode_worker(key, value)
        if isinstance(entry, MalformedBody):
            self._timeline.record(
                Event.ENTRY_SKIPPED, key=key, revision=revision, reason=entry.reason
            )
            return
        if entry.draining:
            self._timeline.record(
                Event.WORKER_DRAINING,
                worker=entry.worker_id,
                leaves_in_s=entry.leaves_in_s,
            )
        worker = self.core.register_worker(entry, now=self.clock.read_monotonic())
        if self.ready:
            self._open_session(worker)

    def _open_session(self, worker: Worker) -> None:
        if worker.worker_id in self._sessions or not worker.entry.address:
            return
        session = self._sessions[worker.worker_id] = WorkerSession(self, worker)
        self._tasks.spawn(
            self._run_session(worker, session), name=f"watch-{worker.worker_id}"
        )
        self._tasks.spawn(session.send_orders(), name=f"orders-{worker.worker_id}")

    async def _run_session(self, worker: Worker, session: WorkerSession) -> None:
        await session.watch()
        if self._sessions.get(worker.worker_id) is session:
            del self._sessions[worker.worker_id]
        # Its entry may have been removed and written again at once, while this session
        # was still open.
        registered = self.core.workers.get(worker.worker_id)
        if registered is not None:
            self._open_session(registered)

    # -- planning and orders -------------------------------------------------------

    def _plan_once(self) -> None:
        now = self.clock.read_monotonic()
        self.passes += 1
        budget = PassBudget(clock=self.clock)
        self._planner.run_pass(
            now=now, wall=self.clock.read_wall(), may_continue=budget.is_left
        )
        if self._planner.interrupted:
            self.request_pass()
        self._leader_load.record_pass(self.clock.read_monotonic() - now)
        self._progress_writer.wake()
        self._dispatch_orders(now)
        if self.advice is not None:
            self.advice.wake()

    def _dispatch_orders(self, now: float) -> None:
        for placement in self.core.take_starts():
            session = self._sessions.get(placement.worker_id)
            if session is not None:
                session.order(placement, start=True)
        for placement in self.core.take_stops(now):
            session = self._sessions.get(placement.worker_id)
            if session is not None:
                session.order(placement, start=False)

    def _on_durable(self) -> None:
        self._dispatch_orders(self.clock.read_monotonic())
        for waiter in tuple(self.durability_waiters):
            waiter.wake()

    async def _tick_forever(self) -> None:
        while True:
            due_at = self.clock.read_monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            now = self.clock.read_monotonic()
            self._report_load(now, lag_s=now - due_at)
            self.core.expire_runs(now)
            self.core.abort_late_gangs(now)
            self.core.abort_stalled_runs(now)
            self._planner.move_units(now)
            for session in list(self._sessions.values()):
                session.wake()
            self.request_pass()

    def _report_load(self, now: float, *, lag_s: float) -> None:
        self._leader_load.record_lag(lag_s)
        queued = [session.queued_orders for session in self._sessions.values()]
        report = self._leader_load.take_report(now, queued=queued)
        if report is not None:
            timeout_s = round(self.timeout_estimator.timeout_s, 3)
            self._timeline.record(
                Event.LEADER_LOAD,
                timeout_s=timeout_s,
                traffic=self._traffic.take_report(),
                **report,
            )

    def _record_decision(self, what: str, **inputs: object) -> None:
        self.decisions[what] += 1
        self._timeline.record(
            Event.CORE_DECIDED, priority=what in PRIORITY_DECISIONS, what=what, **inputs
        )
