import dataclasses
import random

from behave import given, then, when

from features.support.advised_chaos import AdvisedChaos
from features.support.engine_world import QUEUES, EngineWorld, make_job, make_step
from firladder._internal.engine.advice_requests import AdviceRequests
from firladder._internal.engine.state import Phase, UnitState
from firladder._internal.exceptions import OrderRejected
from firladder._internal.models.order import RunningTask
from firladder._internal.models.workload import AdviceTerms, QueueConfiguration

TERMS = AdviceTerms(decision_s=0.02, per_worker_s=0.001, valid_s=10.0)
REJECTED = OrderRejected(reason="409 ticket", rejection="ticket")


class AdvisedWorld(EngineWorld):
    """An engine whose queues have advice, and the service as a plain function."""

    def __init__(self, workers, *, advised=(1,), per_rack=8):
        self.advised = set(advised)
        self.notes = []
        super().__init__(workers, per_rack=per_rack)
        self.requests = AdviceRequests(self.core)

    def make_core(self):
        core = super().make_core()
        core.note = lambda what, **inputs: self.notes.append((what, inputs))
        core.configuration = self.make_configuration()
        return core

    def make_configuration(self):
        queues = tuple(
            dataclasses.replace(q, advice=TERMS if n in self.advised else None)
            for n, q in enumerate(QUEUES)
        )
        return QueueConfiguration(1, queues)

    def succeed(self):
        super().succeed()
        self.requests = AdviceRequests(self.core)

    def choose(self):
        return self.requests.choose(self.now, self.now)

    def answer(self, request, allowed):
        good = {w: f"ticket-{w}" for w in request.workers if w in allowed}
        self.core.advice.record_answer(
            request.step, request.workers, good, terms=request.terms, issued_at=self.now
        )

    def ask_all(self, allowed=None):
        """Let the service answer until nothing more is asked."""
        allowed = {e.worker_id for e in self.entries} if allowed is None else allowed
        asked = []
        for _ in range(100):
            self.plan()
            request = self.choose()
            if request is None:
                return asked
            asked.append(request)
            self.answer(request, allowed)
        raise AssertionError("requests without end")

    def list_units(self):
        jobs = (j for name, j in self.core.jobs.items() if not name.startswith("full"))
        return [unit for job in jobs for unit in job.units]


@given("{count:d} workers, and a queue with advice")
@given("{count:d} worker, and a queue with advice")
def make_world(context, count):
    context.world = AdvisedWorld(count)


@given("{count:d} workers in racks of {size:d}, and a queue with advice")
def make_racks(context, count, size):
    context.world = AdvisedWorld(count, per_rack=size)


@given("{count:d} workers, and a queue without advice")
@given("{count:d} worker, and a queue without advice")
def make_free_world(context, count):
    context.world = AdvisedWorld(count, advised=())


@given("{count:d} workers, and all queues with advice")
def make_advised_world(context, count):
    context.world = AdvisedWorld(count, advised=(0, 1, 2))


@given("all workers are full of other work")
def fill(context):
    world = context.world
    advised, world.advised = world.advised, set()
    world.core.configuration = world.make_configuration()
    for number in range(len(world.entries)):
        world.submit(make_job(f"full{number}", make_step(), priority=2))
    world.accept(world.start_all())
    world.advised = advised
    world.core.configuration = world.make_configuration()


def submit(context, *steps, name="job", **fields):
    context.world.submit(make_job(name, *steps, at=context.world.now, **fields))


@when("an advised job of {count:d} tasks is submitted")
@when("an advised job of {count:d} task is submitted")
def submit_tasks(context, count):
    submit(context, make_step(count, 1))


@when("an advised job of {count:d} tasks, one for each worker, is submitted")
def submit_apart(context, count):
    submit(context, make_step(count, 1, most_per_worker=1))


@when("an advised gang of {count:d} with {accelerators:d} accelerators is submitted")
def submit_gang(context, count, accelerators):
    submit(context, make_step(count, accelerators, gang=True))


@when("an advised gang of {count:d} for one rack is submitted")
def submit_rack_gang(context, count):
    submit(context, make_step(count, gang=True, one_rack=True))


@when("an urgent advised gang of {count:d} is submitted")
def submit_urgent_gang(context, count):
    submit(context, make_step(count, gang=True), priority=0)


@when("{count:d} advised jobs of 1 task are submitted")
def submit_jobs(context, count):
    for number in range(count):
        submit(context, make_step(), name=f"job{number}")


@then("no advised task is planned")
def check_none(context):
    context.world.plan()
    units = context.world.list_units()
    assert all(u.state is UnitState.WAITING for u in units), units


@then("all advised tasks are planned")
def check_all(context):
    context.world.plan()
    assert all(u.placements for u in context.world.list_units())


