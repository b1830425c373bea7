"""Store submissions and cancellations, and read the state of jobs."""

import asyncio
import dataclasses
import logging
from typing import Literal

from ..engine.progress import decode_progress, may_have_begun
from ..engine.state import TERMINAL, JobState
from ..exceptions import (
    JobGone,
    MalformedBody,
    NotFound,
    OutcomeUnknown,
    StoreUnavailable,
)
from ..models.message import StoreOutcome, StoreRecord
from ..platform.store import Conflict, Item, PlatformStore, Write
from ..utils.clocks import Clock
from .fleet import Fleet
from .keys import CANCELS, JOBS, PROGRESS
from .partition import PartitionDetector
from .store_probe import StoreProbe

logger = logging.getLogger(__name__)

Outcome = Literal["stored", "exists", "not_stored", "unknown"]

ATTEMPT_PAUSE_S = 0.06
"""Seconds between two attempts to store a record."""

REJECT_AFTER_S = 0.7
"""Seconds of definite failures after which a call is rejected. Waiting longer does not
help: the store either recovers within one retry or is unavailable for seconds."""

DIRECT_TIMEOUT_S = 0.8
"""Timeout of a direct write, in seconds; a healthy store answers in 4 ms."""

MIN_ATTEMPT_TIMEOUT_S = 0.02
"""Minimum seconds left for another attempt: the store answers in some 10 ms. With less
left, the caller is answered before its deadline instead."""

RELAY_TIMEOUT_S = 0.5
"""Timeout of a write through a peer, in seconds."""

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3.0
"""Bounds of the seconds after which callers should retry. An outage that has lasted
some seconds lasts about as long again, and callers retry only a few times: told to
retry after one second each time, they give up before the store recovers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A record is stored; ``created`` is false if it existed before."""

    created: bool


def choose_retry_after(outage_s: float) -> float:
    """Return when callers should retry, in seconds, given the outage so far."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, outage_s))


class Records:
    """Creates and reads client records in the store, directly or through a peer.

    Creating a record that may exist already is idempotent, so an attempt without an
    answer can be repeated until one reports whether the record is stored.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        fleet: Fleet,
        clock: Clock,
        partition_detector: PartitionDetector,
    ) -> None:
        """Write to ``store``, or through peers in ``fleet`` if it is unreachable."""
        self._partition_detector = partition_detector
        self._store = store
        self._probe = StoreProbe(store)
        self._fleet = fleet
        self._clock = clock

    async def create(
        self, key: str, value: bytes, *, until: float
    ) -> Stored | StoreUnavailable | OutcomeUnknown:
        """Create a record unless it exists, by ``until`` (monotonic seconds).

        ``StoreUnavailable`` means that this call has not stored it and never will;
        ``OutcomeUnknown`` means that it may be stored.
        """
        reject_at = min(until, self._clock.read_monotonic() + REJECT_AFTER_S)
        uncertain = False
        relay = False
        while True:
            now = self._clock.read_monotonic()
            if now + MIN_ATTEMPT_TIMEOUT_S >= (until if uncertain else reject_at):
                break
            if self._partition_detector.partitioned:
                # Answer now, so that the caller has time left to retry in another
                # failure domain. Creating the record twice is harmless.
                break
            outcome = await self._attempt(key, value, relay=relay, left_s=until - now)
            if outcome in ("stored", "exists"):
                return Stored(created=outcome == "stored")
            uncertain = uncertain or outcome == "unknown"
            relay = not relay
            await asyncio.sleep(ATTEMPT_PAUSE_S)
        if uncertain:
            return OutcomeUnknown(reason="the store did not answer in time")
        return StoreUnavailable(
            reason="the store is unavailable for writes",
            retry_after_s=choose_retry_after(self._store.unreachable_s(now)),
        )

    async def _attempt(
        self, key: str, value: bytes, *, relay: bool, left_s: float
    ) -> Outcome:
        if not relay:
            return await self.create_directly(
                key, value, timeout_s=min(DIRECT_TIMEOUT_S, left_s)
            )
        helper = self._fleet.find_store_helper()
        if helper is None:
            return "not_stored"
        reply = await self._fleet.ask(
            helper,
            StoreRecord(key=key, value=value),
            timeout_s=min(RELAY_TIMEOUT_S, left_s),
        )
        if isinstance(reply, StoreOutcome):
            return reply.outcome
        self._fleet.forget_store_helper(helper)
        return "unknown"

    async def create_directly(
        self, key: str, value: bytes, *, timeout_s: float
    ) -> Outcome:
        """Create a record in the store without the help of a peer.

        During an outage nothing is written: after a write without an answer the caller
        could not be told that it may safely retry.
        """
        until = self._clock.read_monotonic() + timeout_s
        if not await self._probe.answers(within_s=timeout_s):
            return "not_stored"
        result = await self._store.commit(
            expected=[(key, 0)],
            writes=[Write(key, value)],
            timeout_s=max(MIN_ATTEMPT_TIMEOUT_S, until - self._clock.read_monotonic()),
        )
        if isinstance(result, int):
            return "stored"
        if isinstance(result, Conflict):
            return "exists"
        return "not_stored" if isinstance(result, StoreUnavailable) else "unknown"

    async def read_state(
        self, job_id: str
    ) -> JobState | JobGone | StoreUnavailable | OutcomeUnknown:
        """Return the state of a job as recorded in the store."""
        accepted, cancelled = await asyncio.gather(
            self._store.read_item(JOBS + job_id),
            self._store.read_item(CANCELS + job_id),
        )
        # Read afterwards: an outcome that was stored before the cancellation stands.
        progress = await self._store.read_item(PROGRESS + job_id)
        for found in (accepted, cancelled, progress):
            if not isinstance(found, Item | NotFound):
                return OutcomeUnknown(reason=found.reason)
        if isinstance(accepted, NotFound):
            return JobGone(reason="no job has this id")
        state = _read_progress(progress) if isinstance(progress, Item) else None
        if isinstance(state, OutcomeUnknown) or state in TERMINAL:
            return state
        if isinstance(cancelled, Item):
            return JobState.CANCELLED
        return state or JobState.QUEUED

    async def exists(self, job_id: str, *, timeout_s: float) -> bool | OutcomeUnknown:
        """Return whether a job was accepted."""
        found = await self._store.read_item(JOBS + job_id, timeout_s=timeout_s)
        if isinstance(found, Item):
            return True
        if isinstance(found, NotFound):
            return False
        return OutcomeUnknown(reason=found.reason)


def _read_progress(item: Item) -> JobState | OutcomeUnknown:
    progress = decode_progress(item.value)
    if isinstance(progress, MalformedBody):
        logger.error("cannot decode progress record %s: %s", item.key, progress.reason)
        return OutcomeUnknown(reason="the record of the job's progress cannot be read")
    if progress.state is JobState.QUEUED and may_have_begun(progress):
        return JobState.RUNNING
    return progress.state
