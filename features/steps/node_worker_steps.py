import asyncio
import json

from behave import given, then, when

from features.support.loaded_term import LoadedTerm
from features.support.virtual_time import run_in_virtual_time
from firladder._internal.platform.store import Change

WORKER_KEY = "servers/w0"
ENTRY = json.dumps(
    {
        "backend": "pool",
        "address": "10.0.0.1:80",
        "zone": "d",
        "state": "ready",
        "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
        "labels": ["a", "r1-0"],
    }
).encode()


@given("a leader with one idle worker")
def lead_one(context):
    context.entry = Change(WORKER_KEY, ENTRY, 1)


@when("the worker's entry is removed and written again {gap:f} s later")
def write_again(context, gap):
    async def lead():
        term = LoadedTerm()

        async def register_twice():
            term._apply_worker_change(context.entry)
            await asyncio.sleep(1.0)
            term._apply_worker_change(Change(WORKER_KEY, None, 2))
            if gap:
                await asyncio.sleep(gap)
            term._apply_worker_change(Change(WORKER_KEY, ENTRY, 3))
            await asyncio.sleep(1.0)
            context.claimed = term.core.workers["w0"].claimed
            context.sessions = list(term._sessions)

        await term.lead(register_twice())

    run_in_virtual_time(lead())


@then("the leader polls the worker within 1 s, and keeps one session for it")
def check_used(context):
    assert context.claimed, "not polled"
    assert context.sessions == ["w0"], context.sessions
