"""Stand-ins for many workers in one process, each with its own loopback address.

They let a leader be measured with the required number of workers on one machine.
Counts the bytes of all connections, which are those between leader and workers.
"""

import argparse
import asyncio
from typing import Any

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    HttpServer,
    RouteTable,
    reply_json,
)
from firladder._internal.utils.addresses import split_address

from .many_workers import worker_address
from .process import run_standin
from .worker import Worker, routes

control = RouteTable()


class Traffic:
    """Bytes that the workers of this process have received and sent."""

    def __init__(self) -> None:
        self.received = 0
        self.sent = 0


class _CountingProtocol(ProtocolWrapper):
    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.factory.traffic.received += len(data)
        super().dataReceived(data)

    def write(self, data: bytes) -> None:
        self.factory.traffic.sent += len(data)
        super().write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        self.write(b"".join(data))


class _CountingFactory(WrappingFactory):
    protocol = _CountingProtocol

    def __init__(self, wrapped: Any, traffic: Traffic) -> None:
        super().__init__(wrapped)
        self.traffic = traffic


@control.route("GET", "/traffic")
async def report_traffic(traffic: Traffic, call: HttpCall) -> HttpReply:
    """Return the bytes received and sent so far."""
    return reply_json({"received": traffic.received, "sent": traffic.sent})


async def main(options: argparse.Namespace) -> None:
    """Serve until stopped."""
    # Imported here: the import of the package above installs this reactor first.
    from twisted.internet import reactor

    traffic = Traffic()
    host, port = split_address(options.address)
    HttpServer(traffic, control).listen(options.address)
    traffic.background_tasks = []  # type: ignore[attr-defined]
    for number in range(options.workers):
        worker = Worker(f"worker-{number}", options.accelerators)
        ip, _ = split_address(worker_address(number, port))
        server = HttpServer(worker, routes)
        factory = _CountingFactory(server.factory, traffic)
        reactor.listenTCP(port, factory, interface=ip)
        traffic.background_tasks.append(asyncio.create_task(worker.run()))  # type: ignore[attr-defined]


if __name__ == "__main__":
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--address", required=True)
    arguments.add_argument("--workers", type=int, required=True)
    arguments.add_argument("--accelerators", type=int, default=2)
    run_standin(arguments, main)
