"""Call external systems over HTTP and report how far a failed call got."""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec
from twisted.internet import error as net_error
from twisted.internet import reactor
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from ..exceptions import (
    AnswerTooLarge,
    ConnectionClosed,
    ConnectionRefused,
    NotSent,
    SentUnanswered,
)
from .traffic import OTHER_KIND, TrafficMeter, measure_headers

CONNECT_TIMEOUT_S = 1.0
"""Time for a TCP connection; hosts are a millisecond apart."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Size of a response; the store holds values of at most 1 MB."""

MAX_BODY_S = 20.0
"""Limit for a body that keeps arriving; ``MAX_RESPONSE_BYTES`` takes 17 s at
2 Mbit/s."""

_CONNECT_ERRORS = (
    net_error.ConnectError,
    net_error.DNSLookupError,
    net_error.UserError,
)


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response; its length matches the announced one."""

    status: int
    headers: dict[str, str]
    body: bytes


@implementer(IBodyProducer)
class _BytesProducer:
    """Send a body of known length and record when sending has started."""

    def __init__(self, body: bytes, on_start: Callable[[], None]) -> None:
        self._body = body
        self._on_start = on_start
        self.length = len(body)
        self.started = False

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        self.started = True
        self._on_start()
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Nothing to pause: the body is one write."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Nothing to resume: the body is one write."""

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing to stop: the body is one write."""


class _BodyReader(Protocol):
    """Pass on each chunk of a body until it is complete or aborted."""

    def __init__(self, on_chunk: Callable[[bytes], None]) -> None:
        self._on_chunk = on_chunk
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._received_at = loop.time()
        self.done: asyncio.Future[str | None] = loop.create_future()

    async def wait(
        self, limit_s: float, *, stall_timeout_s: float | None = None
    ) -> bool:
        """Wait for the end of the body; return False after a timeout.

        ``done`` is not cancelled: the body would then count as complete, and its
        connection would go on receiving instead of being aborted.
        """
        end = self._loop.time() + limit_s
        while not self.done.done():
            until = (
                end
                if stall_timeout_s is None
                else min(end, self._received_at + stall_timeout_s)
            )
            remaining_s = until - self._loop.time()
            if remaining_s <= 0:
                return False
            await asyncio.wait({self.done}, timeout=remaining_s)
        return True

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received_at = self._loop.time()
        self._on_chunk(data)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        if self.done.done():
            return
        if reason.check(ResponseDone):
            self.done.set_result(None)
        elif reason.check(PotentialDataLoss):
            # Without a length or chunked encoding, a complete body looks
            # like a truncated one, so it never counts as complete.
            self.done.set_result("response without a length")
        else:
            self.done.set_result(f"response aborted: {reason.getErrorMessage()}")


class _BodyCollector(_BodyReader):
    """Collect a body of at most ``max_bytes``."""

    def __init__(self, max_bytes: int, on_receive: Callable[[int], None]) -> None:
        super().__init__(self._append_chunk)
        self._on_receive = on_receive
        self._max_bytes = max_bytes
        self._size = 0
        self._chunks: list[bytes] = []
        self.too_large = False

    @property
    def body(self) -> bytes:
        return b"".join(self._chunks)

    def _append_chunk(self, chunk: bytes) -> None:
        self._on_receive(len(chunk))
        self._size += len(chunk)
        if self._size > self._max_bytes:
            self.abort()
        else:
            self._chunks.append(chunk)

    def abort(self) -> None:
        """Abort the reading of a body that is too large."""
        if self.done.done():
            return
        self.too_large = True
        _abort(self)
        if not self.done.done():
            self.done.set_result("response too large")


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Connect to IP addresses only.

    The agent's own endpoints resolve names in a thread pool, which adds 1 ms to every
    connection and prevents the process from exiting.
    """

    def __init__(self, source_ip: str) -> None:
        self._source = (source_ip, 0) if source_ip else None

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        return TCP4ClientEndpoint(
            reactor,
            uri.host.decode(),
            uri.port,
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=self._source,
        )


