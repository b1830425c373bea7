import asyncio
import contextlib
import socket
import time

from behave import given, then, when

from firladder._internal.etcd.store import Snapshot, StoreClient
from firladder._internal.exceptions import (
    AnswerTooLarge,
    NotSent,
    SentUnanswered,
    StoreUncertain,
)
from firladder._internal.network.http_client import HttpClient, HttpResponse
from firladder._internal.network.http_server import (
    HttpServer,
    RouteTable,
    reply_json,
)
from firladder._internal.platform.store import PlatformStore
from firladder._internal.utils.clocks import SystemClock

PART = b"x" * 1000


def play(context, work):
    """Run a coroutine on the event loop that twisted's reactor shares."""
    from twisted.internet import reactor

    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    return asyncio.get_event_loop().run_until_complete(work)


class PartServer:
    """Answers each call with parts, some time apart."""

    def __init__(self, parts, takes_s, silent_path=b" none ", first=b""):
        self.first = first
        self.silent_path = silent_path
        self.parts = parts
        self.gap_s = takes_s / parts
        self.closed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        if self.silent_path in request:
            await reader.read()
            return
        length = self.parts * len(PART)
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
        sending = asyncio.ensure_future(self.send(writer))
        await reader.read()
        sending.cancel()
        self.closed.set()
        writer.close()

    async def send(self, writer):
        # The first part has the content, the others are blanks behind it.
        for number in range(self.parts):
            await asyncio.sleep(self.gap_s)
            part = self.first if number == 0 else b""
            writer.write(part.ljust(len(PART)))


@given("a server whose answer of {parts:d} parts takes {takes:d} s")
def start_server(context, parts, takes):
    context.server = PartServer(parts, takes)
    play(context, context.server.start())


@when("it is called with {limit:f} s for the answer")
def call_server(context, limit):
    context.http = HttpClient()
    call_with(context, timeout_s=limit)


def call_with(context, **limits):
    url = f"http://127.0.0.1:{context.server.port}/"
    began = time.monotonic()
    context.result = play(context, context.http.call("GET", url, **limits))
    context.spent_s = time.monotonic() - began


@then('the call ends "{kind}" within {seconds:f} s')
def check_kind(context, kind, seconds):
    kinds = {
        "sent_unanswered": SentUnanswered,
        "too_large": AnswerTooLarge,
        "answered": HttpResponse,
        "not_sent": NotSent,
    }
    assert isinstance(context.result, kinds[kind]), context.result
    assert context.spent_s <= seconds, context.spent_s


@then("the server's connection is closed within {seconds:f} s")
def check_closed(context, seconds):
    play(context, asyncio.wait_for(context.server.closed.wait(), seconds))


@when(
    "it is called with {limit:f} s for the answer to begin "
    "and {stall:f} s between its parts"
)
def call_server_for_parts(context, limit, stall):
    context.http = HttpClient()
    call_with(context, timeout_s=limit, stall_timeout_s=stall)


@when("it is called for at most {most:d} bytes")
def call_server_for_little(context, most):
    context.http = HttpClient()
    call_with(context, timeout_s=2.0, max_bytes=most)


@given(
    "a store whose listing takes {takes:d} s to arrive and that does not answer else"
)
def start_store(context, takes):
    context.server = PartServer(20, takes, silent_path=b"/-/kv-key")
    play(context, context.server.start())
    context.store = PlatformStore(
        address=f"127.0.0.1:{context.server.port}",
        http=HttpClient(),
        clock=SystemClock(),
    )


@when("an item is read with {limit:f} s for it while the listing arrives")
def read_beside_listing(context, limit):
    async def read():
        listing = asyncio.ensure_future(context.store.read_range("op/"))
        await asyncio.sleep(0.3)
        context.result = await context.store.read_item("a", timeout_s=limit)
        context.reachable = context.store.reachable
        await listing

    play(context, read())
    assert isinstance(context.result, StoreUncertain), context.result


@when("an item is read with {limit:f} s for it after the listing")
def read_alone(context, limit):
    play(context, context.store.read_item("a", timeout_s=limit))
    context.reachable = context.store.reachable


@then("the store still counts as reachable")
def check_reachable(context):
    assert context.reachable


@then("the store counts as unreachable")
def check_unreachable(context):
    assert not context.reachable


class SilencedServer:
    """Answers that nothing is stored, until its open connections are silenced."""

    def __init__(self):
        self.connections = 0
        self.silenced = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            await asyncio.sleep(0.05)
            if number not in self.silenced:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")


