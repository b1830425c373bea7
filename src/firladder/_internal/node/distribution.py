"""Pass the newest configuration on between nodes, for those that the store turns away.

A version number travels to a few peers and with each greeting; only who is behind asks
for the configuration itself, of one peer at a time.
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
from ..utils.events import Event, Timeline
from ..utils.packing import unpack_bytes
from ..utils.tasks import TaskSet
from .configuration import ConfigurationCache

ADVERT_FANOUT = 3
"""Peers told of a version by each node that adopts it. With two thirds of a fleet
telling three each, some seven in eight of the others hear of it at once; the rest hear
with the next greetings."""

ADVERT_TIMEOUT_S = 0.4
"""Seconds for the receipt of an advert; nodes are about a millisecond apart."""

CATCH_UP_DELAY_S = 0.1
"""Seconds for which a node that hears of a newer version waits for its own watch to
bring it: nearly all have it by then, and need not be sent it by a peer."""

FETCH_TIMEOUT_S = 0.5
"""Seconds for the first peer that is asked; a packed megabyte takes 0.2 s at 5 Mbit/s.
Each further peer is given twice as long, up to ``MAX_FETCH_TIMEOUT_S``: a limit that
is too short for the link would be too short again."""

MAX_FETCH_TIMEOUT_S = 4.0

MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
"""Bytes of a configuration from a peer; the store holds values of a megabyte."""


class Ask(Protocol):
    """Sends a message to a node and returns its reply."""

    def __call__(
        self, ip: str, body: AnyBody, *, timeout_s: float
    ) -> Coroutine[Any, Any, AnyBody | PeerUnreachable]:
        """Ask the node at ``ip``."""


class Distribution:
    """This node's part in passing configurations on."""

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
        """Pass on what ``configuration`` holds, and offer it what peers have."""
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
        """Tell a few peers which configuration this node has adopted.

        Answers changes in quick succession on a large fleet. Sent whole, by each node
        to each other, a change of some kilobytes fills the links of small VMs for a
        second: they lose the store, and take themselves for cut off.
        """
        peers = self._list_peers()
        body = AdvertiseConfiguration(ip=self._ip, version=self._configuration.version)
        for ip in self._rng.sample(peers, min(len(peers), ADVERT_FANOUT)):
            self._tasks.spawn(
                self._ask(ip, body, timeout_s=ADVERT_TIMEOUT_S), name="advertise"
            )

    async def handle_advert(self, message: AdvertiseConfiguration) -> AnyBody:
        """Hear of the version that a peer has adopted."""
        self.record_version(message.ip, message.version)
        return Received()

    async def handle_fetch(self, message: FetchQueues) -> AnyBody:
        """Return the configuration if it is newer than the asker's."""
        if self._configuration.version <= message.newer_than:
            return QueuesReply()
        return QueuesReply(packed=self._configuration.pack())

    def record_version(self, ip: str, version: int) -> None:
        """Note that the node at ``ip`` has ``version``, and get it if it is newer."""
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
        """Return a peer that has the newest version heard of, if any is ahead."""
        own = self._configuration.version
        self._holders = {ip: v for ip, v in self._holders.items() if v > own}
        if not self._holders:
            return None
        newest = max(self._holders.values())
        return self._rng.choice([ip for ip, v in self._holders.items() if v == newest])

    async def _fetch(self, ip: str, *, timeout_s: float) -> None:
        heard = self._holders.pop(ip)
        own = self._configuration.version
        reply = await self._ask(ip, FetchQueues(newer_than=own), timeout_s=timeout_s)
        reason = self._apply_reply(ip, reply)
        if self._configuration.version < heard:
            self._timeline.record(
                Event.CONFIGURATION_MISSED,
                peer=ip,
                heard=heard,
                version=self._configuration.version,
                limit_s=timeout_s,
                reason=reason,
            )

    def _apply_reply(self, ip: str, reply: AnyBody | PeerUnreachable) -> str:
        """Offer what came; return why nothing could be offered."""
        if isinstance(reply, PeerUnreachable):
            return reply.reason
        if not isinstance(reply, QueuesReply) or not reply.packed:
            return "the peer has none that is newer"
        value = unpack_bytes(reply.packed, most_bytes=MAX_CONFIGURATION_BYTES)
        if isinstance(value, MalformedBody):
            return value.reason
        self._configuration.offer(value, source=ip)
        return "it is not a newer configuration"
