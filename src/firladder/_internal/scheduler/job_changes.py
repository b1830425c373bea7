"""What becomes of a job's record at each step of its gang.

Each function returns the record to write, or None if the job, as the store has
it by now, must not be changed that way.
"""

import msgspec

from ..models.job import JobRecord, Member
from ..models.request import Outcome


def begin_attempt(
    job: JobRecord, members: tuple[Member, ...], *, cell: str = ""
) -> JobRecord | None:
    """Write the next attempt down, unless somebody cancelled or began it."""
    if job.state != "queued" or job.cancel_requested:
        return None
    return msgspec.structs.replace(
        job, state="starting", attempt=job.attempt + 1, members=members, cell=cell
    )


def confirm_start(job: JobRecord) -> JobRecord | None:
    """Note that the whole gang runs."""
    if job.state != "starting":
        return None
    return msgspec.structs.replace(job, state="running")


def adopt_attempt(job: JobRecord, known: JobRecord) -> JobRecord | None:
    """Take a gang over as it was found, unless its job has moved on."""
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
    """End the job, once."""
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
    """Let the job wait for its next attempt, or end it if it was cancelled."""
    if job.state == "finished":
        return None
    if job.cancel_requested and never_ran:
        return finish(job, "not_run", "cancelled before it ran", wall)
    if job.cancel_requested:
        return finish(job, "failed", "cancelled while running", wall)
    return msgspec.structs.replace(
        job,
        state="queued",
        # Never lower: workers remember the names of an earlier attempt's tasks.
        attempt=max(job.attempt, attempt),
        # Room made for others is no fault of the job: a rebuild that is evicted
        # every night would else end as failed without a failure.
        failures=job.failures + failed,
        members=(),
        cell="",
        reason=reason,
    )
