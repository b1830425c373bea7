import asyncio

from behave import given, then, when

from firladder._internal.exceptions import (
    InvalidValue,
    StoreConflict,
    StoreUncertain,
)
from firladder._internal.gateway.answers import AnswerCache, KnownRequest
from firladder._internal.gateway.ownership import (
    OutcomeForgotten,
    OwnedElsewhere,
    OwnedHere,
    OwnerUnknown,
    RequestIdRegistry,
)
from firladder._internal.models.entry import Committed, Entry, Lease
from firladder._internal.models.message import Identity
from firladder._internal.models.request import RequestResult


class FakeStore:
    """An in-memory key-value store that can apply calls without answering."""

    def __init__(self):
        self.data = {}
        self.silent = False

    async def grant_lease(self, ttl_s):
        return Lease(1, ttl_s)

    async def commit(self, compares, changes):
        if any(c.key in self.data for c in compares):
            return StoreConflict(reason="taken")
        self.data.update({c.key: Entry(c.key, c.value, 1) for c in changes})
        return StoreUncertain(reason="lost") if self.silent else Committed(1)

    async def get(self, key):
        return StoreUncertain(reason="lost") if self.silent else self.data.get(key)


class OwnershipTable:
    """Owners and answers of one gateway, with a fake clock."""

    def __init__(self, kept):
        self.store = FakeStore()
        self.id_registry = self._make("me")
        self.memory = AnswerCache(self.id_registry.record_forgotten, entries=kept)
        self.now = 0.0
        self.tickets = {}

    def _make(self, name):
        identity = Identity("vm", "gateway", "bern-halle", name, name, name)
        return RequestIdRegistry(identity=identity, store=self.store)

    def find(self, request_id, id_registry=None):
        id_registry = id_registry or self.id_registry
        return asyncio.run(id_registry.find_owner(request_id, "digest", self.now))

    def run(self, request_id):
        assert isinstance(self.find(request_id), OwnedHere), request_id
        self.id_registry.record_started(request_id)
        self.memory.register(request_id, KnownRequest("digest", None))
        self.memory.keep(request_id, RequestResult(id=request_id, outcome="done"))

    def refuse(self, request_id):
        owner = self.find(request_id)
        assert isinstance(owner, OwnedHere), owner
        self.id_registry.record_not_run(request_id, owner)

    def check_once(self, request_id):
        self.run(request_id)
        for number in range(9):
            self.run(f"later-{request_id}-{number}")
        assert isinstance(self.find(request_id), OutcomeForgotten)


@given("an ownership table that keeps {kept:d} answers")
def make_table(context, kept):
    context.ids = OwnershipTable(kept)


@when("tickets {first:d} to {last:d} run to their end")
def run_tickets(context, first, last):
    table = context.ids
    for number in range(first, last + 1):
        table.tickets[number] = table.id_registry.mint_ticket()
        table.run(table.tickets[number])


@when('the ids "a", "b", "c" and "d" run to their end')
def run_ids(context):
    for request_id in "abcd":
        context.ids.run(request_id)


@then("ticket {number:d} may not run again")
def check_ticket_taken(context, number):
    assert isinstance(context.ids.find(context.ids.tickets[number]), OutcomeForgotten)


@then("ticket {number:d} is still known")
def check_ticket_known(context, number):
    assert context.ids.memory.find(context.ids.tickets[number])


@then("a fresh ticket may run")
def check_fresh(context):
    owner = context.ids.find(context.ids.id_registry.mint_ticket())
    assert isinstance(owner, OwnedHere), owner


@then('the id "{request_id}" may not run again')
def check_taken(context, request_id):
    assert context.ids.memory.find(request_id) is None
    assert isinstance(context.ids.find(request_id), OutcomeForgotten)


@when('the id "{request_id}" and a ticket end as not run')
def refuse_both(context, request_id):
    context.ids.refuse(request_id)
    context.refused = context.ids.id_registry.mint_ticket()
    context.ids.refuse(context.refused)


@then('the id "{request_id}" may run, once')
def check_once(context, request_id):
    context.ids.check_once(request_id)


@then("the refused ticket may run, once")
def check_ticket_once(context):
    context.ids.run(context.refused)
    for _ in range(5):
        context.ids.run(context.ids.id_registry.mint_ticket())
    assert isinstance(context.ids.find(context.refused), OutcomeForgotten)


@when('{passed_s:d} s pass and another gateway takes the id "{request_id}"')
def pass_claim_to_other(context, passed_s, request_id):
    context.ids.now += passed_s
    context.ids.store.data.clear()
    other = context.ids._make("other")
    assert isinstance(context.ids.find(request_id, other), OwnedHere)


@then('the id "{request_id}" belongs to the other gateway')
def check_other_owner(context, request_id):
    owner = context.ids.find(request_id)
    assert isinstance(owner, OwnedElsewhere), owner


@when('the claim of "{request_id}" is written, but the store answers nothing')
def lose_claim(context, request_id):
    context.ids.store.silent = True
    assert isinstance(context.ids.find(request_id), OwnerUnknown)
    context.ids.store.silent = False


@when("{passed_s:d} s have passed")
def pass_time(context, passed_s):
    context.ids.now += passed_s


@then("no guessed ticket is accepted")
def check_guesses(context):
    id_registry = context.ids.id_registry
    first = id_registry.mint_ticket()
    assert id_registry.check_id(first) is None
    guesses = ("t1.me.2", "t1.me.01", "t1.me", "t1.me.x", "t1.me.-1", "t1.me.0")
    refusals = [id_registry.check_id(g) for g in guesses]
    assert all(isinstance(r, InvalidValue) for r in refusals), refusals
