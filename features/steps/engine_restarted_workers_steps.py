import dataclasses

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job
from features.support.listing_worker import ListingWorker
from firladder._internal.engine.state import JobState
from firladder._internal.exceptions import SentUnanswered, WorkerRestarted
from firladder._internal.models.order import WorkerReport
from firladder._internal.models.workload import Resources, Step

BORN = 1_000_000


class RestartWorld(EngineWorld):
    """An engine with one worker that names its incarnation."""

    def __init__(self) -> None:
        super().__init__(1)
        self.listing = ListingWorker(born=BORN)
        self.entries[0] = dataclasses.replace(self.entries[0], born=BORN)
        self.core.register_worker(self.entries[0], now=self.now)
        self.started = 0

    @property
    def worker(self):
        return self.core.workers["w0"]

    def poll(self) -> None:
        """Poll the worker as its session does, and apply the answer."""
        worker = self.worker
        self.now += 0.1
        answer, acknowledged = self.listing.answer_poll(worker)
        if isinstance(answer, WorkerRestarted):
            self.core.record_restart(worker, answer.born, self.now)
            return
        worker.drop_acknowledged_ends(acknowledged)
        self.core.handle_report(worker, answer, sent_at=self.now, now=self.now)

    def start_tasks(self, name: str, count: int) -> list:
        step = Step(count=count, need=Resources(1000, 512, 0), estimate_s=5.0)
        self.submit(make_job(name, step, at=self.now))
        placements = self.start_all()
        self.started += len(placements)
        for placement in placements:
            self.core.record_start_sent(placement, self.now)
        return placements

    def do_tasks(self, name: str, count: int) -> None:
        """Run tasks until their ends are acknowledged."""
        placements = self.start_tasks(name, count)
        self.accept(placements)
        for placement in placements:
            self.listing.end(placement)
        self.follow()

    def follow(self) -> None:
        """Poll a few times, with all records durable, and start what is planned."""
        for _ in range(3):
            self.poll()
            self.make_durable()
            self.started += len(self.start_all())

    def restart(self, *, after_ms=1000) -> None:
        self.listing.restart(after_ms=after_ms)
        born = self.listing.born
        self.entries[0] = dataclasses.replace(self.entries[0], born=born)


@given("a worker has done {count:d} tasks, whose ends were acknowledged")
def do_first(context, count):
    context.world = RestartWorld()
    context.world.do_tasks("first", count)
    assert not context.world.listing.ends


@given(
    "a worker has done {count:d} tasks, whose ends were read, but not acknowledged yet"
)
def do_unacknowledged(context, count):
    world = context.world = RestartWorld()
    placements = world.start_tasks("first", count)
    world.accept(placements)
    for placement in placements:
        world.listing.end(placement)
    world.poll()
    world.make_durable()


@given("{count:d} other tasks are to start there")
def plan_others(context, count):
    context.count = count
    context.placements = context.world.start_tasks("second", count)


@when("a poll reaches it, but not its answer the leader")
def lose_answer(context):
    world = context.world
    world.now += 0.3
    world.listing.answer_poll(world.worker)
    failure = SentUnanswered(reason="no answer")
    world.core.record_no_answer(world.worker, failure, world.now)


@when("it starts again under its id, which an entry by a clock that was set back shows")
def restart_with_former_clock(context):
    restart_by_entry(context, after_ms=-5000)


@when("it starts again under its id, which its entry shows")
def restart_by_entry(context, after_ms=1000):
    world = context.world
    context.former = world.worker
    world.restart(after_ms=after_ms)
    world.core.register_worker(world.entries[0], now=world.now)
    world.poll()


@when("it starts again under its id, which a report shows")
def restart_by_report(context):
    world = context.world
    world.restart()
    world.poll()
    world.poll()


@when("it starts again under its id, which a listing to a successor shows")
def restart_beside_succession(context):
    context.world.restart()
    context.world.succeed()
    context.world.poll()


@when("a report of its former life comes late")
def report_late(context):
    world = context.world
    report = WorkerReport(world.now, (), ())
    world.core.handle_report(context.former, report, sent_at=world.now, now=world.now)


@when("the entry of its former life is read again")
def read_former_entry(context):
    world = context.world
    entry = dataclasses.replace(world.entries[0], born=BORN)
    world.core.register_worker(entry, now=world.now)


@when("it starts again under its id, and nothing shows that yet")
def restart_unseen(context):
    context.world.restart()


@when("these tasks are started and done there, and no answer comes from it")
def do_unanswered(context):
    world = context.world
    for placement in context.placements:
        placement.may_start_late = True
        failure = SentUnanswered(reason="no answer")
        world.core.handle_start_answer(placement, failure, world.now)
        world.listing.end(placement)


@when("the leader polls it {times:d} times without an answer")
def poll_unanswered(context, times):
    for _ in range(times):
        lose_answer(context)


@when("answers come again, and stops are carried out")
def answer_again(context):
    world = context.world
    for _ in range(3):
        for placement in world.core.take_stops(world.now):
            world.core.handle_stop_answer(placement, world.now, world.now)
        world.follow()


@then("it is known by its next life")
def check_life(context):
    assert context.world.worker.entry.born == context.world.listing.born > BORN


@when("{count:d} other tasks are done there")
def do_others(context, count):
    context.world.do_tasks("second", count)
    context.count = count


@then("both jobs are completed, and each task has started once")
def check_completed(context):
    world = context.world
    states = {name: world.core.read_state(name) for name in ("first", "second")}
    assert set(states.values()) == {JobState.COMPLETED}, states
    assert world.started == 2 * context.count, world.started


@given("a start was sent to a worker, and got no answer")
def send_unanswered(context):
    context.world = RestartWorld()
    context.placement = context.world.start_tasks("first", 1)[0]
    context.placement.may_start_late = True


@given("a start was sent to a worker, and was answered, but is not listed")
def send_answered(context):
    context.world = RestartWorld()
    context.placement = context.world.start_tasks("first", 1)[0]
    context.world.accept([context.placement])


@given("a start was sent to a worker, and the run is listed")
def send_listed(context):
    send_answered(context)
    context.world.listing.run(context.placement)
    context.world.poll()


@then("the run is stopped there before it is planned again")
def check_stopped(context):
    world, placement = context.world, context.placement
    assert not world.start_all()
    assert world.core.take_stops(world.now) == [placement]
    world.poll()
    assert not world.start_all(), "planned before the stop was answered"
    world.core.handle_stop_answer(placement, world.now, world.now)
    world.poll()
    assert [p.run for p in world.start_all()] == [2]


@then("the run is planned again at once")
def check_planned(context):
    world = context.world
    assert not world.core.take_stops(world.now)
    assert [p.run for p in world.start_all()] == [2]


@given("a start was sent to it that got no answer")
def send_another_unanswered(context):
    context.placement = context.world.start_tasks("second", 1)[0]
    context.placement.may_start_late = True


@when("it starts again under its id, and the task is started and done there")
def start_in_next_life(context):
    world = context.world
    world.restart()
    world.listing.end(context.placement)


@when("the answer to the next poll is lost")
def lose_poll_answer(context):
    context.world.listing.answer_poll(context.world.worker)


@then("the task is done, and nothing is started again")
def check_done_once(context):
    world = context.world
    world.follow()
    for placement in world.core.take_stops(world.now):
        world.core.handle_stop_answer(placement, world.now, world.now)
    world.follow()
    assert world.core.read_state("second") is JobState.COMPLETED
    assert world.started == 11, world.started
