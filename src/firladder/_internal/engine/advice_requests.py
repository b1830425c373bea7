"""Choose what the advice service is asked next."""

import dataclasses
import functools
import math
from collections import Counter
from collections.abc import Callable, Sequence

from ..models.workload import AdviceTerms, Resources
from .advice import StepName
from .advice_demands import Demand, list_demands
from .advice_groups import Group, group_candidates, rank_worker
from .core import Core
from .placement import count_fitting, list_suitable
from .pool_view import PoolView
from .state import Job, UnitState

SMALL_REQUEST = 30
"""Workers named in the first request for a step. A larger one holds up the others: the
service answers one at a time, also those that have become useless meanwhile."""

MAX_REQUEST = 100
"""Maximum workers that the service accepts in a request."""

CHOICE_FACTOR = 2
"""Workers named for each one needed: some may be refused."""

URGENT_CHOICE_FACTOR = 3
"""Workers with tickets for each one needed until which urgent work without room asks
for more: those that it has may hold other urgent work, which is not preempted."""

FORGET_INTERVAL_S = 1.0
"""Seconds between two removals of the answers for steps that are over; it looks through
all answers."""

KEPT_AFTER_S = 1.0
"""Seconds after which a step that waits although workers with tickets have room asks
for as many more: what it has may be kept for other work, or avoided."""

MAX_ASKED_AHEAD = 8
"""Steps that are asked for although they cannot start now. With more, tickets expire
before they are used, and each costs a request again."""

MAX_EXAMINED = 100
"""Maximum waiting steps examined for one request; each looks at its whole pool."""

MAX_REQUESTS_IN_A_ROW = 10
"""Requests for a step after which it comes after steps with fewer: a wide step whose
tickets expire sooner than they are obtained would keep the others waiting for ever."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request: which of the ``workers`` may run a ``step``."""

    step: StepName
    workers: tuple[str, ...]
    terms: AdviceTerms

    @property
    def usual_s(self) -> float:
        """Return the usual seconds to the answer."""
        return self.terms.estimate_answer(len(self.workers))


@dataclasses.dataclass(frozen=True, slots=True)
class _Finding:
    """What to ask for a step; ``ahead`` if it cannot start now in any case."""

    request: AdviceRequest | None
    ahead: bool


