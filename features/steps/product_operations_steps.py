import http.client
import json
import signal
import tempfile
import time

from behave import given, then, when

from features.environment import start_site
from features.steps.product_cli_steps import CommandRun
from standins.site import Layout, call, wait_for

TOKEN = "operators-only-0123456789"
ORGANISATION = {"kind": "organisation", "name": "squads", "value": {}}


class Operator:
    """An operator with the token, who uses one gateway."""

    def __init__(self, site) -> None:
        self.gateway = site.gateway()

    def read(self, token: str | None = TOKEN) -> tuple[int, dict]:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        return call(self.gateway, "GET", "/v1/config", headers=headers)

    def change(self, token: str | None = TOKEN) -> tuple[int, dict]:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        body = {"expected_revision": 0, "changes": [ORGANISATION]}
        return call(self.gateway, "POST", "/v1/config", body, headers=headers)

    def run(self, *arguments: str) -> CommandRun:
        variables = {"FIRLADDER_OPERATOR_TOKEN": TOKEN}
        return CommandRun([*arguments, f"--gateway={self.gateway}"], variables)

    def run_changes(self, action: list[str], changes: list[dict]) -> CommandRun:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(changes, file)
            file.flush()
            return self.run("config", *action, file.name)


@given("a small site whose operators have a token")
def start_small(context):
    layout = Layout(
        domains=("bern-halle",),
        entry_vms=1,
        targets=1,
        workers_per_rack=1,
        settings={"operator_token": TOKEN, "gateway.unready_s": "0.6"},
    )
    context.operator = Operator(start_site(context, layout))


@given("the site is configured with its token")
def configure(context):
    context.site.wait_for_leader("bern-halle")
    status, answer = context.operator.change()
    assert status == 200, answer


@when("the configuration is read and changed without the token")
def without_token(context):
    context.answers = [context.operator.read(None), context.operator.change(None)]


@then('both are rejected as "{kind}"')
def check_both(context, kind):
    for status, answer in context.answers:
        assert (status, answer["type"]) == (401, kind), answer


@then('a wrong token of the same length is rejected as "{kind}"')
def check_wrong(context, kind):
    status, answer = context.operator.change("x" * len(TOKEN))
    assert (status, answer["type"]) == (401, kind), answer


@then("the command line changes the configuration with the token")
def check_right(context):
    run = context.operator.run_changes(["apply"], [ORGANISATION])
    run.check(0, "accepted as revision 1")


@when("a request is answered and one for an unknown service is rejected")
def ask_both(context):
    body = {"organisation": "squads", "deadline_ms": 3000, "idempotent": True}
    path = "/v1/services/{}/requests"
    wait_for(
        lambda: (
            call(context.site.gateway(), "POST", path.format("planwerk"), body)[0]
            == 200
        ),
        what="a target",
    )
    status, _ = call(context.site.gateway(), "POST", path.format("nowhere"), body)
    assert status == 503, status


@then("the gateway's metrics count one of each, and both in the histogram")
def check_counts(context):
    text = context.metrics = call(context.site.gateway(), "GET", "/metrics")[1]
    ended = 'firladder_requests_ended_total{failure="%s",outcome="%s"}'
    assert ended % ("", "done") + " 1" in text, text
    assert ended % ("no_target", "not_run") in text, text
    assert "firladder_requests_duration_seconds_bucket" in text, text


@then("its events, connections and loop lag are in the metrics")
def check_others(context):
    for part in (
        'firladder_events_total{message="process started",number="100"} 1',
        "firladder_connections_open_count 1",
        "firladder_loop_lag_seconds ",
        "firladder_configuration_age_seconds ",
    ):
        assert part in context.metrics, context.metrics


@when("the gateway is told to stop while it is polled every 20 ms")
def stop_and_poll(context):
    site = context.site
    wait_for(lambda: call(site.gateway(), "GET", "/health/live")[0] == 200)
    context.polls = []
    site.child(site.list_gateways()[0]).signal(signal.SIGTERM)
    for _ in range(500):
        try:
            ready, _ = call(site.gateway(), "GET", "/health/ready", timeout_s=5)
            live, _ = call(site.gateway(), "GET", "/health/live", timeout_s=5)
        except (OSError, http.client.HTTPException):
            return
        context.polls.append((time.monotonic(), ready, live))
        time.sleep(0.02)
    raise AssertionError("the listener never closed")


@then('it reported "not ready" for at least {min_s:f} s before its listener closed')
def check_unready(context, min_s):
    unready = [at for at, ready, _ in context.polls if ready == 503]
    assert unready, context.polls
    assert unready[-1] - unready[0] >= min_s, context.polls


@then("it was live until then")
def check_live(context):
    assert {live for _, _, live in context.polls} == {200}, context.polls


@when("a change is compared, applied as a dry run and applied from the command line")
def compare_and_apply(context):
    changes = [{**ORGANISATION, "value": {"weight": 3}}]
    operator = context.operator
    context.diff = operator.run_changes(["diff"], changes)
    context.dry_run = operator.run_changes(["apply", "--dry_run"], changes)
    context.revision_before = operator.read()[1]["revision"]
    context.applied = operator.run_changes(["apply"], changes)


@then("comparison and dry run changed nothing, and showed what would change")
def check_dry_run(context):
    for run in (context.diff, context.dry_run):
        run.check(0, "~ organisation squads")
        run.check(0, "would be accepted on top of revision 1")
    assert context.revision_before == 1, context.revision_before


@then("the change was applied")
def check_applied(context):
    context.applied.check(0, "accepted as revision 2")
    assert context.operator.read()[1]["organisations"]["squads"]["weight"] == 3


@then("a shape that cannot fit is rejected in a dry run with exit code 3")
def check_unfit(context):
    cell = {"failure_domain": "bern-halle", "accelerators": 8, "count": 9}
    change = {**ORGANISATION, "value": {"shape": [cell]}}
    run = context.operator.run_changes(["apply", "--dry_run"], [change])
    run.check(3, "shapes_do_not_fit")


@then("jobs can be submitted, watched, listed and cancelled from there")
def check_jobs(context):
    run = context.operator.run
    first = ["--organisation=squads", "--run_time_s=0.5", "--id=block-1", "--wait"]
    run("submit", *first).check(0, "outcome done")
    run("submit", "--organisation=squads", "--id=block-2").check(0, "accepted for")
    run("jobs").check(0, "block-2")
    run("cancel", "block-2").check(0, "will be cancelled")
    # The exit code depends on whether the job was cancelled before or while it ran.
    ended = run("watch", "block-2")
    assert ended.code in (1, 3), ended.output
    run("watch", "nobody").check(3, "not_found")
