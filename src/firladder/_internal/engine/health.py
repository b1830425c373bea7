"""Judge workers by what becomes of the tasks that they start."""

from collections import Counter
from collections.abc import Iterable

from .state import Placement, Worker

BLAMING_JOBS = 2
"""Distinct jobs that must fail on a worker before it gets no more work. Tasks
fail by their own fault now and then, and a hopeless job fails everywhere; two
different jobs in a row point to the worker."""

BLAME_KEPT_S = 12.0
"""Seconds for which a failure counts; a few run times of a task."""

QUARANTINE_S = 6.0
"""Seconds without new work; then one more blame puts the worker back in."""

STALL_S = 4.5
"""Seconds without any progress after which a run is given up. A task takes some
ten seconds and reports whole per cent; one eight times slower still moves."""

MOST_QUARANTINED = 0.34
"""Share of a pool that may be in quarantine: if more fail, the cause is
elsewhere, and the work is better tried than held back."""


def blame_worker(worker: Worker, job_id: str, now: float) -> bool:
    """Note a failure on a worker; return whether it is now in quarantine."""
    worker.blamed_by = {
        job: at for job, at in worker.blamed_by.items() if now - at < BLAME_KEPT_S
    }
    worker.blamed_by[job_id] = now
    if len(worker.blamed_by) < BLAMING_JOBS:
        return False
    worker.quarantined_until = now + QUARANTINE_S
    return True


def clear_blame(worker: Worker) -> None:
    """Forget failures after a task has ended well."""
    worker.blamed_by.clear()


def note_percent(placement: Placement, percent: float, now: float) -> None:
    """Note a task's progress."""
    if percent != placement.percent or not placement.moved_at:
        placement.percent = percent
        placement.moved_at = now


def is_stalled(placement: Placement, now: float) -> bool:
    """Tell whether a task that is at work has stopped to progress."""
    return bool(placement.moved_at) and now - placement.moved_at > STALL_S


def find_suspect_pools(workers: Iterable[Worker], now: float) -> set[str]:
    """Return the pools of which too many workers are in quarantine.

    Answers a wave of jobs that fail everywhere: held back for it, a pool would do
    no work at all, though nothing is wrong with its workers.
    """
    counts: Counter[str] = Counter()
    held: Counter[str] = Counter()
    for worker in workers:
        counts[worker.entry.pool] += worker.listed
        held[worker.entry.pool] += worker.listed and now < worker.quarantined_until
    return {pool for pool in counts if held[pool] > MOST_QUARANTINED * counts[pool]}
