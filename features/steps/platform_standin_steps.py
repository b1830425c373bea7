import asyncio
import json
import time
from types import SimpleNamespace

from behave import given, then, when

from standins.platform_workers import Ledger, Worker, start

TASK = "00000000000000aa.0.0.0"


def call_start(worker, task, run, spec) -> int:
    """Let a worker carry out a start, and return the status of its answer."""
    deadline_ms = worker.read_clock() * 1000 + 5000
    order = {"task": task, "run": run, "spec": spec, "deadline_ms": deadline_ms}
    call = SimpleNamespace(
        body=json.dumps({**order, "fencing_token": 1}).encode(),
        headers={},
        transport=None,
    )
    return asyncio.run(start(worker, call)).status


def end_as_done(worker, task, run) -> None:
    asyncio.run(worker.end((task, run), "done"))


def go_down(worker) -> None:
    worker.up.clear()
    worker.lose_ends()


@given("two stand-in workers of the platform, and a task that is done on the first")
def do_task(context):
    context.ledger = Ledger()
    context.workers = [Worker(n, "", context.ledger, 0) for n in range(2)]
    context.ledger.workers += context.workers
    context.first, context.second = context.workers
    assert call_start(context.first, TASK, 1, "1.0 0 1") == 200
    end_as_done(context.first, TASK, 1)


@given("two stand-in workers of the platform, and a gang of 2 that is done on them")
def do_gang(context):
    context.ledger = Ledger()
    context.workers = [Worker(n, "", context.ledger, 0) for n in range(2)]
    context.ledger.workers += context.workers
    context.first, context.second = context.workers
    for number, worker in enumerate(context.workers):
        assert call_start(worker, f"{TASK[:-1]}{number}", 1, "1.0 1 2") == 200
    end_as_done(context.first, TASK, 1)
    assert not context.ledger.problems, context.ledger.problems


@when("its end is acknowledged, and it starts on the second")
def acknowledge_and_start(context):
    context.first.acknowledge(1)
    start_again(context)


@when("its end is acknowledged and the first goes down, and it starts on the second")
def acknowledge_and_lose(context):
    context.first.acknowledge(1)
    lose_and_start(context)


@when("nothing else happens, and it starts on the second")
def start_again(context):
    assert call_start(context.second, TASK, 2, "1.0 0 1") == 200


@when("the lease lapses, and it starts on the second")
def lapse_and_start(context):
    context.first.lease_expires_at = time.monotonic() - 1
    start_again(context)


@when("the first goes down, and it starts on the second")
def lose_and_start(context):
    go_down(context.first)
    start_again(context)


@when("the first goes down, and the first member starts on the second")
def lose_member(context):
    go_down(context.first)
    assert call_start(context.second, TASK, 2, "1.0 1 2") == 200


@when("the first goes down, and an order comes there")
def order_while_down(context):
    go_down(context.first)
    context.status = call_start(context.first, TASK, 2, "1.0 0 1")


@when("its end is acknowledged if the first still lists it")
def acknowledge(context):
    if not context.first.down:
        context.first.acknowledge(1)


@when("it is done there as well, and starts again")
def do_again(context):
    end_as_done(context.second, TASK, 2)
    assert call_start(context.second, TASK, 3, "1.0 0 1") == 200


@then('the ledger says "{text}"')
def check_problem(context, text):
    assert len(context.ledger.problems) == 1, context.ledger.problems
    assert text in context.ledger.problems[0], context.ledger.problems


@then("the ledger says nothing")
def check_none(context):
    assert not context.ledger.problems, context.ledger.problems


@then("it is not carried out")
def check_refused(context):
    assert context.status == 503, context.status
    assert not context.first.runs
