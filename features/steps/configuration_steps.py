import base64
import concurrent.futures
import itertools
import json
import time

from behave import given, then, when

from features.environment import start_site
from standins.site import Layout, Site, call, wait_for

_numbers = itertools.count(1)

LAYOUT = {"entry_vms": 1, "targets": 1, "workers_per_rack": 1}


def add(name: str, **value) -> dict:
    """Return the change that adds an organisation."""
    return {"kind": "organisation", "name": name, "value": value}


class Operators:
    """Operators at several gateways, and the responses they received."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.pool = concurrent.futures.ThreadPoolExecutor(4)
        self.pending: list = []
        self.rounds: list = []
        self.pairs = list(itertools.combinations(site.layout.domains, 2))

    def read(self, domain: str) -> dict:
        return call(self.site.gateway(domain), "GET", "/v1/config")[1]

    def post(self, domain: str, revision: int, *changes: dict) -> tuple[int, dict]:
        body = {"expected_revision": revision, "changes": changes}
        return call(self.site.gateway(domain), "POST", "/v1/config", body)

    def accept(self, domain: str) -> int:
        """Make a change that must be accepted; return its revision."""
        revision = self.read(domain)["revision"]
        status, answer = self.post(domain, revision, add(f"org-{next(_numbers)}"))
        assert status == 200, answer
        self.latest = answer["revision"]
        return self.latest

    def race(self) -> None:
        first, second = self.site.layout.domains[:2]
        revision = max(self.read(first)["revision"], self.read(second)["revision"])
        names = f"race-{next(_numbers)}", f"race-{next(_numbers)}"
        calls = [
            self.pool.submit(self.post, domain, revision, add(name))
            for domain, name in zip((first, second), names, strict=True)
        ]
        self.rounds.append(
            [(n, *c.result()) for n, c in zip(names, calls, strict=True)]
        )

    def list_status(self, domain: str) -> dict:
        return call(self.site.gateway(domain), "GET", "/v1/status")[1]

    def sees_everyone(self, domain: str) -> bool:
        rows = self.list_status(domain)["failure_domains"]
        revisions = [p["revision"] for row in rows for p in row["processes"]]
        return revisions == [self.latest] * len(self.site.fabric)

    def isolate(self, domain: str) -> None:
        self.site.cut(*(pair for pair in self.pairs if domain in pair))
        self.site.partition_from_store(domain)

    def list_events(self, name: str, number: int) -> list[dict]:
        events = call(self.site.addresses[name], "GET", "/v1/events")[1]["events"]
        return [e for e in events if e["number"] == number]

    def copy_store(self) -> list[dict]:
        """Return the configuration's entries in the store."""
        key, end = (base64.b64encode(k).decode() for k in (b"config/", b"config0"))
        body = {"key": key, "range_end": end}
        return call(self.site.addresses["store"], "POST", "/v3/kv/range", body)[1][
            "kvs"
        ]

    def restore_store(self, copy: list[dict]) -> None:
        self.site.child("store").kill()
        self.site.child("store").restart()
        wait_for(lambda: call(self.site.addresses["store"], "GET", "/calls"))
        self.site.publish_machines()
        for kv in copy:
            key = base64.b64decode(kv["key"]).decode()
            self.site.put_key(key, json.loads(base64.b64decode(kv["value"])))


@given("three failure domains of one entry VM whose configuration is loaded")
def load_configuration(context):
    site = start_site(context, Layout(**LAYOUT))
    context.operators = Operators(site)
    for name in site.list_gateways():
        ready = lambda n=name: call(site.addresses[n], "GET", "/health/ready")[0] == 200  # noqa: E731
        wait_for(ready, what=f"{name} is ready with the empty configuration")
    domain = site.layout.domains[0]
    context.operators.accept(domain)
    for each in site.layout.domains:
        # Every gateway must know every process and its revision.
        wait_for(
            lambda d=each: context.operators.sees_everyone(d),
            what=f"{each} sees everyone at revision {context.operators.latest}",
        )


@when("two operators change the same revision at once, {count:d} times")
def race_operators(context, count):
    for _ in range(count):
        context.operators.race()


@then('each time exactly one was accepted and the other got "{kind}"')
def check_race(context, kind):
    for answers in context.operators.rounds:
        statuses = sorted(status for _, status, _ in answers)
        assert statuses == [200, 409], answers
        refused = next(body for _, status, body in answers if status == 409)
        assert refused["type"] == kind, refused


