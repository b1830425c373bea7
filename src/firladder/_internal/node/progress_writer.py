"""Write the progress of jobs to the store, many jobs per transaction."""

import asyncio
import itertools
import logging
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from ..engine.core import Core
from ..engine.progress import encode_progress
from ..engine.state import TERMINAL, Job, JobState
from ..exceptions import LeaseEnded, NotLeader, StoreUnavailable, StoreUncertain
from ..platform.store import (
    MAX_TRANSACTION_ENTRIES,
    Conflict,
    Item,
    PlatformStore,
    Write,
)
from ..utils.clocks import Clock
from .keys import CANCELS, LEADER, PROGRESS

logger = logging.getLogger(__name__)

RETRY_S = 0.1
"""Seconds before a failed write is retried."""

LATE_END_S = 0.1
"""Seconds from which the time until an end is durable is logged. A write takes 4 ms,
and callers ask for the state some ten times a second."""

BATCH_DELAY_S = 0.002
"""Seconds for which changes are collected into one write: runs end in groups, and each
write is billed and takes the store 4 ms."""


class _Offer(NamedTuple):
    """A version of a job's record that may be stored."""

    version: int
    value: bytes


class ProgressWriter:
    """Writes the progress of changed jobs while the leader's key is this node's.

    A write whose answer was lost may take effect seconds later. Each write therefore
    compares the revision of the record that it replaces, so that a late write finds it
    changed and has no effect. A write that decides a job's outcome also compares the
    key of its cancellation, so that whichever is stored first stands.

    What a write contains is offered until its answer is known. A write without an
    answer stays uncertain until a later one succeeds, or its conflict shows the record:
    the newest uncertain version with the same bytes is the one that is stored.
    """

    def __init__(
        self,
        *,
        core: Core,
        store: PlatformStore,
        token: int,
        revisions: dict[str, int],
        clock: Clock,
        on_durable: Callable[[], None],
        on_write: Callable[[float], None] = lambda _took_s: None,
    ) -> None:
        """Write while the leader's key has the revision ``token``.

        ``on_write`` receives how long each write took, in seconds.
        """
        self._core = core
        self._store = store
        self._token = token
        self._revisions = revisions
        self._clock = clock
        self._on_durable = on_durable
        self._on_write = on_write
        self._wake = asyncio.Event()
        self._uncertain: defaultdict[str, list[_Offer]] = defaultdict(list)
        self.writes = 0

    def wake(self) -> None:
        """Write the changed jobs soon."""
        if self._core.dirty:
            self._wake.set()

    async def run(self) -> NotLeader:
        """Write until another node leads; return that failure."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._wake.clear()
            while self._core.dirty:
                failure = await self._write_batch()
                if isinstance(failure, NotLeader):
                    return failure
                if failure is not None:
                    await asyncio.sleep(RETRY_S)

    async def _write_batch(
        self,
    ) -> NotLeader | StoreUnavailable | StoreUncertain | None:
        jobs = self._choose_batch()
        offers = {i: _Offer(j.version, self._encode(j)) for i, j in jobs.items()}
        expected = [(LEADER, self._token)]
        expected += [(PROGRESS + i, self._revisions.get(i, 0)) for i in jobs]
        expected += [(CANCELS + i, 0) for i, j in jobs.items() if _decides(j)]
        before = {job_id: job.offered_version for job_id, job in jobs.items()}
        for job_id, job in jobs.items():
            job.offered_version = offers[job_id].version
        self.writes += 1
        began_at = self._clock.read_monotonic()
        result = await self._store.commit(
            expected=expected,
            writes=[Write(PROGRESS + i, o.value) for i, o in offers.items()],
        )
        self._on_write(self._clock.read_monotonic() - began_at)
        if isinstance(result, int):
            for job_id, offer in offers.items():
                self._confirm(jobs[job_id], offer.version, result)
            self._on_durable()
            return None
        if isinstance(result, StoreUncertain):
            for job_id, offer in offers.items():
                self._uncertain[job_id].append(offer)
            return result
        for job_id, job in jobs.items():
            job.offered_version = before[job_id]
        if isinstance(result, Conflict):
            return self._read_conflict(result, jobs)
        if isinstance(result, LeaseEnded):
            return NotLeader(reason=result.reason)
        return result

    def _choose_batch(self) -> dict[str, Job]:
        dirty = self._core.dirty
        sizes = (2 + _decides(job) for job in dirty.values())
        totals = itertools.accumulate(sizes)
        fitting = itertools.takewhile(
            lambda row: row[1] < MAX_TRANSACTION_ENTRIES,
            zip(dirty.items(), totals, strict=True),
        )
        return dict(item for item, _ in fitting)

    def _confirm(self, job: Job, version: int, revision: int) -> None:
        """Record that a version is stored, and that no older write can follow it."""
        job_id = job.accepted.job_id
        self._revisions[job_id] = revision
        self._uncertain.pop(job_id, None)
        job.offered_version = version
        self._core.mark_durable(job_id, version)
        self._note_late_end(job, version)

    def _read_stored(self, job: Job, item: Item) -> None:
        offers = self._uncertain.get(job.accepted.job_id, [])
        stored = [o.version for o in offers if o.value == item.value]
        if stored:
            self._confirm(job, max(stored), item.revision)

    def _note_late_end(self, job: Job, version: int) -> None:
        took_s = self._clock.read_wall() - job.ended_at
        if version != job.outcome_version or not job.settled or took_s < LATE_END_S:
            return
        logger.info(
            "end durable late",
            extra={"job": job.accepted.job_id, "took_s": round(took_s, 3)},
        )

    def _encode(self, job: Job) -> bytes:
        if job.state in TERMINAL and not job.ended_at:
            job.ended_at = self._clock.read_wall()
        # In this order: if the process stands still between, expiries are late.
        now = self._clock.read_monotonic()
        wall_offset_s = self._clock.read_wall() - now
        return encode_progress(job, self._core.workers, wall_offset_s)

    def _read_conflict(
        self, conflict: Conflict, jobs: dict[str, Job]
    ) -> NotLeader | None:
        leader = conflict.find(LEADER)
        if leader is None or leader.revision != self._token:
            return NotLeader(
                reason="the leader's key belongs to another node or is gone"
            )
        # Only the leader writes progress, so a changed record was changed by an
        # earlier write of this term whose answer was lost. The other cause of a
        # conflict is a cancellation that was stored before the outcome.
        for job_id, job in jobs.items():
            item = conflict.find(PROGRESS + job_id)
            revision = item.revision if item is not None else 0
            if item is not None and revision != self._revisions.get(job_id, 0):
                self._read_stored(job, item)
            self._revisions[job_id] = revision
            if conflict.find(CANCELS + job_id) is not None:
                self._core.confirm_cancellation(job_id)
        self._on_durable()
        logger.info(
            "conflict with an earlier write of this leader",
            extra={"jobs": len(jobs)},
        )
        return None


def _decides(job: Job) -> bool:
    """Return whether a write of the job would decide its outcome.

    A job that has been cancelled is shown as cancelled from then on, by nodes that read
    the records, unless its record has another outcome.
    """
    return job.terminal and not job.settled and job.state is not JobState.CANCELLED
