"""Call outside systems over HTTP and say exactly how far a call came."""

import asyncio
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
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from ..exceptions import NotSent, SentUnanswered

CONNECT_TIMEOUT_S = 1.0
"""Seconds for a TCP connection; hosts are a millisecond apart."""

MAX_RESPONSE = 4 * 1024 * 1024
"""Bytes of an answer; the store holds values of at most one megabyte."""

_NEVER_SENT = (
    net_error.ConnectError,
    net_error.DNSLookupError,
    net_error.UserError,
)


class HttpAnswer(msgspec.Struct, frozen=True):
    """A whole answer: its length was checked against what was announced."""

    status: int
    headers: dict[str, str]
    body: bytes


@implementer(IBodyProducer)
class _BytesProducer:
    """Send a body of known length and note that its sending began."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)
        self.begun = False

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        self.begun = True
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Nothing to pause: the body is one write."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Nothing to resume: the body is one write."""

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing to stop: the body is one write."""


class _BodyReader(Protocol):
    """Collect a body, or hand each chunk on, until it is whole or broken off."""

    def __init__(self, on_chunk: Callable[[bytes], None]) -> None:
        self._on_chunk = on_chunk
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[str | None] = loop.create_future()

    async def wait(self, limit_s: float) -> bool:
        """Wait for the end; tell whether it came.

        ``done`` is not cancelled: it would count as ended, and the connection would
        go on carrying what nobody waits for.
        """
        await asyncio.wait({self.done}, timeout=limit_s)
        return self.done.done()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._on_chunk(data)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        if self.done.done():
            return
        if reason.check(ResponseDone):
            self.done.set_result(None)
        elif reason.check(PotentialDataLoss):
            # Without a length or chunks nobody can tell a whole body from one
            # cut short, so it is never passed on as whole.
            self.done.set_result("answer without a length")
        else:
            self.done.set_result(f"answer broken off: {reason.getErrorMessage()}")


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Connect to IP numbers only.

    The agent's own endpoints look names up in a pool of threads, which adds a
    millisecond to every connection and keeps the process from ending.
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
    """Call one kind of outside system through a pool of connections."""

    def __init__(
        self, *, per_host: int = 8, persistent: bool = True, source_ip: str = ""
    ) -> None:
        """Keep at most ``per_host`` idle connections to each host.

        Connections leave from ``source_ip``, so that a VM with several
        addresses is seen under the one in its settings.
        """
        pool = HTTPConnectionPool(reactor, persistent=persistent)
        pool.maxPersistentPerHost = per_host
        pool.cachedConnectionTimeout = 20
        # The pool would quietly send a request again when its peer closed the
        # connection; whether that is safe is for the caller to decide.
        pool.retryAutomatically = False
        self._pool = pool
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
    ) -> HttpAnswer | NotSent | SentUnanswered:
        """Call and return the whole answer, or how far the call came."""
        chunks: list[bytes] = []
        size = 0

        def keep(chunk: bytes) -> None:
            nonlocal size
            size += len(chunk)
            if size <= MAX_RESPONSE:
                chunks.append(chunk)

        opened = await self._open(method, url, body, headers, timeout_s)
        if isinstance(opened, NotSent | SentUnanswered):
            return opened
        response, remaining_s = opened
        reader = _BodyReader(keep)
        response.deliverBody(reader)
        try:
            ended = await reader.wait(remaining_s)
        finally:
            # Also when the caller is cancelled: nobody waits for the rest.
            _abort(reader)
        if not ended:
            return SentUnanswered(reason="timed out while reading the answer")
        broken = reader.done.result()
        if broken is not None:
            return SentUnanswered(reason=broken)
        if size > MAX_RESPONSE:
            return SentUnanswered(reason="answer too large")
        return HttpAnswer(response.code, _flatten(response.headers), b"".join(chunks))

    async def stream(
        self, method: str, url: str, *, body: bytes = b"", timeout_s: float
    ) -> AsyncIterator[bytes]:
        """Yield the lines of an answer that goes on until either side ends it."""
        queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        opened = await self._open(method, url, body, None, timeout_s)
        if isinstance(opened, NotSent | SentUnanswered):
            return
        reader = _BodyReader(queue.put_nowait)
        reader.done.add_done_callback(lambda _: queue.put_nowait(None))
        opened[0].deliverBody(reader)
        rest = b""
        try:
            while (chunk := await queue.get()) is not None:
                *lines, rest = (rest + chunk).split(b"\n")
                for line in lines:
                    yield line
        finally:
            _abort(reader)

    async def _open(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str] | None,
        timeout_s: float,
    ) -> tuple[Any, float] | NotSent | SentUnanswered:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        producer = _BytesProducer(body)
        raw = Headers({k: [v] for k, v in (headers or {}).items()})
        if body:
            raw.setRawHeaders("Content-Type", ["application/json"])
        deferred = self._agent.request(
            method.encode(), url.encode(), raw, producer if body else None
        )
        try:
            response = await asyncio.wait_for(deferred.asFuture(loop), timeout_s)
        except _NEVER_SENT as error:
            return NotSent(reason=f"cannot connect: {error}")
        except TimeoutError:
            if body and not producer.begun:
                return NotSent(reason="timed out before sending")
            return SentUnanswered(reason="timed out before the answer")
        except Exception as error:
            return SentUnanswered(reason=f"no answer: {_describe(error)}")
        return response, max(0.001, deadline - loop.time())

    async def close(self) -> None:
        """Close the idle connections."""
        deferred = self._pool.closeCachedConnections()
        await deferred.asFuture(asyncio.get_running_loop())


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
