"""Delete ended jobs after the time for which callers may read their state."""

import asyncio
import logging

from ..engine.core import Core
from ..exceptions import Failure
from ..platform.store import Conflict, PlatformStore
from ..utils.clocks import Clock
from .keys import CANCELS, JOBS, LEADER, PROGRESS

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 15.0
"""Seconds between two sweeps."""

MAX_JOBS_PER_SWEEP = 8
"""Maximum jobs deleted in one sweep, one write each: the store takes few a second."""

RETENTION_MARGIN_S = 30.0
"""Seconds that an ended job is kept beyond the time promised to callers."""


class Retention:
    """Deletes jobs that ended long ago from the store and the core.

    Each deletion compares the leader's key. A late one could otherwise reach the store
    while a successor reads it, which would find the job without its progress.
    """

    def __init__(
        self,
        *,
        core: Core,
        store: PlatformStore,
        token: int,
        clock: Clock,
        retention_s: float,
        revisions: dict[str, int],
    ) -> None:
        """Keep ended jobs for ``retention_s`` seconds.

        Jobs are deleted only while the leader's key has the revision ``token``.
        ``revisions`` holds the revision of each progress record, by job ID; those of
        deleted jobs are removed.
        """
        self._core = core
        self._store = store
        self._token = token
        self._clock = clock
        self._retention_s = retention_s
        self._revisions = revisions

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            await self._sweep()

    async def _sweep(self) -> None:
        before = self._clock.read_wall() - self._retention_s - RETENTION_MARGIN_S
        old = [
            job_id
            for job_id, job in self._core.jobs.items()
            if job.terminal
            and 0 < job.ended_at < before
            and job.durable_version >= job.version
        ]
        for job_id in old[:MAX_JOBS_PER_SWEEP]:
            keys = [JOBS + job_id, CANCELS + job_id, PROGRESS + job_id]
            result = await self._store.commit(
                expected=[(LEADER, self._token)], remove=keys
            )
            if isinstance(result, Conflict):
                logger.info("an old job is left to another leader")
                return
            if isinstance(result, Failure):
                logger.info("failed to delete an old job: %s", result.reason)
                return
            self._core.forget_job(job_id)
            self._revisions.pop(job_id, None)
