import concurrent.futures
import itertools
import time
from collections import Counter

from behave import given, then, when

from features.environment import start_site
from features.steps.configuration_steps import LAYOUT, Operators, add
from standins.site import Layout, Site, call, wait_for

_numbers = itertools.count(1)

PARTITION_S = 4.0
"""Longer than the leader's lease of two seconds, so that it leads without the store."""

NEEDS_STORE = {"own id", "job", "change"}
NEEDS_OTHERS = {"ticket of another"}
CALL_KINDS = ("ticket", "idempotent", "ticket of another", "own id", "job", "change")


class Isolation:
    """Calls to a failure domain that is partitioned, and their answers."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.operators = Operators(site)
        self.first, _, self.third = site.layout.domains
        self.pool = concurrent.futures.ThreadPoolExecutor(len(CALL_KINDS))
        self.calls: list[tuple[str, dict]] = []
        self.answers: list[tuple[str, int, dict]] = []
        self.repeated: list[tuple[str, int, dict]] = []

    def configure(self) -> None:
        accepted = self.site.configure(add("squads"))
        self.site.wait_until_in_force(accepted)
        for domain in self.site.layout.domains:
            self.site.wait_for_leader(domain)
        self.operators.latest = accepted
        wait_for(lambda: self.operators.sees_everyone(self.third), what="everyone")

    def submit(self, job: str, **spec) -> tuple[int, dict]:
        body = {"id": job, "organisation": "squads", "failure_domain": self.third}
        gateway = self.site.gateway(self.third)
        return call(gateway, "POST", "/v1/jobs", {**body, **spec})

    def start_gang(self) -> None:
        status, answer = self.submit(
            "gang", members=2, accelerators=2, run_time_s=10, idempotent=False
        )
        assert status == 202, answer
        wait_for(lambda: len(self.list_intervals("gang")) == 2, what="the gang runs")

    def list_intervals(self, job: str) -> list[dict]:
        workers = [m for m in self.site.machines if m["role"] == "worker"]
        histories = (call(m["address"], "GET", "/control/history")[1] for m in workers)
        found = itertools.chain.from_iterable(h["intervals"] for h in histories)
        return [i for i in found if i["job"] == job]

    def count_runs(self) -> Counter:
        targets = [m for m in self.site.machines if m["role"] == "target"]
        runs: Counter = Counter()
        for machine in targets:
            runs.update(call(machine["address"], "GET", "/control/runs")[1]["runs"])
        return runs

    def prepare(self, kind: str) -> dict:
        """Return the body of a call; tickets are fetched before the partition."""
        number = next(_numbers)
        if kind in ("job", "change"):
            return {"name": f"{kind}-{number}"}
        owner = self.first if kind == "ticket of another" else self.third
        path = "/v1/tickets"
        ticket = call(self.site.gateway(owner), "POST", path, {})[1]["ids"][0]
        return {
            "id": f"own-{number}" if kind == "own id" else ticket,
            "organisation": "squads",
            "deadline_ms": 3000,
            "idempotent": kind == "idempotent",
        }

    def send(self, kind: str, body: dict) -> tuple[str, int, dict]:
        if kind == "job":
            return (kind, *self.submit(body["name"], run_time_s=0.5, idempotent=False))
        if kind == "change":
            revision = self.operators.read(self.third)["revision"]
            answer = self.operators.post(self.third, revision, add(body["name"]))
            return (kind, *answer)
        path = "/v1/services/planwerk/requests"
        return (kind, *call(self.site.gateway(self.third), "POST", path, body))

    def partition(self, what: str) -> None:
        if "others" in what:
            self.site.cut(*(p for p in self.operators.pairs if self.third in p))
        if "store" in what:
            self.site.partition_from_store(self.third)

    def heal(self) -> None:
        self.site.cut()
        self.site.partition_from_store()

    def call_all(self, what: str) -> None:
        """Partition the third, make one call of each kind, and heal the network."""
        bodies = [(kind, self.prepare(kind)) for kind in CALL_KINDS]
        began = time.monotonic()
        self.partition(what)
        answers = list(self.pool.map(lambda c: self.send(*c), bodies))
        self.calls += bodies
        self.answers += answers
        status = self.operators.list_status(self.third)
        assert status["store_reachable"] == ("store" not in what), status
        time.sleep(max(0.0, began + PARTITION_S - time.monotonic()))
        self.heal()
        wait_for(lambda: self.rejoined(), what="the third failure domain rejoined")

    def rejoined(self) -> bool:
        status = self.operators.list_status(self.third)
        return status["in_force_everywhere"] and status["store_reachable"]

    def list_needs(self, what: str) -> set[str]:
        store = NEEDS_STORE if "store" in what else set()
        return store | (NEEDS_OTHERS if "others" in what else set())


@given("three failure domains with a gang running in the third")
def start_gang(context):
    layout = Layout(**{**LAYOUT, "workers_per_rack": 2})
    context.isolation = Isolation(start_site(context, layout))
    context.isolation.configure()
    context.isolation.start_gang()


@when("the third is partitioned from {what} and calls of every kind arrive, {times}")
def partition_and_call(context, what, times):
    for _ in range({"once": 1, "twice": 2}[times]):
        context.isolation.call_all(what)


@then("every call that needs neither {what} was served")
def check_served(context, what):
    isolation = context.isolation
    needs = isolation.list_needs(what)
    for kind, status, answer in isolation.answers:
        if kind not in needs:
            assert status in (200, 202), (kind, status, answer)
            assert answer.get("outcome") in ("done", None), (kind, answer)
    isolation.needs = needs


@then("every other call was refused with its true reason and a time to retry")
def check_refused(context):
    expected = {
        # Not "not run": an earlier attempt under the id may have run elsewhere.
        "own id": ("unknown", {"store_unavailable"}),
        # Either the other gateway counts as unreachable or the deadline passes first.
        "ticket of another": ("unknown", {"peer_unreachable", "sent_unanswered"}),
        "job": (None, {"store_unavailable", "store_uncertain"}),
        "change": (None, {"store_unavailable"}),
    }
    for kind, status, answer in context.isolation.answers:
        if kind in context.isolation.needs:
            outcome, types = expected[kind]
            failure = answer.get("failure") or answer
            assert status in (503, 504), (kind, status, answer)
            assert answer.get("outcome") == outcome, (kind, answer)
            assert failure["type"] in types, (kind, answer)
            assert (failure["retry_after_s"] or 0) > 0, (kind, answer)


@when("the partition is over and callers repeat the refused calls")
def repeat_refused(context):
    isolation = context.isolation
    for kind, body in isolation.calls:
        if kind in isolation.needs:
            answer = isolation.send(kind, body)
            assert answer[1] in (200, 202), answer
            isolation.repeated.append(answer)


@then("every request ran exactly once")
def check_requests(context):
    ids = [body["id"] for _, body in context.isolation.calls if "id" in body]
    runs = context.isolation.count_runs()
    assert {i: runs[i] for i in ids} == dict.fromkeys(ids, 1)


@then("every job ran exactly once and the gang was never interrupted")
def check_jobs(context):
    isolation = context.isolation
    names = [body["name"] for kind, body in isolation.calls if kind == "job"]
    gateway = isolation.site.gateway(isolation.third)
    for name in ("gang", *names):
        seen: dict = {}

        def find(path=f"/v1/jobs/{name}", seen=seen):
            seen.update(call(gateway, "GET", path)[1])
            return seen["state"] == "finished"

        try:
            wait_for(find, 30, f"the end of {name}")
        except AssertionError as error:
            raise AssertionError(seen, isolation.list_intervals(name)) from error
        job = seen
        assert job["outcome"] == "done", job
        intervals = isolation.list_intervals(name)
        assert len(intervals) == job["spec"]["members"], (name, intervals)


@then("the configuration is the same everywhere within {limit:d} seconds")
def check_same(context, limit):
    isolation = context.isolation
    wait_for(isolation.rejoined, limit, "in force everywhere")
    found = [isolation.operators.read(d) for d in isolation.site.layout.domains]
    assert found[0] == found[1] == found[2], found
    changes = {b["name"] for kind, b in isolation.calls if kind == "change"}
    assert changes <= set(found[0]["organisations"]), found[0]
