import subprocess
import sys

from behave import given, then, when

from features.steps.product_cli_steps import FakeGateway
from firladder import Client


@given('gateways that answer "{first}" and "{second}"')
def start_gateways(context, first, second):
    # A final rejection has a retry time after the deadline.
    last = second == "not_run"
    context.fakes = [
        FakeGateway(*first.split(", "), retry_after_s=0.1),
        FakeGateway(second, retry_after_s=60 if last else 0.1),
    ]
    for fake in context.fakes:
        context.add_cleanup(fake.stop)


@when("the library sends a request that is {kind}")
def send(context, kind):
    client = Client([fake.address for fake in context.fakes])
    context.answer = client.request(
        "planwerk", {}, organisation="squads", idempotent=kind == "idempotent"
    )


@then('its outcome is "{outcome}"')
def check_outcome(context, outcome):
    assert context.answer.outcome == outcome, context.answer


@then("the gateways received it {count:d} times under one id")
def check_received(context, count):
    seen = [req for fake in context.fakes for req in fake.seen]
    assert len(seen) == count, seen
    assert {req["id"] for req in seen} == {context.answer.id}, seen


@then("importing the library loads no internal module")
def check_import(context):
    code = "import sys, firladder; print([m for m in sys.modules if '_internal' in m])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done
