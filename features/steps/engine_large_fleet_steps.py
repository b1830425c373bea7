import time

from behave import given, then, when

from firladder._internal.engine.core import Core
from firladder._internal.engine.planning import Planner
from firladder._internal.engine.state import UnitState
from firladder._internal.models.workload import (
    AcceptedJob,
    Queue,
    QueueConfiguration,
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


def add_task(core, number, accelerators, priority):
    need = Resources(1000, 1000, accelerators)
    workload = Workload("", (Step(1, need, 1.0),))
    job_id = f"{number:016x}"
    core.add_job(
        AcceptedJob(
            job_id, "q", "o", "pool", priority, 3, 3.0, 1.0, number / 1000, workload
        ),
        None,
    )


@given(
    "{workers:d} workers, {large:d} urgent tasks too large for any of them, "
    "and then {small:d} small ones"
)
def make_pool(context, workers, large, small):
    core = context.core = Core(lease_s=6.0)
    core.configuration = QueueConfiguration(1, queues=(Queue("q", "h", "/q/", "pool"),))
    for number in range(workers):
        core.register_worker(make_entry(number), now=0.0).claimed = True
    for number in range(large):
        add_task(core, number, 9 + number, priority=0)
    for number in range(large, large + small):
        add_task(core, number, 1, priority=1)


@when("passes are run that are interrupted after {count:d} tasks each")
def run_passes(context, count):
    planner = context.planner = Planner(context.core, reclaim_s=2.9, restart_s=0.25)
    context.planned = []
    for number in range(5):
        turns = iter(range(count))
        context.planned.append(
            planner.run_pass(
                now=float(number),
                wall=float(number),
                may_continue=lambda turns=turns: next(turns, None) is not None,
            )
        )


@then("all small tasks are planned by pass {count:d}")
def check_planned(context, count):
    assert sum(context.planned[:count]) == 10, context.planned


@then("the last pass ends by itself")
def check_complete(context):
    turns = []
    context.planner.run_pass(
        now=9.0, wall=9.0, may_continue=lambda: turns.append(1) is None
    )
    assert not context.planner.interrupted
    assert len(turns) == 10, len(turns)