class HttpClient:
    """Call one kind of external system through a connection pool."""

    def __init__(
        self,
        *,
        max_idle_per_host: int = 8,
        persistent: bool = True,
        source_ip: str = "",
        traffic: TrafficMeter | None = None,
    ) -> None:
        """Keep at most ``max_idle_per_host`` idle connections to each host.

        Connections leave from ``source_ip``, so that a VM with several
        addresses is seen under the one in its settings.
        """
        pool = HTTPConnectionPool(reactor, persistent=persistent)
        pool.maxPersistentPerHost = max_idle_per_host
        pool.cachedConnectionTimeout = 20
        # The pool would silently repeat a request whose connection was closed by
        # the peer. Only the caller knows whether that is safe.
        pool.retryAutomatically = False
        self._pool = pool
        self._traffic = traffic or TrafficMeter()
        self.chunks_received = 0
        """Response chunks received so far; an increase shows that a server responds."""
        self._agent = Agent.usingEndpointFactory(
            reactor, _EndpointFactory(source_ip), pool=pool
        )

    async def call(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float,
        send_within_s: float | None = None,
        stall_timeout_s: float | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
        kind: str = OTHER_KIND,
    ) -> HttpResponse | NotSent | SentUnanswered:
        """Send a request; return the complete response, or how far the call got.

        ``timeout_s`` limits the time to the complete response. With
        ``stall_timeout_s`` it limits only the time to the response's headers; the body
        may take longer if no two of its chunks are further apart than
        ``stall_timeout_s``. How long a large body takes depends on the link, and one
        that is cancelled and requested again would never complete.
        A body of more than ``max_bytes`` is not read: ``AnswerTooLarge``.
        A request with a body that gets no connection within ``send_within_s`` is
        never sent: ``NotSent``.
        The traffic is counted under ``kind``.
        """
        outcome = await self._request(
            method,
            url,
            body,
            headers,
            timeout_s,
            send_within_s=send_within_s,
            kind=kind,
        )
        if isinstance(outcome, NotSent | SentUnanswered):
            return outcome
        response, remaining_s = outcome
        began_at = asyncio.get_running_loop().time()
        self._count_chunk(kind, measure_headers(response.headers))
        reader = _BodyCollector(max_bytes, functools.partial(self._count_chunk, kind))
        response.deliverBody(reader)
        if response.length is not UNKNOWN_LENGTH and response.length > max_bytes:
            reader.abort()
        try:
            limit_s = remaining_s if stall_timeout_s is None else MAX_BODY_S
            completed = await reader.wait(limit_s, stall_timeout_s=stall_timeout_s)
        finally:
            # Also when the caller is cancelled: the rest of the body isn't needed.
            _abort(reader)
            took_s = asyncio.get_running_loop().time() - began_at
            self._traffic.record_body(kind, took_s)
        if reader.too_large:
            return AnswerTooLarge(reason=f"response of more than {max_bytes} bytes")
        if not completed:
            return SentUnanswered(reason="timed out while reading the response")
        reason = reader.done.result()
        if reason is not None:
            return SentUnanswered(reason=reason)
        return HttpResponse(response.code, _flatten(response.headers), reader.body)

    def _count_chunk(self, kind: str, size: int) -> None:
        self.chunks_received += 1
        self._traffic.record_received(kind, size)

    async def stream(
        self, method: str, url: str, *, body: bytes = b"", timeout_s: float
    ) -> AsyncIterator[bytes]:
        """Yield the lines of a streamed response until either side closes it."""
        queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        outcome = await self._request(method, url, body, None, timeout_s)
        if isinstance(outcome, NotSent | SentUnanswered):
            return
        reader = _BodyReader(queue.put_nowait)
        reader.done.add_done_callback(lambda _: queue.put_nowait(None))
        outcome[0].deliverBody(reader)
        rest = b""
        try:
            while (chunk := await queue.get()) is not None:
                *lines, rest = (rest + chunk).split(b"\n")
                for line in lines:
                    yield line
        finally:
            _abort(reader)

    async def _request(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str] | None,
        timeout_s: float,
        *,
        send_within_s: float | None = None,
        kind: str = OTHER_KIND,
    ) -> tuple[Any, float] | NotSent | SentUnanswered:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        deadline = began_at + timeout_s
        raw = Headers({k: [v] for k, v in (headers or {}).items()})
        if body:
            raw.setRawHeaders("Content-Type", ["application/json"])
        size = len(method) + len(url) + measure_headers(raw) + len(body)

        def record_sending() -> None:
            self._traffic.record_sent(kind, size)
            self._traffic.record_connect(kind, loop.time() - began_at)

        producer = _BytesProducer(body, record_sending)
        if not body:
            self._traffic.record_sent(kind, size)
        answered = False
        deferred = self._agent.request(
            method.encode(), url.encode(), raw, producer if body else None
        )
        future = deferred.asFuture(loop)
        try:
            if body and send_within_s is not None:
                await asyncio.wait((future,), timeout=send_within_s)
                if not (future.done() or producer.started):
                    return NotSent(reason="timed out before sending")
            response = await asyncio.wait_for(future, deadline - loop.time())
            answered = True
        except net_error.ConnectionRefusedError as error:
            return ConnectionRefused(reason=f"cannot connect: {error}")
        except _CONNECT_ERRORS as error:
            return NotSent(reason=f"cannot connect: {error}")
        except TimeoutError:
            if body and not producer.started:
                return NotSent(reason="timed out before sending")
            return SentUnanswered(reason="timed out before the response")
        except Exception as error:
            failure = ConnectionClosed if _is_close(error) else SentUnanswered
            return failure(reason=f"no response: {_describe(error)}")
        finally:
            # No effect on a completed call. A call whose caller was cancelled would
            # otherwise continue without a timeout.
            future.cancel()
            self._traffic.record_answer(kind, loop.time() - began_at, answered=answered)
        return response, max(0.001, deadline - loop.time())

    def drop_idle_connections(self) -> None:
        """Close the idle connections; the next calls open new ones."""
        self._pool.closeCachedConnections()

    async def close(self) -> None:
        """Close the idle connections and wait until they are closed."""
        deferred = self._pool.closeCachedConnections()
        await deferred.asFuture(asyncio.get_running_loop())


def _is_close(error: Exception) -> bool:
    """Return whether the peer closed or reset the connection."""
    reasons = getattr(error, "reasons", None) or ()
    return any(
        r.check(net_error.ConnectionDone, net_error.ConnectionLost) for r in reasons
    )


def _describe(error: Exception) -> str:
    reasons = getattr(error, "reasons", None)
    if reasons:
        return "; ".join(str(r.getErrorMessage()) for r in reasons)
    return str(error) or type(error).__name__


def _abort(reader: _BodyReader) -> None:
    transport: Any = reader.transport
    if transport is not None and not reader.done.done():
        getattr(transport, "abortConnection", transport.loseConnection)()


def _flatten(headers: Headers) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): values[0].decode("latin-1")
        for name, values in headers.getAllRawHeaders()
    }
