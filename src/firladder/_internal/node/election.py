"""Elect one leader by a key under a lease, and renew the lease."""

import asyncio
import dataclasses
import logging
import random

import msgspec

from ..exceptions import LeaseEnded, StoreUnavailable, StoreUncertain
from ..platform.store import Conflict, Item, PlatformStore, Write
from ..utils.clocks import Clock
from .keys import LEADER

logger = logging.getLogger(__name__)

LEASE_S = 1.5
"""Duration of the leader's lease, in seconds: how long a crash delays a successor. The
store accepts no less than one second."""

RENEWAL_INTERVAL_S = 0.45
"""Seconds between lease renewals; three may fail before the lease ends."""

RENEW_TIMEOUT_S = 0.7
"""Timeout of a renewal, in seconds; a slow store takes a quarter of a second."""

MAX_JITTER_S = 0.06
"""Maximum random delay of a campaign, in seconds: the first candidate usually wins
before the others have made any call."""


SMALL_LINK_MBPS = 50.0
"""Below this, a VM takes seconds to read the records of a busy fleet."""

SMALL_PROCESSOR_CORES = 0.8
"""Below this, a VM is slow to schedule for some two hundred workers."""

SMALL_VM_DELAY_S = 0.25
"""Campaign delay, in seconds, for a small link and again for a small processor: longer
than the jitter and the calls of other candidates, too short for callers to notice."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderFitness:
    """How well a VM can lead: its link, and its campaign delay in seconds."""

    link_mbps: float = 0.0
    delay_s: float = 0.0

    @property
    def has_small_link(self) -> bool:
        """Return whether the link is too small for the orders of a busy fleet."""
        return self.link_mbps < SMALL_LINK_MBPS

    def yields_to(self, other: "LeaderFitness") -> bool:
        """Return whether a leader of this fitness should hand over to the other VM.

        A handover between VMs with small links gains too little.
        """
        better = other.delay_s < self.delay_s and not other.has_small_link
        return self.has_small_link and better


def choose_campaign_delay(*, processor_cores: float, link_mbps: float) -> float:
    """Return how long a VM delays its campaigns in favour of larger VMs, in seconds.

    A leader on a small VM may keep its lease without being able to read the records in
    time, so that nothing is scheduled although there is a leader.
    """
    small = (link_mbps < SMALL_LINK_MBPS) + (processor_cores < SMALL_PROCESSOR_CORES)
    return small * SMALL_VM_DELAY_S


def measure_fitness(*, processor_cores: float, link_mbps: float) -> LeaderFitness:
    """Return the fitness to lead of a VM of this size."""
    delay_s = choose_campaign_delay(
        processor_cores=processor_cores, link_mbps=link_mbps
    )
    return LeaderFitness(link_mbps, delay_s)


class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """The value of the leader's key."""

    ip: str
    incarnation: str
    lease: int


def decode_leader(value: bytes) -> LeaderRecord | None:
    """Return the decoded record, or None if it is malformed."""
    try:
        return msgspec.msgpack.decode(value, type=LeaderRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        logger.warning("cannot decode the leader's record: %s", error)
        return None


class Leadership:
    """A leadership that this node holds: its fencing token and its lease."""

    def __init__(
        self, *, store: PlatformStore, lease: int, token: int, now: float, clock: Clock
    ) -> None:
        """Hold the leadership with ``token``, under a lease requested at ``now``."""
        self._store = store
        self._clock = clock
        self.lease = lease
        self.token = token
        self.lease_valid_until = now + LEASE_S

    async def renew(self) -> LeaseEnded:
        """Renew the lease periodically until it has ended."""
        while True:
            sent_at = self._clock.read_monotonic()
            answer = await self._store.renew_lease(
                self.lease, timeout_s=RENEW_TIMEOUT_S
            )
            if isinstance(answer, LeaseEnded):
                return answer
            if answer is None:
                # Counted from before the call, as the store counts from its
                # arrival, which is later.
                self.lease_valid_until = sent_at + LEASE_S
            spent = self._clock.read_monotonic() - sent_at
            await asyncio.sleep(max(0.05, RENEWAL_INTERVAL_S - spent))

    async def resign(self) -> None:
        """End the lease, so that a successor need not wait for its expiry."""
        failure = await self._store.revoke_lease(self.lease)
        if failure is not None:
            logger.info("failed to end the leader's lease: %s", failure.reason)


class Campaign:
    """Tries to become leader while there is none."""

    def __init__(
        self,
        *,
        store: PlatformStore,
        ip: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        delay_s: float = 0.0,
    ) -> None:
        """Campaign for ``incarnation`` at ``ip``; delay each attempt by ``delay_s``."""
        self._delay_s = delay_s
        self._store = store
        self._ip = ip
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng

    async def try_once(self) -> Leadership | Item | None:
        """Return the leadership, or the key of another leader, or None for neither."""
        await asyncio.sleep(self._delay_s + self._rng.uniform(0, MAX_JITTER_S))
        held = await self._store.read_item(LEADER)
        if isinstance(held, Item):
            return await self._check_holder(held)
        if isinstance(held, StoreUnavailable | StoreUncertain):
            return None
        started_at = self._clock.read_monotonic()
        lease = await self._store.grant_lease(LEASE_S)
        if not isinstance(lease, int):
            return None
        record = LeaderRecord(self._ip, self._incarnation, lease)
        result = await self._store.commit(
            expected=[(LEADER, 0)],
            writes=[Write(LEADER, msgspec.msgpack.encode(record), lease)],
        )
        if isinstance(result, int):
            return Leadership(
                store=self._store,
                lease=lease,
                token=result,
                now=started_at,
                clock=self._clock,
            )
        if isinstance(result, Conflict):
            await self._store.revoke_lease(lease)
            return result.find(LEADER)
        # Without an answer the key may be written now or seconds later. A later
        # attempt then finds it and ends its lease.
        return None

    async def _check_holder(self, held: Item) -> Item | None:
        record = decode_leader(held.value)
        if record is None or record.incarnation != self._incarnation:
            return held
        # An earlier write of this node took effect after it had timed out. End its
        # lease and campaign again, to lead from the current contents of the store.
        await self._store.revoke_lease(record.lease)
        return None
