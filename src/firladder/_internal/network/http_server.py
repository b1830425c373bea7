"""Serve typed JSON over HTTP with twisted.web."""

import asyncio
import dataclasses
import logging
import re
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Protocol

import msgspec
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from ..exceptions import (
    Failure,
    InternalFault,
    MethodNotAllowed,
    NotFound,
)
from ..utils.addresses import split_address
from ..utils.codec import encode_json
from ..utils.tasks import TaskSet
from .http_limits import (
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    REQUEST_TIMEOUT_S,
    ConnectionTracker,
    LimitedSite,
)
from .listening import HANDSHAKE_GRACE_S, ignore_new_connections
from .traffic import OTHER_KIND, TrafficMeter, measure_headers

logger = logging.getLogger(__name__)

JSON = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """One request to a handler; ``disconnected`` is set when its client disconnects."""

    method: str
    path: str
    params: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    source_ip: str
    disconnected: asyncio.Event
    transport: Any


class HttpReply(msgspec.Struct, frozen=True):
    """A handler's response."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: dict[str, str] = {}
    stream: AsyncIterator[bytes] | None = None


Handler = Callable[[Any, HttpCall], Awaitable[HttpReply]]


def reply_json(value: Any, *, status: int = 200, **headers: str) -> HttpReply:
    """Return a reply with ``value`` as its JSON body."""
    return HttpReply(status, encode_json(value), JSON, headers)


def reply_failure(failure: Failure) -> HttpReply:
    """Return the reply that reports a failure and its type."""
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return HttpReply(failure.http_status, encode_json(failure), JSON, headers)


class Routes(Protocol):
    """Find the handler of a request."""

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]] | Failure:
        """Return the handler and its path parameters, or why there is none."""


class RouteTable:
    """A registry of handlers by method and path."""

    def __init__(self) -> None:
        """Start empty."""
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def route(self, method: str, template: str) -> Callable[[Handler], Handler]:
        """Return a decorator; ``{name}`` in the template matches one path segment."""
        pattern = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", template) + r"$")

        def register(handler: Handler) -> Handler:
            self._routes.append((method, pattern, handler))
            return handler

        return register

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]] | Failure:
        """Return the handler and its path parameters, or why there is none."""
        matches = [(m, h, p.match(path)) for m, p, h in self._routes if p.match(path)]
        if not matches:
            return NotFound(reason=f"no such path: {path}", field="path")
        for known, handler, match in matches:
            if known == method and match is not None:
                return handler, match.groupdict()
        allowed = sorted({m for m, _, _ in matches})
        return MethodNotAllowed(reason=f"use {', '.join(allowed)}", field="method")


class _Root(Resource):
    """Pass all paths to the route table."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        app: Any,
        routes: Routes,
        tasks: TaskSet,
        *,
        traffic: TrafficMeter,
        kind: str,
    ) -> None:
        super().__init__()
        self._traffic = traffic
        self._kind = kind
        self._app = app
        self._routes = routes
        self._tasks = tasks

    def render(self, request: Request) -> int:
        self._tasks.spawn(self._answer(request), name="http-call")
        return int(NOT_DONE_YET)

    async def _answer(self, request: Request) -> None:
        if request.channel is None:
            # The connection was lost before this task started; the request's body
            # is already closed.
            return
        disconnected = asyncio.Event()
        finished = request.notifyFinish()
        finished.addBoth(lambda _: disconnected.set())
        reply = await self._call(request, disconnected)
        if disconnected.is_set():
            return
        request.setResponseCode(reply.status)
        request.setHeader("Content-Type", reply.content_type)
        for name, value in reply.headers.items():
            request.setHeader(name, value)
        if getattr(self._app, "draining", False):
            # On a connection that stays open, the next request would reach a process
            # that is about to exit.
            request.setHeader("Connection", "close")
        if reply.stream is not None:
            await _write_stream(request, reply.stream, disconnected)
            return
        request.setHeader("Content-Length", str(len(reply.body)))
        size = len(reply.body) + measure_headers(request.responseHeaders)
        self._traffic.record_sent(self._kind, size)
        request.write(reply.body)
        request.finish()

    async def _call(self, request: Request, disconnected: asyncio.Event) -> HttpReply:
        path = request.path.decode("utf-8", "replace")
        found = self._routes.find(request.method.decode("latin-1"), path)
        if isinstance(found, Failure):
            return reply_failure(found)
        handler, params = found
        body = request.content.read()
        size = len(request.uri) + measure_headers(request.requestHeaders) + len(body)
        self._traffic.record_received(self._kind, size)
        call = HttpCall(
            request.method.decode("latin-1"),
            path,
            params,
            _first_values(request.args),
            _read_headers(request),
            body,
            str(request.getClientAddress().host),
            disconnected,
            request.transport,
        )
        try:
            return await handler(self._app, call)
        except Exception:
            # The client still gets a typed failure; the log has the cause.
            logger.exception("handler of %s %s failed", call.method, path)
            return reply_failure(
                InternalFault(reason="internal error; see the log of the process")
            )


