import http.client
import json
from urllib.parse import quote

from behave import then, when


class RawCaller:
    """A caller that sends invalid requests over plain HTTP."""

    def __init__(self, request_site):
        self.request_site = request_site
        self.request = request_site.make()

    def send(self, body, service="planwerk", vm="bern-halle-1"):
        path = f"/v1/services/{quote(service)}/requests"
        self.post(path, body, vm)

    def post(self, path, body, vm="bern-halle-1"):
        host, _, port = self.request_site.address(vm).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        try:
            connection.request("POST", path, body=body)
            answer = connection.getresponse()
            self.status, self.failure = answer.status, json.loads(answer.read())
        finally:
            connection.close()

    def send_fields(self, vm="bern-halle-1", service="planwerk", **fields):
        body = json.dumps({**self.request, **fields}).encode()
        self.send(body, service, vm)


@when('a caller sends a request with the text "{body}"')
def send_text(context, body):
    context.raw = RawCaller(context.request_site)
    context.raw.send(body.encode())


@when('a caller sends a request with the text ""')
def send_nothing(context):
    context.raw = RawCaller(context.request_site)
    context.raw.send(b"")


@when("a caller sends a request with bytes that are not UTF-8")
def send_bytes(context):
    context.raw = RawCaller(context.request_site)
    context.raw.send(json.dumps(context.raw.request).encode()[:-1] + b', "x\xff": 1}')


@when("a caller sends a request with a body nested too deep")
def send_deep(context):
    context.raw = RawCaller(context.request_site)
    text = json.dumps({**context.raw.request, "body": "DEEP"})
    context.raw.send(text.replace('"DEEP"', "[" * 50_000 + "]" * 50_000).encode())


@when('a caller sends a request with no "{field}"')
def send_without(context, field):
    context.raw = RawCaller(context.request_site)
    del context.raw.request[field]
    context.raw.send_fields()


@when('a caller sends a request with "{field}" as {value}')
def send_with(context, field, value):
    context.raw = RawCaller(context.request_site)
    context.raw.send_fields(**{field: json.loads(value)})


@when("a caller sends a request with a body of {size:d} bytes")
def send_large(context, size):
    context.raw = RawCaller(context.request_site)
    context.raw.send_fields(body="x" * size)


@when('a caller sends a request with a service named "{name}"')
def send_service(context, name):
    context.raw = RawCaller(context.request_site)
    context.raw.send_fields(service=name)


@when('the same id is sent at "{vm}" with another body')
def send_other_body(context, vm):
    context.raw = RawCaller(context.request_site)
    context.raw.request = {**context.single_run.request, "body": {"plan": "other"}}
    context.raw.send_fields(vm=vm)


@when("a caller asks for tickets with {body}")
def ask_tickets(context, body):
    context.raw = RawCaller(context.request_site)
    context.raw.post("/v1/tickets", body.encode())


@then('it is refused with {status:d}, "{type_}" and field "{field}"')
def check_refusal(context, status, type_, field):
    failure = context.raw.failure
    assert context.raw.status == status, (context.raw.status, failure)
    assert failure["type"] == type_, failure
    assert (failure["field"] or "") == field, failure
    assert failure["reason"], failure


@then('it is refused with {status:d}, "{type_}" and field ""')
def check_refusal_without_field(context, status, type_):
    check_refusal(context, status, type_, "")


@then("it ran nowhere")
def check_nowhere(context):
    assert context.request_site.count(context.raw.request["id"], "arrivals") == 0
