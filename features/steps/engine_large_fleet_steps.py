import time

from behave import given, then, when

from firladder._internal.engine.core import Core
from firladder._internal.engine.state import UnitState
from firladder._internal.models.workload import (
    AcceptedJob,
    Resources,
    Step,
    WorkerEntry,
    Workload,
)

ROUNDS = 3
CAPACITY = Resources(64000, 262144, 8)


def make_entry(number, address=""):
    address = address or f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80"
    return WorkerEntry(f"w{number}", address, "pool", "d", CAPACITY, frozenset())


def time_registrations(count):
    entries = [make_entry(number) for number in range(count)]
    spent = []
    for _ in range(ROUNDS):
        core = Core(lease_s=6.0)
        began = time.process_time()
        for entry in entries:
            core.register_worker(entry, now=0.0)
        spent.append(time.process_time() - began)
    return min(spent)


@when("the entries of {few:d} and of {many} workers are read")
def register_fleets(context, few, many):
    context.few_s = time_registrations(few)
    context.many_s = time_registrations(int(many.replace(",", "")))


@then("the larger fleet takes at most {ratio:d} times as long")
def check_ratio(context, ratio):
    assert context.many_s <= ratio * context.few_s, (context.many_s, context.few_s)


@given("a task that runs on a worker whose entry is removed")
def run_task(context):
    core = context.core = Core(lease_s=6.0)
    core.register_worker(make_entry(1), now=0.0)
    workload = Workload("", (Step(1, Resources(1000, 1000, 1), 1.0),))
    accepted = AcceptedJob("a" * 16, "q", "o", "pool", 0, 3, 3.0, 1.0, 0.0, workload)
    context.unit = core.add_job(accepted, None).units[0]
    core.plan_run(context.unit, ["w1"])
    core.unregister_worker("w1")
    assert "w1" in core.workers


@when("another worker registers at the same address")
def take_address(context):
    context.core.register_worker(make_entry(2, make_entry(1).address), now=1.0)


@then("the task waits again, and the former worker is gone")
def check_waiting(context):
    assert context.unit.state is UnitState.WAITING, context.unit.state
    assert list(context.core.workers) == ["w2"], list(context.core.workers)
