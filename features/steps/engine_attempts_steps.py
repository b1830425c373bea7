from behave import given, then, when

from features.support.engine_world import (
    LEASE_S,
    EngineWorld,
    make_job,
    make_step,
)
from firladder._internal.engine.state import UnitState
from firladder._internal.models.order import EndedTask


class GangWorld(EngineWorld):
    """An engine of four workers with one running gang of two tasks."""

    def __init__(self, attempts: int) -> None:
        super().__init__(4)
        self.submit(make_job("g", make_step(2, gang=True), attempts=attempts))
        self.begin()

    @property
    def unit(self):
        return self.find_unit("g")

    def begin(self) -> None:
        self.accept(self.start_all())
        self.members = [self.unit.placements[index] for index in (0, 1)]

    def list_end(self, member, how, *, number=1) -> None:
        placement = self.members[member]
        worker = self.core.workers[placement.worker_id]
        self.now += 0.01
        end = EndedTask(number, placement.task, placement.run, how, "")
        self.report(worker, [], [end])

    def acknowledge(self) -> None:
        for worker in self.core.workers.values():
            worker.drop_acknowledged_ends(worker.find_last_durable_end())


@given("a gang of 2 whole workers with {attempts:d} attempts is running")
@given("a gang of 2 whole workers with {attempts:d} attempt is running")
def make_gang(context, attempts):
    context.gang = GangWorld(attempts)
    assert context.gang.unit.all_active


@when('one member ends "failed", which becomes durable and is acknowledged')
def fail_one(context):
    gang = context.gang
    gang.list_end(0, "failed")
    gang.make_durable()
    worker = gang.core.workers[gang.members[0].worker_id]
    assert worker.find_last_durable_end() == 1
    gang.acknowledge()


@when("a successor reads the records before the other member has ended")
def succeed(context):
    context.gang.succeed()
    for worker in list(context.gang.core.workers.values()):
        if worker.worker_id != context.gang.members[1].worker_id:
            context.gang.claim(worker)


@when('the other member ends "broken" for the successor')
def break_other(context):
    context.gang.list_end(1, "broken")
    assert context.gang.unit.state is UnitState.WAITING


@when("the worker of one member is unreachable until its run has expired")
def expire_run(context):
    gang = context.gang
    worker = gang.core.workers[gang.members[0].worker_id]
    gang.core.mark_unreachable(worker, gang.now)
    gang.now += 2 * LEASE_S
    gang.core.expire_runs(gang.now)
    gang.list_end(1, "broken")
    gang.make_durable()
    assert gang.unit.state is UnitState.WAITING


@when('it comes back and lists that the run had ended "failed"')
def list_late(context):
    context.gang.list_end(0, "failed")
    context.gang.make_durable()


@when('both members end "failed", which becomes durable and is not acknowledged')
def fail_both(context):
    for member in (0, 1):
        context.gang.list_end(member, "failed")
    context.gang.make_durable()


@when("a successor reads the records and both ends are listed to it again")
def list_again(context):
    gang = context.gang
    gang.succeed()
    for worker in list(gang.core.workers.values()):
        gang.claim(worker)
    for member in (0, 1):
        gang.list_end(member, "failed")


@when('the gang runs again and one member ends "failed"')
def fail_again(context):
    gang = context.gang
    gang.begin()
    gang.list_end(0, "failed", number=2)
    gang.list_end(1, "broken", number=2)


@then("{count:d} attempt of the gang is used")
def check_used(context, count):
    assert context.gang.unit.failures == count, context.gang.unit.failures


@then("the gang is planned again")
def check_planned(context):
    assert context.gang.plan() == 1


@then('the gang\'s job is shown as "{state}" and is planned no more')
def check_over(context, state):
    gang = context.gang
    gang.make_durable()
    assert gang.core.read_state("g").value == state
    assert gang.plan() == 0
