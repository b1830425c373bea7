import dataclasses

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.state import Phase, UnitState

PER_RACK = 2
WORKERS = 8
FIRST_RACK = "r1-0"


@given("2 failure domains, each with 2 racks of 2 workers")
def make_domains(context):
    engine = context.engine = EngineWorld(WORKERS, per_rack=PER_RACK)
    for number, entry in enumerate(engine.entries):
        domain = "a" if number < WORKERS // 2 else "b"
        engine.entries[number] = dataclasses.replace(entry, failure_domain=domain)
        worker = engine.core.workers[entry.worker_id]
        worker.entry = engine.entries[number]


@given('domain "{domain}" is evacuated')
@when('domain "{domain}" is evacuated')
def evacuate(context, domain):
    core = context.engine.core
    core.evacuate_domains(core.evacuated | {domain})


@when('domain "{domain}" is no longer evacuated')
def end_evacuation(context, domain):
    core = context.engine.core
    core.evacuate_domains(core.evacuated - {domain})


STEPS = {
    "a task": (make_step(1, 1), 1),
    "an urgent task": (make_step(1, 1), 0),
    "a gang of 4 tasks": (make_step(4, 8, gang=True), 1),
    "a gang of 8 tasks": (make_step(8, 8, gang=True), 1),
    "an urgent gang of 2 tasks": (make_step(2, 8, gang=True), 0),
    "a gang of 2 tasks in one rack": (make_step(2, 8, gang=True, one_rack=True), 1),
    "a task whose data is there": (make_step(1, 1, rack=FIRST_RACK), 1),
}


@when('the core is given "{work}"')
def submit(context, work):
    step, priority = STEPS[work]
    engine = context.engine
    engine.submit(make_job("last", step, priority=priority, at=engine.now))
    engine.plan()


@given("a gang of 8 tasks is planned over both domains")
def plan_gang(context):
    submit(context, "a gang of 8 tasks")
    context.engine.make_durable()
    assert find_domains(context) == {"a", "b"}


@given("a gang of 8 tasks is running over both domains")
def run_gang(context):
    engine = context.engine
    engine.submit(make_job("first", STEPS["a gang of 8 tasks"][0], at=engine.now))
    engine.accept(engine.start_all())
    assert engine.find_unit("first").all_active


def find_domains(context, name="last"):
    engine = context.engine
    return {
        engine.core.workers[p.worker_id].entry.failure_domain
        for p in engine.find_unit(name).placements.values()
    }


@then('it starts on workers of domain "{domain}"')
def check_starts(context, domain):
    context.engine.plan()
    assert find_domains(context) == {domain}, find_domains(context)


@then("it starts on workers of both domains")
def check_starts_everywhere(context):
    assert find_domains(context) == {"a", "b"}, find_domains(context)


@then("no start of the gang is sent")
def check_no_start(context):
    assert context.engine.core.take_starts() == []


@then("the gang waits")
def check_gang_waits(context):
    engine = context.engine
    end_stops(context)
    engine.plan()
    assert engine.find_unit("last").state is UnitState.WAITING


@then("it waits")
def check_waits(context):
    context.engine.plan()
    assert context.engine.find_unit("last").state is UnitState.WAITING


@then("the gang is running")
def check_running(context):
    context.engine.plan()
    assert context.engine.find_unit("first").all_active


@given('an urgent gang of 2 tasks has preempted work in domain "a"')
def preempt_work(context):
    core = context.engine.core
    core.evacuate_domains(frozenset(("b",)))
    submit(context, "an urgent gang of 2 tasks")
    core.evacuate_domains(frozenset())
    assert any(p.phase is Phase.STOPPING for p in list_placements(context))


@when("the workers' stops have ended")
def end_stops(context):
    engine = context.engine
    engine.plan()
    for placement in list_placements(context):
        if placement.phase is Phase.STOPPING:
            engine.end(placement, "stopped")


def list_placements(context):
    workers = context.engine.core.workers.values()
    return [p for w in workers for p in list(w.placements.values())]
