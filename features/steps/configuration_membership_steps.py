import itertools
import random
from collections import Counter

from behave import given, then, when

from firladder._internal.policies.membership import (
    FleetView,
    PeerView,
    choose_contacts,
    find_lost,
    measure_pause,
)


class Fleet:
    """Membership tables of all processes, advanced by periods of 1 s."""

    def __init__(self, domains: int, machines: int) -> None:
        self.rng = random.Random(7)
        processes = itertools.product(
            range(domains), range(machines), ("gateway", "scheduler")
        )
        self.members = {f"{d}-{vm}-{role}": (str(d), role) for d, vm, role in processes}
        self.heard = {a: dict.fromkeys(self.members, 0.0) for a in self.members}
        self.asked = {a: dict.fromkeys(self.members, 0.0) for a in self.members}
        self.lost: dict[str, set[str]] = {a: set() for a in self.members}
        self.ever_lost: set[tuple[str, str]] = set()
        self.exchanges: Counter[str] = Counter()
        self.now = 0.0
        self.partitioned_domain = ""

    def view(self, me: str) -> FleetView:
        peers = (
            PeerView(
                a, *place, self.heard[me][a], self.asked[me][a], a in self.lost[me]
            )
            for a, place in self.members.items()
            if a != me
        )
        return FleetView(self.now, 1.0, *self.members[me], tuple(peers))

    def is_partitioned(self, a: str, b: str) -> bool:
        sides = {
            self.members[a][0] == self.partitioned_domain,
            self.members[b][0] == self.partitioned_domain,
        }
        return len(sides) == 2

    def pass_periods(self, count: int, paused: str = "") -> None:
        for _ in range(count):
            self.now += 1.0
            for me in self.members:
                if me != paused:
                    self.exchange_heartbeats(me, paused)
            for me in self.members:
                if me != paused:
                    found = find_lost(self.view(me))
                    self.lost[me] |= found
                    self.ever_lost |= {(me, other) for other in found}

    def exchange_heartbeats(self, me: str, paused: str) -> None:
        for other in choose_contacts(self.view(me), unknown_addresses=(), rng=self.rng):
            self.asked[me][other] = self.now
            if other == paused or self.is_partitioned(me, other):
                continue
            self.exchanges.update((me, other))
            for here, there in ((me, other), (other, me)):
                self.heard[here][there] = self.now
                self.lost[here].discard(there)


@given(
    "the membership of {domains:d} failure domains with {machines:d} entry VMs "
    "of 2 processes each"
)
def make_fleet(context, domains, machines):
    context.fleet = Fleet(domains, machines)


@when("{count:d} heartbeat periods pass")
def pass_periods(context, count):
    context.fleet.pass_periods(count)


@then("no process has marked another as lost")
def check_none_lost(context):
    assert not context.fleet.ever_lost, context.fleet.ever_lost


@then("no process had more than {limit:d} exchanges a period on average")
def check_exchanges(context, limit):
    fleet = context.fleet
    most = max(fleet.exchanges.values()) / fleet.now
    assert most <= limit, most


@when("the last failure domain is partitioned for {count:d} periods")
def partition_last(context, count):
    context.fleet.partitioned_domain = "5"
    context.fleet.pass_periods(count)


@then("every process has marked exactly the other side of the partition as lost")
def check_partition(context):
    fleet = context.fleet
    for me in fleet.members:
        other_side = {a for a in fleet.members if fleet.is_partitioned(me, a)}
        assert fleet.lost[me] == other_side, (me, fleet.lost[me] ^ other_side)


@when("the partition of the membership ends and {count:d} periods pass")
def heal_fleet(context, count):
    context.fleet.partitioned_domain = ""
    context.fleet.pass_periods(count)


@then("every process has heard from the last failure domain again")
def check_healed(context):
    fleet = context.fleet
    for me in fleet.members:
        inside = {a for a, (domain, _) in fleet.members.items() if domain == "5"}
        far = inside if fleet.members[me][0] != "5" else set(fleet.members) - inside
        assert far - fleet.lost[me], me


@when("one process is paused for {count:d} periods")
def pause_one(context, count):
    fleet = context.fleet
    context.paused = next(iter(fleet.members))
    fleet.pass_periods(count, context.paused)
    pause_s = measure_pause(slept_s=float(count), period_s=1.0)
    heard = fleet.heard[context.paused]
    fleet.heard[context.paused] = {a: at + pause_s for a, at in heard.items()}


@then("it has marked no process as lost")
def check_paused(context):
    assert not find_lost(context.fleet.view(context.paused))