@then("all advised tasks are planned, in one rack")
def check_one_rack(context):
    check_all(context)
    world = context.world
    (unit,) = world.list_units()
    racks = {world.core.workers[p.worker_id].rack for p in unit.placements.values()}
    assert len(racks) == 1, racks


@then("all advised tasks are planned on {worker}, and each start carries its ticket")
def check_tickets(context, worker):
    starts = context.world.start_all()
    orders = [context.world.core.describe_start(p) for p in starts]
    found = {(o.worker_id, o.ticket) for o in orders}
    assert found == {(worker, f"ticket-{worker}")}, found


@when("the service is asked and allows {worker} only")
def allow_named(context, worker):
    context.asked = context.world.ask_all(set(worker.split(" and ")))


@when("the service is asked and allows all")
def allow_all(context):
    context.asked = context.world.ask_all()


@when("the service is asked and refuses all")
def refuse_all(context):
    context.asked = context.world.ask_all(set())


@when("the service is asked and allows {count:d} workers of each rack")
def allow_some(context, count):
    names = {f"w{n}" for n in range(16) if n % 8 < count}
    context.asked = context.world.ask_all(names)


@when("tickets are known for {count:d} workers of each rack")
def know_some(context, count):
    world = context.world
    request = world.choose()
    named = tuple(f"w{n}" for n in range(16) if n % 8 < count)
    world.answer(dataclasses.replace(request, workers=named), set(named))


@when("the service is asked for one worker after the other and allows all")
def allow_singly(context):
    world = context.world
    for _ in range(20):
        world.plan()
        request = world.choose()
        if request is None:
            return
        one = dataclasses.replace(request, workers=request.workers[:1])
        world.answer(one, set(one.workers))
    raise AssertionError("requests without end")


@when("a new configuration takes the advice away")
def take_away(context):
    context.world.advised = set()
    context.world.core.configuration = context.world.make_configuration()


@when("an advised job of 1 task is planned, and then the queue gains advice")
def gain_advice(context):
    submit_tasks(context, 1)
    (context.start,) = context.world.start_all()
    context.world.advised = {1}
    context.world.core.configuration = context.world.make_configuration()


@when("the run becomes durable {seconds:d} s later")
def write_late(context, seconds):
    world = context.world
    world.plan()
    world.now += seconds
    world.make_durable()
    (context.start,) = world.core.take_starts()


@then("its run is withdrawn before its start is sent")
def check_withdrawn(context):
    world, placement = context.world, context.start
    world.core.abort_without_ticket(placement.unit, world.now)
    assert placement.phase is not Phase.SENT, placement
    world.core.drop_unsent(placement)
    assert placement.unit.state is UnitState.WAITING


@then("its failures count {count:d}")
def check_failures(context, count):
    (unit,) = context.world.list_units()
    assert unit.failures == count and not unit.job.terminal


@then("the next request names {count:d} workers for it")
@then("the next request names {count:d} worker for it")
def check_request(context, count):
    context.world.plan()
    request = context.world.choose()
    assert request is not None and request.step[0] == "job", request
    assert len(set(request.workers)) == count, request


@when("{count:d} jobs of lower priority come, and then {urgent:d} urgent ones")
def submit_burst(context, count, urgent):
    for number in range(count):
        submit(context, make_step(1, 1), name=f"low{number:02}")
        context.world.now += 0.001
    for number in range(urgent):
        submit(context, make_step(1, 1), name=f"urgent{number}", priority=0)


@then("the service is asked for the urgent ones first, then for the oldest")
def check_order(context):
    names = [request.step[0] for request in context.world.ask_all()]
    assert names[:4] == ["urgent0", "urgent1", "low00", "low01"], names
    # Capacity for 32 tasks: what finds none is asked for ahead, in part.
    assert 32 <= len(names) <= 40 and len(set(names)) == len(names), names


@then("the service is asked for {count:d} of them, once each while they wait for 20 s")
def check_bounded(context, count):
    asked = []
    for _ in range(20):
        asked += [request.step for request in context.world.ask_all()]
        context.world.now += 1.0
    assert len(asked) == len(set(asked)) == count, asked


@when("an advised job of two steps is submitted, and its first step runs to 95 percent")
def run_first_step(context):
    world = context.world
    submit(context, make_step(1, 1), make_step(1, 1, after=(0,)))
    world.ask_all()
    world.accept(world.start_all())
    assert world.choose() is None, "asked too early"
    submit(context, make_step(1, 1, rack="none"), name="cancelled")
    world.core.cancel_job("cancelled")
    unit = world.find_unit("job")
    (placement,) = unit.placements.values()
    world.now += 10.0
    worker = world.core.workers[placement.worker_id]
    world.report(worker, [RunningTask(placement.task, 1, "", 95.0)])


