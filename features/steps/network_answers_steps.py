import asyncio
import contextlib
import random
import socket
import threading
import time

import parse
from behave import given, register_type, then, when

from firladder._internal.etcd.store import Snapshot, StoreClient
from firladder._internal.exceptions import (
    AnswerTooLarge,
    ConnectionClosed,
    ConnectionRefused,
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

CHUNK = b"x" * 1000


@parse.with_pattern(r"has ended|ends while it .*|resets while it .*|does not answer")
def parse_ending(text):
    return text


register_type(Ending=parse_ending)


def play(context, work):
    """Run a coroutine on the event loop that twisted's reactor uses."""
    from twisted.internet import reactor

    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    return asyncio.get_event_loop().run_until_complete(work)


class ChunkServer:
    """Responds to each call with chunks at equal intervals."""

    def __init__(self, chunks, takes_s, silent_path=b" none ", first=b""):
        self.first = first
        self.silent_path = silent_path
        self.chunks = chunks
        self.gap_s = takes_s / chunks
        self.closed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        if self.silent_path in request:
            await reader.read()
            return
        length = self.chunks * len(CHUNK)
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
        sending = asyncio.ensure_future(self.send(writer))
        await reader.read()
        sending.cancel()
        self.closed.set()
        writer.close()

    async def send(self, writer):
        # The first chunk has the content, padded with blanks; the others are blank.
        for number in range(self.chunks):
            await asyncio.sleep(self.gap_s)
            chunk = self.first if number == 0 else b""
            writer.write(chunk.ljust(len(CHUNK)))


@given("a server whose response of {chunks:d} chunks takes {takes:d} s")
def start_server(context, chunks, takes):
    context.server = ChunkServer(chunks, takes)
    play(context, context.server.start())


@when("it is called with {limit:f} s for the response")
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


class EndingServer(ChunkServer):
    """Ends as ``behaviour`` says while it handles a call."""

    def __init__(self, behaviour):
        super().__init__(1, 1.0)
        self.behaviour = behaviour

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if self.behaviour == "does not answer":
            await reader.read()
        elif self.behaviour.startswith("resets"):
            writer.transport.abort()
        else:
            writer.close()


@given("a server that {behaviour:Ending}")
def start_ending_server(context, behaviour):
    context.server = EndingServer(behaviour)
    play(context, context.server.start())
    if behaviour == "has ended":
        context.server.server.close()


@then('the call ends "{kind}" within {seconds:f} s, closed by the server: {closed}')
def check_closed_by_server(context, kind, seconds, closed):
    check_kind(context, kind, seconds)
    by_server = isinstance(context.result, ConnectionClosed | ConnectionRefused)
    assert by_server is (closed == "yes"), context.result


@then("the server's connection is closed within {seconds:f} s")
def check_closed(context, seconds):
    play(context, asyncio.wait_for(context.server.closed.wait(), seconds))


@when(
    "it is called with {limit:f} s for the response to begin "
    "and {stall:f} s between its chunks"
)
def call_server_for_chunks(context, limit, stall):
    context.http = HttpClient()
    call_with(context, timeout_s=limit, stall_timeout_s=stall)


@when("it is called for at most {max_bytes:d} bytes")
def call_server_with_limit(context, max_bytes):
    context.http = HttpClient()
    call_with(context, timeout_s=2.0, max_bytes=max_bytes)


@given(
    "a store whose listing takes {takes:d} s to arrive and that answers no other call"
)
def start_store(context, takes):
    context.server = ChunkServer(20, takes, silent_path=b"/-/kv-key")
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


class DeadConnectionServer:
    """Answers 404, except on connections that are silenced."""

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


@given("a store with {count:d} idle connections that are all dead")
def silence_connections(context, count):
    context.server = DeadConnectionServer()
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


@then("at most {limit:d} read was lost")
def check_lost(context, limit):
    assert context.lost <= limit, context.lost


@given("an etcd store whose listing takes {takes:d} s to arrive")
def start_etcd_store(context, takes):
    context.server = ChunkServer(30, takes, first=b'{"header": {"revision": "7"}}')
    play(context, context.server.start())


@when("the etcd store is listed")
def list_etcd_store(context):
    store = StoreClient(
        url=f"http://127.0.0.1:{context.server.port}", http=HttpClient()
    )
    context.result = play(context, store.range("firladder/"))


@then("the listing is complete")
def check_listing(context):
    assert isinstance(context.result, Snapshot), context.result
    assert context.result.revision == 7


FINISHING = RouteTable()


class SlowApp:
    """Answers slow calls after a delay, and others at once."""

    def __init__(self, takes_s):
        self.takes_s = takes_s


@FINISHING.route("GET", "/slow")
async def answer_slowly(app, call):
    await asyncio.sleep(app.takes_s)
    return reply_json({"answered": True})


@FINISHING.route("GET", "/quick")
async def answer_quickly(app, call):
    return reply_json({"answered": True})


class Connection:
    """An open connection; records when it was answered and closed."""

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
    context.idle, context.slow = Connection(), Connection()

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


class CountingServer:
    """Answers calls in threads of its own, and notes the numbers in their bodies."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}/"
        self.arrived = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.answer, args=(connection,), daemon=True
                ).start()

    def answer(self, connection):
        with connection, contextlib.suppress(OSError):
            request = b""
            while received := connection.recv(65536):
                request += received
                head, _, body = request.partition(b"\r\n\r\n")
                if len(body) == len(b"%08d" % 0):
                    self.arrived.add(int(body))
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    return


@given("a server that counts the calls that arrive")
def start_counting_server(context):
    context.counting = CountingServer()
    context.add_cleanup(context.counting.listener.close)


@when(
    "{count:d} calls get up to {limit:d} ms to be sent "
    "while the process stands still for up to {pause:d} ms"
)
def call_beside_pauses(context, count, limit, pause):
    rng = random.Random(60)
    http = HttpClient(persistent=False)
    context.outcomes = {}

    async def call(number):
        context.outcomes[number] = await http.call(
            "POST",
            context.counting.url,
            body=b"%08d" % number,
            send_within_s=rng.uniform(0, limit / 1000),
            timeout_s=2.0,
        )

    async def stand_still():
        while True:
            time.sleep(rng.choice((0.0, 0.0, 0.0005, 0.002, pause / 1000)))
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.0003)))

    async def call_all():
        standing = asyncio.ensure_future(stand_still())
        for first in range(0, count, 10):
            await asyncio.gather(*map(call, range(first, first + 10)))
        standing.cancel()
        # What left too late would arrive by now.
        await asyncio.sleep(0.3)

    play(context, call_all())


@then("some of them count as not sent and some are answered")
def check_both_outcomes(context):
    kinds = {type(outcome) for outcome in context.outcomes.values()}
    assert {NotSent, HttpResponse} <= kinds, kinds


@then("none that counts as not sent has arrived")
def check_none_arrived(context):
    unsent = {n for n, o in context.outcomes.items() if isinstance(o, NotSent)}
    assert not unsent & context.counting.arrived


@given("a server that accepts no connections")
def start_full_server(context):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.add_cleanup(listener.close)
    context.listener = listener
    address = listener.getsockname()
    # The backlog is full when one of these connections times out.
    for _ in range(8):
        filler = socket.socket()
        context.add_cleanup(filler.close)
        filler.settimeout(0.2)
        try:
            filler.connect(address)
        except TimeoutError:
            return
    raise AssertionError("the backlog never fills")


@when("it is called with {send:f} s to be sent and {limit:f} s for the response")
def call_full_server(context, send, limit):
    context.http = HttpClient()
    url = f"http://127.0.0.1:{context.listener.getsockname()[1]}/"
    limits = {"send_within_s": send, "timeout_s": limit}
    began = time.monotonic()
    call = context.http.call("POST", url, body=b"{}", **limits)
    context.result = play(context, call)
    context.spent_s = time.monotonic() - began


@then("nothing arrives when the server accepts connections again")
def check_nothing(context):
    listener, received = context.listener, []
    listener.settimeout(0.1)

    async def take_connections():
        """Accept connections while the reactor runs, which could send the request."""
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
