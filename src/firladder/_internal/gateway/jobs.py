"""Accept, look up and cancel jobs, which are kept in the platform's store."""

import asyncio
from collections import Counter

import msgspec

from ..etcd.inventory import Inventory
from ..etcd.store import StoreClient
from ..exceptions import (
    DuplicateId,
    Failure,
    InvalidValue,
    NotFound,
    StoreConflict,
    StoreUnavailable,
    StoreUncertain,
)
from ..fleet.configuration import ConfigurationHolder
from ..models.entry import Committed, Compare, Entry, Put
from ..models.job import JobRecord, JobSpec
from ..policies.domain_selection import choose_domain
from ..policies.selectors import find_steering
from ..utils.clocks import Clock
from ..utils.codec import encode_json
from ..utils.events import Event, Timeline
from ..utils.identifiers import digest_bytes, mint_write_id
from .attempts import make_not_ready_failure

PREFIX = "jobs/"

MAX_CANCEL_ATTEMPTS = 5

RETRY_AFTER_S = 2.0


class JobHandler:
    """Handle calls about jobs at this gateway."""

    def __init__(
        self,
        *,
        store: StoreClient,
        configuration: ConfigurationHolder,
        inventory: Inventory,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        """Write jobs to ``store``, and accepted ones to ``timeline``."""
        self._store = store
        self._configuration = configuration
        self._inventory = inventory
        self._clock = clock
        self._timeline = timeline
        self._load: Counter[str] = Counter()

    async def submit(self, spec: JobSpec) -> JobRecord | Failure:
        """Accept a job; it is stored before this returns."""
        record = self._prepare(spec)
        if isinstance(record, Failure):
            return record
        key, stamped = PREFIX + spec.id, record.clock
        result = await self._store.commit(
            [Compare(key, 0)], [Put(key, encode_json(record))]
        )
        if isinstance(result, StoreUnavailable):
            return msgspec.structs.replace(result, retry_after_s=RETRY_AFTER_S)
        if not isinstance(result, Committed):
            found = await self._read_back(spec, record)
            if not isinstance(found, JobRecord):
                return found
            if found.submitted_at != record.submitted_at:
                # Accepted by an earlier attempt, which has its own logical time.
                stamped = self._timeline.logical.merge(found.clock)
            record = found
        self._load[record.failure_domain] += 1
        self._timeline.record_at(
            stamped,
            Event.JOB_ACCEPTED,
            job=spec.id,
            failure_domain=record.failure_domain,
        )
        return record

    def _prepare(self, spec: JobSpec) -> JobRecord | Failure:
        configuration = self._configuration.current
        if not self._configuration.loaded:
            return make_not_ready_failure()
        if spec.organisation not in configuration.organisations:
            return InvalidValue(
                reason=f"no organisation {spec.organisation!r}", field="organisation"
            )
        steering = find_steering(
            configuration,
            organisation=spec.organisation,
            urgency=spec.urgency,
            labels=spec.labels,
        )
        domain = choose_domain(
            spec,
            organisation=steering.organisation,
            selector=steering.workers,
            configuration=configuration,
            workers=self._inventory.list_role("worker"),
            load=self._load,
        )
        if isinstance(domain, Failure):
            return domain
        return JobRecord(
            spec=spec,
            failure_domain=domain,
            submitted_at=self._clock.read_wall(),
            spec_digest=digest_bytes(encode_json(spec)),
            write_id=mint_write_id(),
            clock=self._timeline.stamp(),
        )

    async def _read_back(self, spec: JobSpec, record: JobRecord) -> JobRecord | Failure:
        # Either the id was used before, or this write was applied and its answer
        # was lost. The digest shows whether it is the same job.
        found = await self.find(spec.id)
        if isinstance(found, NotFound):
            return StoreUnavailable(
                reason="the store did not accept the job", retry_after_s=RETRY_AFTER_S
            )
        if isinstance(found, Failure):
            return StoreUncertain(
                reason="the job may have been accepted; submit it again with its id",
                retry_after_s=RETRY_AFTER_S,
            )
        if found.spec_digest != record.spec_digest:
            return DuplicateId(reason="this id had another body before", field="id")
        return found

    async def find(self, job_id: str) -> JobRecord | Failure:
        """Return a job as stored."""
        entry = await self._store.get(PREFIX + job_id)
        if isinstance(entry, Failure):
            return msgspec.structs.replace(entry, retry_after_s=RETRY_AFTER_S)
        if entry is None:
            return NotFound(reason=f"no job {job_id!r}", field="id")
        return decode_job(entry)

    async def list_jobs(
        self, *, organisation: str = "", state: str = ""
    ) -> list[JobRecord] | Failure:
        """Return all jobs, or those of an organisation or in a state."""
        found = await self._store.range(PREFIX)
        if isinstance(found, Failure):
            return msgspec.structs.replace(found, retry_after_s=RETRY_AFTER_S)
        return [
            job
            for job in map(decode_job, found.entries)
            if organisation in ("", job.spec.organisation) and state in ("", job.state)
        ]

    async def cancel(self, job_id: str) -> JobRecord | Failure:
        """Request the cancellation of a job; its leader carries it out."""
        for _ in range(MAX_CANCEL_ATTEMPTS):
            entry = await self._store.get(PREFIX + job_id)
            if isinstance(entry, Failure):
                return msgspec.structs.replace(entry, retry_after_s=RETRY_AFTER_S)
            if entry is None:
                return NotFound(reason=f"no job {job_id!r}", field="id")
            job = decode_job(entry)
            if job.state == "finished" or job.cancel_requested:
                return job
            clock = self._timeline.stamp()
            updated = msgspec.structs.replace(
                job, cancel_requested=True, write_id=mint_write_id(), clock=clock
            )
            result = await self._store.commit(
                [Compare(entry.key, entry.mod_revision)],
                [Put(entry.key, encode_json(updated))],
            )
            if isinstance(result, Committed):
                self._timeline.record_at(clock, Event.JOB_CANCEL_ACCEPTED, job=job_id)
                return updated
            # The leader wrote first, or the answer was lost: read the job again.
            await asyncio.sleep(0)
        return StoreConflict(
            reason="the job is being changed concurrently; try again", retry_after_s=1.0
        )


def decode_job(entry: Entry) -> JobRecord:
    """Return the job stored in an entry."""
    return msgspec.json.decode(entry.value, type=JobRecord)
