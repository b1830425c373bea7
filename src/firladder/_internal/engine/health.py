"""Judge workers by what becomes of the tasks that they start."""

from collections import Counter
from collections.abc import Iterable

from .state import Placement, Unit, Worker

QUARANTINE_AFTER_JOBS = 2
"""Distinct jobs that must fail on a worker before it gets no more work. Tasks
fail by their own fault now and then, and a hopeless job fails everywhere; two
different jobs in a row point to the worker."""

FAILURE_WINDOW_S = 12.0
"""Seconds for which a failure counts; a few run times of a task."""

QUARANTINE_S = 6.0
"""Seconds without new work; then one more blame puts the worker back in."""

STALL_TIMEOUT_S = 4.5
"""Seconds without any progress after which a task counts as one that stands still. A
task takes some ten seconds and reports whole per cent; one eight times slower still
moves."""

DONE_PERCENT = 100
"""Progress of a task that is done; a member of a gang then waits for the others."""

MAX_QUARANTINED_SHARE = 0.34
"""Share of a pool that may be in quarantine: if more fail, the cause is
elsewhere, and the work is better tried than held back."""


def record_failure(worker: Worker, job_id: str, now: float) -> bool:
    """Note a failure on a worker; return whether it is now in quarantine."""
    worker.failed_jobs = {
        job: at for job, at in worker.failed_jobs.items() if now - at < FAILURE_WINDOW_S
    }
    worker.failed_jobs[job_id] = now
    if len(worker.failed_jobs) < QUARANTINE_AFTER_JOBS:
        return False
    worker.quarantined_until = now + QUARANTINE_S
    return True


def clear_failures(worker: Worker) -> None:
    """Forget failures after a task has ended well."""
    worker.failed_jobs.clear()


def record_progress(placement: Placement, percent: float, now: float) -> None:
    """Note a task's progress."""
    if percent != placement.percent or not placement.progressed_at:
        placement.percent = percent
        placement.progressed_at = now


def is_stalled(placement: Placement, now: float, *, longer_than: float) -> bool:
    """Tell whether a task that is at work has not progressed for so many seconds."""
    return bool(placement.progressed_at) and now - placement.progressed_at > longer_than


def waits_for_members(unit: Unit, placement: Placement) -> bool:
    """Tell whether a member of a gang is done and others are still at work.

    The members of a gang end together. On a fast worker one is done long before a slow
    one, and shows no progress since: taken for one that stands still, it would end a
    run of which nearly all work is done, and its worker be blamed for it.
    """
    if placement.percent < DONE_PERCENT:
        return False
    return any(p.percent < DONE_PERCENT for p in unit.placements.values())


def choose_stall_timeout(unit: Unit, placement: Placement) -> float:
    """Return for how long a run may stand still before it is given up, in seconds.

    Workers that hang mostly go on after some seconds. Giving up loses what the run has
    done and not saved, so it waits for as long as it had worked: whenever the worker
    comes back, no more than twice the better of the two choices is lost.
    """
    if unit.step.checkpoints:
        return STALL_TIMEOUT_S
    return max(STALL_TIMEOUT_S, placement.progressed_at - unit.active_since)


def find_suspect_pools(workers: Iterable[Worker], now: float) -> set[str]:
    """Return the pools of which too many workers are in quarantine.

    Answers a wave of jobs that fail everywhere: held back for it, a pool would do
    no work at all, though nothing is wrong with its workers.
    """
    counts: Counter[str] = Counter()
    held: Counter[str] = Counter()
    for worker in workers:
        counts[worker.entry.pool] += worker.registered
        held[worker.entry.pool] += worker.registered and now < worker.quarantined_until
    return {
        pool for pool in counts if held[pool] > MAX_QUARANTINED_SHARE * counts[pool]
    }
