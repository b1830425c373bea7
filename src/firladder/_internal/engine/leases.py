"""Until when the runs on a worker may go on if nobody can reach it."""

from .state import Worker

CLOCK_DRIFT = 1.03
"""A worker's clock may be 2% slow: a lease of 10 s there may last 10.2 s here;
a little more covers the way to the worker and back."""

LATE_ORDER_S = 12.5
"""Seconds after which an order without an answer may still be carried out; seen
up to 12 s."""

STORE_OUTAGE_GRACE_S = 5.0
"""Seconds for which a leader that the store does not answer goes on renewing
what already runs. Outages of the store are about as long; without it each one
would end all work. A successor waits this much longer for lost workers."""

WALL_SKEW_S = 2.5
"""Seconds by which the clocks of two VMs may differ: they are close, but one may
jump by two seconds."""

RENEW_AFTER_SHARE = 0.35
"""Share of the longest lease after which it is renewed: the rest, two thirds, is
what a cut may last without ending the work behind it."""


DRAINING_LEASE_S = 3.0
"""Seconds of a lease at a worker that drains. When it has left, what ran there
counts as lost only when its lease has ended; the usual lease would keep it waiting
for ten seconds."""


def choose_lease_s(worker: Worker, *, lease_s: float) -> float:
    """Return for how long a lease is granted."""
    return min(lease_s, DRAINING_LEASE_S) if worker.entry.draining else lease_s


def choose_deadline(worker: Worker, *, now: float, lease_s: float) -> float | None:
    """Return the worker's own time at which a lease granted now ends."""
    if worker.clock_offset_s is None:
        return None
    return now + worker.clock_offset_s + lease_s


def needs_renewal(worker: Worker, *, now: float, lease_s: float) -> bool:
    """Tell whether the lease of what runs on a worker shall be renewed now."""
    if not worker.placements:
        return False
    return worker.renewed_until - now < lease_s * (1 - RENEW_AFTER_SHARE)


def record_grant_sent(worker: Worker, *, now: float, lease_s: float) -> int:
    """Note a lease on its way, which may arrive very late; return its number."""
    worker.grants_sent += 1
    worker.open_grants[worker.grants_sent] = now + LATE_ORDER_S + lease_s * CLOCK_DRIFT
    return worker.grants_sent


def record_grant_answered(
    worker: Worker, number: int, *, sent_at: float, now: float, lease_s: float
) -> None:
    """Note that a lease has arrived: it cannot arrive once more."""
    worker.open_grants.pop(number, None)
    worker.renewed_until = max(worker.renewed_until, sent_at + lease_s)
    worker.granted_until = max(worker.granted_until, now + lease_s * CLOCK_DRIFT)


def record_grant_dropped(worker: Worker, number: int) -> None:
    """Note that a lease has certainly not arrived and never will."""
    worker.open_grants.pop(number, None)


def estimate_inherited_expiry(*, now: float, lease_s: float) -> float:
    """Return when all leases that an earlier leader granted have surely ended.

    Leases without an answer make a worker count as out of reach, which is in the
    records; so those that an earlier leader left unrecorded have arrived.
    """
    return now + STORE_OUTAGE_GRACE_S + lease_s * CLOCK_DRIFT


def convert_recorded_expiry(lapse_wall: float, *, now: float, wall: float) -> float:
    """Return a recorded lapse on this leader's own clock."""
    return now + max(0.0, lapse_wall - wall) + WALL_SKEW_S
