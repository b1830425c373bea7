"""Simulate a placement policy on one failure domain, with a simulated clock.

A discrete-event simulation without sockets or threads. The driver checks the policy's
actions, and fails if a worker is overcommitted.
"""

import dataclasses
import heapq
import itertools
from collections import defaultdict

from ..models.job import Member
from ..models.machine import Machine
from ..policies.estimating import RunHistory
from ..policies.placement import (
    Action,
    DomainView,
    Place,
    PlacementPolicy,
    Preempt,
    QueuedJob,
    RunningJob,
    WorkerView,
)
from ..policies.quarantine import WorkerHealth, is_at_fault
from ..policies.selectors import Selector
from .fleet_metrics import JobStart, Sample
from .loads import DOMAIN, Arrival, Load

STOP_DELAY_S = 5.0
"""Seconds between a preemption and the release of the accelerators."""

RESTART_LOSS_S = 30.0
"""Seconds of work that a checkpointable gang loses at each preemption."""

FAULT_DELAY_S = 5.0
"""Seconds until a job fails on a faulty worker."""

LEASE_EXPIRY_S = 30.0
"""Seconds until the leases on a lost worker have expired."""

MAX_RECLAIM_WAIT_S = STOP_DELAY_S + 1.0
"""Bound on the wait of a guaranteed job; a longer wait is a reclaim failure."""

MAX_SIMULATED_S = 30 * 24 * 3600.0


@dataclasses.dataclass(slots=True)
class Trace:
    """The state of one job, and its outcome.

    ``progress_s`` is saved work, ``lost`` is accelerator-seconds lost to preemption,
    and ``guaranteed`` says that the owner's shape was free for the job on arrival.
    """

    arrival: Arrival
    progress_s: float = 0.0
    wait_s: float = 0.0
    queued_at: float = 0.0
    first_start: float | None = None
    ended_at: float | None = None
    end: str = ""
    lost: float = 0.0
    attempts: int = 0
    guaranteed: bool = False
    avoid: frozenset[str] = frozenset()

    @property
    def size(self) -> int:
        """Return the number of accelerators of the whole gang."""
        return self.arrival.spec.members * self.arrival.spec.accelerators