@given("a store with {count:d} idle connections that have all fallen silent")
def silence_connections(context, count):
    context.server = SilencedServer()
    play(context, context.server.start())
    context.store = PlatformStore(
        address=f"127.0.0.1:{context.server.port}",
        http=HttpClient(max_idle_per_host=16),
        clock=SystemClock(),
    )

    async def open_all():
        await asyncio.gather(*(context.store.read_item("a") for _ in range(count)))

    play(context, open_all())
    assert context.server.connections == count
    context.server.silenced = set(range(1, count + 1))


@when("items are read with {limit:f} s for each until one is answered")
def read_until_answered(context, limit):
    async def read():
        context.lost = 0
        while isinstance(
            await context.store.read_item("a", timeout_s=limit), StoreUncertain
        ):
            context.lost += 1

    play(context, read())


@then("at most {most:d} read was lost")
def check_lost(context, most):
    assert context.lost <= most, context.lost


@given("a store of the product's own whose listing takes {takes:d} s to arrive")
def start_own_store(context, takes):
    context.server = PartServer(30, takes, first=b'{"header": {"revision": "7"}}')
    play(context, context.server.start())


@when("the product's own store is listed")
def list_own_store(context):
    store = StoreClient(
        url=f"http://127.0.0.1:{context.server.port}", http=HttpClient()
    )
    context.result = play(context, store.range("firladder/"))


@then("the listing is whole")
def check_listing(context):
    assert isinstance(context.result, Snapshot), context.result
    assert context.result.revision == 7


FINISHING = RouteTable()


class SlowApp:
    """Serves one call that takes a while, and others at once."""

    def __init__(self, takes_s):
        self.takes_s = takes_s


@FINISHING.route("GET", "/slow")
async def answer_slowly(app, call):
    await asyncio.sleep(app.takes_s)
    return reply_json({"answered": True})


@FINISHING.route("GET", "/quick")
async def answer_quickly(app, call):
    return reply_json({"answered": True})


class Caller:
    """An open connection; notes when it was answered and when it was closed."""

    async def start(self, port, path):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        self.reading = asyncio.ensure_future(self.read())

    async def read(self):
        self.answered_at = self.closed_at = None
        while data := await self.reader.read(4096):
            if b"answered" in data:
                self.answered_at = time.monotonic()
        self.closed_at = time.monotonic()


@given("a listener with an idle connection and a call that takes {takes:f} s")
def start_listener(context, takes):
    context.listener = HttpServer(SlowApp(takes), FINISHING)
    context.idle, context.slow = Caller(), Caller()

    async def start():
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        context.listener.listen(f"127.0.0.1:{port}")
        await context.idle.start(port, "/quick")
        await context.slow.start(port, "/slow")
        await asyncio.sleep(0.2)
        assert context.idle.answered_at and not context.slow.answered_at

    play(context, start())


@when("the listener finishes within {seconds:d} s")
def finish_listener(context, seconds):
    async def finish():
        await context.listener.finish(within_s=seconds)
        await asyncio.wait((context.idle.reading, context.slow.reading), timeout=0.5)
        await context.listener.close()

    play(context, finish())


@then("the idle connection was closed before the call was answered")
def check_closed_first(context):
    assert context.idle.closed_at is not None
    assert context.slow.answered_at is None or (
        context.idle.closed_at < context.slow.answered_at
    )


@then("the call was answered")
def check_answered(context):
    assert context.slow.answered_at is not None


@given("a server that takes no connections")
def start_full_server(context):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.add_cleanup(listener.close)
    context.listener = listener
    address = listener.getsockname()
    # The queue of new connections is full when one of these does not get through.
    for _ in range(8):
        filler = socket.socket()
        context.add_cleanup(filler.close)
        filler.settimeout(0.2)
        try:
            filler.connect(address)
        except TimeoutError:
            return
    raise AssertionError("the queue never fills")


@when("it is called with {leave:f} s to leave and {limit:f} s for the answer")
def call_full_server(context, leave, limit):
    context.http = HttpClient()
    url = f"http://127.0.0.1:{context.listener.getsockname()[1]}/"
    limits = {"send_within_s": leave, "timeout_s": limit}
    began = time.monotonic()
    call = context.http.call("POST", url, body=b"{}", **limits)
    context.result = play(context, call)
    context.spent_s = time.monotonic() - began


@then("nothing arrives when the server takes connections again")
def check_nothing(context):
    listener, received = context.listener, []
    listener.settimeout(0.1)

    async def take_connections():
        """Let the reactor run meanwhile: only it can send what is left."""
        until = time.monotonic() + 1.5
        taken = []
        while time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                taken.append(listener.accept()[0])
            await asyncio.sleep(0.05)
        for connection in taken:
            connection.settimeout(0.1)
            with contextlib.suppress(TimeoutError):
                received.append(connection.recv(100))
            connection.close()

    play(context, take_connections())
    assert not any(received), received