@then("the next request is for its second step")
def check_second(context):
    request = context.world.choose()
    assert request is not None and request.step == ("job", 0, 1), request
    context.world.answer(request, set(request.workers))


@then("nothing is asked for a third job that was cancelled")
@then("after it nothing is asked")
def check_nothing(context):
    assert context.world.choose() is None


@when("an advised job with occurrences in 1 s and 61 s is submitted")
def submit_occurrences(context):
    first = context.world.now + 1.0
    fields = {"occurrences": 2, "first_at_s": first, "interval_s": 60.0}
    submit(context, make_step(1, 1), **fields)


@then("the next request is for its first occurrence")
def check_first(context):
    request = context.world.choose()
    assert request is not None and request.step == ("job", 0, 0), request
    context.world.answer(request, set(request.workers))


@when("the service is asked and allows all, and {seconds:f} s pass")
def allow_and_wait(context, seconds):
    world = context.world
    request = world.choose()
    world.answer(request, set(request.workers))
    world.now += seconds


@when("both workers are replaced by new incarnations")
def replace_workers(context):
    world = context.world
    for number, entry in enumerate(world.entries):
        world.core.lose_worker(entry.worker_id, "replaced", now=world.now)
        world.core.unregister_worker(entry.worker_id)
        fresh = dataclasses.replace(entry, worker_id=f"v{number}")
        world.claim(world.core.register_worker(fresh, now=world.now))
    world.entries = []


@when("the worker rejects the ticket of the start")
def reject(context):
    world = context.world
    (placement,) = world.start_all()
    world.core.handle_start_answer(placement, REJECTED, world.now)


@when("the worker rejects each ticket for {seconds:d} s")
def reject_all(context, seconds):
    world = context.world
    context.starts = 0
    for _ in range(seconds * 20):
        world.ask_all()
        for placement in world.start_all():
            context.starts += 1
            world.core.handle_start_answer(placement, REJECTED, world.now)
        world.make_durable()
        for placement in world.core.take_starts():
            context.starts += 1
            world.core.handle_start_answer(placement, REJECTED, world.now)
        world.now += 0.05


@then("at most {limit:d} starts were sent")
def check_starts(context, limit):
    assert 1 < context.starts <= limit, context.starts


@then("nothing is asked for 9 s, and it is logged once that no worker is allowed")
def check_hopeless(context):
    world = context.world
    for _ in range(9):
        world.now += 1.0
        assert not world.ask_all(set())
    found = [inputs for what, inputs in world.notes if what == "no worker allowed"]
    assert found == [{"job": "job", "step": 0, "workers": 3}], found


@when("a worker registers that was not asked about")
def add_worker(context):
    world = context.world
    entry = dataclasses.replace(world.entries[0], worker_id="v", address="10.1.0.1:80")
    world.claim(world.core.register_worker(entry, now=world.now))


@then("no work is preempted for it")
def check_no_preemption(context):
    context.world.plan()
    assert not context.world.core.stops


@then("only the work on w1 and w3 is preempted")
def check_preempted(context):
    context.world.plan()
    stopped = {p.worker_id for p in context.world.core.stops}
    assert stopped == {"w1", "w3"}, stopped


@when("the service allows w1 and w3 only, {seconds:f} s before the next pass")
def allow_early(context, seconds):
    context.world.answer(context.world.choose(), {"w1", "w3"})
    context.world.now += seconds


@when("room is made for it, and its tickets end before the stops")
def make_room_late(context):
    world = context.world
    world.plan()
    stopped = list(world.core.stops)
    assert len(stopped) == 2, stopped
    world.now += 0.3
    for placement in stopped:
        world.end(placement, "stopped")


@then("only two runs were stopped")
def check_stopped_runs(context):
    full = (j for n, j in context.world.core.jobs.items() if n.startswith("full"))
    assert sum(not job.units[0].all_active for job in full) == 2


@when("a new leader takes over that knows no ticket")
def take_over(context):
    context.world.make_durable()
    context.world.succeed()
    for worker in context.world.core.workers.values():
        context.world.claim(worker)


@when(
    "{events:d} random events reach an engine whose queues have advice, seed {seed:d}"
)
def play_advised(context, events, seed):
    context.chaos = AdvisedChaos(random.Random(seed))
    context.chaos.play(events)
    context.chaos.settle(200)


@then("each start had a valid ticket, and what may run has ended")
def check_advised_chaos(context):
    chaos = context.chaos
    assert not chaos.problems, chaos.problems[:3]
    assert not chaos.list_stuck(), chaos.list_stuck()
    assert chaos.finished > 100 and chaos.asked > 100, (chaos.finished, chaos.asked)
