import dataclasses

from behave import given, then, when

from features.support.jobs_world import World, make_machines
from firladder._internal.models.configuration import Organisation
from firladder._internal.policies.placement import Finish
from firladder._internal.policies.quarantine import (
    PROBE_AFTER_S,
    WorkerHealth,
    is_at_fault,
)
from firladder._internal.policies.selectors import Selector, parse_selector


class WorkerRecord:
    """The failure record of a worker on which distinct jobs have failed twice each."""

    def __init__(self, failures: int) -> None:
        self.health = WorkerHealth()
        for number in range(failures):
            self.health.record_failure(f"job-{number}", 100.0)
            self.health.record_failure(f"job-{number}", 100.0)


class SelectorCheck:
    """Two jobs running on the old worker, and a selector that then excludes it."""

    def __init__(self) -> None:
        self.world = World(make_machines(racks=1, workers=2), {"daily": Organisation()})
        self.world.labels = {"w0-0": {"hall": "old"}, "w0-1": {"hall": "new"}}
        old = parse_selector("hall=old")
        assert isinstance(old, Selector)
        self.checkpointable, self.plain = (
            self.world.submit("daily", accelerators=2, checkpointable=s, workers=old)
            for s in (True, False)
        )
        self.world.settle()

    def change(self) -> None:
        new = parse_selector("hall=new")
        for job, gang in self.world.running.items():
            self.world.running[job] = dataclasses.replace(gang, workers=new)
        self.world.settle()

    def find_worker(self, job: str) -> str:
        return self.world.running[job].members[0].worker


@given("a jobs-world worker with failures of {count:d} distinct jobs")
def make_worker_health(context, count):
    context.health = WorkerRecord(count).health


@then("the worker takes nothing new")
def check_closed(context):
    assert context.health.quarantined
    assert not context.health.accepts_work(100.0 + PROBE_AFTER_S - 1, busy=False)


@then("after the quarantine it takes one probe and no second job beside it")
def check_probe(context):
    assert context.health.accepts_work(100.0 + PROBE_AFTER_S, busy=False)
    assert not context.health.accepts_work(100.0 + PROBE_AFTER_S, busy=True)


@then("a failed probe doubles the quarantine, and a success ends it")
def check_return(context):
    at = 100.0 + PROBE_AFTER_S
    context.health.record_failure("probe", at)
    assert not context.health.accepts_work(at + 2 * PROBE_AFTER_S - 1, busy=False)
    assert context.health.accepts_work(at + 2 * PROBE_AFTER_S, busy=False)
    context.health.record_success()
    assert not context.health.quarantined


@then("the worker is not in quarantine")
def check_open(context):
    assert not context.health.quarantined


@then("a job that failed on 3 healthy workers is at fault, on quarantined ones not")
def check_fault(context):
    assert is_at_fault(["a", "b", "c"], [])
    assert not is_at_fault(["a", "b", "c"], ["c"])


@given("a jobs-world with a checkpointable and a plain job running")
def run_two(context):
    context.selector = SelectorCheck()
    assert context.selector.find_worker(context.selector.checkpointable) == "w0-0"
    assert context.selector.find_worker(context.selector.plain) == "w0-0"


@when("the selector of both changes to workers elsewhere")
def change_selector(context):
    context.selector.change()


@then("only the checkpointable job is moved and runs where it may")
def check_moved(context):
    assert context.selector.find_worker(context.selector.checkpointable) == "w0-1"


@then("the plain job still runs where it was")
def check_stays(context):
    assert context.selector.find_worker(context.selector.plain) == "w0-0"


@when("a queued job has failed on {count:d} of the jobs-world workers")
def fail_job(context, count):
    world = World(context.machines, {"daily": Organisation()})
    failed_on = frozenset(m.name for m in context.machines[:count])
    context.bad_job = world.submit("daily", avoid=failed_on)
    context.actions = world.policy(world.view())


@then("the job is ended as failed and placed nowhere")
def check_ended(context):
    assert [type(a) for a in context.actions] == [Finish], context.actions
    assert context.actions[0].outcome == "failed"
    assert "3 distinct workers" in context.actions[0].reason
