"""Track the other processes of the fleet by heartbeats between them.

Membership has no coordinator: each process keeps its own table, which may differ
from another's, so nothing that needs agreement may depend on it.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from ..exceptions import PeerUnreachable
from ..models.message import (
    AnyBody,
    ConfigurationReply,
    FetchConfiguration,
    Heartbeat,
    HeartbeatAck,
)
from ..network.fabric import Fabric
from ..policies.membership import (
    SILENT_PERIODS,
    FleetView,
    PeerView,
    choose_contacts,
    find_expired,
    find_lost,
    measure_pause,
)
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from ..utils.tasks import TaskSet
from .configuration import ConfigurationHolder

GOSSIPED_ADDRESSES = 1
"""Peer addresses passed on with each heartbeat, so that new processes are found. A
process receives about 10 heartbeats per period, so one address each is enough."""


@dataclasses.dataclass(slots=True)
class Peer:
    """A process with the times of the last heartbeats from and to it (monotonic)."""

    heartbeat: Heartbeat
    heard_at: float
    asked_at: float = 0.0
    lost: bool = False

    def view(self) -> PeerView:
        """Return the peer as the membership policy sees it."""
        me = self.heartbeat.identity
        return PeerView(
            me.address,
            me.failure_domain,
            me.role,
            self.heard_at,
            self.asked_at,
            self.lost,
        )


class Membership:
    """This process's table of the fleet."""

    def __init__(
        self,
        *,
        fabric: Fabric,
        describe: Callable[[], Heartbeat],
        configuration: ConfigurationHolder,
        seeds: tuple[str, ...],
        period_s: float,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
    ) -> None:
        """Send ``describe()`` to peers every ``period_s``."""
        self._fabric = fabric
        self._describe = describe
        self._configuration = configuration
        self._seeds = seeds
        self.period_s = period_s
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._tasks = TaskSet()
        self.peers: dict[str, Peer] = {}
        self._learned_addresses: set[str] = set()
        fabric.handle(Heartbeat, self._answer_heartbeat)
        fabric.handle(FetchConfiguration, self._answer_fetch)

    def list_peers(
        self, *, role: str = "", failure_domain: str = ""
    ) -> list[Heartbeat]:
        """Return the last heartbeats of the peers that are alive."""
        return [
            p.heartbeat
            for p in self.peers.values()
            if not p.lost
            and role in ("", p.heartbeat.identity.role)
            and failure_domain in ("", p.heartbeat.identity.failure_domain)
        ]

    def list_all(self) -> list[Peer]:
        """Return all peers, lost ones included."""
        return list(self.peers.values())

    def find_newest_revision(self) -> int:
        """Return the highest revision that any peer, lost or not, has reported."""
        return max((p.heartbeat.revision for p in self.peers.values()), default=0)

    def sample_addresses(self) -> tuple[str, ...]:
        """Return addresses of random live peers to pass on."""
        alive = [a for a, p in self.peers.items() if not p.lost]
        return tuple(self._rng.sample(alive, min(GOSSIPED_ADDRESSES, len(alive))))

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            started = self._clock.read_monotonic()
            me = self._describe()
            for address in self._choose_contacts():
                if address in self.peers:
                    self.peers[address].asked_at = started
                self._tasks.spawn(
                    self._exchange_heartbeats(address, me), name="heartbeat"
                )
            await asyncio.sleep(self.period_s * self._rng.uniform(0.9, 1.1))
            self._discount_pause(self._clock.read_monotonic() - started)
            self._mark_lost_peers()
            self._fabric.close_idle_links()

    def _view(self) -> FleetView:
        me = self._describe().identity
        return FleetView(
            self._clock.read_monotonic(),
            self.period_s,
            me.failure_domain,
            me.role,
            tuple(peer.view() for peer in self.peers.values()),
        )

    def _choose_contacts(self) -> set[str]:
        unknown_addresses = (set(self._seeds) | self._learned_addresses) - set(
            self.peers
        )
        own = {self._describe().identity.address}
        return choose_contacts(
            self._view(), unknown_addresses=unknown_addresses - own, rng=self._rng
        )

    def announce(self, *, role: str) -> None:
        """Send a heartbeat to every live peer of a role now, outside the period."""
        me = self._describe()
        for heartbeat in self.list_peers(role=role):
            self._tasks.spawn(
                self._exchange_heartbeats(heartbeat.identity.address, me),
                name="announcement",
            )

    async def _exchange_heartbeats(self, address: str, me: Heartbeat) -> None:
        reply = await self._fabric.ask(
            address, me, timeout_s=self.period_s * SILENT_PERIODS / 2
        )
        if isinstance(reply, HeartbeatAck):
            self._update_peer(reply.heartbeat)

    async def _answer_heartbeat(self, body: Heartbeat) -> AnyBody:
        self._update_peer(body)
        return HeartbeatAck(heartbeat=self._describe())

    async def _answer_fetch(self, body: FetchConfiguration) -> AnyBody:
        current = self._configuration.current
        newer = current.revision > body.revision
        return ConfigurationReply(configuration=current if newer else None)

    def _update_peer(self, heartbeat: Heartbeat) -> None:
        address = heartbeat.identity.address
        known = self.peers.get(address)
        if known is None or known.lost or _has_restarted(known.heartbeat, heartbeat):
            self._timeline.record(
                Event.PEER_JOINED,
                peer=heartbeat.identity.vm,
                role=heartbeat.identity.role,
                domain=heartbeat.identity.failure_domain,
            )
        asked_at = known.asked_at if known else 0.0
        self.peers[address] = Peer(heartbeat, self._clock.read_monotonic(), asked_at)
        self._learned_addresses.discard(address)
        self._learned_addresses |= set(heartbeat.peers) - set(self.peers)
        if heartbeat.revision > self._configuration.current.revision:
            self._tasks.spawn(
                self._fetch_configuration(address), name="fetch-configuration"
            )

    async def _fetch_configuration(self, address: str) -> None:
        revision = self._configuration.current.revision
        reply = await self._fabric.ask(
            address, FetchConfiguration(revision=revision), timeout_s=2.0
        )
        if isinstance(reply, PeerUnreachable):
            return
        if isinstance(reply, ConfigurationReply) and reply.configuration is not None:
            self._configuration.adopt(reply.configuration, source=address)

    def _discount_pause(self, slept_s: float) -> None:
        pause_s = measure_pause(slept_s=slept_s, period_s=self.period_s)
        for peer in self.peers.values():
            peer.heard_at += pause_s

    def _mark_lost_peers(self) -> None:
        view = self._view()
        for address in find_lost(view):
            peer = self.peers[address]
            if not peer.lost:
                peer.lost = True
                self._timeline.record(
                    Event.PEER_LOST,
                    peer=peer.heartbeat.identity.vm,
                    role=peer.heartbeat.identity.role,
                    domain=peer.heartbeat.identity.failure_domain,
                )
        for address in find_expired(view):
            del self.peers[address]

    async def close(self) -> None:
        """Cancel the running tasks."""
        await self._tasks.close()


def _has_restarted(old: Heartbeat, new: Heartbeat) -> bool:
    return old.identity.incarnation != new.identity.incarnation
