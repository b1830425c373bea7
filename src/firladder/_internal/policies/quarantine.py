"""Decide which workers take nothing new, and which jobs are at fault themselves.

The load this is made for: a worker that fails everything it starts. It always
looks idle, so every placement prefers it, and it ends the whole queue within
minutes. The opposite harm is a bad job that fails wherever it runs and takes
one healthy worker after another out of use.
"""

import dataclasses
from collections.abc import Iterable

FAILURES_TO_QUARANTINE = 3
"""Distinct jobs that failed on a worker, with no success between. One or two may
be the jobs' own fault; a third of another caller's hardly is."""

PROBE_AFTER_S = 60.0
"""Seconds until a quarantined worker is tried with work again; doubled after each
failed probe."""

MAX_QUARANTINE_S = 3600.0
"""A worker that was repaired is back within an hour without anybody's help, and
one that was not costs one failed start an hour."""

FAILED_WORKERS_TO_BLAME_JOB = 3
"""Distinct healthy workers on which a job failed before the job is at fault."""


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """What is held against a worker. Times are monotonic, in seconds."""

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    quarantined_until: float | None = None
    failed_probes: int = 0

    @property
    def quarantined(self) -> bool:
        """Return whether the worker is in quarantine, a probe included."""
        return self.quarantined_until is not None

    def record_failure(self, job: str, now: float) -> bool:
        """Count a failed job; return whether the worker goes into quarantine now."""
        self.failed_jobs.add(job)
        if self.quarantined_until is not None:
            if now >= self.quarantined_until:
                self.failed_probes += 1
                self._extend(now)
            return False
        if len(self.failed_jobs) < FAILURES_TO_QUARANTINE:
            return False
        self._extend(now)
        return True

    def _extend(self, now: float) -> None:
        wait_s = PROBE_AFTER_S * 2.0**self.failed_probes
        self.quarantined_until = now + min(wait_s, MAX_QUARANTINE_S)

    def record_success(self) -> None:
        """Clear the worker: it ran something to its end."""
        self.failed_jobs.clear()
        self.quarantined_until = None
        self.failed_probes = 0

    def retract_failure(self, job: str) -> None:
        """Take back a failure that was the job's own fault."""
        self.failed_jobs.discard(job)
        if len(self.failed_jobs) < FAILURES_TO_QUARANTINE:
            self.quarantined_until = None

    def accepts_work(self, now: float, *, busy: bool) -> bool:
        """Return whether new work may go there; a probe runs alone."""
        return self.quarantined_until is None or (
            now >= self.quarantined_until and not busy
        )


def is_at_fault(failed_on: Iterable[str], quarantined: Iterable[str]) -> bool:
    """Return whether a job failed on so many healthy workers that it is to blame."""
    return len(set(failed_on) - set(quarantined)) >= FAILED_WORKERS_TO_BLAME_JOB
