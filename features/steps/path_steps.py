import itertools
import subprocess
import sys

from behave import given, then, when

from standins.site import ROOT, Site, call, wait_for

_numbers = itertools.count(1)


class PathCheck:
    """The path of requests and gangs through a site, as callers see it."""

    def __init__(self, site: Site) -> None:
        self.site = site

    def configure(self) -> None:
        if call(self.site.gateway(), "GET", "/v1/config")[1]["revision"] > 0:
            return
        domain = self.site.layout.domains[0]
        shape = [{"failure_domain": domain, "accelerators": 4}]
        revision = self.site.configure(
            {"kind": "organisation", "name": "kraftwerk", "value": {"shape": shape}},
            {"kind": "organisation", "name": "squads", "value": {}},
        )
        self.site.wait_until_in_force(revision)
        for name in self.site.layout.domains:
            self.site.wait_for_leader(name)

    def send_urgent(self) -> None:
        gateway = self.site.gateway()
        ticket = call(gateway, "POST", "/v1/tickets", {})[1]["ids"][0]
        self.request = {
            "id": ticket,
            "organisation": "kraftwerk",
            "deadline_ms": 3000,
            "urgency": "urgent",
            "body": {"athlete": "a-17"},
        }
        path = "/v1/services/planwerk/requests"
        self.status, self.answer = call(gateway, "POST", path, self.request)

    def count_runs(self) -> int:
        targets = [m for m in self.site.machines if m["role"] == "target"]
        runs = (call(m["address"], "GET", "/control/runs")[1]["runs"] for m in targets)
        return sum(r.get(self.request["id"], 0) for r in runs)

    def submit_gang(self, members: int, accelerators: int) -> None:
        self.job = f"block-{next(_numbers)}"
        spec = {
            "id": self.job,
            "organisation": "squads",
            "members": members,
            "accelerators": accelerators,
            "run_time_s": 1,
        }
        status, answer = call(self.site.gateway(), "POST", "/v1/jobs", spec)
        assert status == 202, answer

    def wait_end(self) -> dict:
        path = f"/v1/jobs/{self.job}"

        def find():
            job = call(self.site.gateway(), "GET", path)[1]
            return job if job["state"] == "finished" else None

        return wait_for(find, 30, f"the end of {self.job}")

    def list_histories(self) -> list[dict]:
        workers = [m for m in self.site.machines if m["role"] == "worker"]
        return [
            {**call(m["address"], "GET", "/control/history")[1], "rack": m["rack"]}
            for m in workers
        ]


@given("a site with two organisations configured")
def configure_site(context):
    if not hasattr(context, "path"):
        context.path = PathCheck(context.site)
    context.path.configure()


@when("the coach sends an urgent request at the first gateway")
def send_urgent(context):
    context.path.send_urgent()


@then('the answer is "{outcome}" with the body of the coach\'s request')
def check_answer(context, outcome):
    path = context.path
    assert path.answer["outcome"] == outcome, path.answer
    assert path.answer["body"]["echo"] == path.request["body"], path.answer


@then("the request ran once on the targets")
def check_runs(context):
    assert context.path.count_runs() == 1


@when(
    "a gang of {members:d} members with {accelerators:d} accelerators each is submitted"
)
def submit_gang(context, members, accelerators):
    context.path.submit_gang(members, accelerators)


@then('the job ends as "{outcome}"')
def check_job(context, outcome):
    job = context.path.wait_end()
    assert job["outcome"] == outcome, job


@then("its members ran together on one rack")
def check_rack(context):
    intervals = [
        (interval, history["rack"])
        for history in context.path.list_histories()
        for interval in history["intervals"]
        if interval["job"] == context.path.job
    ]
    assert len(intervals) == 2, intervals
    assert len({rack for _, rack in intervals}) == 1, intervals
    latest_start = max(i["start"] for i, _ in intervals)
    assert latest_start < min(i["end"] for i, _ in intervals), intervals


@then("no worker was overcommitted")
def check_overcommitment(context):
    assert not any(h["overcommitted"] for h in context.path.list_histories())


@then("status names a leader for every failure domain")
def check_status(context):
    status = call(context.site.gateway(), "GET", "/v1/status")[1]
    leaders = {d["failure_domain"]: d["leader"] for d in status["failure_domains"]}
    assert set(leaders) == set(context.site.layout.domains), leaders
    assert all(leaders.values()), leaders


@then("the metrics of every gateway name the revision in force")
def check_metrics(context):
    for name in context.site.list_gateways():
        text = call(context.site.addresses[name], "GET", "/metrics")[1]
        assert "firladder_configuration_revision 1" in text, text


@then("the time line shows the job from its acceptance to its end")
def check_timeline(context):
    command = [sys.executable, "-m", "firladder", "timeline"]
    command += [f"--gateway={context.site.gateway()}", f"--job={context.path.job}"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    for event in ("job accepted", "gang reserved", "gang started", "job ended"):
        assert event in done.stdout, done.stdout
