import asyncio
import json
import tempfile
import time
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from firladder._internal.models.task import ReserveTask
from standins import worker as standin


def obey(context, handler, name, **body):
    """Let the worker's own handler answer a call."""
    call = SimpleNamespace(
        body=json.dumps(body).encode(), params={"task": name}, source_ip="", query={}
    )
    reply = asyncio.run(handler(context.worker, call))
    assert reply.status == 200, reply


def begin(context, attempt):
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
    obey(
        context, standin.reserve, context.task, **json.loads(msgspec.json.encode(spec))
    )
    obey(context, standin.start, context.task, epoch=1)
    return context.worker.tasks[context.task]


def read_left(context):
    return context.worker.tasks[context.task].ends_at - time.monotonic()


@given("a protocol stand-in worker with a task of 100 s of work")
def start_worker(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.checkpoints = directory.name
    begin(context, 1)


@when("60 s of the protocol task are done and saved")
def save(context):
    context.worker.tasks[context.task].ends_at -= 60
    obey(context, standin.checkpoint, context.task, epoch=1)


@then("the next attempt on another protocol worker has {left_s:g} s left")
def check_next(context, left_s):
    begin(context, 2)
    check_left(context, left_s)


@when("the protocol task is throttled to half its speed")
def slow_down(context):
    obey(context, standin.throttle, context.task, epoch=1, speed=0.5)


@then("the protocol task has {left_s:g} s left")
def check_left(context, left_s):
    assert abs(read_left(context) - left_s) < 5, read_left(context)


@when("the protocol lease has lapsed and a renewal that waited is obeyed")
def renew_late(context):
    context.worker.tasks[context.task].lease_expires_at = time.monotonic() - 1
    body = {"epoch": 1, "ttl_s": 30.0, "confirm": [context.task]}
    obey(context, standin.renew, context.task, **body)


@then('the protocol task has ended as "{state}"')
def check_state(context, state):
    assert context.worker.tasks[context.task].state == state
