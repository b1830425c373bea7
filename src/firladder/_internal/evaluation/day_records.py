"""The records of a simulated day, from which a new leader starts."""

import logging
from collections.abc import Collection

from ..engine.core import Core
from ..engine.progress import JobProgress, decode_progress, encode_progress
from ..exceptions import MalformedBody
from ..models.workload import AcceptedJob

logger = logging.getLogger(__name__)


class DayRecords:
    """The accepted jobs, and their durable progress if some leader will need it."""

    def __init__(self, *, keeps_progress: bool) -> None:
        """Start empty."""
        self._keeps_progress = keeps_progress
        self._accepted: dict[str, AcceptedJob] = {}
        self._progress: dict[str, bytes] = {}

    def add(self, accepted: AcceptedJob) -> None:
        """Record a job as accepted."""
        self._accepted[accepted.job_id] = accepted

    def write(self, core: Core) -> None:
        """Make all changes durable."""
        for job_id, job in list(core.dirty.items()):
            if self._keeps_progress:
                value = encode_progress(job, core.workers, wall_offset_s=0.0)
                self._progress[job_id] = value
            core.mark_durable(job_id, job.version)

    def restore(
        self, core: Core, former: Core, cancelled: Collection[str], *, now: float
    ) -> None:
        """Give a new leader the records, and what the former one's profiles encode."""
        recorded: dict[str, JobProgress] = {}
        for job_id, value in self._progress.items():
            found = decode_progress(value)
            if isinstance(found, MalformedBody):
                logger.error("cannot decode the progress of %s: %s", job_id, found)
                core.set_job_aside(job_id, found.reason)
            else:
                recorded[job_id] = found
        for job_id, accepted in self._accepted.items():
            core.add_job(accepted, recorded.get(job_id))
        for job_id in cancelled:
            core.cancel_job(job_id)
        core.restore_expiries(recorded, now=now, wall=now)
        self._restore_profiles(core, former, now)

    def _restore_profiles(self, core: Core, former: Core, now: float) -> None:
        # A core without a record of its profiles loses them with its leader.
        record = former.profiles.encode(now, wall=now)
        failure = core.profiles.restore(record, now, wall=now)
        if failure is not None:
            logger.error("cannot restore the profiles: %s", failure)
