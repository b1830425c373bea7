import dataclasses

from behave import given, then

from features.support.engine_world import make_job, make_step
from features.support.fake_workers import SimulatedLeader
from features.support.virtual_time import run_in_virtual_time
from firladder._internal.node.worker_session import WorkerSession


@given(
    "an urgent task of {seconds:d} s that runs on a worker of which nothing is known"
)
def run_task(context, seconds):
    async def measure():
        leader = SimulatedLeader(1)
        engine, core = leader.engine, leader.core
        engine.now = leader.clock.read_monotonic()
        step = dataclasses.replace(make_step(1), estimate_s=float(seconds))
        engine.submit(make_job("urgent", step, priority=0))
        queue = core.profiles.speeds.steps.obtain_queue("q0", 0)
        queue.declared.variance = 0.1
        engine.accept(engine.start_all())
        session = WorkerSession(leader, core.workers["w0"])
        context.wait_s = session._choose_wait()

    run_in_virtual_time(measure())


@then("the poll of its session waits between {least:f} and {most:f} s")
def check_wait(context, least, most):
    assert least < context.wait_s < most, context.wait_s
