"""The jobs of one failure domain as the store has them, and updates of them."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from ..etcd.store import StoreClient
from ..exceptions import StoreConflict, StoreUnavailable, StoreUncertain
from ..models.entry import Committed, Compare, Entry, Put
from ..models.job import JobRecord
from ..utils.clocks import LogicalClock
from ..utils.codec import encode_json
from ..utils.identifiers import mint_write_id

logger = logging.getLogger(__name__)

JOB_PREFIX = "jobs/"

WRITE_RETRY_S = 0.5


class Ledger:
    """A leader's copy of the jobs, and its only way to write them.

    The mirrored prefix holds the jobs of all failure domains. That is enough for
    830 jobs a day; many more would need a prefix for each failure domain.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        failure_domain: str,
        term: Compare,
        on_superseded: Callable[[], None],
        logical: LogicalClock | None = None,
    ) -> None:
        """Create an empty ledger; ``term`` compares the leader's key.

        Every write includes that comparison. A leader that was paused after its
        last check of the clock may write beside its successor: the store refuses
        that write, as the leader's key has another revision by then or is gone.
        """
        self._store = store
        self._failure_domain = failure_domain
        self._term = term
        self._on_superseded = on_superseded
        self._logical = logical or LogicalClock()
        self.jobs: dict[str, JobRecord] = {}
        self._revisions: dict[str, int] = {}
        self.changed = asyncio.Event()

    def read_entries(self, entries: dict[str, Entry]) -> None:
        """Replace the jobs by the store's state of them."""
        for entry in entries.values():
            self._apply(entry)
        gone = set(self._revisions) - set(entries)
        for key in gone:
            del self._revisions[key]
            self.jobs.pop(key.removeprefix(JOB_PREFIX), None)
        self.changed.set()

    def _apply(self, entry: Entry) -> None:
        if entry.mod_revision <= self._revisions.get(entry.key, 0):
            # The mirror lags behind this leader's own writes.
            return
        job = msgspec.json.decode(entry.value, type=JobRecord)
        # On the timeline, events of a job must follow its acceptance and what
        # a former leader did with it.
        self._logical.merge(job.clock)
        self._revisions[entry.key] = entry.mod_revision
        if job.failure_domain == self._failure_domain:
            self.jobs[job.spec.id] = job

    async def write(
        self, job_id: str, change: Callable[[JobRecord], JobRecord | None]
    ) -> JobRecord | StoreConflict | StoreUnavailable | StoreUncertain:
        """Change a job by compare-and-swap, reading it again after a conflict.

        ``change`` returns None if the job in its current state must not be changed.
        """
        key = JOB_PREFIX + job_id
        write_ids: set[str] = set()
        while True:
            job = self.jobs.get(job_id)
            if job is None:
                return StoreConflict(reason="the job is not in the store")
            if job.write_id in write_ids:
                # An earlier write of this call has taken effect, its answer lost.
                return job
            updated = change(job) if job.epoch <= self._term.mod_revision else None
            if updated is None:
                return StoreConflict(
                    reason="the state or epoch of the job does not allow the change"
                )
            updated = msgspec.structs.replace(
                updated,
                write_id=mint_write_id(),
                epoch=self._term.mod_revision,
                clock=self._logical.advance(),
            )
            write_ids.add(updated.write_id)
            known_revision = self._revisions[key]
            result = await self._store.commit(
                [Compare(key, known_revision), self._term],
                [Put(key, encode_json(updated))],
            )
            if isinstance(result, Committed):
                self._revisions[key] = max(known_revision, result.revision)
                self.jobs[job_id] = updated
                return updated
            if isinstance(result, StoreUnavailable):
                return result
            # A caller cancelled the job meanwhile, or this write took effect and
            # its answer was lost: read the job before the next attempt.
            found: Any = await self._store.get(key)
            if isinstance(found, StoreUnavailable | StoreUncertain):
                return StoreUncertain(reason="the write could not be read back")
            if found is None:
                self.jobs.pop(job_id, None)
                continue
            if (
                isinstance(result, StoreConflict)
                and found.mod_revision == known_revision
            ):
                self._on_superseded()
                return StoreConflict(reason="another leader has been elected")
            # Take what was read even if it is older than the copy here, as after
            # a restore of the store. Comparing with a revision that the store no
            # longer has would fail forever.
            self._revisions.pop(key, None)
            self._apply(found)

    async def write_until_done(
        self, job_id: str, change: Callable[[JobRecord], JobRecord | None]
    ) -> JobRecord | StoreConflict:
        """Change a job, repeating the write until the store is available."""
        while True:
            result = await self.write(job_id, change)
            if isinstance(result, JobRecord | StoreConflict):
                return result
            await asyncio.sleep(WRITE_RETRY_S)