class AdviceRequests:
    """Chooses the next request for the steps that are due or come up.

    Guards against a burst of steps for which the service needs seconds: what can start
    comes first, by priority and age, and what is asked ahead is bounded over all jobs.
    """

    def __init__(self, core: Core) -> None:
        """Ask for the steps of ``core``."""
        self._core = core
        self._requests: Counter[StepName] = Counter()
        self._hopeless: set[StepName] = set()
        self._forgot_at = -math.inf
        self.waiting_steps = 0
        """Steps that are due and have no usable ticket."""

    def choose(
        self,
        now: float,
        wall: float,
        *,
        may_continue: Callable[[], bool] = lambda: True,
    ) -> AdviceRequest | None:
        """Return the next request, or None if nothing is to be asked.

        When ``may_continue`` returns false, no further step is looked at: a full pool
        with a hundred waiting steps would otherwise block the leader.
        """
        if now - self._forgot_at >= FORGET_INTERVAL_S:
            self._forgot_at = now
            self._forget()
        if not self._core.advice.list_terms():
            self.waiting_steps = 0
            return None
        demands = sorted(list_demands(self._core, now, wall), key=self._rank)
        advice = self._core.advice
        self.waiting_steps = sum(
            d.due and not advice.list_usable(d.step, d.terms, now) for d in demands
        )
        if not demands:
            return None
        view = PoolView(self._core, now)
        find_room = functools.cache(functools.partial(_has_room, view))
        first_ahead: AdviceRequest | None = None
        examined_ahead = 0
        for demand in demands[:MAX_EXAMINED]:
            if not may_continue():
                break
            pool, need = self._find_pool(demand.job), demand.units[0].step.need
            if examined_ahead >= MAX_ASKED_AHEAD and not (
                demand.due and (demand.urgent or find_room(pool, need))
            ):
                continue
            found = self._examine(demand, view, now)
            if found.request is not None and not found.ahead:
                return self._take(found.request)
            examined_ahead += found.ahead
            if examined_ahead <= MAX_ASKED_AHEAD:
                first_ahead = first_ahead or found.request
        return self._take(first_ahead) if first_ahead is not None else None

    def _take(self, request: AdviceRequest) -> AdviceRequest:
        self._requests[request.step] += 1
        return request

    def _forget(self) -> None:
        workers = {w.worker_id for w in self._core.workers.values()}
        self._core.advice.forget(is_over=self._is_over, workers=workers)
        for step in [s for s in self._requests if self._is_over(s)]:
            del self._requests[step]
            self._hopeless.discard(step)

    def _is_over(self, step: StepName) -> bool:
        job = self._core.jobs.get(step[0])
        if job is None or job.terminal or job.cancelled:
            return True
        return all(u.state is UnitState.DONE for u in job.by_step[step[1:]])

    def _rank(self, demand: Demand) -> tuple[float, ...]:
        accepted = demand.job.accepted
        _, occurrence, number = demand.step
        return (
            not demand.due,
            self._requests[demand.step] // MAX_REQUESTS_IN_A_ROW,
            accepted.priority,
            accepted.accepted_at_s,
            occurrence,
            number,
        )

    # -- which workers to ask for --------------------------------------------------

    def _examine(self, demand: Demand, view: PoolView, now: float) -> _Finding:
        """Return what to ask for a step, and whether that is ahead of its start."""
        advice, name = self._core.advice, demand.step
        wanted = tuple(
            worker_id
            for worker_id in advice.take_wanted(name)
            if advice.is_open(name, worker_id, demand.terms, now)
        )
        if wanted:
            request = AdviceRequest(name, wanted[:MAX_REQUEST], demand.terms)
            return _Finding(request, ahead=False)
        pool_name = self._find_pool(demand.job)
        candidates = list_suitable(demand.units[0].step, view.list_pool(pool_name), ())
        groups = group_candidates(advice, demand, candidates, now)
        if not any(g.possible_ever for g in groups):
            self._note_hopeless(demand, pool_name)
            return _Finding(None, ahead=True)
        self._hopeless.discard(name)
        need, waited_s = demand.tasks, demand.measure_wait(now)
        if any(g.known_now >= need * (1 + waited_s // KEPT_AFTER_S) for g in groups):
            return _Finding(None, ahead=not demand.due)
        gang = demand.gang
        useful = [g for g in groups if g.open and g.possible_now > g.known_now]
        useful = [g for g in useful if not gang or g.possible_now >= need]
        if useful:
            useful.sort(key=lambda g: -g.possible_now)
            return _Finding(
                self._make_request(demand, useful, now), ahead=not demand.due
            )
        enough = need * (URGENT_CHOICE_FACTOR if demand.urgent else 1)
        useful = [g for g in groups if g.open and g.possible_ever > g.known_ever]
        useful = [g for g in useful if not gang or g.possible_ever >= need]
        known = [g.known_ever for g in groups]
        if not useful or (max(known) >= need and sum(known) >= enough):
            return _Finding(None, ahead=True)
        useful.sort(key=lambda g: -g.possible_ever)
        ahead = not (demand.due and demand.urgent)
        return _Finding(self._make_request(demand, useful, now), ahead=ahead)

    def _find_pool(self, job: Job) -> str:
        queues = self._core.configuration.queues
        named = (q.pool for q in queues if q.name == job.accepted.queue)
        return next(named, job.accepted.pool)

    def _make_request(
        self, demand: Demand, groups: Sequence[Group], now: float
    ) -> AdviceRequest:
        """Name the first workers, and more if the step is wide or asks again."""
        advice = self._core.advice
        rank = functools.partial(rank_worker, advice, demand)
        workers = [c for group in groups for c in sorted(group.open, key=rank)]
        step = demand.units[0].step
        largest = max(count_fitting(c.capacity, step.need) for c in workers)
        per_worker = max(1, min(largest, step.most_per_worker or largest))
        needed = -(-demand.tasks // per_worker)
        answered = len(advice.list_settled(demand.step, demand.terms, now))
        limit = max(SMALL_REQUEST, answered, CHOICE_FACTOR * needed)
        named = tuple(c.worker_id for c in workers[: min(limit, MAX_REQUEST)])
        return AdviceRequest(demand.step, named, demand.terms)

    def _note_hopeless(self, demand: Demand, pool: str) -> None:
        """Log once that the service has refused every worker for a step."""
        step, need = demand.step, demand.units[0].step
        registered = [
            w.worker_id
            for w in self._core.workers.values()
            if w.registered
            and w.entry.pool == pool
            and w.entry.capacity.covers(need.need)
            and (not need.label or need.label in w.entry.labels)
        ]
        refused = self._core.advice.is_refused
        if step in self._hopeless or not registered:
            return
        if not all(refused(step, worker_id) for worker_id in registered):
            return
        self._hopeless.add(step)
        self._core.note(
            "no worker allowed", job=step[0], step=step[2], workers=len(registered)
        )


def _has_room(view: PoolView, pool: str, need: Resources) -> bool:
    """Return whether some worker of a pool has room for a task now."""
    return any(c.free.covers(need) for c in view.list_pool(pool))
