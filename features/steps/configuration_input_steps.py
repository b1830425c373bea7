import http.client
import json

from behave import given, then, when

from features.steps.configuration_steps import Operators, add
from standins.site import call, wait_for


def rule(**value) -> dict:
    return {"kind": "rule", "name": "steer", "value": {"selects": "team=a", **value}}


def shape(domain: str, accelerators: int) -> dict:
    return {"shape": [{"failure_domain": domain, "accelerators": accelerators}]}


class BadInput:
    """Change sets with one fault each."""

    def __init__(self, site) -> None:
        self.operators = Operators(site)
        self.domain = site.layout.domains[0]
        self.gateway = site.gateway(self.domain)
        self.before = self.operators.read(self.domain)

    def build(self, what: str) -> dict:
        """Return a change set of a valid change and the named fault."""
        revision = self.before["revision"]
        greedy = add("greedy", **shape(self.domain, 64))
        wrong = {
            "an unknown field": [{**add("a"), "colour": "red"}],
            "an unknown field of the value": [add("a", colour="red")],
            "an unknown kind": [{**add("a"), "kind": "team"}],
            "a name that is not allowed": [add("No Name")],
            "a negative shape": [add("a", **shape(self.domain, -1))],
            "too many changes": [add(f"a{n}") for n in range(200)],
            "a selector that does not parse": [rule(selects="((")],
            "a shape that cannot fit": [greedy],
            "a rule with an unknown organisation": [rule(organisation="nobody")],
            "a removed organisation a rule names": [
                {"kind": "organisation", "name": "kraftwerk"}
            ],
            "the same part twice": [add("a"), add("a", weight=2)],
        }
        stale = {"a negative revision": -1, "a stale revision": revision - 1}
        return {
            "expected_revision": stale.get(what, revision),
            "changes": [add("good"), *wrong.get(what, [])],
        }

    def send(self, what: str) -> None:
        text = json.dumps(self.build(what))
        self.post(text[:-1] if what == "malformed JSON" else text)

    def post(self, text: str) -> None:
        host, _, port = self.gateway.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("POST", "/v1/config", body=text)
        resp = connection.getresponse()
        self.status, self.answer = resp.status, json.loads(resp.read())
        connection.close()

    def try_dry(self, *changes: dict) -> None:
        revision = self.before["revision"]
        body = {"expected_revision": revision, "changes": changes, "dry_run": True}
        self.post(json.dumps(body))


@given('a site with organisation "kraftwerk" and a rule that names it')
def configure_kraftwerk(context):
    site = context.site
    domain = site.layout.domains[0]
    if not call(site.gateway(domain), "GET", "/v1/config")[1]["revision"]:
        selects = {"selects": "team=coach", "organisation": "kraftwerk"}
        site.configure(
            add("kraftwerk", **shape(domain, 4)),
            {"kind": "rule", "name": "coaches", "value": selects},
            address=site.gateway(domain),
        )
    context.bad = BadInput(site)


@when("an operator sends a valid change together with {what}")
def send_bad(context, what):
    context.bad.send(what)


@then('the operators\' answer is {status:d} "{kind}" about "{field}"')
def check_typed(context, status, kind, field):
    bad = context.bad
    assert (bad.status, bad.answer["type"]) == (status, kind), bad.answer
    assert bad.answer["field"] == field, bad.answer
    assert bad.answer["reason"], bad.answer


@then('the operators\' answer is {status:d} "{kind}" about ""')
def check_typed_whole(context, status, kind):
    bad = context.bad
    assert (bad.status, bad.answer["type"]) == (status, kind), bad.answer
    assert bad.answer["field"] is None and bad.answer["reason"], bad.answer


@then("the configuration is unchanged")
def check_unchanged(context):
    bad = context.bad
    assert bad.operators.read(bad.domain) == bad.before


@when("an operator tries a change of every kind in a dry run")
def try_all(context):
    context.bad.try_dry(
        add("fresh"),
        add("kraftwerk", **shape(context.bad.domain, 2)),
        {"kind": "rule", "name": "coaches"},
        {"kind": "labels", "name": "nobody"},
    )


@then("the dry run says add, replace, remove and keep")
def check_actions(context):
    bad = context.bad
    assert bad.status == 200 and bad.answer["dry_run"], bad.answer
    found = [bad.answer["actions"][part] for part in bad.answer["changed"]]
    assert found == ["add", "replace", "remove", "keep"], bad.answer


@when("an operator tries two shapes that cannot fit in a dry run")
def try_two(context):
    domain = context.bad.domain
    context.bad.try_dry(
        add("greedy", **shape(domain, 64)), add("large", **shape(domain, 32))
    )


@then("the dry run names both")
def check_both_named(context):
    bad = context.bad
    assert bad.answer["type"] == "shapes_do_not_fit", bad.answer
    assert "greedy" in bad.answer["reason"] and "large" in bad.answer["reason"]


@given("the workers of a failure domain are gone from the VM list")
def remove_workers(context):
    site, domain = context.site, context.bad.domain
    for machine in site.machines:
        if machine["role"] == "worker" and machine["failure_domain"] == domain:
            site.put_key(
                f"platform/vms/{machine['name']}", {**machine, "accelerators": 0}
            )
    gone = add("probe", **shape(domain, 1))
    bad = context.bad

    def is_gone():
        bad.try_dry(gone)
        return bad.status == 422

    wait_for(is_gone, what="the VM list without the workers")


@then("an operator can add an organisation and shrink the guaranteed shape")
def change_without_room(context):
    bad = context.bad
    revision = bad.operators.read(bad.domain)["revision"]
    shrunk = add("kraftwerk", **shape(bad.domain, 2))
    status, answer = bad.operators.post(bad.domain, revision, add("other"), shrunk)
    assert status == 200, answer


@then("cannot guarantee more there")
def check_no_more(context):
    bad = context.bad
    revision = bad.operators.read(bad.domain)["revision"]
    more = add("kraftwerk", **shape(bad.domain, 4))
    status, answer = bad.operators.post(bad.domain, revision, more)
    assert (status, answer["type"]) == (422, "shapes_do_not_fit"), answer
