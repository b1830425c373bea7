import asyncio
import collections
import json
import random
import statistics

import msgspec
from behave import given, then, when

from features.support.virtual_time import VirtualClock, run_in_virtual_time
from firladder._internal.exceptions import PeerUnreachable
from firladder._internal.models.message import (
    AdvertiseConfiguration,
    GreetNode,
    QueuesReply,
)
from firladder._internal.network.fabric import IDLE_LINK_S
from firladder._internal.node.configuration import ConfigurationCache
from firladder._internal.node.distribution import CATCH_UP_DELAY_S
from firladder._internal.node.fleet import GREETING_INTERVAL_S, Fleet
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.events import Timeline

DOMAINS = 5
ENVELOPE_BYTES = 120
"""Approximate bytes of an envelope and its packet headers."""


class Exchange:
    """Delivers messages between the nodes of a fleet and counts their bytes."""

    def __init__(self):
        self.handlers = {}
        self.sent = {}
        self.greeted = collections.defaultdict(set)
        self.fetched = 0
        self.lose_adverts = False

    def join(self, ip):
        self.handlers[ip] = {}
        self.sent[ip] = 0
        return ExchangeFabric(self, ip)


class ExchangeFabric:
    def __init__(self, exchange, ip):
        self.exchange = exchange
        self.ip = ip

    def handle(self, kind, handler):
        self.exchange.handlers[self.ip][kind] = handler

    async def ask(self, address, body, *, timeout_s):
        ip = address.split(":")[0]
        exchange = self.exchange
        self._count(self.ip, body)
        if isinstance(body, GreetNode):
            exchange.greeted[self.ip].add(ip)
        if exchange.lose_adverts and isinstance(body, AdvertiseConfiguration):
            return PeerUnreachable(reason="lost")
        await asyncio.sleep(0)
        reply = await exchange.handlers[ip][type(body)](body)
        self._count(ip, reply)
        if isinstance(reply, QueuesReply) and reply.packed:
            exchange.fetched += 1
        return reply

    def _count(self, ip, body):
        size = len(msgspec.msgpack.encode(body)) + ENVELOPE_BYTES
        self.exchange.sent[ip] += size


@given("a fleet of {count:d} nodes of which {share} can reach the store")
def build_large_fleet(context, count, share):
    rng = random.Random(11)
    context.rng = rng
    context.exchange = Exchange()
    context.clock = VirtualClock()
    ips = [f"10.{n % DOMAINS}.{n // 250}.{n % 250}" for n in range(count)]
    unserved = {"all": 0, "two thirds": count // 3}[share]
    context.served = set(ips) - set(rng.sample(ips, unserved))
    context.nodes = {}
    build_nodes(context, ips, rng, reaches_store=context.served)


def build_nodes(context, ips, rng, *, reaches_store):
    """Create a node for each address, with version 1 and up to sixty seeds."""
    for number, ip in enumerate(ips):
        configuration = ConfigurationCache()
        configuration.offer(b'{"version": 1}', source="test")
        fleet = Fleet(
            ip=ip,
            failure_domain=f"domain-{number % DOMAINS}",
            port=1,
            seeds=tuple(rng.sample(ips, min(len(ips), 60))),
            fabric=context.exchange.join(ip),
            configuration=configuration,
            clock=context.clock,
            rng=random.Random(number),
            timeline=Timeline(
                process=ip, clock=context.clock, logical=LogicalClock(), capacity=64
            ),
            reaches_store=lambda ip=ip: ip in reaches_store,
        )
        configuration.listeners.append(fleet.distribution.advertise)
        context.nodes[ip] = (fleet, configuration)


@given("adverts are lost")
def lose_adverts(context):
    context.exchange.lose_adverts = True


@when("three configurations of {size:d} bytes come at once")
def change_configuration(context, size):
    context.size = size
    context.rounds = 0
    context.exchange.sent = dict.fromkeys(context.nodes, 0)

    async def change():
        for version in (2, 3, 4):
            # Random, so that compression does not reduce its size much.
            note = context.rng.randbytes(size // 2).hex()
            value = json.dumps({"version": version, "note": note}).encode()
            for ip in context.served:
                context.nodes[ip][1].offer(value, source="store")
        await asyncio.sleep(4 * CATCH_UP_DELAY_S)
        await close(context)

    run_in_virtual_time(change())


@when("{rounds:d} round of greetings has passed")
@when("{rounds:d} rounds of greetings have passed")
def greet_round(context, rounds):
    async def greet():
        for _ in range(rounds):
            for fleet, _configuration in context.nodes.values():
                fleet.greet_peers()
            await asyncio.sleep(4 * CATCH_UP_DELAY_S)
        await close(context)

    run_in_virtual_time(greet())


async def close(context):
    for fleet, _ in context.nodes.values():
        await fleet.close()


@then("every node has the newest configuration")
def check_newest(context):
    versions = {ip: c.version for ip, (_, c) in context.nodes.items() if c.version < 4}
    assert not versions, versions


@then("no node's link of {mbps:d} Mbit/s was busy for more than {seconds:f} s")
def check_link(context, mbps, seconds):
    max_bytes = max(context.exchange.sent.values())
    assert max_bytes * 8 / (mbps * 1e6) <= seconds, max_bytes


@then("the nodes sent less than {times:f} times the configuration each on average")
def check_mean(context, times):
    mean = statistics.mean(context.exchange.sent.values())
    assert mean < times * context.size, mean


@then("no node was sent a configuration by a peer")
def check_none_fetched(context):
    assert context.exchange.fetched == 0, context.exchange.fetched


@when("{first:d} s of greetings pass, and then {seconds:d} s more")
def greet_long(context, first, seconds):
    async def greet():
        for number in range(int((first + seconds) / GREETING_INTERVAL_S)):
            if number * GREETING_INTERVAL_S % IDLE_LINK_S == 0:
                context.exchange.greeted.clear()
            if number * GREETING_INTERVAL_S == first:
                context.busiest = 0
            for fleet, _configuration in context.nodes.values():
                fleet.greet_peers()
            await asyncio.sleep(GREETING_INTERVAL_S)
            max_greeted = max(map(len, context.exchange.greeted.values()))
            context.busiest = max(getattr(context, "busiest", 0), max_greeted)
        await close(context)

    run_in_virtual_time(greet())


@then("no node greeted more than {limit:d} others within {seconds:d} s")
def check_greeted(context, limit, seconds):
    assert seconds == IDLE_LINK_S
    assert context.busiest <= limit, context.busiest


@then("every node knows at least {count:d} others")
def check_known(context, count):
    min_known = min(len(fleet.list_peers()) for fleet, _ in context.nodes.values())
    assert min_known >= count, min_known
