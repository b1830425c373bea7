"""Distribute the newest configuration to nodes that cannot reach the store.

Version numbers are sent to a few peers and with each greeting. Only a node that is
behind fetches the configuration itself, from one peer at a time.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from ..exceptions import MalformedBody, PeerUnreachable
from ..models.message import (
    AdvertiseConfiguration,
    AnyBody,
    FetchQueues,
    QueuesReply,
    Received,
)
from ..utils.compression import decompress_bytes
from ..utils.events import Event, Timeline
from ..utils.tasks import TaskSet
from .configuration import ConfigurationCache

ADVERT_FANOUT = 3
"""Peers to which a node advertises a version that it adopts. If two thirds of a fleet
advertise to three each, some seven in eight of the others learn of it at once; the rest
learn of it from the next greetings."""

ADVERT_TIMEOUT_S = 0.4
"""Timeout of an advert, in seconds; nodes are about a millisecond apart."""

CATCH_UP_DELAY_S = 0.1
"""Seconds for which a node that learns of a newer version waits for its own store watch
to deliver it. Nearly all nodes have it by then and need not fetch it from a peer."""

FETCH_TIMEOUT_S = 0.5
"""Timeout of the first fetch, in seconds; a packed megabyte takes 0.2 s at 5 Mbit/s.
It doubles for each further peer, up to ``MAX_FETCH_TIMEOUT_S``: a timeout too short for
the link would fail every time."""

MAX_FETCH_TIMEOUT_S = 4.0

MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
"""Maximum bytes of an unpacked configuration; the store holds values of a megabyte."""


class Ask(Protocol):
    """Function that sends a message to a node and returns its reply."""

    def __call__(
        self, ip: str, body: AnyBody, *, timeout_s: float
    ) -> Coroutine[Any, Any, AnyBody | PeerUnreachable]:
        """Send ``body`` to the node at ``ip``."""


class Distribution:
    """Advertises this node's configuration version and fetches newer ones."""

    def __init__(
        self,
        *,
        ip: str,
        ask: Ask,
        list_peers: Callable[[], list[str]],
        configuration: ConfigurationCache,
        rng: random.Random,
        timeline: Timeline,
        tasks: TaskSet,
    ) -> None:
        """Distribute ``configuration``, and update it from peers."""
        self._ip = ip
        self._ask = ask
        self._list_peers = list_peers
        self._configuration = configuration
        self._rng = rng
        self._timeline = timeline
        self._tasks = tasks
        self._holders: dict[str, int] = {}
        self._catching_up = False

    def advertise(self) -> None:
        """Advertise the adopted version to a few peers.

        Only the version is sent: if each node sent a configuration of some kilobytes to
        every other, quick successive changes in a large fleet would fill the links of
        small VMs for a second, and they would consider themselves partitioned.
        """
        peers = self._list_peers()
        body = AdvertiseConfiguration(ip=self._ip, version=self._configuration.version)
        for ip in self._rng.sample(peers, min(len(peers), ADVERT_FANOUT)):
            self._tasks.spawn(
                self._ask(ip, body, timeout_s=ADVERT_TIMEOUT_S), name="advertise"
            )

    async def handle_advert(self, message: AdvertiseConfiguration) -> AnyBody:
        """Record the version that a peer advertises."""
        self.record_version(message.ip, message.version)
        return Received()

    async def handle_fetch(self, message: FetchQueues) -> AnyBody:
        """Return the configuration if it is newer than the requester's."""
        if self._configuration.version <= message.newer_than:
            return QueuesReply()
        return QueuesReply(packed=self._configuration.pack())

    def record_version(self, ip: str, version: int) -> None:
        """Record that the node at ``ip`` has ``version``; fetch it if it is newer."""
        self._configuration.record_version(version)
        if version <= self._configuration.version:
            return
        self._holders[ip] = version
        if not self._catching_up:
            self._catching_up = True
            self._tasks.spawn(self._catch_up(), name="catch-up")

    async def _catch_up(self) -> None:
        try:
            if self._configuration.version:
                await asyncio.sleep(CATCH_UP_DELAY_S * self._rng.uniform(0.8, 1.2))
            timeout_s = FETCH_TIMEOUT_S
            while (ip := self._choose_holder()) is not None:
                await self._fetch(ip, timeout_s=timeout_s)
                timeout_s = min(2 * timeout_s, MAX_FETCH_TIMEOUT_S)
        finally:
            self._catching_up = False

    def _choose_holder(self) -> str | None:
        """Return a random peer with the newest known version, if any is ahead."""
        own = self._configuration.version
        self._holders = {ip: v for ip, v in self._holders.items() if v > own}
        if not self._holders:
            return None
        newest = max(self._holders.values())
        return self._rng.choice([ip for ip, v in self._holders.items() if v == newest])

    async def _fetch(self, ip: str, *, timeout_s: float) -> None:
        advertised = self._holders.pop(ip)
        own = self._configuration.version
        reply = await self._ask(ip, FetchQueues(newer_than=own), timeout_s=timeout_s)
        reason = self._apply_reply(ip, reply)
        if self._configuration.version < advertised:
            self._timeline.record(
                Event.CONFIGURATION_MISSED,
                peer=ip,
                heard=advertised,
                version=self._configuration.version,
                limit_s=timeout_s,
                reason=reason,
            )

    def _apply_reply(self, ip: str, reply: AnyBody | PeerUnreachable) -> str:
        """Offer the fetched configuration; return why it may not have been adopted."""
        if isinstance(reply, PeerUnreachable):
            return reply.reason
        if not isinstance(reply, QueuesReply) or not reply.packed:
            return "the peer has no newer configuration"
        value = decompress_bytes(reply.packed, max_bytes=MAX_CONFIGURATION_BYTES)
        if isinstance(value, MalformedBody):
            return value.reason
        self._configuration.offer(value, source=ip)
        return "the fetched configuration is not newer"
