import http.client
import json
import signal
import socket
import time

from behave import given, then, when

from features.support.request_load import SteadyLoad
from features.support.requests import use_site
from standins.site import call, wait_for

MIN_OTHER_REQUESTS = 100
"""Requests served by other targets while the leaving one must get none."""


class LeavingTarget:
    """The first target, which is leaving."""

    def __init__(self, request_site):
        self.request_site = request_site
        self.name = request_site.list_targets()[0]
        self.left_at = time.monotonic()

    def count(self):
        address = self.request_site.site.addresses[self.name]
        return sum(call(address, "GET", "/control/runs")[1]["arrivals"].values())


def is_ready(address):
    return call(address, "GET", "/health/ready")[0] == 200


def start_load(context, **fields):
    context.load = SteadyLoad(context.request_site, **fields)
    context.add_cleanup(context.load.stop)
    wait_for(lambda: len(context.load.done) > 20, 20, "load")


@given("a request site with {targets:d} targets in each failure domain")
def start_with_targets(context, targets):
    context.request_site = use_site(context, targets=targets)
    context.request_site.site.publish_machines()


@given("callers continuously send idempotent requests at every gateway")
def start_idempotent_load(context):
    context.request_site.set_behaviour(run_s=0.02)
    start_load(context, idempotent=True)
    wait_senders(context.request_site)


def list_events(request_site, name, after=0):
    path = f"/v1/events?after={after}"
    return call(request_site.site.addresses[name], "GET", path)[1]["events"]


def list_admitted(request_site, vm):
    events = list_events(request_site, f"{vm}/gateway")
    return {e["details"].get("request") for e in events if e["number"] == 200}


def wait_senders(request_site):
    """Wait until every gateway sends requests to the first target."""
    target = request_site.list_targets()[0]
    for name in request_site.site.list_gateways():
        last = max(e["clock"] for e in list_events(request_site, name))

        def sends(name=name, last=last):
            seen = list_events(request_site, name, last)
            return any(e["details"].get("target") == target for e in seen)

        # After the previous scenario gateways may avoid the target twice for 15 s.
        wait_for(sends, 60, f"work from {name} at {target}")


@given("the first target is {factor:d} times faster than the others")
def speed_up(context, factor):
    context.request_site.set_behaviour(run_s=0.005 * factor)
    context.request_site.site.behave(
        context.request_site.list_targets()[0], run_s=0.005
    )
    time.sleep(0.5)


@given("the failure domains receive no heartbeats from each other")
def partition_and_wait(context):
    site = context.request_site.site
    site.cut(site.layout.domains)
    local_count = len(site.list_gateways()) // len(site.layout.domains)
    for name in site.list_gateways():
        wait_for(
            lambda n=name: context.request_site.count_gateways(n) == local_count,
            30,
            "a partition",
        )
    wait_senders(context.request_site)


@when("the first target reports that it is leaving")
def leave(context):
    context.leaving = LeavingTarget(context.request_site)
    context.request_site.site.behave(context.leaving.name, state="leaving", run_s=0.005)


@when("the VM list shows the first target as leaving")
def list_leaving(context):
    context.leaving = LeavingTarget(context.request_site)
    site = context.request_site.site
    machine = next(m for m in site.machines if m["name"] == context.leaving.name)
    key = f"platform/vms/{machine['name']}"
    site.put_key(key, {**machine, "state": "leaving"})


@when("the first target freezes for {pause_s:g} s")
def freeze(context, pause_s):
    child = context.request_site.site.child(context.leaving.name)
    context.leaving.before = context.leaving.count()
    child.signal(signal.SIGSTOP)
    time.sleep(pause_s)
    child.signal(signal.SIGCONT)


@then("it gets no new requests after {limit_s:g} s")
def check_no_work(context, limit_s):
    leaving, load = context.leaving, context.load
    if limit_s:
        time.sleep(max(0.0, leaving.left_at + limit_s - time.monotonic()))
        leaving.before = leaving.count()
    done = len(load.done)
    wait_for(lambda: len(load.done) >= done + MIN_OTHER_REQUESTS, 30, "work elsewhere")
    assert leaving.count() == leaving.before, (leaving.before, leaving.count())


@given('gateway "{vm}" may take {limit_s:d} s to stop')
def limit_stop(context, vm, limit_s):
    name = f"{vm}/gateway"
    context.request_site.site.child(name).stop()
    context.request_site.site.start_process(name, drain_s=str(limit_s))
    context.request_site.remove_faults()


@when('{count:d} callers send requests at "{vm}"')
def ask_many(context, count, vm):
    request_site = context.request_site
    context.requests = [request_site.make(deadline_ms=20_000) for _ in range(count)]
    context.sent = [request_site.send(vm, request) for request in context.requests]
    known = {request["id"] for request in context.requests}
    wait_for(
        lambda: known <= list_admitted(request_site, vm), 20, "all requests queued"
    )


