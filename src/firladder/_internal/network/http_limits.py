"""Limit the memory and connections that slow or hostile clients can use."""

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
"""Size of a request's body; the largest usual ones have some tens of kilobytes."""

MAX_CONNECTIONS = 512
"""Open connections of a listener; each costs about 20 KB, so 10 MB at most."""

REQUEST_TIMEOUT_S = 30.0
"""Time from a connection's start, or its last response, to its next complete request.
It covers the complete request, because a client that sends a byte now and then would
never reach an idle timeout."""

SWEEP_INTERVAL_S = 1.0


class ConnectionTracker:
    """The connections of a listener, idle (no complete request) or active.

    Floods and slow senders use up all connections without completing a request. At
    the limit, a new connection replaces the one that has been idle for longest; active
    connections are never closed for it.
    """

    def __init__(self, *, max_connections: int, request_timeout_s: float) -> None:
        """Allow at most ``max_connections`` connections."""
        self._max_connections = max_connections
        self._request_timeout_s = request_timeout_s
        self._idle_since: dict[Any, float] = {}
        self._active: set[Any] = set()
        self.dropped = 0

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._idle_since) + len(self._active)

    def admit(self) -> tuple[bool, Any | None]:
        """Return whether a new connection may open, and which one to close for it."""
        if self.count() < self._max_connections:
            return True, None
        self.dropped += 1
        if not self._idle_since:
            return False, None
        longest_idle = min(self._idle_since, key=self._idle_since.__getitem__)
        del self._idle_since[longest_idle]
        return True, longest_idle

    def mark_idle(self, connection: Any, now: float) -> None:
        """Record that a connection is new, or that its response was sent."""
        self._active.discard(connection)
        self._idle_since[connection] = now

    def mark_active(self, connection: Any) -> None:
        """Record that a complete request has arrived."""
        if self._idle_since.pop(connection, None) is not None:
            self._active.add(connection)

    def remove(self, connection: Any) -> None:
        """Remove a closed connection."""
        self._idle_since.pop(connection, None)
        self._active.discard(connection)

    def pop_idle(self) -> list[Any]:
        """Remove and return the idle connections."""
        idle = list(self._idle_since)
        self._idle_since.clear()
        return idle

    def count_active(self) -> int:
        """Return the number of active connections."""
        return len(self._active)

    def pop_expired(self, now: float) -> list[Any]:
        """Remove and return the connections that reached the request timeout."""
        expired = [
            c for c, t in self._idle_since.items() if now - t > self._request_timeout_s
        ]
        for connection in expired:
            del self._idle_since[connection]
        self.dropped += len(expired)
        return expired


class LimitedRequest(Request):
    """A request that rejects an oversized body before it is read."""

    max_body_bytes: ClassVar[int] = MAX_BODY_BYTES
    _received = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject an announced length above the limit."""
        if length is not None and length > self.max_body_bytes:
            self._refuse()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body, unless the body exceeds the limit."""
        self._received += len(data)
        if self._received > self.max_body_bytes:
            self._refuse()
        if not self._refused:
            super().handleContentChunk(data)

    def _refuse(self) -> None:
        # An endless body would fill the memory of a 64 MB process, so the response
        # is sent at once. Only the sending half is closed: closing a connection with
        # unread bytes resets it, and a client that still sends would see the reset
        # instead of the reason. Further chunks are dropped until the body ends or
        # the request times out.
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
        """Process a complete request, unless it was rejected."""
        if self._refused:
            # The client closes the connection when it has read the response, or the
            # request timeout does.
            return
        self.channel.site.connection_tracker.mark_active(self.channel.transport)
        super().process()

    def finish(self) -> None:
        """Finish the response and mark the connection as idle."""
        # Before finishing, which may start a pipelined request.
        if self.channel is not None:
            self.channel.site.record_response(self.channel.transport)
        super().finish()


class LimitedSite(Site):
    """A site that limits its connections and the size of requests."""

    def __init__(
        self,
        resource: Resource,
        *,
        max_body_bytes: int,
        max_connections: int,
        request_timeout_s: float,
        read_clock: Callable[[], float],
    ) -> None:
        """Serve ``resource`` within the limits."""
        limited = type(
            "LimitedRequest", (LimitedRequest,), {"max_body_bytes": max_body_bytes}
        )
        super().__init__(resource, requestFactory=limited, timeout=request_timeout_s)
        self.connection_tracker = ConnectionTracker(
            max_connections=max_connections, request_timeout_s=request_timeout_s
        )
        self._read_clock = read_clock

    def buildProtocol(self, addr: IAddress) -> IProtocol | None:  # noqa: N802
        """Return a channel for a new connection, or None, which closes it."""
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
        """Restart the request timeout of a connection after a response."""
        self.connection_tracker.mark_idle(transport, self._read_clock())

    async def sweep(self) -> None:
        """Close connections that reach the request timeout, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for transport in self.connection_tracker.pop_expired(self._read_clock()):
                transport.abortConnection()

    def log(self, request: http.Request) -> None:
        """Write no access log; numbered events replace it."""
