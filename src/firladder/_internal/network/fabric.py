"""Messages between processes of the fleet, over ZeroMQ.

One task owns each socket. A request waits for its reply under a correlation id. A
reply whose request has timed out is dropped, so that it cannot reach another request.
"""

import asyncio
import itertools
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
import zmq
import zmq.asyncio

from ..exceptions import InternalFault, PeerUnreachable
from ..models.message import AnyBody, Body, Envelope, Refused
from ..utils.addresses import split_address
from ..utils.clocks import LogicalClock
from ..utils.tasks import TaskSet
from .authentication import FleetAuthenticator
from .traffic import TrafficMeter

logger = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
"""Size of one message; a complete configuration has at most about 1 MB."""

MAX_QUEUED_MESSAGES = 1000
"""Messages queued for one peer; further ones are dropped."""

WARNING_INTERVAL_S = 10.0
"""Interval between two log lines about malformed messages."""

HANDSHAKE_MS = 3000
"""Time for a peer's handshake; peers are milliseconds apart. A connection with another
protocol, or without traffic, is closed after this time."""

HEARTBEAT_MS = 1000
"""Interval of the heartbeats on a link, and the time without one after which it is
closed. A connection may be dead without a reset while a new one would work; only
heartbeats reveal that."""

IDLE_LINK_S = 15.0
"""Time after which an unused link is closed. An open link costs 1 heartbeat per second
at both ends; a new one costs a handshake."""

B = TypeVar("B", bound=Body)
MessageHandler = Callable[[Any], Awaitable[AnyBody | None]]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class _Link:
    """A connection to one peer; only its own tasks use the socket."""

    def __init__(
        self,
        context: zmq.asyncio.Context,
        address: str,
        source_ip: str,
        authenticator: FleetAuthenticator | None,
    ) -> None:
        socket = context.socket(zmq.DEALER)
        if authenticator is not None:
            authenticator.secure_client(socket)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.RECONNECT_IVL, 100)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 2000)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, HEARTBEAT_MS)
        socket.connect(f"tcp://{source_ip}:0;{address}")
        self.socket = socket
        self.send_queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.used_at = 0.0
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    def close(self) -> None:
        """Cancel the tasks, then close the socket."""
        for task in self.tasks:
            task.cancel()
        self.socket.close()


