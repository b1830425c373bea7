"""Detect faulty workers by the failures and stalls of their tasks."""

from collections import Counter
from collections.abc import Iterable

from .state import Placement, Unit, Worker

QUARANTINE_AFTER_JOBS = 2
"""Distinct jobs that must fail on a worker before it is quarantined. Single tasks fail
through their own fault, and a broken job fails everywhere; failures of two different
jobs without a success in between point to the worker."""

FAILURE_WINDOW_S = 12.0
"""How long a failure counts: a few run times of a task."""

QUARANTINE_S = 6.0
"""How long a quarantined worker gets no new work. After that, one more failure puts
it back into quarantine."""

STALL_TIMEOUT_S = 4.5
"""Time without progress after which a task counts as stalled. A task takes about ten
seconds and reports whole per cent; one that is eight times slower still progresses."""

DONE_PERCENT = 100
"""Progress of a task that is done; a member of a gang then waits for the others."""

MAX_QUARANTINED_SHARE = 0.34
"""Share of a pool that may be in quarantine. If more workers fail, the cause is
elsewhere, and the quarantine is ignored."""


def record_failure(worker: Worker, job_id: str, now: float) -> bool:
    """Record a failure of a job on a worker; return whether it is now quarantined."""
    worker.failed_jobs = {
        job: at for job, at in worker.failed_jobs.items() if now - at < FAILURE_WINDOW_S
    }
    worker.failed_jobs[job_id] = now
    if len(worker.failed_jobs) < QUARANTINE_AFTER_JOBS:
        return False
    worker.quarantined_until = now + QUARANTINE_S
    return True


def clear_failures(worker: Worker) -> None:
    """Forget a worker's failures after a task has succeeded."""
    worker.failed_jobs.clear()


def record_progress(placement: Placement, percent: float, now: float) -> None:
    """Record a task's progress, and when it last changed."""
    if percent != placement.percent or not placement.progressed_at:
        placement.percent = percent
        placement.progressed_at = now


def is_stalled(placement: Placement, now: float, *, longer_than: float) -> bool:
    """Return whether an active task made no progress for that many seconds.

    A gang makes none before its last member has started.
    """
    if not placement.progressed_at:
        return False
    whole_at = placement.unit.active_since if placement.unit is not None else 0.0
    return now - max(placement.progressed_at, whole_at) > longer_than


def waits_for_members(unit: Unit, placement: Placement) -> bool:
    """Return whether a gang member is done while other members still run.

    The members of a gang end together. A member on a fast worker is done early and
    then makes no progress. If it counted as stalled, a run that is almost complete
    would be aborted, and the failure recorded against its worker.
    """
    if placement.percent < DONE_PERCENT:
        return False
    return any(p.percent < DONE_PERCENT for p in unit.placements.values())


def choose_stall_timeout(unit: Unit, placement: Placement) -> float:
    """Return for how long a run may be stalled before it is aborted, in seconds.

    Workers that hang usually continue after some seconds, and aborting loses the work
    that is not saved. So a run without checkpoints may be stalled for as long as it
    had worked before: whenever the worker continues, at most twice the loss of the
    better choice is lost.
    """
    if unit.step.checkpoints:
        return STALL_TIMEOUT_S
    return max(STALL_TIMEOUT_S, placement.progressed_at - unit.active_since)


def find_suspect_pools(workers: Iterable[Worker], now: float) -> set[str]:
    """Return the pools in which too many workers are quarantined.

    A series of jobs that fail everywhere would otherwise quarantine all workers of a
    pool, although nothing is wrong with them.
    """
    counts: Counter[str] = Counter()
    quarantined: Counter[str] = Counter()
    for worker in workers:
        counts[worker.entry.pool] += worker.registered
        quarantined[worker.entry.pool] += (
            worker.registered and now < worker.quarantined_until
        )
    return {
        pool
        for pool in counts
        if quarantined[pool] > MAX_QUARANTINED_SHARE * counts[pool]
    }
