import asyncio
import random
import string
import time

import msgspec
from behave import given, then, when

from features.environment import start_platform
from features.steps.node_configuration_steps import (
    DOMAINS,
    ENVELOPE_BYTES,
    Exchange,
    ExchangeFabric,
    build_nodes,
)
from features.support.virtual_time import VirtualClock, run_in_virtual_time
from firladder._internal.exceptions import PeerUnreachable
from firladder._internal.node.fleet import GREETING_INTERVAL_S
from firladder._internal.utils.codec import encode_json
from firladder._internal.utils.events import Event
from standins.proxy import Mode, Proxy
from standins.site import wait_for

LARGE_LINK_MBPS = 100.0
LARGE_LINK_SHARE = 6
BASE64_SHARE = 4 / 3


def make_random_name(rng):
    return "".join(rng.choices(string.ascii_lowercase + string.digits, k=7))


def make_routes(count, rng):
    return [
        {
            "name": f"r-{make_random_name(rng)}",
            "hostname": "jobs.example",
            "prefix": f"/{make_random_name(rng)}/",
            "type": "non_idempotent",
            "timeout_ms": 3011,
            "slo_ms": 1003,
            "priority": 1,
            "backend": "pool-a",
            "max_attempts": 4,
            "stretch": 3.0,
            "public": False,
        }
        for _ in range(count)
    ]


# -- one node as a process, behind its own link --------------------------------


@given("a node whose link to the store carries {mbps:d} Mbit/s")
def start_behind_link(context, mbps):
    context.proxy = Proxy()
    context.add_cleanup(context.proxy.close)
    start_platform(context, nodes=1, workers=1, proxy=context.proxy)
    context.proxy.limit("store-0", mbps=mbps)
    context.rng = random.Random(5)


@given("the store has not answered it for {seconds:d} s")
def silence(context, seconds):
    context.proxy.set_mode("store-0", Mode.SILENT)
    time.sleep(seconds)


@given("the store rejects its calls")
def reject_calls(context):
    # The store sees the proxy's address, so it rejects all calls.
    context.platform.set_store_faults(busy=True)
    time.sleep(1.0)
    assert Event.STORE_UNREACHABLE.message in context.platform.nodes[0].log.read_text()


@when("{count:d} routes are added")
def add_routes(context, count):
    site = context.platform
    site.configuration["routes"] += make_routes(count, context.rng)
    add_version(context)


def add_version(context):
    site = context.platform
    site.configuration["version"] += 1
    site.configuration["routes"] += make_routes(1, context.rng)
    site.configure()


@when("{count:d} routes are added and the store answers again")
def add_and_answer(context, count):
    add_routes(context, count)
    context.proxy.reset("store-0")
    context.proxy.set_mode("store-0", Mode.PASS)


@when("{count:d} routes are added and {versions:d} versions follow")
def add_many(context, count, versions):
    add_routes(context, count)
    for _ in range(versions):
        add_version(context)


@when("the store accepts its calls again")
def accept_calls(context):
    context.platform.set_store_faults()


@then("the node serves the newest route within {seconds:d} s")
def check_newest_route(context, seconds):
    prefix = context.platform.configuration["routes"][-1]["prefix"]
    wait_for(
        lambda: context.platform.ask("GET", f"{prefix}00000000000000aa")[0] != 404,
        seconds,
        "the newest route",
    )


@then("it has not reported the store as unreachable")
def check_not_lost(context):
    log = context.platform.nodes[0].log.read_text()
    assert Event.STORE_UNREACHABLE.message not in log


# -- a fleet without a network ----------------------------------------------------


class LinkedExchange(Exchange):
    """Carries messages over links that transfer one message at a time."""

    def __init__(self, mbps):
        super().__init__()
        self.mbps = mbps
        self.free_at = {}
        self.busy_s = {}

    def join(self, ip):
        super().join(ip)
        self.free_at[ip] = 0.0
        self.busy_s[ip] = 0.0
        return LinkedFabric(self, ip)

    async def carry(self, ip, size):
        now = asyncio.get_running_loop().time()
        takes_s = size * 8 / (self.mbps[ip] * 1e6)
        self.busy_s[ip] += takes_s
        self.free_at[ip] = max(now, self.free_at[ip]) + takes_s
        await asyncio.sleep(self.free_at[ip] - now)


