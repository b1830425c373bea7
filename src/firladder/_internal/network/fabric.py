"""Messages between the product's own processes, over pyzmq.

One task owns each socket. A question waits for its reply under a correlation
id; a reply that nobody waits for any more is dropped, so that a late answer
can never reach another question.
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

logger = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
"""Bytes of one message; the whole configuration is at most about a megabyte."""

MAX_QUEUED_MESSAGES = 1000
"""Messages queued for one peer before new ones are dropped."""

WARNING_INTERVAL_S = 10.0
"""Seconds between two lines in the log about malformed messages."""

HANDSHAKE_MS = 3000
"""Milliseconds for a peer's handshake; peers are milliseconds apart. What speaks
another protocol, or nothing, frees its connection after this time."""

HEARTBEAT_MS = 1000
"""Milliseconds between two signs of life of a link, and after which silence ends
it: a connection may fall silent for good without a reset, while a new one would
work; only this shows it."""

IDLE_LINK_S = 15.0
"""Seconds after which a link that nobody used is closed. An open one costs a sign of
life a second at both its ends; a new one costs a handshake."""

B = TypeVar("B", bound=Body)
MessageHandler = Callable[[Any], Awaitable[AnyBody | None]]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class _Link:
    """A connection to one peer: its socket belongs to its task alone."""

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
        """End the tasks before their socket goes."""
        for task in self.tasks:
            task.cancel()
        self.socket.close()


class Fabric:
    """This process's end of the messages between processes."""

    def __init__(
        self, *, address: str, sender: str, logical: LogicalClock, secret: str = ""
    ) -> None:
        """Prepare to listen on ``address`` (``host:port``).

        With a ``secret``, only processes that know it are heard or spoken to.
        """
        self._context = zmq.asyncio.Context()
        self._authenticator = (
            FleetAuthenticator(self._context, secret) if secret else None
        )
        self._address = address
        self._sender = sender
        self._logical = logical
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
        """Let ``handler`` answer messages of ``type_``."""
        self._handlers[type_] = handler

    def start(self) -> None:
        """Listen, and answer what comes."""
        server = self._context.socket(zmq.ROUTER)
        if self._authenticator is not None:
            self._authenticator.start()
            self._authenticator.secure_server(server)
        else:
            logger.warning(
                "whoever reaches %s is trusted: set FIRLADDER_FLEET_SECRET",
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
        """Send a question and return its reply."""
        # Replies come back over this process's own connections, so that a
        # number of its own is enough to tell them apart.
        correlation = f"{next(self._counter):x}"
        future: asyncio.Future[AnyBody] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = future
        try:
            if not self._enqueue(address, correlation, body):
                return PeerUnreachable(reason=f"{address}: too many messages queued")
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return PeerUnreachable(reason=f"{address}: no reply in {timeout_s} s")
        finally:
            self._pending.pop(correlation, None)

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
        return _encoder.encode(envelope)

    def _decode(self, data: bytes) -> Envelope | None:
        self.received_bytes += len(data)
        try:
            envelope = _decoder.decode(data)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            self._record_malformed(error)
            return None
        self._logical.merge(envelope.clock)
        return envelope

    def _record_malformed(self, error: Exception) -> None:
        # A stranger sends thousands a second; a line for each would fill the
        # log and cost more than the messages.
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
        """Close links that nobody used lately, so that dead peers cost nothing."""
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
