"""Bound what a slow or hostile peer can take from a listener."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any, ClassVar

from twisted.internet.interfaces import IAddress, IProtocol
from twisted.web import http
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from ..exceptions import BodyTooLarge
from ..utils.codec import encode_json

MAX_BODY_BYTES = 256 * 1024
"""Bytes of a body; a season's block of a squad is some tens of kilobytes."""

MAX_CONNECTIONS = 512
"""Open connections a listener; each costs about 20 KB, so 10 MB at most."""

REQUEST_TIMEOUT_S = 30.0
"""Seconds from a connection's start, or its last answer, to its next whole
request. Counted over the whole request: a peer that sends a byte now and then
is never idle, and would keep its place for ever."""

SWEEP_INTERVAL_S = 1.0


class ConnectionTracker:
    """The connections of a listener: who waits to send, and who is being served.

    Made for floods and slow senders: they fill all places without ever asking
    for anything. A newcomer then takes the place of whoever has sent nothing
    whole for longest; callers whose requests run are never cut for it.
    """

    def __init__(self, *, max_connections: int, request_timeout_s: float) -> None:
        """Hold at most ``max_connections`` connections."""
        self._max_connections = max_connections
        self._request_timeout_s = request_timeout_s
        self._idle_since: dict[Any, float] = {}
        self._active: set[Any] = set()
        self.dropped = 0

    def count(self) -> int:
        """Return the connections that are open."""
        return len(self._idle_since) + len(self._active)

    def admit(self) -> tuple[bool, Any | None]:
        """Tell whether a newcomer may come in, and who must go for it."""
        if self.count() < self._max_connections:
            return True, None
        self.dropped += 1
        if not self._idle_since:
            return False, None
        longest_idle = min(self._idle_since, key=self._idle_since.__getitem__)
        del self._idle_since[longest_idle]
        return True, longest_idle

    def mark_idle(self, connection: Any, now: float) -> None:
        """Note that a connection is new, or has its answer."""
        self._active.discard(connection)
        self._idle_since[connection] = now

    def mark_active(self, connection: Any) -> None:
        """Note that a whole request is in."""
        if self._idle_since.pop(connection, None) is not None:
            self._active.add(connection)

    def remove(self, connection: Any) -> None:
        """Forget a connection."""
        self._idle_since.pop(connection, None)
        self._active.discard(connection)

    def pop_idle(self) -> list[Any]:
        """Return, and forget, the connections without an open call."""
        idle = list(self._idle_since)
        self._idle_since.clear()
        return idle

    def count_active(self) -> int:
        """Return the connections with an open call."""
        return len(self._active)

    def pop_expired(self, now: float) -> list[Any]:
        """Return, and forget, the connections that took too long."""
        expired = [
            c for c, t in self._idle_since.items() if now - t > self._request_timeout_s
        ]
        for connection in expired:
            del self._idle_since[connection]
        self.dropped += len(expired)
        return expired


class LimitedRequest(Request):
    """A request that refuses an oversized body before it is read."""

    max_body_bytes: ClassVar[int] = MAX_BODY_BYTES
    _received = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse an announced length above the limit."""
        if length is not None and length > self.max_body_bytes:
            self._refuse()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, unless there is too much of it."""
        self._received += len(data)
        if self._received > self.max_body_bytes:
            self._refuse()
        if not self._refused:
            super().handleContentChunk(data)

    def _refuse(self) -> None:
        # A body without end would fill the memory of a 64 MB process, so the
        # answer goes out at once. Only the sending half is closed: closing with
        # unread bytes resets the connection, and a caller still sending would
        # see a reset in place of the reason. What follows is dropped until the
        # body ends or the patience is over.
        if self._refused or self.channel is None:
            return
        self._refused = True
        body = encode_json(
            BodyTooLarge(reason=f"at most {self.max_body_bytes} bytes", field="body")
        )
        transport = self.channel.transport
        transport.write(
            b"HTTP/1.1 413 Request Entity Too Large\r\n"
            b"Content-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        getattr(transport, "loseWriteConnection", transport.loseConnection)()

    def process(self) -> None:
        """Hand a whole request on, unless it was refused."""
        if self._refused:
            # The caller closes when it has read the end of the answer, or the
            # patience is over.
            return
        self.channel.site.connection_tracker.mark_active(self.channel.transport)
        super().process()

    def finish(self) -> None:
        """End the answer; the connection then waits for its next request."""
        # Noted first: finishing may begin a request that was pipelined.
        if self.channel is not None:
            self.channel.site.record_response(self.channel.transport)
        super().finish()


class LimitedSite(Site):
    """A site that takes no more connections than its memory allows."""

    def __init__(
        self,
        resource: Resource,
        *,
        max_body_bytes: int,
        max_connections: int,
        request_timeout_s: float,
        read_clock: Callable[[], float],
    ) -> None:
        """Serve ``resource`` within the limits given."""
        limited = type(
            "LimitedRequest", (LimitedRequest,), {"max_body_bytes": max_body_bytes}
        )
        super().__init__(resource, requestFactory=limited, timeout=request_timeout_s)
        self.connection_tracker = ConnectionTracker(
            max_connections=max_connections, request_timeout_s=request_timeout_s
        )
        self._read_clock = read_clock

    def buildProtocol(self, addr: IAddress) -> IProtocol | None:  # noqa: N802
        """Return a channel for a newcomer, or None, which closes it at once."""
        allowed, victim = self.connection_tracker.admit()
        if victim is not None:
            victim.abortConnection()
        if not allowed:
            return None
        channel = super().buildProtocol(addr)
        make, lose = channel.makeConnection, channel.connectionLost

        def track(transport: Any) -> None:
            self.connection_tracker.mark_idle(transport, self._read_clock())
            channel.connectionLost = functools.partial(untrack, transport)
            make(transport)

        def untrack(transport: Any, *args: Any) -> None:
            self.connection_tracker.remove(transport)
            lose(*args)

        channel.makeConnection = track
        return channel

    def record_response(self, transport: Any) -> None:
        """Start the patience anew after an answer."""
        self.connection_tracker.mark_idle(transport, self._read_clock())

    async def sweep(self) -> None:
        """Close the connections that take too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for transport in self.connection_tracker.pop_expired(self._read_clock()):
                transport.abortConnection()

    def log(self, request: http.Request) -> None:
        """Leave access lines to the numbered events."""