class Fabric:
    """Send requests to other processes and answer theirs."""

    def __init__(
        self,
        *,
        address: str,
        sender: str,
        logical: LogicalClock,
        secret: str = "",
        traffic: TrafficMeter | None = None,
    ) -> None:
        """Prepare to listen on ``address`` (``host:port``).

        With a ``secret``, only processes that know it can connect.
        """
        self._context = zmq.asyncio.Context()
        self._authenticator = (
            FleetAuthenticator(self._context, secret) if secret else None
        )
        self._address = address
        self._sender = sender
        self._logical = logical
        self._traffic = traffic or TrafficMeter()
        self._handlers: dict[type[Body], MessageHandler] = {}
        self._links: dict[str, _Link] = {}
        self._pending: dict[str, asyncio.Future[AnyBody]] = {}
        self._counter = itertools.count(1)
        self._tasks = TaskSet()
        self._server: zmq.asyncio.Socket | None = None
        self._warned_at = -WARNING_INTERVAL_S
        self.malformed = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def handle(self, type_: type[B], handler: MessageHandler) -> None:
        """Register the handler of messages of ``type_``."""
        self._handlers[type_] = handler

    def start(self) -> None:
        """Listen, and answer requests."""
        server = self._context.socket(zmq.ROUTER)
        if self._authenticator is not None:
            self._authenticator.start()
            self._authenticator.secure_server(server)
        else:
            logger.warning(
                "%s accepts any peer: set FIRLADDER_FLEET_SECRET to authenticate",
                self._address,
            )
        server.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        server.setsockopt(zmq.LINGER, 0)
        server.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        server.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        server.bind(f"tcp://{self._address}")
        self._server = server
        self._tasks.spawn(self._serve(server), name="fabric-server")

    async def ask(
        self, address: str, body: AnyBody, *, timeout_s: float
    ) -> AnyBody | PeerUnreachable:
        """Send a request and return its reply."""
        # Replies arrive on this process's own connections, so the correlation id
        # needs to be unique in this process only.
        correlation = f"{next(self._counter):x}"
        future: asyncio.Future[AnyBody] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = future
        began_at = time.monotonic()
        answered = False
        try:
            if not self._enqueue(address, correlation, body):
                return PeerUnreachable(reason=f"{address}: too many messages queued")
            reply = await asyncio.wait_for(future, timeout_s)
            answered = True
            return reply
        except TimeoutError:
            return PeerUnreachable(reason=f"{address}: no reply in {timeout_s} s")
        finally:
            self._pending.pop(correlation, None)
            self._traffic.record_answer(
                type(body).__name__, time.monotonic() - began_at, answered=answered
            )

    def _enqueue(self, address: str, correlation: str, body: AnyBody) -> bool:
        link = self._links.get(address)
        if link is None:
            source_ip = split_address(self._address)[0]
            link = self._links[address] = _Link(
                self._context, address, source_ip, self._authenticator
            )
            link.tasks = (
                self._tasks.spawn(self._send_queued(link), name=f"link-out-{address}"),
                self._tasks.spawn(
                    self._receive_replies(link), name=f"link-in-{address}"
                ),
            )
        link.used_at = asyncio.get_running_loop().time()
        try:
            link.send_queue.put_nowait(self._encode(correlation, body))
        except asyncio.QueueFull:
            return False
        return True

    def _encode(self, correlation: str, body: AnyBody) -> bytes:
        envelope = Envelope(
            sender=self._sender,
            clock=self._logical.advance(),
            correlation=correlation,
            body=body,
        )
        data = _encoder.encode(envelope)
        self._traffic.record_sent(type(body).__name__, len(data))
        return data

    def _decode(self, data: bytes) -> Envelope | None:
        self.received_bytes += len(data)
        try:
            envelope = _decoder.decode(data)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            self._record_malformed(error)
            return None
        self._traffic.record_received(type(envelope.body).__name__, len(data))
        self._logical.merge(envelope.clock)
        return envelope

    def _record_malformed(self, error: Exception) -> None:
        # An unknown sender may send thousands per second. A log line for each would
        # fill the log and cost more than the messages.
        self.malformed += 1
        now = time.monotonic()
        if now - self._warned_at > WARNING_INTERVAL_S:
            self._warned_at = now
            logger.warning("%d malformed messages, last: %s", self.malformed, error)

    async def _send_queued(self, link: _Link) -> None:
        while True:
            data = await link.send_queue.get()
            self.sent_bytes += len(data)
            await link.socket.send(data)

    async def _receive_replies(self, link: _Link) -> None:
        while True:
            envelope = self._decode(await link.socket.recv())
            if envelope is None:
                continue
            future = self._pending.get(envelope.correlation)
            if future is not None and not future.done():
                future.set_result(envelope.body)

    async def _serve(self, server: zmq.asyncio.Socket) -> None:
        while True:
            frames = await server.recv_multipart()
            if len(frames) != 2:
                self._record_malformed(ValueError(f"{len(frames)} frames"))
                continue
            envelope = self._decode(frames[1])
            if envelope is not None:
                self._tasks.spawn(
                    self._answer(server, frames[0], envelope), name="fabric-answer"
                )

    async def _answer(
        self, server: zmq.asyncio.Socket, route: bytes, envelope: Envelope
    ) -> None:
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            kind = type(envelope.body).__name__
            reply: AnyBody | None = Refused(
                failure=InternalFault(reason=f"no handler for {kind}")
            )
        else:
            reply = await handler(envelope.body)
        if reply is None:
            return
        data = self._encode(envelope.correlation, reply)
        self.sent_bytes += len(data)
        await server.send_multipart([route, data])

    def close_idle_links(self, *, idle_s: float = IDLE_LINK_S) -> None:
        """Close links unused for ``idle_s``, so that dead peers cost nothing."""
        now = asyncio.get_running_loop().time()
        idle = [a for a, link in self._links.items() if now - link.used_at > idle_s]
        for address in idle:
            self._links.pop(address).close()

    async def close(self) -> None:
        """Close all sockets."""
        await self._tasks.close()
        for link in self._links.values():
            link.close()
        if self._server is not None:
            self._server.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()
