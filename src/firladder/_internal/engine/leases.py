"""The leases of runs: until when an unreachable worker may continue them."""

from .state import Worker

CLOCK_DRIFT = 1.03
"""A worker's clock may be 2% slow: a lease of 10 s there may last 10.2 s on the
leader's clock. The rest covers the round trip to the worker."""

LATE_ORDER_S = 12.5
"""How long after it was sent an unanswered order may still be carried out; delays of
up to 12 s were observed."""

STORE_OUTAGE_GRACE_S = 5.0
"""How long a leader continues to renew the leases of active runs while the store is
unavailable. Outages of the store last about this long, and each would otherwise end
all work. A successor waits this much longer for lost workers."""

WALL_SKEW_S = 2.5
"""Maximum difference between the clocks of two VMs: they are close, but one may jump
by two seconds."""

RENEW_AFTER_SHARE = 0.35
"""Share of a lease after which it is renewed. A network partition may last for the
remaining two thirds without ending the runs behind it."""

DRAINING_LEASE_S = 3.0
"""Duration of a lease on a draining worker. Once the worker has left, its runs count
as lost only when their lease has expired; the usual lease would delay their restart
by ten seconds."""


def choose_lease_s(worker: Worker, *, lease_s: float) -> float:
    """Return for how long a lease is granted to a worker, in seconds."""
    return min(lease_s, DRAINING_LEASE_S) if worker.entry.draining else lease_s


def choose_deadline(worker: Worker, *, now: float, lease_s: float) -> float | None:
    """Return when a lease granted now expires on the worker's clock, if it is known."""
    if worker.clock_offset_s is None:
        return None
    return now + worker.clock_offset_s + lease_s


def needs_renewal(worker: Worker, *, now: float, lease_s: float) -> bool:
    """Return whether the lease of a worker's runs is due for renewal."""
    if not worker.placements:
        return False
    return worker.renewed_until - now < lease_s * (1 - RENEW_AFTER_SHARE)


def record_grant_sent(worker: Worker, *, now: float, lease_s: float) -> int:
    """Record a lease that was sent and may arrive very late; return its number."""
    worker.grants_sent += 1
    worker.open_grants[worker.grants_sent] = now + LATE_ORDER_S + lease_s * CLOCK_DRIFT
    return worker.grants_sent


def record_grant_answered(
    worker: Worker, number: int, *, sent_at: float, now: float, lease_s: float
) -> None:
    """Record that a lease has arrived; it cannot arrive a second time."""
    worker.open_grants.pop(number, None)
    worker.renewed_until = max(worker.renewed_until, sent_at + lease_s)
    worker.granted_until = max(worker.granted_until, now + lease_s * CLOCK_DRIFT)


def record_grant_dropped(worker: Worker, number: int) -> None:
    """Record that a lease has not arrived and never will."""
    worker.open_grants.pop(number, None)


def estimate_inherited_expiry(*, now: float, lease_s: float) -> float:
    """Return when all leases that a former leader granted have certainly expired.

    A worker with an unanswered lease is recorded as unreachable, with the expiry of
    its leases. So each lease of a worker without such a record was answered.
    """
    return now + STORE_OUTAGE_GRACE_S + lease_s * CLOCK_DRIFT


def convert_recorded_expiry(expiry_wall: float, *, now: float, wall: float) -> float:
    """Convert a recorded expiry, in Unix time, to this leader's clock."""
    return now + max(0.0, expiry_wall - wall) + WALL_SKEW_S


def record_acknowledgement_sent(worker: Worker, *, now: float) -> None:
    """Record that a poll which acknowledges ends was sent and may arrive very late."""
    worker.open_acknowledgements = {
        sent_at: until
        for sent_at, until in worker.open_acknowledgements.items()
        if until > now
    } | {now: now + LATE_ORDER_S}


def record_acknowledgement_settled(worker: Worker, *, sent_at: float) -> None:
    """Record that a poll which acknowledges ends has arrived, or never will."""
    worker.open_acknowledgements.pop(sent_at, None)
