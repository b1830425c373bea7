import asyncio
from unittest import mock

from behave import given, then, when

from features.support.protocol import GangBench
from firladder._internal.models.task import TaskStatus
from firladder._internal.scheduler import members
from firladder._internal.scheduler.gang_messages import MemberEnded, StopGang


def run_attempt(bench, make_end, then=None):
    """Start the gang, end it by a message once it runs, and wait for ``then``."""

    async def run():
        bench.place()
        started = asyncio.ensure_future(bench.runner.start())
        await bench.wait(lambda: bench.runner.running)
        bench.runner.inbox.put_nowait(make_end())
        await asyncio.wait_for(started, 10)
        if then is not None:
            await asyncio.wait_for(bench.wait(then), 10)

    asyncio.run(run())


@given("a protocol job that may fail once")
def make_job(context):
    context.bench = GangBench(max_attempts=2)
    asyncio.run(context.bench.elect())


@when("the protocol job is preempted {times:d} times")
def preempt(context, times):
    for _ in range(times):
        run_attempt(context.bench, lambda: StopGang("evicted"))


def fail_member(bench):
    attempt = bench.job.attempt
    return MemberEnded(
        TaskStatus(
            task=f"job.0.a{attempt}",
            job="job",
            attempt=attempt,
            gang_size=2,
            state="failed",
            accelerators=(0,),
        )
    )


@when("a member of the protocol job fails {times:d} times")
def fail(context, times):
    for _ in range(times):
        run_attempt(context.bench, lambda: fail_member(context.bench))


@when("a member of the protocol job fails and its worker is avoided for {avoid_s:g} s")
def fail_and_avoid(context, avoid_s):
    bench = context.bench
    seen = []

    def is_allowed():
        seen.append(bench.accounting.avoid["job"])
        return not seen[-1]

    with mock.patch.object(members, "AVOID_S", avoid_s):
        run_attempt(bench, lambda: fail_member(bench), then=is_allowed)
    assert seen[0] == {"w0"}, "the worker was not avoided at all"


@then("the protocol job may use every worker again")
def check_allowed(context):
    assert not context.bench.accounting.avoid["job"]


@then("the protocol job waits in the queue with {failures:d} failures")
def check_queued(context, failures):
    job = context.bench.job
    assert (job.state, job.failures) == ("queued", failures), job


@then('the protocol job has ended as "{outcome}"')
def check_ended(context, outcome):
    assert context.bench.job.outcome == outcome, context.bench.job