@when('gateway "{vm}" is told to stop')
def tell_stop(context, vm):
    context.request_site.site.child(f"{vm}/gateway").signal(signal.SIGTERM)


@when('gateway "{vm}" is told to stop until it has exited')
def repeat_stop(context, vm):
    child = context.request_site.site.child(f"{vm}/gateway")

    def gone():
        child.signal(signal.SIGTERM)
        return child.process.poll() is not None

    end = time.monotonic() + 20
    while not gone() and time.monotonic() < end:
        time.sleep(0.0005)


@when('gateway "{vm}" no longer listens')
def wait_closed(context, vm):
    host, _, port = context.request_site.address(vm).rpartition(":")

    def closed():
        # The kernel accepts connections to a listening port at once, however busy
        # the gateway is. While the port is being closed, attempts time out.
        try:
            socket.create_connection((host, int(port)), timeout=0.2).close()
        except (ConnectionRefusedError, TimeoutError):
            return True
        return False

    wait_for(closed, 10, "a closed port")


@given('a caller with an open connection to "{vm}"')
def open_connection(context, vm):
    host, _, port = context.request_site.address(vm).rpartition(":")
    context.connection = http.client.HTTPConnection(host, int(port), timeout=30)
    context.connection.request("GET", "/health/live")
    context.connection.getresponse().read()
    assert context.connection.sock is not None


@when("the caller sends a request on the open connection")
def ask_on_open(context):
    path = f"/v1/services/{context.request_site.site.layout.service}/requests"
    body = json.dumps(context.request_site.make())
    context.connection.auto_open = 0
    context.connection.request("POST", path, body=body)
    context.answer = context.connection.getresponse()
    context.answered = json.loads(context.answer.read())


@when('a caller disconnects from "{vm}" while an idempotent request is queued there')
def disconnect_while_queued(context, vm):
    request_site = context.request_site
    request = request_site.make(
        idempotent=True, urgency="overnight", deadline_ms=20_000
    )
    context.idempotent_id = request["id"]
    host, _, port = request_site.address(vm).rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    path = f"/v1/services/{request_site.site.layout.service}/requests"
    connection.request("POST", path, body=json.dumps(request))
    wait_for(
        lambda: request["id"] in list_admitted(request_site, vm), 20, "a queued request"
    )
    connection.close()


@then("the idempotent request ran nowhere")
def check_left(context):
    assert context.request_site.count(context.idempotent_id, "arrivals") == 0


@then('the caller is answered "{outcome}" and told to close the connection')
def check_open(context, outcome):
    assert context.answered["outcome"] == outcome, context.answered
    assert context.answer.getheader("Connection") == "close"


@then('all of them are answered "{outcome}"')
def check_all(context, outcome):
    answers = [sent.result(60) for sent in context.sent]
    assert {a.body["outcome"] for a in answers} == {outcome}, answers[:2]


@then('each of them is answered "{one}" or "{other}"')
def check_each(context, one, other):
    context.answers = [sent.result(60) for sent in context.sent]
    found = {a.body["outcome"] for a in context.answers}
    assert found <= {one, other} and one in found, (found, context.answers[:2])


@then('those answered "not_run" did not run')
def check_not_run(context):
    ids = [a.body["id"] for a in context.answers if a.body["outcome"] == "not_run"]
    assert not any(context.request_site.count(i, "arrivals") for i in ids)


@then('gateway "{vm}" ended gracefully')
def check_exit(context, vm):
    assert context.request_site.site.child(f"{vm}/gateway").process.wait(20) == 0


@given(
    "callers continuously send single-run requests and use another gateway when refused"
)
def start_single_run_load(context):
    start_load(context)


@when('every gateway of "{domain}" is replaced in turn')
def replace_gateways(context, domain):
    request_site = context.request_site
    for name in request_site.site.list_gateways(domain):
        child = request_site.site.child(name)
        assert child.stop() == 0
        done = len(context.load.done)
        wait_for(lambda d=done: len(context.load.done) > d + 20, 20, "work elsewhere")
        child.restart()
        address = request_site.site.addresses[name]
        wait_for(lambda a=address: is_ready(a), 20, "ready")
    done = len(context.load.done)
    wait_for(lambda: len(context.load.done) > done + 50, 20, "work everywhere")


@then("none of their requests was aborted")
def check_none_aborted(context):
    context.load.stop()
    load = context.load
    assert not load.problems, (len(load.problems), len(load.done), load.problems[:4])


@then("none of their requests ran twice")
def check_single_runs(context):
    site = context.request_site.site
    addresses = [site.addresses[n] for n in context.request_site.list_targets()]
    total = {}
    for address in addresses:
        for name, runs in call(address, "GET", "/control/runs")[1]["runs"].items():
            total[name] = total.get(name, 0) + runs
    assert max(total.values()) == 1
    assert set(context.load.done) <= set(total)
