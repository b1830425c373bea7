"""Choose one leader by a key under a lease, and keep it while it is proved."""

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
"""Seconds until the leader's key goes when it is not renewed: what a crash costs
before a successor acts. The store takes no less than one second."""

RENEWAL_INTERVAL_S = 0.45
"""Seconds between renewals: three may fail before the lease ends."""

RENEW_TIMEOUT_S = 0.7
"""Seconds for a renewal's answer; a slow store takes a quarter of a second."""

MAX_JITTER_S = 0.06
"""Seconds over which candidates spread: the first usually wins before the others
have spent calls on it."""


SMALL_LINK_MBPS = 50.0
"""Below it a VM takes seconds to read the records of a busy fleet."""

SMALL_PROCESSOR_CORES = 0.8
"""Below it a VM is slow to schedule for some two hundred workers."""

SMALL_VM_DELAY_S = 0.25
"""Seconds for which a small VM lets others go first, for each of the two: longer
than their jitter and their calls, shorter than what callers would notice."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderFitness:
    """How well a VM can lead: its link, and the delay of its campaigns in seconds."""

    link_mbps: float = 0.0
    delay_s: float = 0.0

    @property
    def has_small_link(self) -> bool:
        """Tell whether its link is too small for the orders of a busy fleet."""
        return self.link_mbps < SMALL_LINK_MBPS

    def yields_to(self, other: "LeaderFitness") -> bool:
        """Tell whether a leader of this standing gives way to the other VM.

        Among VMs with small links nothing is gained that is worth a hand-over.
        """
        better = other.delay_s < self.delay_s and not other.has_small_link
        return self.has_small_link and better


def choose_campaign_delay(*, processor_cores: float, link_mbps: float) -> float:
    """Return for how long a VM lets larger ones go first, in seconds.

    A leader on a small VM keeps its lease and yet cannot read the records in time,
    so that nothing is scheduled although somebody leads.
    """
    small = (link_mbps < SMALL_LINK_MBPS) + (processor_cores < SMALL_PROCESSOR_CORES)
    return small * SMALL_VM_DELAY_S


def measure_fitness(*, processor_cores: float, link_mbps: float) -> LeaderFitness:
    """Return how well a VM of this size can lead."""
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
    """Return the record, or None if it is none."""
    try:
        return msgspec.msgpack.decode(value, type=LeaderRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        logger.warning("leader's record cannot be read: %s", error)
        return None


class Leadership:
    """A leadership that was won: its token, and how long it is proved."""

    def __init__(
        self, *, store: PlatformStore, lease: int, token: int, now: float, clock: Clock
    ) -> None:
        """Hold the leadership under ``token`` since ``now``."""
        self._store = store
        self._clock = clock
        self.lease = lease
        self.token = token
        self.lease_valid_until = now + LEASE_S

    async def renew(self) -> LeaseEnded:
        """Renew the lease until it has ended."""
        while True:
            sent_at = self._clock.read_monotonic()
            answer = await self._store.renew_lease(
                self.lease, timeout_s=RENEW_TIMEOUT_S
            )
            if isinstance(answer, LeaseEnded):
                return answer
            if answer is None:
                # Counted from before the call: the store counts from its
                # arrival, which is later.
                self.lease_valid_until = sent_at + LEASE_S
            spent = self._clock.read_monotonic() - sent_at
            await asyncio.sleep(max(0.05, RENEWAL_INTERVAL_S - spent))

    async def resign(self) -> None:
        """Let the key go, so that a successor need not wait for the lease."""
        failure = await self._store.end_lease(self.lease)
        if failure is not None:
            logger.info("lease not ended: %s", failure.reason)


class Campaign:
    """Tries to win the leadership when nobody has it."""

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
        """Campaign for ``incarnation`` at ``ip``, ``delay_s`` after the others."""
        self._delay_s = delay_s
        self._store = store
        self._ip = ip
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng

    async def try_once(self) -> Leadership | Item | None:
        """Return the leadership, or the key of who has it, or None for neither."""
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
            await self._store.end_lease(lease)
            return result.find(LEADER)
        # Without an answer the key may be ours by now, or seconds later: the
        # next look finds it there and gives it back.
        return None

    async def _check_holder(self, held: Item) -> Item | None:
        record = decode_leader(held.value)
        if record is None or record.incarnation != self._incarnation:
            return held
        # A write of ours without an answer was carried out after we had given
        # it up. What we lead must begin from what the store holds now.
        await self._store.end_lease(record.lease)
        return None