@then("every accepted change is in the configuration")
def check_nothing_lost(context):
    answers = list(itertools.chain(*context.operators.rounds))
    accepted = {name for name, status, _ in answers if status == 200}
    refused = {name for name, status, _ in answers if status != 200}
    domain = context.site.layout.domains[2]
    context.site.wait_until_in_force(max(b.get("revision", 0) for _, _, b in answers))
    found = set(context.operators.read(domain)["organisations"])
    assert accepted <= found and not refused & found, (accepted, refused, found)


@given("the store drops its response to the next change")
def lose_answer(context):
    context.site.set_faults(lose_answers=1, lose_key="config/")


@when('an operator adds organisation "{name}" at the first failure domain')
def add_first(context, name):
    ops, domain = context.operators, context.site.layout.domains[0]
    revision = ops.read(domain)["revision"]
    ops.pending.append(ops.pool.submit(ops.post, domain, revision, add(name)))
    ops.names = [name]


@when('once it is in force another operator adds "{name}" at the second')
def add_second(context, name):
    ops, domain = context.operators, context.site.layout.domains[1]
    first = ops.names[0]
    wait_for(lambda: first in ops.read(domain)["organisations"], what=first)
    revision = ops.read(domain)["revision"]
    ops.pending.append(ops.pool.submit(ops.post, domain, revision, add(name)))
    ops.names.append(name)


@then("both operators are told that their change was accepted")
def check_accepted(context):
    answers = [pending.result(timeout=30) for pending in context.operators.pending]
    assert [status for status, _ in answers] == [200, 200], answers
    context.operators.latest = answers[1][1]["revision"]
    assert answers[0][1]["revision"] == context.operators.latest - 1, answers


@then("both organisations are in force everywhere")
def check_both(context):
    ops = context.operators
    context.site.wait_until_in_force(ops.latest)
    for domain in context.site.layout.domains:
        assert set(ops.names) <= set(ops.read(domain)["organisations"])


@when("the store goes down")
def stop_store(context):
    context.site.set_faults(outage=True)


@when("the store is back")
def start_store(context):
    context.site.set_faults()


@then('a change is refused as "{kind}" with a time to retry')
def check_refused(context, kind):
    ops, domain = context.operators, context.site.layout.domains[0]
    status, answer = ops.post(domain, ops.latest, add("never"))
    assert (status, answer["type"]) == (503, kind), answer
    assert "nothing was changed" in answer["reason"], answer
    assert answer["retry_after_s"] > 0, answer


@then("status at every gateway reports that the store is unreachable")
def check_store_lost(context):
    for domain in context.site.layout.domains:
        wait_for(
            lambda d=domain: not context.operators.list_status(d)["store_reachable"],
            what=f"the loss of the store is seen in {domain}",
        )


@then("the old configuration is still in force everywhere")
@then("the latest revision is still in force everywhere")
def check_kept(context):
    ops = context.operators
    for domain in context.site.layout.domains:
        assert ops.read(domain)["revision"] == ops.latest, ops.read(domain)


@then("a change is accepted and in force everywhere within {limit:d} seconds")
def check_change(context, limit):
    ops, domain = context.operators, context.site.layout.domains[0]
    before = set(ops.read(domain)["organisations"])

    def change():
        status, answer = ops.post(domain, ops.latest, add("afterwards"))
        return answer["revision"] if status == 200 else None

    ops.latest = wait_for(change, what="the change is accepted")
    start = time.monotonic()
    context.site.wait_until_in_force(ops.latest, limit)
    assert time.monotonic() - start <= limit
    for each in context.site.layout.domains:
        assert before | {"afterwards"} == set(ops.read(each)["organisations"])


@when("the third failure domain is partitioned from the store and the others")
def partition_third(context):
    context.operators.old = context.operators.latest
    context.operators.isolate(context.site.layout.domains[2])


@when("a change is accepted at the first failure domain")
def accept_first(context):
    context.operators.accept(context.site.layout.domains[0])


@then('status there says "cut off" for the third, at its old revision')
def check_cut_off(context):
    first, _, third = context.site.layout.domains

    def find():
        status = context.operators.list_status(first)
        rows = {row["failure_domain"]: row for row in status["failure_domains"]}
        return status if rows[third]["cut_off"] else None

    status = wait_for(find, what=f"{third} is seen as cut off")
    row = next(r for r in status["failure_domains"] if r["failure_domain"] == third)
    assert row["in_force"] == context.operators.old, row
    assert not status["in_force_everywhere"], status


