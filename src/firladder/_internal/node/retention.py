"""Forget ended jobs when the time for which callers may ask for them is over."""

import asyncio
import logging

from ..engine.core import Core
from ..exceptions import Failure
from ..platform.store import PlatformStore
from ..utils.clocks import Clock
from .keys import CANCELS, JOBS, PROGRESS

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 15.0
"""Seconds between two searches for jobs to forget."""

MAX_JOBS_PER_SWEEP = 8
"""Jobs forgotten in one search at most, a write each: the store takes few a second."""

RETENTION_MARGIN_S = 30.0
"""Seconds that an ended job is kept beyond what callers are promised."""


class Retention:
    """Removes what the store and the core hold of jobs that ended long ago."""

    def __init__(
        self,
        *,
        core: Core,
        store: PlatformStore,
        clock: Clock,
        kept_s: float,
        revisions: dict[str, int],
    ) -> None:
        """Keep ended jobs for ``kept_s`` seconds; ``revisions`` are the records'."""
        self._core = core
        self._store = store
        self._clock = clock
        self._kept_s = kept_s
        self._revisions = revisions

    async def run(self) -> None:
        """Search for old jobs now and then."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            await self._sweep()

    async def _sweep(self) -> None:
        before = self._clock.read_wall() - self._kept_s - RETENTION_MARGIN_S
        old = [
            job_id
            for job_id, job in self._core.jobs.items()
            if job.terminal
            and 0 < job.ended_at < before
            and job.durable_version >= job.version
        ]
        for job_id in old[:MAX_JOBS_PER_SWEEP]:
            keys = [JOBS + job_id, CANCELS + job_id, PROGRESS + job_id]
            result = await self._store.commit(expected=[], remove=keys)
            if isinstance(result, Failure):
                logger.info("old job not removed: %s", result.reason)
                return
            self._core.forget_job(job_id)
            self._revisions.pop(job_id, None)
