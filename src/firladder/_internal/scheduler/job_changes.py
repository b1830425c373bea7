"""Changes of a job's record at each transition of its gang.

Each function returns the record to write, or None if the job as the store now
has it does not allow the change.
"""

import msgspec

from ..models.job import JobRecord, Member
from ..models.request import Outcome


def begin_attempt(
    job: JobRecord, members: tuple[Member, ...], *, cell: str = ""
) -> JobRecord | None:
    """Begin the next attempt, unless the job was cancelled or has begun."""
    if job.state != "queued" or job.cancel_requested:
        return None
    return msgspec.structs.replace(
        job, state="starting", attempt=job.attempt + 1, members=members, cell=cell
    )


def confirm_start(job: JobRecord) -> JobRecord | None:
    """Mark the job as running, now that all members run."""
    if job.state != "starting":
        return None
    return msgspec.structs.replace(job, state="running")


def adopt_attempt(job: JobRecord, known: JobRecord) -> JobRecord | None:
    """Take over a gang as it was found, unless its job has changed state since."""
    if job.state != known.state:
        return None
    return msgspec.structs.replace(
        job,
        state="running",
        attempt=max(job.attempt, known.attempt),
        members=known.members,
    )


def finish(
    job: JobRecord, outcome: Outcome, reason: str | None, wall: float
) -> JobRecord | None:
    """End the job, unless it has ended."""
    if job.state == "finished":
        return None
    return msgspec.structs.replace(
        job, state="finished", outcome=outcome, reason=reason, finished_at=wall
    )


def requeue(
    job: JobRecord,
    *,
    attempt: int,
    reason: str,
    failed: bool,
    never_ran: bool,
    wall: float,
) -> JobRecord | None:
    """Queue the job for its next attempt, or end it if it was cancelled."""
    if job.state == "finished":
        return None
    if job.cancel_requested and never_ran:
        return finish(job, "not_run", "cancelled before it ran", wall)
    if job.cancel_requested:
        return finish(job, "failed", "cancelled while running", wall)
    return msgspec.structs.replace(
        job,
        state="queued",
        # Never lower: workers remember the task names of earlier attempts.
        attempt=max(job.attempt, attempt),
        # A preemption is no failure of the job. Counted as one, a job preempted
        # every night would end as failed although nothing went wrong.
        failures=job.failures + failed,
        members=(),
        cell="",
        reason=reason,
    )
