"""Decide which workers are quarantined, and which jobs are at fault themselves.

A worker that fails everything it starts always looks idle, so every placement prefers
it, and it fails the whole queue within minutes. Conversely, a faulty job fails wherever
it runs, and must not take one healthy worker after another out of use.
"""

import dataclasses
from collections.abc import Iterable

FAILURES_TO_QUARANTINE = 3
"""Distinct jobs that failed on a worker without a success in between. One or two may
be at fault themselves; a third is unlikely to be."""

PROBE_AFTER_S = 60.0
"""Seconds until a quarantined worker gets a probe job; doubled after each failed
probe."""

MAX_QUARANTINE_S = 3600.0
"""Maximum time between probes: a repaired worker is back within an hour without an
operator, and a broken one costs one failed start an hour."""

FAILED_WORKERS_TO_BLAME_JOB = 3
"""Distinct healthy workers on which a job must fail to be at fault itself."""


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Failures and quarantine of a worker; times are monotonic seconds."""

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    quarantined_until: float | None = None
    failed_probes: int = 0

    @property
    def quarantined(self) -> bool:
        """Return whether the worker is in quarantine, also while it runs a probe."""
        return self.quarantined_until is not None

    def record_failure(self, job: str, now: float) -> bool:
        """Record a failed job; return whether the worker is quarantined by it."""
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
        """Clear the worker's failures and quarantine: a job succeeded there."""
        self.failed_jobs.clear()
        self.quarantined_until = None
        self.failed_probes = 0

    def retract_failure(self, job: str) -> None:
        """Remove the failure of a job that was itself at fault."""
        self.failed_jobs.discard(job)
        if len(self.failed_jobs) < FAILURES_TO_QUARANTINE:
            self.quarantined_until = None

    def accepts_work(self, now: float, *, busy: bool) -> bool:
        """Return whether the worker may get new work; a probe runs alone."""
        return self.quarantined_until is None or (
            now >= self.quarantined_until and not busy
        )


def is_at_fault(failed_on: Iterable[str], quarantined: Iterable[str]) -> bool:
    """Return whether a job failed on enough healthy workers to be at fault."""
    return len(set(failed_on) - set(quarantined)) >= FAILED_WORKERS_TO_BLAME_JOB
