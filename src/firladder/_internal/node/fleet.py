"""Gossip between nodes: the peers, the leader and the newest configuration.

No agreement depends on it. It brings the configuration to nodes that cannot reach the
store, and the address of the leader to all nodes.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Sequence

from ..exceptions import PeerUnreachable
from ..models.message import (
    AdvertiseConfiguration,
    AnyBody,
    FetchQueues,
    GreetNode,
    NodeView,
)
from ..network.fabric import Fabric
from ..utils.clocks import Clock
from ..utils.events import Timeline
from ..utils.tasks import TaskSet
from .configuration import ConfigurationCache
from .distribution import Distribution
from .election import LeaderFitness

logger = logging.getLogger(__name__)

GREETING_INTERVAL_S = 0.5
"""Seconds between two rounds of greetings. A configuration known to one node reaches a
node without the store within a second; operators are promised two."""

GREET_TIMEOUT_S = 0.4
"""Timeout of a greeting, in seconds; nodes are about a millisecond apart."""

HELPER_MAX_AGE_S = 3.0
"""Seconds for which a peer that reported reaching the store may be asked to write for
this node: some rounds of greetings. Without a limit, a removed peer would be asked
forever, and each request would time out with an unknown outcome."""

LEADER_NEWS_MAX_AGE_S = 2.0
"""Seconds for which what the leader said in a greeting counts: four greetings."""

PARTNER_PERIOD_S = 5.0
"""Seconds for which the same random peer is greeted. Each greeted peer costs a
connection with keepalives. If a peer were drawn for each round, a node of a large fleet
would keep connections to all others, at a higher cost than all its work for callers."""

DISCOVERY_PERIOD_S = 10.0
"""Seconds after the start in which each round greets another random peer, to learn the
existing failure domains. A node that knows only one other domain would consider itself
partitioned when that domain is."""

PEER_EXPIRY_S = 20.0
"""Seconds of silence after which a peer is forgotten."""

MAX_PEERS_IN_REPLY = 16
"""Maximum peers listed in one reply, a random sample each time. Replies stay small, and
a new node learns of a fleet of a hundred within seconds."""


class Fleet:
    """Tracks the other nodes by exchanging greetings with them."""

    def __init__(
        self,
        *,
        ip: str,
        failure_domain: str,
        port: int,
        seeds: tuple[str, ...],
        fabric: Fabric,
        configuration: ConfigurationCache,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        reaches_store: Callable[[], bool],
        fitness: LeaderFitness | None = None,
        lacks_advice: Callable[[], bool] = lambda: False,
    ) -> None:
        """Begin with the peers ``seeds`` (IP addresses), as a VM of ``fitness``.

        ``lacks_advice`` tells, at the leader, that the advice service does not answer.
        """
        self._lacks_advice = lacks_advice
        self._advice_lost: tuple[str, float] | None = None
        self._fitness = fitness or LeaderFitness()
        self._fitness_by_ip: dict[str, LeaderFitness] = {}
        self._reaches_store = reaches_store
        self._store_reached_at: dict[str, float] = {}
        self._ip = ip
        self._failure_domain = failure_domain
        self._domains: dict[str, str] = {}
        self._other_domain_answered_at: float | None = None
        self._port = port
        self._fabric = fabric
        self._configuration = configuration
        self._clock = clock
        self._rng = rng
        self._tasks = TaskSet()
        self._last_heard_at: dict[str, float] = {}
        self._seeds = tuple(s for s in seeds if s != ip)
        self.leader_ip = ""
        self.leader_token = 0
        self.on_leader: list[Callable[[], None]] = []
        fabric.handle(GreetNode, self._handle_greeting)
        self._partner = ""
        self._partner_until = 0.0
        self._discovery_until = clock.read_monotonic() + DISCOVERY_PERIOD_S
        self._domain_contacts: dict[str, str] = {}
        self.distribution = Distribution(
            ip=ip,
            ask=self.ask,
            list_peers=self.list_peers,
            configuration=configuration,
            rng=rng,
            timeline=timeline,
            tasks=self._tasks,
        )
        fabric.handle(AdvertiseConfiguration, self.distribution.handle_advert)
        fabric.handle(FetchQueues, self.distribution.handle_fetch)

    @property
    def leads(self) -> bool:
        """Return whether this node is the known leader."""
        return self.leader_ip == self._ip

    def list_peers(self) -> list[str]:
        """Forget expired peers and return the IP addresses of all others."""
        now = self._clock.read_monotonic()
        for ip in [
            ip for ip, at in self._last_heard_at.items() if now - at > PEER_EXPIRY_S
        ]:
            del self._last_heard_at[ip]
            self._domains.pop(ip, None)
            self._fitness_by_ip.pop(ip, None)
            self._store_reached_at.pop(ip, None)
        return sorted({*self._last_heard_at, *self._seeds})

    def _list_peers_of_other_domains(self) -> list[str]:
        """Return the peers known to be in other failure domains."""
        return [
            ip
            for ip in self.list_peers()
            if self._domains.get(ip, self._failure_domain) != self._failure_domain
        ]

    def _choose_domain_contacts(self, chosen: Collection[str]) -> list[str]:
        """Return the peers to greet to learn whether other failure domains answer.

        Peers of the own domain also answer while the domain is partitioned. One peer
        of each other domain without a peer in ``chosen`` is greeted, as a single domain
        may be partitioned itself. It stays the same peer as long as it answers.
        """
        by_domain: dict[str, list[str]] = {}
        for ip in self._list_peers_of_other_domains():
            by_domain.setdefault(self._domains[ip], []).append(ip)
        for domain, ips in by_domain.items():
            if self._domain_contacts.get(domain) not in ips:
                self._domain_contacts[domain] = self._rng.choice(ips)
        return [
            self._domain_contacts[domain]
            for domain, ips in by_domain.items()
            if not set(ips).intersection(chosen)
        ]

    def _choose_partner(self, peers: Sequence[str]) -> str:
        now = self._clock.read_monotonic()
        if now >= self._partner_until or self._partner not in peers:
            self._partner = self._rng.choice(peers)
            self._partner_until = (
                now + PARTNER_PERIOD_S if now >= self._discovery_until else now
            )
        return self._partner

    def _replace_silent_peer(self, ip: str) -> None:
        """Let the next round greet other peers than ``ip``, which did not answer."""
        self._domain_contacts = {
            domain: contact
            for domain, contact in self._domain_contacts.items()
            if contact != ip
        }
        if ip == self._partner:
            self._partner = ""

    def measure_silence(self) -> float | None:
        """Return the seconds since a node of another failure domain answered.

        None if none ever has.
        """
        if self._other_domain_answered_at is None:
            return None
        return self._clock.read_monotonic() - self._other_domain_answered_at

    def find_store_helper(self) -> str | None:
        """Return a peer that reached the store recently, preferably the leader.

        None during an outage of the store: messages to peers may be lost, so callers
        would get "unknown" where "not stored" is certain without asking.
        """
        helpers = self._list_peers_with_store()
        if self.leader_ip in helpers:
            return self.leader_ip
        return self._rng.choice(helpers) if helpers else None

    def _list_peers_with_store(self) -> list[str]:
        """Return the peers that reached the store recently."""
        since = self._clock.read_monotonic() - HELPER_MAX_AGE_S
        return [ip for ip, at in self._store_reached_at.items() if at >= since]

    @property
    def advice_unavailable(self) -> bool:
        """Return whether the leader said lately that the advice service is silent."""
        if self.leads:
            return self._lacks_advice()
        if self._advice_lost is None:
            return False
        leader_ip, told_at = self._advice_lost
        age_s = self._clock.read_monotonic() - told_at
        return leader_ip == self.leader_ip and age_s <= LEADER_NEWS_MAX_AGE_S

    def _record_advice(self, ip: str, *, unavailable: bool) -> None:
        if ip == self.leader_ip:
            told_at = self._clock.read_monotonic()
            self._advice_lost = (ip, told_at) if unavailable else None

    def list_fitness(self) -> list[LeaderFitness]:
        """Return the fitness to lead of the peers that reached the store recently."""
        return [
            self._fitness_by_ip[ip]
            for ip in self._list_peers_with_store()
            if ip in self._fitness_by_ip
        ]

    def forget_store_helper(self, ip: str) -> None:
        """Do not use a peer as helper until it reports reaching the store again."""
        self._store_reached_at.pop(ip, None)

    def _record_store_reach(self, ip: str, *, reached: bool) -> None:
        if reached:
            self._store_reached_at[ip] = self._clock.read_monotonic()
        else:
            self.forget_store_helper(ip)

    def record_leader(self, ip: str, token: int) -> None:
        """Record a leader unless one with as high a token is known."""
        if token <= self.leader_token:
            return
        self.leader_ip, self.leader_token = ip, token
        for listener in self.on_leader:
            listener()

    def forget_leader(self, token: int) -> None:
        """Record that the leader with ``token`` no longer leads."""
        if token >= self.leader_token:
            self.leader_ip = ""

    async def ask(
        self, ip: str, body: AnyBody, *, timeout_s: float
    ) -> AnyBody | PeerUnreachable:
        """Send a message to the node at ``ip`` and return its reply."""
        return await self._fabric.ask(f"{ip}:{self._port}", body, timeout_s=timeout_s)

    async def ask_leader(
        self, body: AnyBody, *, timeout_s: float
    ) -> AnyBody | PeerUnreachable:
        """Send a message to the known leader and return its reply."""
        if not self.leader_ip:
            return PeerUnreachable(reason="no leader is known")
        return await self.ask(self.leader_ip, body, timeout_s=timeout_s)

    def start(self) -> None:
        """Start to greet peers in the background."""
        self._tasks.spawn(self._greet_forever(), name="greet")

    async def close(self) -> None:
        """Stop greeting."""
        await self._tasks.close()

    async def _greet_forever(self) -> None:
        while True:
            self.greet_peers()
            await asyncio.sleep(GREETING_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def greet_peers(self) -> None:
        """Greet this round's peers in the background."""
        peers = self.list_peers()
        chosen = {self._choose_partner(peers)} if peers else set()
        if self.leader_ip and not self.leads:
            chosen.add(self.leader_ip)
        chosen.update(self._choose_domain_contacts(chosen))
        if not self._configuration.version:
            chosen.update(peers)
        for ip in chosen:
            self._tasks.spawn(self._greet(ip), name="greet-one")

    async def _greet(self, ip: str) -> None:
        view = await self.ask(ip, self._describe(), timeout_s=GREET_TIMEOUT_S)
        if not isinstance(view, NodeView):
            self._replace_silent_peer(ip)
            return
        now = self._clock.read_monotonic()
        self._last_heard_at[ip] = now
        self._record_store_reach(ip, reached=view.store_reachable)
        self._domains[ip] = view.failure_domain
        if view.failure_domain != self._failure_domain:
            self._other_domain_answered_at = now
        for peer in view.peers:
            if peer != self._ip:
                self._last_heard_at.setdefault(peer, now)
        if view.leader_ip:
            self.record_leader(view.leader_ip, view.leader_token)
        self._record_advice(ip, unavailable=view.advice_unavailable)
        self.distribution.record_version(ip, view.configuration_version)

    def _describe(self) -> GreetNode:
        return GreetNode(
            ip=self._ip,
            configuration_version=self._configuration.version,
            leader_ip=self.leader_ip,
            leader_token=self.leader_token,
            store_reachable=self._reaches_store(),
            failure_domain=self._failure_domain,
            link_mbps=self._fitness.link_mbps,
            campaign_delay_s=self._fitness.delay_s,
        )

    async def _handle_greeting(self, message: GreetNode) -> AnyBody:
        self._last_heard_at[message.ip] = self._clock.read_monotonic()
        self._record_store_reach(message.ip, reached=message.store_reachable)
        self._domains[message.ip] = message.failure_domain
        self._fitness_by_ip[message.ip] = LeaderFitness(
            message.link_mbps, message.campaign_delay_s
        )
        if message.leader_ip:
            self.record_leader(message.leader_ip, message.leader_token)
        self.distribution.record_version(message.ip, message.configuration_version)
        peers = self.list_peers()
        return NodeView(
            peers=tuple(self._rng.sample(peers, min(len(peers), MAX_PEERS_IN_REPLY))),
            leader_ip=self.leader_ip,
            leader_token=self.leader_token,
            configuration_version=self._configuration.version,
            store_reachable=self._reaches_store(),
            failure_domain=self._failure_domain,
            advice_unavailable=self.leads and self._lacks_advice(),
        )