@then("the third failure domain reports that its store is unreachable")
def check_third_lost(context):
    third = context.site.layout.domains[2]
    wait_for(
        lambda: not context.operators.list_status(third)["store_reachable"],
        what="the silence of the store is noticed",
    )


@when("all partitions end")
def end_partition(context):
    context.site.cut()
    context.site.partition_from_store()


@then("the change is in force everywhere within {limit:d} seconds")
def check_in_force(context, limit):
    context.site.wait_until_in_force(context.operators.latest, limit)
    first = context.site.layout.domains[0]
    wait_for(
        lambda: context.operators.list_status(first)["in_force_everywhere"],
        what="status says in force everywhere",
    )


@given("the third failure domain missed the last change")
def miss_change(context):
    partition_third(context)
    accept_first(context)
    second = context.site.layout.domains[1]
    wait_for(
        lambda: context.operators.read(second)["revision"] == context.operators.latest,
        what="the change in the second failure domain",
    )


@when("the store goes down and a gateway starts that reaches only the third")
def start_beside_third(context):
    site = context.site
    first, second, third = site.layout.domains
    vm = f"{second}-1"
    for role in ("gateway", "scheduler"):
        site.child(f"{vm}/{role}").kill()
    site.set_faults(outage=True)
    site.cut((first, second), (first, third))
    site.child(f"{vm}/gateway").restart()


@then("the new gateway is ready with the old revision")
def check_old(context):
    gateway = context.site.gateway(context.site.layout.domains[1])
    wait_for(lambda: call(gateway, "GET", "/health/ready")[0] == 200, what="ready")
    found = context.operators.read(context.site.layout.domains[1])
    assert found["revision"] == context.operators.old, found


@when("only the store stays down")
def reconnect_peers(context):
    context.site.cut()


@then("the newer revision comes into force in every failure domain")
def check_newer(context):
    context.site.wait_until_in_force(context.operators.latest, 12)


@then("no process ever returned to a lower revision")
def check_monotone(context):
    site = context.site
    running = [n for n in site.fabric if site.child(n).process.poll() is None]
    for name in running:
        adopted = lambda n=name: [  # noqa: E731
            e["details"]["revision"] for e in context.operators.list_events(n, 130)
        ]
        latest = context.operators.latest
        wait_for(lambda f=adopted, n=latest: f()[-1] == n, what=f"{latest} at {name}")
        assert adopted() == sorted(set(adopted())), (name, adopted())


@when("the store is restored from a backup that is one change old")
def restore(context):
    copy = context.operators.copy_store()
    context.site.wait_until_in_force(
        context.operators.accept(context.site.layout.domains[0])
    )
    context.operators.restore_store(copy)


@then('every gateway reports "{message}"')
def check_reported(context, message):
    for name in context.site.list_gateways():
        found = lambda n=name: context.operators.list_events(n, 133)  # noqa: E731
        assert wait_for(found, what=name)[0]["message"] == message


@when("the third failure domain is partitioned and its VM is replaced")
def replace_third(context):
    third = context.site.layout.domains[2]
    context.operators.isolate(third)
    for role in ("gateway", "scheduler"):
        context.site.child(f"{third}-1/{role}").kill()
    context.site.child(f"{third}-1/gateway").restart()


@then("its gateway is live but not ready")
def check_not_ready(context):
    gateway = context.site.gateway(context.site.layout.domains[2])
    wait_for(lambda: call(gateway, "GET", "/health/live")[0] == 200, what="live")
    for _ in range(10):
        assert call(gateway, "GET", "/health/ready")[0] == 503
        time.sleep(0.1)


@then('a request and a job there are refused as "{kind}" with a time to retry')
def check_calls_refused(context, kind):
    gateway = context.site.gateway(context.site.layout.domains[2])
    req = {"organisation": "anybody", "deadline_ms": 2000, "idempotent": True}
    path = "/v1/services/planwerk/requests"
    status, answer = call(gateway, "POST", path, req)
    assert (status, answer["outcome"]) == (503, "not_run"), answer
    refusals = [answer["failure"]]
    job = {"id": "early", "organisation": "anybody"}
    status, answer = call(gateway, "POST", "/v1/jobs", job)
    assert status == 503, answer
    refusals.append(answer)
    for refusal in refusals:
        assert refusal["type"] == kind, refusal
        assert refusal["retry_after_s"] > 0, refusal


@then("its gateway is ready")
def check_ready(context):
    gateway = context.site.gateway(context.site.layout.domains[2])
    wait_for(lambda: call(gateway, "GET", "/health/ready")[0] == 200, what="ready")
