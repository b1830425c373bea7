"""Peers: who there is, who leads, and which configuration is the newest.

Nothing that must be agreed on rests on this. It carries the configuration to
nodes that the store turns away, and tells callers' nodes where the leader is.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from ..exceptions import PeerUnreachable
from ..models.message import (
    AnyBody,
    GreetNode,
    NodeView,
    Received,
    SpreadConfiguration,
)
from ..network.fabric import Fabric
from ..utils.clocks import Clock
from ..utils.tasks import TaskSet
from .configuration import ConfigurationStore

logger = logging.getLogger(__name__)

GREET_S = 0.5
"""Seconds between two greetings: a configuration that one node has reaches a
node without the store within a second, inside the two that operators are
promised."""

GREET_TIMEOUT_S = 0.4
"""Seconds for the answer; nodes are about a millisecond apart."""

FORGET_S = 20.0
"""Seconds of silence after which a peer is no longer greeted."""

MOST_PEERS = 64
"""Peers named in one answer; enough for a newcomer to reach the whole fleet."""


class Fleet:
    """This node's view of the other nodes."""

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        seeds: tuple[str, ...],
        fabric: Fabric,
        configuration: ConfigurationStore,
        clock: Clock,
        rng: random.Random,
        reaches_store: Callable[[], bool],
    ) -> None:
        """Know ``seeds`` (IP numbers) to begin with."""
        self._reaches_store = reaches_store
        self._store_seen: dict[str, bool] = {}
        self._ip = ip
        self._port = port
        self._fabric = fabric
        self._configuration = configuration
        self._clock = clock
        self._rng = rng
        self._tasks = TaskSet()
        self._heard: dict[str, float] = {}
        self._seeds = tuple(s for s in seeds if s != ip)
        self.leader_ip = ""
        self.leader_token = 0
        self.on_leader: list[Callable[[], None]] = []
        fabric.handle(GreetNode, self._answer_greeting)
        fabric.handle(SpreadConfiguration, self._take_configuration)

    @property
    def leads(self) -> bool:
        """Tell whether the leader known is this node."""
        return self.leader_ip == self._ip

    def list_peers(self) -> list[str]:
        """Return the IP numbers of all nodes that may be alive."""
        now = self._clock.read_monotonic()
        for ip in [ip for ip, at in self._heard.items() if now - at > FORGET_S]:
            del self._heard[ip]
        return list({*self._heard, *self._seeds})

    def find_store_helper(self) -> str | None:
        """Return a peer that lately reached the store, the leader first.

        When the store is down for all there is none: asking peers then only adds
        messages that may be lost, and a caller that could be told "not stored"
        would have to be told "unknown".
        """
        able = [ip for ip in self.list_peers() if self._store_seen.get(ip)]
        if self.leader_ip in able:
            return self.leader_ip
        return self._rng.choice(able) if able else None

    def note_leader(self, ip: str, token: int) -> None:
        """Take the leader with the highest token."""
        if token <= self.leader_token:
            return
        self.leader_ip, self.leader_token = ip, token
        for listener in self.on_leader:
            listener()

    def forget_leader(self, token: int) -> None:
        """Note that the leader with ``token`` has gone."""
        if token >= self.leader_token:
            self.leader_ip = ""

    async def ask(
        self, ip: str, body: AnyBody, *, timeout_s: float
    ) -> AnyBody | PeerUnreachable:
        """Ask a node."""
        return await self._fabric.ask(f"{ip}:{self._port}", body, timeout_s=timeout_s)

    async def ask_leader(
        self, body: AnyBody, *, timeout_s: float
    ) -> AnyBody | PeerUnreachable:
        """Ask the leader known at the moment."""
        if not self.leader_ip:
            return PeerUnreachable(reason="no leader is known")
        return await self.ask(self.leader_ip, body, timeout_s=timeout_s)

    def start(self) -> None:
        """Greet peers until closed."""
        self._tasks.spawn(self._greet_all(), name="greet")

    async def close(self) -> None:
        """Stop greeting."""
        await self._tasks.close()

    def spread_configuration(self) -> None:
        """Pass the configuration in force on to all peers at once."""
        body = SpreadConfiguration(configuration=self._configuration.raw)
        for ip in self.list_peers():
            self._tasks.spawn(
                self.ask(ip, body, timeout_s=GREET_TIMEOUT_S), name="spread"
            )

    async def _greet_all(self) -> None:
        while True:
            peers = self.list_peers()
            chosen = set(self._rng.sample(peers, min(len(peers), 1)))
            if self.leader_ip and not self.leads:
                chosen.add(self.leader_ip)
            if not self._configuration.version:
                chosen.update(peers)
            for ip in chosen:
                self._tasks.spawn(self._greet(ip), name="greet-one")
            await asyncio.sleep(GREET_S * self._rng.uniform(0.8, 1.2))

    async def _greet(self, ip: str) -> None:
        view = await self.ask(ip, self._describe(), timeout_s=GREET_TIMEOUT_S)
        if not isinstance(view, NodeView):
            return
        now = self._clock.read_monotonic()
        self._heard[ip] = now
        self._store_seen[ip] = view.store_reachable
        for peer in view.peers:
            if peer != self._ip:
                self._heard.setdefault(peer, now)
        if view.leader_ip:
            self.note_leader(view.leader_ip, view.leader_token)
        if view.configuration:
            self._configuration.offer(view.configuration, source=ip)

    def _describe(self) -> GreetNode:
        return GreetNode(
            ip=self._ip,
            configuration_version=self._configuration.version,
            leader_ip=self.leader_ip,
            leader_token=self.leader_token,
            store_reachable=self._reaches_store(),
        )

    async def _answer_greeting(self, message: GreetNode) -> AnyBody:
        self._heard[message.ip] = self._clock.read_monotonic()
        self._store_seen[message.ip] = message.store_reachable
        if message.leader_ip:
            self.note_leader(message.leader_ip, message.leader_token)
        newer = self._configuration.version > message.configuration_version
        return NodeView(
            peers=tuple(self.list_peers()[:MOST_PEERS]),
            leader_ip=self.leader_ip,
            leader_token=self.leader_token,
            configuration=self._configuration.raw if newer else b"",
            store_reachable=self._reaches_store(),
        )

    async def _take_configuration(self, message: SpreadConfiguration) -> AnyBody:
        self._configuration.offer(message.configuration, source="peer")
        return Received()
