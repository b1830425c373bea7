"""Admit a request to the queue, or refuse it at once with a time to come back."""

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
"""Part of the queue that each urgency may fill: a night's backlog must leave
places for somebody who is waiting beside a customer."""

CONTENTION_FRACTION = 0.5
"""Part of the queue above which organisations are held to their weights. Below
it, an organisation alone may use what nobody else asks for."""

WAIT_SAFETY_FACTOR = 1.1
"""The wait is taken this much longer than computed: run times vary, and work
admitted too late costs a slot and then misses its deadline."""

MAX_RETRY_AFTER_S = 60.0
"""A caller told to come back later than this would rather be served elsewhere."""


@ADMISSIONS.register("always")
def admit_always(
    view: ServiceView, req: WaitingRequest, rng: random.Random
) -> Failure | None:
    """Admit whatever comes: the baseline."""
    return None


@ADMISSIONS.register("deadline")
def admit_by_deadline(
    view: ServiceView, req: WaitingRequest, rng: random.Random
) -> Failure | None:
    """Refuse at once what would only wait in vain, and hold shares.

    Made for load above capacity and for one organisation that floods the
    others. Without it the queue fills with requests whose callers have gone:
    every answer comes late, slots run work that nobody waits for, and goodput
    falls as load rises.
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
        # One request at a time goes through even if it looks too late: after
        # a slow spell nobody would ever learn that the targets have recovered.
        return None
    if view.now + wait_s * WAIT_SAFETY_FACTOR + view.latency_s > req.deadline:
        return DeadlineUnreachable(
            reason=f"the wait is {wait_s:.2f} s, longer than the deadline allows",
            field="deadline_ms",
            retry_after_s=spread_retry_after(refused_work_s, wait_s, rng),
        )
    return None


def estimate_wait(view: ServiceView, req: WaitingRequest) -> float:
    """Return the seconds a request would wait for a slot.

    Only what goes before it counts: work at least as urgent, and of that no
    more than what fair turns between organisations let pass.
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
    """Return when a refused caller shall come back, in seconds.

    Made for a crowd refused together: sent back to the same moment it would
    be refused together again. ``refused_work_s`` is how long all targets would work
    on what was refused lately; the span grows with it, so that those who
    return fit into the capacity there is.
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
