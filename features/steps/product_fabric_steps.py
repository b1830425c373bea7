import asyncio
import os
import subprocess
import sys

from behave import given, then, when

from firladder._internal.exceptions import PeerUnreachable
from firladder._internal.models.message import DomainReply, FetchDomain
from firladder._internal.network.fabric import Fabric
from firladder._internal.utils.clocks import LogicalClock
from standins.probe import read_resident_mb
from standins.site import ROOT, reserve_port_block

SECRET = "k" * 40


class Exchange:
    """Processes that exchange messages on the scenario's own event loop."""

    def __init__(self, secret: str) -> None:
        self.loop = asyncio.new_event_loop()
        self.lock, self.ports = reserve_port_block()
        self.fabrics: list[Fabric] = []
        self.handled = 0
        self.server = self.add(secret)
        self.server.handle(FetchDomain, self.answer)
        self.address = f"127.0.0.1:{self.port}"
        self.peer = self.add(secret)
        self.ask(self.peer)
        self.memory_mb = read_resident_mb(os.getpid())

    async def answer(self, body: FetchDomain) -> DomainReply:
        self.handled += 1
        return DomainReply(
            failure_domain="d",
            epoch=1,
            isolated=False,
            queued=0,
            running=0,
            workers=(),
        )

    def add(self, secret: str) -> Fabric:
        if not self.fabrics:
            self.port = next(self.ports)
        port = next(self.ports) if self.fabrics else self.port

        async def build() -> Fabric:
            address = f"127.0.0.1:{port}"
            fabric = Fabric(
                address=address, sender="x", logical=LogicalClock(), secret=secret
            )
            fabric.start()
            return fabric

        fabric = self.loop.run_until_complete(build())
        self.fabrics.append(fabric)
        return fabric

    def ask(self, fabric: Fabric, timeout_s: float = 10.0) -> object:
        work = fabric.ask(self.address, FetchDomain(), timeout_s=timeout_s)
        return self.loop.run_until_complete(work)

    def stop(self) -> None:
        for fabric in reversed(self.fabrics):
            self.loop.run_until_complete(fabric.close())
        self.loop.close()
        self.lock.close()


@given("a process with the fleet's secret")
def start_with_secret(context):
    context.exchange = Exchange(SECRET)
    context.add_cleanup(context.exchange.stop)


@given("a process without a secret")
def start_plain(context):
    context.exchange = Exchange("")
    context.add_cleanup(context.exchange.stop)


@when("a process with {secret} sends it a question")
def ask_with(context, secret):
    secrets = {"the same one": SECRET, "another secret": "x" * 40, "no secret": ""}
    stranger = context.exchange.add(secrets[secret])
    context.handled_before = context.exchange.handled
    wait_s = 10.0 if secret == "the same one" else 1.5
    context.reply = context.exchange.ask(stranger, wait_s)


@then("it is answered")
def check_answered(context):
    assert isinstance(context.reply, DomainReply), context.reply


@then("it gets no answer, and no handler got it")
def check_unhandled(context):
    assert isinstance(context.reply, PeerUnreachable), context.reply
    assert context.exchange.handled == context.handled_before
    assert isinstance(context.exchange.ask(context.exchange.peer), DomainReply)


@when("a stranger sends {what}")
def send_garbage_between(context, what):
    exchange = context.exchange
    command = [sys.executable, "-m", "features.support.stranger"]
    work = asyncio.to_thread(
        subprocess.run, [*command, exchange.address, what], cwd=ROOT, check=True
    )
    exchange.loop.run_until_complete(work)


@then("a peer is still answered")
def check_peer(context):
    reply = context.exchange.ask(context.exchange.peer)
    assert isinstance(reply, DomainReply), reply


@then("the process grew by less than {max_mb:d} MB")
def check_growth(context, max_mb):
    grown = read_resident_mb(os.getpid()) - context.exchange.memory_mb
    assert grown < max_mb, grown
