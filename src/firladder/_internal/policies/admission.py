"""Admit a request to the queue, or refuse it at once with a time to retry."""

import random
from collections.abc import Callable, Mapping

from ..exceptions import DeadlineUnreachable, Failure, QueueFull
from ..models.configuration import Urgency
from .registry import Registry
from .request_views import URGENCY_RANK, ServiceView, WaitingRequest

AdmissionPolicy = Callable[[ServiceView, WaitingRequest, random.Random], Failure | None]

ADMISSIONS: Registry[AdmissionPolicy] = Registry("admission policy")

QUEUE_FRACTION: Mapping[Urgency, float] = {
    "urgent": 1.0,
    "normal": 0.9,
    "overnight": 0.8,
}
"""Fraction of the queue that each urgency may fill: a backlog of overnight work
must leave places for interactive requests."""

CONTENTION_FRACTION = 0.5
"""Fraction of the queue above which each organisation is limited to its weighted
share. Below it, an organisation may use capacity that no other one requests."""

WAIT_SAFETY_FACTOR = 1.1
"""Factor on the estimated wait: run times vary, and a request that is admitted too
late uses a slot and then misses its deadline."""

MAX_RETRY_AFTER_S = 60.0
"""Upper bound of the time to retry; after longer a caller had better go elsewhere."""


@ADMISSIONS.register("always")
def admit_always(
    view: ServiceView, req: WaitingRequest, rng: random.Random
) -> Failure | None:
    """Admit every request (baseline)."""
    return None


@ADMISSIONS.register("deadline")
def admit_by_deadline(
    view: ServiceView, req: WaitingRequest, rng: random.Random
) -> Failure | None:
    """Refuse requests that would miss their deadline or exceed a queue share.

    This handles load above capacity and one organisation that floods the others.
    Without it the queue fills with requests whose callers have given up: every
    answer is late, slots run work that nobody waits for, and goodput falls as load
    rises.
    """
    wait_s = estimate_wait(view, req)
    refused_work_s = view.refused_s / max(1, view.room)
    total = sum(view.queued.values())
    if total >= view.queue_limit * QUEUE_FRACTION[req.urgency]:
        reason = f"the queue has no place left for {req.urgency} work"
        return QueueFull(
            reason=reason, retry_after_s=spread_retry_after(refused_work_s, wait_s, rng)
        )
    if view.held.get(req.organisation, 0) >= _limit_organisation(view, req, total):
        reason = f"organisation {req.organisation!r} holds its part of the queue"
        return QueueFull(
            reason=reason, retry_after_s=spread_retry_after(refused_work_s, wait_s, rng)
        )
    if not total and not view.in_flight:
        # One request at a time is admitted even if it looks too late: after all
        # targets were slow, only an answer shows that they have recovered.
        return None
    if view.now + wait_s * WAIT_SAFETY_FACTOR + view.latency_s > req.deadline:
        return DeadlineUnreachable(
            reason=f"the wait is {wait_s:.2f} s, longer than the deadline allows",
            field="deadline_ms",
            retry_after_s=spread_retry_after(refused_work_s, wait_s, rng),
        )
    return None


def estimate_wait(view: ServiceView, req: WaitingRequest) -> float:
    """Return the estimated seconds that a request waits for a slot.

    Counts only the requests that are served before it: those at least as urgent,
    and of these no more than fair queueing between organisations puts ahead.
    """
    ahead = sum(
        count
        for urgency, count in view.queued.items()
        if URGENCY_RANK[urgency] <= URGENCY_RANK[req.urgency]
    )
    weights = {**view.weights, req.organisation: req.weight}
    turns = sum(weights.values()) / req.weight
    by_turns = (view.ahead_of_own + 1) * turns
    busy = 1 if view.in_flight >= view.room else 0
    return view.latency_s * (min(ahead, by_turns) + busy) / max(1, view.room)


def spread_retry_after(
    refused_work_s: float, wait_s: float, rng: random.Random
) -> float:
    """Return after how many seconds a refused caller should retry.

    Callers refused together must not retry at the same moment, or they would be
    refused together again. ``refused_work_s`` is how long all targets would need for
    the work refused recently; the range grows with it, so that the retries fit into
    the capacity.
    """
    delay_s = (
        0.1 + wait_s * rng.uniform(0.5, 1.0) + rng.uniform(0, 1.0 + 2 * refused_work_s)
    )
    return min(MAX_RETRY_AFTER_S, delay_s)


def _limit_organisation(view: ServiceView, req: WaitingRequest, total: int) -> float:
    limit = view.queue_limit * _clamp_share(view)
    if total < view.queue_limit * CONTENTION_FRACTION:
        return max(1.0, limit)
    weights = {**view.weights, req.organisation: req.weight}
    part = view.queue_limit * req.weight / sum(weights.values())
    return max(1.0, min(limit, part))


def _clamp_share(view: ServiceView) -> float:
    return min(1.0, max(0.0, view.request_share))
