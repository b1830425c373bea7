"""Election of a failure domain's leader by a lease in the store.

The epoch of a leader is the store's revision at which its key was created, so a
later leader's is always higher. Workers obey the highest epoch they have seen.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from ..charts.interpreter import Chart, ChartInstance
from ..etcd.store import CALL_TIMEOUT_S, StoreClient
from ..exceptions import StoreConflict, StoreUnavailable, StoreUncertain
from ..models.entry import Committed, Compare, Lease, Put
from ..models.message import Heartbeat, Identity
from ..utils.clocks import Clock
from ..utils.codec import encode_json
from ..utils.events import Event, Timeline
from ..utils.identifiers import mint_write_id

logger = logging.getLogger(__name__)

LEADER_PREFIX = "leaders/"

LEASE_MARGIN_SHARE = 0.1
"""Share of the lease that is left unused, to allow for clocks that run at different
speeds and for commands in flight."""


class LeaderRecord(msgspec.Struct, frozen=True):
    """The value of a leader's key."""

    vm: str
    incarnation: str
    address: str
    write_id: str


class Leadership:
    """Candidacy and leadership of this scheduler in its failure domain."""

    def __init__(
        self,
        *,
        identity: Identity,
        store: StoreClient,
        ttl_s: int,
        chart: Chart,
        clock: Clock,
        timeline: Timeline,
        list_peers: Callable[[], list[Heartbeat]] = list,
    ) -> None:
        """Prepare to stand for election with leases of ``ttl_s`` seconds.

        ``list_peers`` returns the other live schedulers of the failure domain.
        """
        self._identity = identity
        self._store = store
        self._ttl_s = ttl_s
        self._clock = clock
        self._timeline = timeline
        self._list_peers = list_peers
        self._lease: Lease | None = None
        self._valid_until = 0.0
        self._isolated_since = 0.0
        self._chart = ChartInstance(chart)
        self.epoch = 0
        self.changed = asyncio.Event()

    @property
    def state(self) -> str:
        """Return the present state of the leadership chart."""
        return self._chart.state

    @property
    def key(self) -> str:
        """Return the leader's key of this failure domain."""
        return LEADER_PREFIX + self._identity.failure_domain

    @property
    def isolated(self) -> bool:
        """Return whether this process leads without the store."""
        return self._chart.state == "isolated"

    @property
    def elected_epoch(self) -> int:
        """Return the epoch of the current term, or 0 without one."""
        return 0 if self._chart.state in ("following", "stopped") else self.epoch

    def is_current_term(self, epoch: int) -> bool:
        """Return whether the term of this epoch is still the current one here.

        Unlike ``may_act`` this stays true while a renewal is late. Work that was
        given up at that moment would not be resumed for the rest of the term.
        """
        return self.elected_epoch == epoch

    @property
    def isolated_start_delay_s(self) -> float:
        """Return for how many seconds an isolated leader starts no gang.

        A peer reports that it cannot reach the store only after a call has timed
        out; until then a successor may be elected.
        """
        return self._ttl_s + CALL_TIMEOUT_S

    def may_act(self, epoch: int | None = None) -> bool:
        """Return whether a command may be sent at this moment.

        A process that was paused beyond its lease resumes in the middle of its
        code and would go on commanding workers beside its successor. Checking
        the clock before every command prevents that. With ``epoch``, work begun
        in an earlier term is refused too; it would otherwise send commands under
        the epoch of a later term.
        """
        if epoch is not None and epoch != self.epoch:
            return False
        leading = self._chart.state in ("claiming", "leading", "isolated")
        return leading and self._clock.read_monotonic() < self._valid_until

    def may_start(self, epoch: int | None = None) -> bool:
        """Return whether new gangs may be started.

        An isolated leader waits until its peers have had time to report whether
        they reach the store: if one does, a successor will soon place gangs too.
        """
        if not self.may_act(epoch):
            return False
        isolated_s = self._clock.read_monotonic() - self._isolated_since
        return not self.isolated or isolated_s >= self.isolated_start_delay_s

    async def run(self) -> None:
        """Stand for election, or renew the lease while elected, until stopped."""
        while self._chart.state != "stopped":
            if self._chart.state == "following":
                await self._campaign()
            else:
                await self._renew()
            await asyncio.sleep(self._ttl_s / 3)

    async def _campaign(self) -> None:
        entry = await self._store.get(self.key)
        if entry is not None:
            return
        started = self._clock.read_monotonic()
        timeout_s = min(CALL_TIMEOUT_S, self._ttl_s / 3)
        lease = await self._store.grant_lease(self._ttl_s, timeout_s=timeout_s)
        if not isinstance(lease, Lease):
            return
        record = LeaderRecord(
            self._identity.vm,
            self._identity.incarnation,
            self._identity.address,
            mint_write_id(),
        )
        result = await self._store.commit(
            [Compare(self.key, 0)],
            [Put(self.key, encode_json(record), lease.id)],
            timeout_s=timeout_s,
        )
        epoch = await self._read_epoch(record, result)
        if epoch is None:
            return
        if self._chart.state != "following":
            # Stopped while the answer was in flight. The key would block every
            # other candidate until the lease expires.
            await self._store.revoke_lease(lease)
            return
        self._lease, self.epoch = lease, epoch
        self._extend_lease(started, lease.ttl_s)
        self._change_state("win", Event.LEADERSHIP_GAINED)

    async def _read_epoch(
        self,
        record: LeaderRecord,
        result: Committed | StoreConflict | StoreUnavailable | StoreUncertain,
    ) -> int | None:
        if isinstance(result, Committed):
            return result.revision
        if isinstance(result, StoreConflict | StoreUnavailable):
            return None
        # The key may have been created although the answer was lost. Without
        # this read the failure domain would have no leader until it expires.
        entry = await self._store.get(self.key)
        if entry is None or isinstance(entry, StoreUnavailable | StoreUncertain):
            return None
        found = msgspec.json.decode(entry.value, type=LeaderRecord)
        return entry.mod_revision if found.write_id == record.write_id else None

    def _extend_lease(self, sent_at: float, ttl_s: float) -> None:
        # In the store the lease starts when the call arrives, never before it
        # was sent.
        self._valid_until = sent_at + ttl_s * (1 - LEASE_MARGIN_SHARE)

    async def _renew(self) -> None:
        assert self._lease is not None
        sent_at = self._clock.read_monotonic()
        lease = self._lease
        result = await self._store.renew_lease(lease, timeout_s=self._ttl_s / 3)
        if self._lease is not lease:
            # Stopped, or stepped down, while the answer was in flight.
            return
        if isinstance(result, Lease):
            self._extend_lease(sent_at, result.ttl_s)
            if self._chart.state == "isolated":
                self._change_state("rejoin", Event.LEADERSHIP_GAINED)
            return
        if isinstance(result, StoreConflict):
            self.step_down("the lease has expired")
            return
        self._lead_without_store(sent_at)

    def _lead_without_store(self, sent_at: float) -> None:
        """Go on leading during an outage, unless a peer can lead with the store.

        Stepping down would end every running gang of the failure domain; going
        on although a peer is elected would let two leaders place at once.
        """
        peers = self._list_peers()
        if any(p.leading > self.epoch for p in peers):
            self.step_down("a peer leads under a higher epoch")
            return
        now = self._clock.read_monotonic()
        if not self.isolated:
            if now < self._valid_until:
                return
            self._isolated_since = now
            self._change_state("cut_off", Event.LEADERSHIP_ISOLATED)
        elif now - self._isolated_since >= self.isolated_start_delay_s and any(
            p.store_reachable for p in peers
        ):
            self.step_down("a peer still reaches the store")
            return
        # The leader extends its own lease, counted from its last attempt to renew
        # it: after a pause longer than a lease it may not act, and its next attempt
        # checks for a successor first.
        self._valid_until = sent_at + self._ttl_s

    def finish_claiming(self) -> None:
        """Enter "leading", now that every reachable worker obeys this epoch."""
        self._chart.fire("claimed")

    def step_down(self, reason: str) -> None:
        """Stop leading at once."""
        if self._chart.state in ("following", "stopped"):
            return
        self._valid_until = 0.0
        self._lease = None
        self._change_state("lose", Event.LEADERSHIP_LOST, reason=reason)
        self.epoch = 0

    def _change_state(self, event: str, record: Event, **details: Any) -> None:
        illegal = self._chart.fire(event)
        assert illegal is None, illegal
        self._timeline.record(record, epoch=self.epoch, **details)
        self.changed.set()

    async def resign(self) -> None:
        """Revoke the lease, so that a successor need not wait until it expires."""
        lease, self._lease = self._lease, None
        self._valid_until = 0.0
        self._chart.fire("stop")
        self.changed.set()
        if lease is not None:
            await self._store.revoke_lease(lease)
