import asyncio
import json
import tempfile
import time
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from firladder._internal.models.task import ReserveTask
from standins import worker as standin


def call_worker(context, handler, name, **body):
    """Call a handler of the worker and check that it accepts."""
    call = SimpleNamespace(
        body=json.dumps(body).encode(), params={"task": name}, source_ip="", query={}
    )
    reply = asyncio.run(handler(context.worker, call))
    assert reply.status == 200, reply


def start_attempt(context, attempt):
    context.worker = standin.Worker(f"w{attempt}", 8, context.checkpoints)
    context.task = f"job.0.a{attempt}"
    spec = ReserveTask(
        epoch=1,
        task=context.task,
        job="job",
        attempt=attempt,
        gang_size=1,
        accelerators=(0,),
        cpus=1,
        memory_mb=1,
        run_time_s=100.0,
        ttl_s=30.0,
    )
    call_worker(
        context, standin.reserve, context.task, **json.loads(msgspec.json.encode(spec))
    )
    call_worker(context, standin.start, context.task, epoch=1)
    return context.worker.tasks[context.task]


def read_remaining_s(context):
    return context.worker.tasks[context.task].ends_at - time.monotonic()


@given("a protocol stand-in worker with a task of 100 s of work")
def start_worker(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.checkpoints = directory.name
    start_attempt(context, 1)


@when("60 s of the protocol task are done and saved")
def save_progress(context):
    context.worker.tasks[context.task].ends_at -= 60
    call_worker(context, standin.checkpoint, context.task, epoch=1)


@then("the next attempt on another protocol worker has {remaining_s:g} s left")
def check_next_attempt(context, remaining_s):
    start_attempt(context, 2)
    check_remaining(context, remaining_s)


@when("the protocol task is throttled to half its speed")
def throttle_task(context):
    call_worker(context, standin.throttle, context.task, epoch=1, speed=0.5)


@then("the protocol task has {remaining_s:g} s left")
def check_remaining(context, remaining_s):
    assert abs(read_remaining_s(context) - remaining_s) < 5, read_remaining_s(context)


@when("the protocol lease has expired and a delayed renewal is handled")
def renew_after_expiry(context):
    context.worker.tasks[context.task].lease_expires_at = time.monotonic() - 1
    body = {"epoch": 1, "ttl_s": 30.0, "confirm": [context.task]}
    call_worker(context, standin.renew, context.task, **body)


@then('the protocol task has ended as "{state}"')
def check_state(context, state):
    assert context.worker.tasks[context.task].state == state
