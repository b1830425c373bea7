import http.client
import json

from behave import given, step, then, when

from features.support.requests import ResettingTarget, use_site
from standins.site import wait_for


class SingleRunRequest:
    """A request that must run at most once, and all attempts at it."""

    def __init__(self, request_site, **fields):
        self.request_site = request_site
        self.request = request_site.make(**fields)
        self.attempts = []

    def send(self, vm, **fields):
        self.attempts.append(self.request_site.send(vm, {**self.request, **fields}))

    def answer(self, number):
        return self.attempts[number - 1].result(40)

    def send_and_disconnect(self, vm):
        host, _, port = self.request_site.address(vm).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port))
        path = f"/v1/services/{self.request_site.site.layout.service}/requests"
        connection.request("POST", path, body=json.dumps(self.request).encode())
        wait_for(lambda: self.request_site.count(self.request["id"], "arrivals"), 10)
        connection.close()


@given("a request site")
def start(context):
    context.request_site = use_site(context)


@given("the targets take {run_s:g} s")
def set_run_time(context, run_s):
    context.request_site.set_behaviour(run_s=run_s)


@given('the targets answer in mode "{mode}"')
def set_mode(context, mode):
    context.request_site.set_behaviour(mode=mode)


@when('a single-run request is sent at "{vm}"')
@when('a single-run request with its own id is sent at "{vm}"')
def send_first(context, vm):
    context.single_run = SingleRunRequest(context.request_site)
    context.single_run.send(vm)


@when('a single-run request is sent at "{vm}" with a deadline of {deadline_ms:d} ms')
def send_with_deadline(context, vm, deadline_ms):
    context.single_run = SingleRunRequest(context.request_site)
    context.single_run.send(vm, deadline_ms=deadline_ms)


@when('a single-run request with a ticket of "{owner}" is sent at "{vm}"')
def send_ticket(context, owner, vm):
    context.single_run = SingleRunRequest(
        context.request_site, id=context.request_site.mint(owner)
    )
    context.single_run.send(vm)


@when(
    'a single-run request with a ticket of "{owner}" is sent at "{vm}" '
    "with a deadline of {deadline_ms:d} ms"
)
def send_ticket_with_deadline(context, owner, vm, deadline_ms):
    context.single_run = SingleRunRequest(
        context.request_site, id=context.request_site.mint(owner)
    )
    context.single_run.send(vm, deadline_ms=deadline_ms)


@when('another single-run request with a ticket of "{owner}" was relayed the same way')
def send_after(context, owner):
    other = SingleRunRequest(context.request_site, id=context.request_site.mint(owner))
    other.send("olten-halle-1")
    assert other.answer(1).body["outcome"] == "done", other.answer(1)


@when('a single-run request marked as its first attempt is sent at "{vm}"')
def send_marked(context, vm):
    context.single_run = SingleRunRequest(context.request_site, attempt=1)
    context.single_run.send(vm)


@when('a single-run request is sent at "{vm}" by a caller who disconnects')
def send_and_disconnect(context, vm):
    context.single_run = SingleRunRequest(context.request_site)
    context.single_run.send_and_disconnect(vm)


@when('the request is sent again at "{vm}"')
def send_again(context, vm):
    context.single_run.send(vm)


@when('the request is sent again at "{vm}" with a deadline of {deadline_ms:d} ms')
def send_again_with_deadline(context, vm, deadline_ms):
    context.single_run.send(vm, deadline_ms=deadline_ms)


@when(
    'a large single-run request is sent at "{vm}" to a target that resets connections'
)
def send_to_resetting_target(context, vm):
    request_site = context.request_site
    context.resetting_target = ResettingTarget(request_site.site)
    context.single_run = SingleRunRequest(request_site, body={"plan": "x" * 250_000})

    # Both gateways of the failure domain probe the target once they know it. No
    # request is sent to check that: a failure would make the gateways avoid the
    # target, and hide a retry.
    wait_for(lambda: context.resetting_target.probes >= 6, 20, "probes of the target")
    request = context.single_run.request
    context.single_run.attempts.append(
        request_site.send(vm, request, ResettingTarget.service)
    )


@then("the target was connected to 1 time for it")
def check_connections(context):
    assert context.resetting_target.posts == 1, context.resetting_target.posts


@when("{count:d} copies of a single-run request are sent at once")
def send_copies(context, count):
    context.single_run = SingleRunRequest(context.request_site)
    names = context.request_site.site.list_gateways()
    for number in range(count):
        context.single_run.send(names[number % len(names)].split("/")[0])


@step("its run has started")
def wait_run(context):
    context.request_site.wait_runs(context.single_run.request["id"])


@then('attempt {number:d} is answered "{outcome}"')
def check_outcome(context, number, outcome):
    answer = context.single_run.answer(number)
    assert answer.body["outcome"] == outcome, answer
    if outcome == "done":
        assert answer.body["body"]["echo"] == context.single_run.request["body"], answer
    context.answer = answer


@then('attempt {number:d} is answered "{outcome}" before {limit_s:g} s')
def check_outcome_in_time(context, number, outcome, limit_s):
    check_outcome(context, number, outcome)
    assert context.answer.elapsed_s < limit_s, context.answer


@then('every attempt is answered "{outcome}"')
def check_outcomes(context, outcome):
    for number in range(len(context.single_run.attempts)):
        check_outcome(context, number + 1, outcome)


@then('the request is eventually answered "{outcome}" at "{vm}"')
def check_end(context, outcome, vm):
    def ask():
        context.single_run.send(vm)
        return context.single_run.attempts[-1].result(40).body["outcome"] == outcome

    wait_for(ask, 20, f"outcome {outcome}")


@then("it has a retry time")
def check_retry_after(context):
    assert context.answer.body["retry_after_s"] > 0, context.answer


@then("the request ran {count:d} time")
@then("the request ran {count:d} times")
def check_runs(context, count):
    runs = context.request_site.count(context.single_run.request["id"])
    assert runs == count, runs


@then("the request arrived {count:d} time")
def check_arrivals(context, count):
    arrivals = context.request_site.count(context.single_run.request["id"], "arrivals")
    assert arrivals == count, arrivals


@given("the failure domains are already partitioned from each other")
@when("the failure domains are partitioned from each other")
def partition(context):
    context.request_site.site.cut(context.request_site.site.layout.domains)


@when("the partition ends")
def end_partition(context):
    context.request_site.remove_faults()


@when('gateway "{vm}" is killed')
def kill_gateway(context, vm):
    context.request_site.site.child(f"{vm}/gateway").kill()


@when('gateway "{vm}" is started again')
def restart_gateway(context, vm):
    context.request_site.remove_faults()


@step("every target is killed")
def kill_targets(context):
    for name in context.request_site.list_targets():
        context.request_site.site.child(name).kill()


@when("every target is started again")
def restart_targets(context):
    context.request_site.remove_faults()


@given("the store loses {count:d} answer to a claim")
def lose_answers(context, count):
    context.request_site.site.set_faults(lose_answers=count, lose_key="claims/")


@given("the store is unavailable")
def stop_store(context):
    context.request_site.site.set_faults(outage=True)
