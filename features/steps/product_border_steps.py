import json
import random
import select
import socket
import subprocess
import sys
import threading
import time

from behave import given, then, when

from standins.probe import read_resident_mb
from standins.site import ROOT, call, reserve_port_block, wait_for


class LimitedListener:
    """A listener with low limits, and the peers that connect to it."""

    def __init__(self, connections: int, timeout_s: int) -> None:
        self.lock, ports = reserve_port_block()
        self.address = f"127.0.0.1:{next(ports)}"
        command = [sys.executable, "-m", "features.support.listener"]
        command += [f"--address={self.address}", f"--connections={connections}"]
        self.process = subprocess.Popen(
            [*command, f"--patience={timeout_s}"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        self.peers: list[socket.socket] = []
        self.stopping = threading.Event()
        wait_for(lambda: call(self.address, "GET", "/places"), what="listener")
        self.memory_mb = read_resident_mb(self.process.pid)

    def connect(self) -> socket.socket:
        host, port = self.address.split(":")
        peer = socket.create_connection((host, int(port)), timeout=5)
        self.peers.append(peer)
        return peer

    def send_slowly(self, count: int) -> None:
        peers = [self.connect() for _ in range(count)]
        for peer in peers:
            peer.sendall(b"GET /places HTTP/1.1\r\n")

        def run() -> None:
            while not self.stopping.wait(0.2):
                for peer in peers:
                    try:
                        peer.sendall(b"X-More: 1\r\n")
                    except OSError:
                        continue

        threading.Thread(target=run, daemon=True).start()

    def send_all(self, peer: socket.socket, data: bytes) -> None:
        # The listener may close the connection before all is sent.
        try:
            peer.sendall(data)
        except OSError:
            return

    def is_disconnected(self, peer: socket.socket) -> bool:
        # Polled without reading: that would let a blocked listener continue.
        poll = select.poll()
        poll.register(peer, select.POLLRDHUP)
        return bool(poll.poll(0))

    def is_refused(self) -> bool:
        """Return whether a new connection is closed at once."""
        peer = self.connect()
        peer.settimeout(1)
        try:
            return peer.recv(1) == b""
        except ConnectionError:
            return True
        except TimeoutError:
            return False

    def stop(self) -> None:
        self.stopping.set()
        for peer in self.peers:
            peer.close()
        self.process.terminate()
        self.process.wait(20)
        self.lock.close()


@given(
    "a listener of {connections:d} connections with a request timeout of {timeout:d} s"
)
def start_listener(context, connections, timeout):
    context.listener = LimitedListener(connections, timeout)
    context.add_cleanup(context.listener.stop)


@when("{count:d} peers slowly send it header lines")
def send_slowly(context, count):
    context.listener.send_slowly(count)


@when("{count:d} peers connect and send nothing")
def connect_silently(context, count):
    for _ in range(count):
        context.listener.connect()


@then("a caller is answered within {limit:d} s")
def check_caller(context, limit):
    started = time.monotonic()
    answer = wait_for(
        lambda: call(context.listener.address, "POST", "/echo", {}, timeout_s=limit),
        limit,
        "an answer",
    )
    assert answer == (200, {"bytes": 2}), answer
    assert time.monotonic() - started < limit


@then("the connections of all slow peers are closed within {limit:d} s")
def check_slow_peers(context, limit):
    listener = context.listener
    wait_for(
        lambda: all(map(listener.is_disconnected, listener.peers)),
        limit,
        "peers closed",
    )


@then("the listener holds at most {max_open:d} connections")
def check_open_connections(context, max_open):
    _, answer = call(context.listener.address, "GET", "/places")
    assert answer["open"] <= max_open, answer


@then("its memory grew by less than {max_mb:d} MB")
def check_memory(context, max_mb):
    listener = context.listener
    grown = read_resident_mb(listener.process.pid) - listener.memory_mb
    assert grown < max_mb, grown


@when("{count:d} callers are being served")
def serve_callers(context, count):
    listener = context.listener
    context.served = [listener.connect() for _ in range(count)]
    for peer in context.served:
        peer.sendall(b"GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
        # The first byte of the response shows that the listener serves the caller.
        assert peer.recv(1) == b"H"


@then("one more caller is closed within {limit:d} s")
def check_closed(context, limit):
    wait_for(context.listener.is_refused, limit, "closed")


@then("no caller who is being served was disconnected")
def check_served(context):
    assert not any(map(context.listener.is_disconnected, context.served))


@when("the callers who were being served disconnect")
def disconnect(context):
    for peer in context.served:
        peer.close()


@when("a caller sends a body of {size:d} bytes {how}")
def send_body(context, size, how):
    context.peer = peer = context.listener.connect()
    head = b"POST /echo HTTP/1.1\r\nHost: a\r\n"
    if how == "with its length":
        data = head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    else:
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        data = head + b"Transfer-Encoding: chunked\r\n\r\n"
        data += chunk * (size // 0x10000) + b"0\r\n\r\n"
    peer.sendall(data)


@then("it reads a typed rejection with status {status:d}")
def check_rejection(context, status):
    raw = b""
    while part := context.peer.recv(65536):
        raw += part
    head, _, body = raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), head
    assert json.loads(body)["type"] == "body_too_large", body


PIPELINED = b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
GARBAGE = {
    "headers of 10 MB": b"GET / HTTP/1.1\r\n" + b"X-A: " + b"x" * 10_000_000,
    "a request line of 10 MB": b"GET /" + b"x" * 10_000_000,
    "2 MB of random bytes": random.Random(7).randbytes(2_000_000),
    "2000 pipelined requests and reads nothing": PIPELINED * 2_000,
}


@when("a peer sends {what}")
def send_garbage(context, what):
    context.peer = context.listener.connect()
    context.listener.send_all(context.peer, GARBAGE[what])


@then("its connection is closed within {limit:d} s")
def check_closed_peer(context, limit):
    def gone() -> bool:
        # Asked of the listener, because a peer with a full receive buffer that
        # reads nothing does not notice a reset either.
        return call(context.listener.address, "GET", "/places")[1] == {"open": 1}

    wait_for(gone, limit, "closed")