class LinkedFabric(ExchangeFabric):
    async def ask(self, address, body, *, timeout_s):
        ip = address.split(":")[0]
        # A reply still uses the link after its request has timed out.
        carried = asyncio.ensure_future(self._carry(ip, body))
        self.exchange.open.add(carried)
        carried.add_done_callback(self.exchange.open.discard)
        try:
            return await asyncio.wait_for(asyncio.shield(carried), timeout_s)
        except TimeoutError:
            return PeerUnreachable(reason="no reply in time")

    async def _carry(self, ip, body):
        exchange = self.exchange
        size = len(msgspec.msgpack.encode(body)) + ENVELOPE_BYTES
        for end in (self.ip, ip):
            await exchange.carry(end, size)
        reply = await exchange.handlers[ip][type(body)](body)
        size = len(msgspec.msgpack.encode(reply)) + ENVELOPE_BYTES
        for end in (ip, self.ip):
            await exchange.carry(end, size)
        return reply


@given(
    "a fleet of {count:d} nodes with links of {mbps:d} Mbit/s "
    "of which the store rejects a third"
)
def build_linked_fleet(context, count, mbps):
    rng = random.Random(17)
    ips = [f"10.{n % DOMAINS}.{n // 250}.{n % 250}" for n in range(count)]
    large = set(ips[::LARGE_LINK_SHARE])
    rates = {ip: LARGE_LINK_MBPS if ip in large else float(mbps) for ip in ips}
    context.exchange = LinkedExchange(rates)
    context.exchange.open = set()
    context.clock = VirtualClock()
    context.rejected = set(rng.sample(ips, count // 3))
    context.rng = rng
    context.nodes = {}
    build_nodes(context, ips, rng, reaches_store=set(ips) - context.rejected)


@when("{versions:d} versions of {routes:d} routes come {gap:f} s apart")
def publish_versions(context, versions, routes, gap):
    context.late = []
    stored = make_routes(routes, context.rng)

    async def follow_store(ip, value):
        """Deliver a version by the node's own watch, in the store's encoding."""
        await context.exchange.carry(ip, len(value) * BASE64_SHARE)
        context.nodes[ip][1].offer(value, source="store")

    async def greet_forever():
        while True:
            for fleet, _configuration in context.nodes.values():
                fleet.greet_peers()
            await asyncio.sleep(GREETING_INTERVAL_S)

    async def check_later(version):
        await asyncio.sleep(context.bound_s)
        context.late += [
            (version, ip) for ip, (_, c) in context.nodes.items() if c.version < version
        ]

    async def change():
        greeting = asyncio.ensure_future(greet_forever())
        checks = []
        for version in range(2, versions + 2):
            context.exchange.busy_s = dict.fromkeys(context.nodes, 0.0)
            value = encode_json({"version": version, "routes": stored})
            for ip in set(context.nodes) - context.rejected:
                context.exchange.open.add(
                    asyncio.ensure_future(follow_store(ip, value))
                )
            checks.append(asyncio.ensure_future(check_later(version)))
            await asyncio.sleep(gap)
        await asyncio.gather(*checks)
        greeting.cancel()
        for fleet, _ in context.nodes.values():
            await fleet.close()
        for task in context.exchange.open:
            task.cancel()

    context.bound_s = 3.0
    run_in_virtual_time(change())


@then("every node had every version, or a newer one, within {seconds:d} s")
def check_in_time(context, seconds):
    assert context.bound_s == seconds
    assert not context.late, (len(context.late), context.late[:5])


@then("no node's link was busy for more than {seconds:f} s by one version")
def check_busy(context, seconds):
    small = {
        ip: s
        for ip, s in context.exchange.busy_s.items()
        if context.exchange.mbps[ip] < LARGE_LINK_MBPS
    }
    most = max(small.values())
    assert most <= seconds, most
