import asyncio
import random

from behave import given, then, when

from firladder._internal.exceptions import PeerUnreachable
from firladder._internal.models.message import NodeView
from firladder._internal.node.configuration import ConfigurationCache
from firladder._internal.node.fleet import GREET_TIMEOUT_S, GREETING_INTERVAL_S, Fleet
from firladder._internal.node.partition import is_partitioned
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.events import Timeline

ROUND_S = 0.1


class SteppedClock:
    """A clock that advances only when the scenario does so."""

    def __init__(self):
        self.now = 1000.0

    def read_monotonic(self):
        return self.now

    def read_wall(self):
        return self.now


class PartitionedFabric:
    """Peers that answer at once, or not at all while they are unreachable."""

    def __init__(self, domains):
        self.domains = domains
        self.unreachable = set()
        self.store_reachable = True

    def handle(self, kind, handler):
        """Ignore the handler: no peer sends requests to this node."""

    async def ask(self, address, body, *, timeout_s):
        ip = address.split(":")[0]
        if ip in self.unreachable:
            return PeerUnreachable(reason="partitioned")
        return NodeView(
            peers=tuple(self.domains),
            failure_domain=self.domains[ip],
            store_reachable=self.store_reachable,
        )


@given("no node of another failure domain has answered for {silent:f} s")
def fall_silent(context, silent):
    context.silent = silent


@given("no node of another failure domain is known")
def know_nobody(context):
    context.silent = None


@given("the store has been unreachable for {outage:f} s")
def lose_store(context, outage):
    context.outage = outage


@then("a node is partitioned")
def check_partitioned(context):
    assert is_partitioned(others_silent_s=context.silent, store_away_s=context.outage)


@then("a node is not partitioned")
def check_connected(context):
    assert not is_partitioned(
        others_silent_s=context.silent, store_away_s=context.outage
    )


@given("a fleet of {domains:d} failure domains with {nodes:d} nodes each")
def build_fleet(context, domains, nodes):
    context.domains = {
        f"10.{d}.0.{n}": f"domain-{d}" for d in range(domains) for n in range(nodes)
    }
    context.clock = SteppedClock()
    context.fabric = PartitionedFabric(context.domains)
    own = next(iter(context.domains))
    configuration = ConfigurationCache()
    configuration.offer(b'{"version": 1}', source="test")
    context.fleet = Fleet(
        ip=own,
        failure_domain="domain-0",
        port=1,
        seeds=tuple(context.domains),
        fabric=context.fabric,
        configuration=configuration,
        clock=context.clock,
        rng=random.Random(7),
        timeline=Timeline(
            process="test", clock=context.clock, logical=LogicalClock(), capacity=64
        ),
        reaches_store=lambda: True,
    )
    greet(context, 5.0)


def greet(context, seconds):
    """Greet as the node does; return the longest silence measured meanwhile."""
    longest = 0.0

    async def advance():
        nonlocal longest
        until = context.clock.now + seconds
        due = context.clock.now
        while context.clock.now < until:
            if context.clock.now >= due:
                context.fleet.greet_peers()
                due = context.clock.now + GREETING_INTERVAL_S
            context.clock.now += ROUND_S
            # An unanswered greeting has no effect when it times out.
            assert GREET_TIMEOUT_S < GREETING_INTERVAL_S
            await asyncio.sleep(0.001)
            longest = max(longest, context.fleet.measure_silence() or 0.0)

    asyncio.run(advance())
    return longest


@when("the own domain is partitioned for {seconds:f} s")
def partition_own(context, seconds):
    context.fabric.unreachable = {
        ip for ip, d in context.domains.items() if d != "domain-0"
    }
    greet(context, seconds)


@when("another domain is partitioned for {seconds:f} s")
def partition_other(context, seconds):
    context.fabric.unreachable = {
        ip for ip, d in context.domains.items() if d == "domain-1"
    }
    context.longest = greet(context, seconds)


@when("the partition has been over for {seconds:f} s")
def heal(context, seconds):
    context.fabric.unreachable = set()
    greet(context, seconds)


@then("the other domains count as silent for at least {seconds:f} s")
def check_silent(context, seconds):
    assert context.fleet.measure_silence() >= seconds


@then("the other domains count as silent for at most {seconds:f} s")
def check_heard(context, seconds):
    assert context.fleet.measure_silence() <= seconds


@then("the other domains never counted as silent for {seconds:f} s")
def check_longest(context, seconds):
    assert context.longest < seconds, context.longest


@given("every peer has reported that it reaches the store")
def report_all(context):
    context.leader = "10.1.0.0"
    context.fleet.record_leader(context.leader, 5)
    greet(context, 6.0)
    assert context.fleet.find_store_helper() == context.leader


@when("the leader is removed for good and {seconds:f} s have passed")
def remove(context, seconds):
    context.fabric.unreachable = {context.leader}
    greet(context, seconds)


@when("the leader does not answer a call for help")
def ignore_call(context):
    context.fleet.forget_store_helper(context.leader)


@then("it is not asked for help")
def check_not_asked(context):
    found = {context.fleet.find_store_helper() for _ in range(50)}
    assert context.leader not in found, found


@then("another peer is")
def check_asked(context):
    assert context.fleet.find_store_helper() in context.domains