class Driver:
    """A simulation of one policy under one load."""

    def __init__(self, policy: PlacementPolicy, load: Load) -> None:
        """Start with idle workers and no jobs."""
        self._policy = policy
        self._load = load
        self.now = 0.0
        self.traces = {a.spec.id: Trace(a) for a in load.arrivals}
        self.samples: list[Sample] = []
        self.passes = 0
        self._queue: dict[str, Trace] = {}
        self._running: dict[str, RunningJob] = {}
        self._workers: dict[str, Machine] = {w.name: w for w in load.workers}
        self._lost_workers: set[str] = set()
        self._health: dict[str, WorkerHealth] = defaultdict(WorkerHealth)
        self._history = RunHistory()
        self._not_before: dict[str, float] = {}
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, str, str, int]] = []

    def run(self) -> "Driver":
        """Simulate until every job has ended, and return the driver."""
        for arrival in self._load.arrivals:
            self._schedule(arrival.at, "arrive", arrival.spec.id)
            if arrival.cancel_at is not None:
                self._schedule(arrival.cancel_at, "cancel", arrival.spec.id)
        if self._load.lost_at is not None:
            self._schedule(self._load.lost_at, "lose")
        while self._events and self._events[0][0] < MAX_SIMULATED_S:
            self._step()
        return self

    def _schedule(self, at: float, kind: str, job: str = "", attempt: int = 0) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, job, attempt))

    def _step(self) -> None:
        self.now = self._events[0][0]
        arrived = []
        while self._events and self._events[0][0] <= self.now:
            _, _, kind, job, attempt = heapq.heappop(self._events)
            if kind == "arrive":
                arrived.append(job)
            self._handle(kind, job, attempt)
        self._mark_guaranteed(arrived)
        for action in self._decide():
            self._apply(action)
        self.samples.append(self._sample())

    def _decide(self) -> list[Action]:
        self.passes += 1
        return self._policy(self._build_view())

    def _handle(self, kind: str, job: str, attempt: int) -> None:
        trace = self.traces.get(job)
        if kind == "lose":
            self._lose_workers()
        elif trace is None or trace.ended_at is not None:
            return
        elif kind == "arrive":
            self._enqueue(job)
        elif kind == "cancel":
            self._cancel(trace)
        elif trace.attempts == attempt and job in self._running:
            self._end_attempt(trace, kind)

    def _enqueue(self, job: str) -> None:
        self.traces[job].queued_at = self.now
        self._queue[job] = self.traces[job]

    def _cancel(self, trace: Trace) -> None:
        job = trace.arrival.spec.id
        if job in self._queue:
            del self._queue[job]
            self._finish(trace, "cancelled")
        elif job in self._running:
            self._stop(self._running[job], "cancelled", STOP_DELAY_S)

    def _finish(self, trace: Trace, end: str) -> None:
        trace.ended_at, trace.end = self.now, end

    def _stop(self, gang: RunningJob, kind: str, after_s: float) -> None:
        job = gang.spec.id
        self._running[job] = dataclasses.replace(gang, stopping=True)
        self.traces[job].attempts += 1
        self._schedule(self.now + after_s, kind, job, self.traces[job].attempts)

    def _end_attempt(self, trace: Trace, kind: str) -> None:
        spec = trace.arrival.spec
        gang = self._running.pop(spec.id)
        ran_s = self.now - gang.started_at
        if kind == "done":
            self._finish(trace, "done")
            if trace.progress_s == 0.0:
                self._history.record_run(spec, spec.organisation, ran_s)
            for member in gang.members:
                self._health[member.worker].record_success()
        elif kind == "cancelled":
            self._finish(trace, "cancelled")
        elif kind == "failed":
            self._handle_failure(trace, gang)
        else:
            self._record_progress(
                trace, gang, ran_s - STOP_DELAY_S, evicted=kind == "evicted"
            )
            self._enqueue(spec.id)

    def _record_progress(
        self, trace: Trace, gang: RunningJob, ran_s: float, *, evicted: bool
    ) -> None:
        ran_s = max(0.0, ran_s)
        keeps_progress = gang.spec.checkpointable and evicted
        lost_s = min(RESTART_LOSS_S, ran_s) if keeps_progress else ran_s
        trace.progress_s += ran_s - lost_s
        if evicted:
            trace.lost += lost_s * trace.size

    def _handle_failure(self, trace: Trace, gang: RunningJob) -> None:
        faulty_worker = next(
            m.worker for m in gang.members if m.worker in self._load.faulty_workers
        )
        spec = trace.arrival.spec
        self._health[faulty_worker].record_failure(spec.id, self.now)
        if not self._health[faulty_worker].quarantined:
            trace.avoid |= {faulty_worker}
        quarantined = {w for w, c in self._health.items() if c.quarantined}
        if is_at_fault(trace.avoid, quarantined):
            self._finish(trace, "failed")
        else:
            self._enqueue(spec.id)

    def _lose_workers(self) -> None:
        self._lost_workers |= self._load.lost_workers
        for gang in list(self._running.values()):
            if not gang.stopping and any(
                m.worker in self._lost_workers for m in gang.members
            ):
                self._stop(gang, "lost", LEASE_EXPIRY_S)

    def _mark_guaranteed(self, arrived: list[str]) -> None:
        """Mark the arrived jobs that the organisation's free shape covers.

        This is independent of the policy's accounting: all jobs of the organisation
        arrived at this moment, and each fits a cell of its own.
        """
        if self._lost_workers:
            return
        for name, organisation in self._load.organisations.items():
            own = [j for j in arrived if self._find_owner(j) == name]
            older = [
                j
                for j in (*self._queue, *self._running)
                if j not in own and self._find_owner(j) == name
            ]
            cells = sorted(
                (c.accelerators for c in organisation.shape for _ in range(c.count)),
                reverse=True,
            )
            sizes = sorted((self.traces[j].size for j in own), reverse=True)
            fits = len(sizes) <= len(cells) and all(
                size <= cell for size, cell in zip(sizes, cells, strict=False)
            )
            for job in own if fits and not older else ():
                self.traces[job].guaranteed = True

    def _find_owner(self, job: str) -> str:
        return self.traces[job].arrival.spec.organisation

    def _build_view(self) -> DomainView:
        used: dict[str, set[int]] = defaultdict(set)
        cpus: dict[str, int] = defaultdict(int)
        memory: dict[str, int] = defaultdict(int)
        for gang in self._running.values():
            for member in gang.members:
                assert not used[member.worker] & set(member.accelerators), member
                used[member.worker] |= set(member.accelerators)
                cpus[member.worker] += gang.spec.cpus
                memory[member.worker] += gang.spec.memory_mb
        return DomainView(
            failure_domain=DOMAIN,
            now=self.now,
            workers=tuple(
                WorkerView(
                    w.name,
                    w.rack,
                    w.accelerators,
                    tuple(a for a in range(w.accelerators) if a not in used[w.name]),
                    w.cpus - cpus[w.name],
                    w.memory_mb - memory[w.name],
                    {"name": w.name},
                    w.name not in self._lost_workers
                    and self._health[w.name].accepts_work(
                        self.now, busy=bool(used[w.name])
                    ),
                )
                for w in self._workers.values()
            ),
            queue=tuple(
                QueuedJob(
                    t.arrival.spec,
                    t.arrival.spec.organisation,
                    t.arrival.spec.urgency,
                    Selector(),
                    t.arrival.at,
                    avoid=t.avoid,
                )
                for t in self._queue.values()
            ),
            running=tuple(self._running.values()),
            organisations=self._load.organisations,
            history=self._history.medians,
        )

    def _apply(self, action: Action) -> None:
        if isinstance(action, Place):
            self._start(action)
        elif isinstance(action, Preempt):
            gang = dataclasses.replace(
                self._running[action.job], preempted_for=action.beneficiary
            )
            self._stop(gang, "evicted", STOP_DELAY_S)
        else:
            self._finish(self._queue.pop(action.job), action.outcome)

    def _start(self, action: Place) -> None:
        trace = self._queue.pop(action.job)
        spec = trace.arrival.spec
        trace.wait_s += self.now - trace.queued_at
        trace.first_start = trace.first_start or self.now
        trace.attempts += 1
        assert len(action.members) == spec.members, action
        self._running[action.job] = RunningJob(
            spec,
            spec.organisation,
            spec.urgency,
            action.members,
            self.now,
            cell=action.cell,
        )
        faulty = any(m.worker in self._load.faulty_workers for m in action.members)
        kind = "failed" if faulty else "done"
        duration_s = FAULT_DELAY_S if faulty else trace.arrival.run_s - trace.progress_s
        self._schedule(self.now + duration_s, kind, spec.id, trace.attempts)

    def _sample(self) -> Sample:
        used: dict[str, int] = defaultdict(int)
        members: list[Member] = [m for g in self._running.values() for m in g.members]
        for member in members:
            used[member.worker] += len(member.accelerators)
        free: dict[str, list[int]] = defaultdict(list)
        for worker in self._workers.values():
            if worker.name not in self._lost_workers:
                free[worker.rack].append(worker.accelerators - used[worker.name])
        waiting = list(self._queue.values())
        return Sample.take(
            self.now,
            free,
            [t.size for t in waiting],
            self._count_accelerators_by_organisation(),
        )

    def _count_accelerators_by_organisation(self) -> dict[str, int]:
        shares: dict[str, int] = defaultdict(int)
        for gang in self._running.values():
            shares[gang.organisation] += self.traces[gang.spec.id].size
        return dict(shares)

    def list_reclaim_failures(self) -> list[JobStart]:
        """Return the guaranteed jobs that started too late, or never."""
        return [
            JobStart(t.arrival.spec.id, t.arrival.at, t.first_start)
            for t in self.traces.values()
            if t.guaranteed
            and (
                t.first_start is None
                or t.first_start - t.arrival.at > MAX_RECLAIM_WAIT_S
            )
        ]