async def _write_stream(
    request: Request, stream: AsyncIterator[bytes], disconnected: asyncio.Event
) -> None:
    async for chunk in stream:
        if disconnected.is_set():
            return
        request.write(chunk)
    if not disconnected.is_set():
        request.finish()


def _first_values(args: dict[bytes, list[bytes]]) -> dict[str, str]:
    return {
        k.decode("utf-8", "replace"): v[0].decode("utf-8", "replace")
        for k, v in args.items()
    }


def _read_headers(request: Request) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): values[0].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }


FINISH_POLL_S = 0.02
"""Interval at which the open requests are polled while finishing."""


class HttpServer:
    """A listener with its port and the requests in progress."""

    def __init__(
        self,
        app: Any,
        routes: Routes,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_connections: int = MAX_CONNECTIONS,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
        traffic: TrafficMeter | None = None,
        kind: str = OTHER_KIND,
    ) -> None:
        """Serve ``routes`` with ``app`` as the first argument of each handler.

        The traffic is counted under ``kind``.
        """
        self._tasks = TaskSet()
        self._site = LimitedSite(
            _Root(
                app, routes, self._tasks, traffic=traffic or TrafficMeter(), kind=kind
            ),
            max_body_bytes=max_body_bytes,
            max_connections=max_connections,
            request_timeout_s=request_timeout_s,
            read_clock=time.monotonic,
        )
        self._port: Any = None

    @property
    def factory(self) -> Site:
        """Return the factory that makes a protocol for each connection."""
        return self._site

    @property
    def connection_tracker(self) -> ConnectionTracker:
        """Return the tracker of the open connections."""
        return self._site.connection_tracker

    def listen(self, address: str) -> None:
        """Listen on ``host:port``."""
        self._tasks.spawn(self._site.sweep(), name="http-sweep")
        host, port = split_address(address)
        self._port = reactor.listenTCP(port, self._site, backlog=256, interface=host)

    async def stop_listening(self) -> None:
        """Accept no new connections; open requests continue."""
        if self._port is None:
            return
        port, self._port = self._port, None
        if ignore_new_connections(port.socket):
            # Meanwhile the reactor accepts the connections already established.
            await asyncio.sleep(HANDSHAKE_GRACE_S)
        deferred = port.stopListening()
        if deferred is not None:
            await deferred.asFuture(asyncio.get_running_loop())

    async def finish(self, *, within_s: float) -> None:
        """Close idle connections, and wait for open requests to complete.

        An open connection accepts requests until the process exits; one that arrives
        just before that would never be answered.
        """
        end = time.monotonic() + within_s
        while True:
            for transport in self.connection_tracker.pop_idle():
                transport.loseConnection()
            if not self.connection_tracker.count_active() or time.monotonic() >= end:
                return
            await asyncio.sleep(FINISH_POLL_S)

    async def close(self) -> None:
        """Stop listening and cancel the open requests."""
        await self.stop_listening()
        await self._tasks.close()
