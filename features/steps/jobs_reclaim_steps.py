import itertools

from behave import given, then, when

from features.environment import start_site
from standins.site import Layout, call, wait_for

DOMAIN = "bern-halle"
WORKERS = 3
_numbers = itertools.count(1)


class ReclaimCheck:
    """An owner with a cell of two whole workers, and borrowers on all three workers."""

    def __init__(self, context) -> None:
        layout = Layout(
            domains=(DOMAIN,),
            targets=0,
            workers_per_rack=WORKERS,
            accelerators=4,
            settings={"scheduler.placement": "cells", "scheduler.stop_grace_s": "2"},
        )
        self.site = start_site(context, layout)
        shape = [{"failure_domain": DOMAIN, "accelerators": 8}]
        revision = self.site.configure(
            {"kind": "organisation", "name": "kraftwerk", "value": {"shape": shape}},
            {"kind": "organisation", "name": "squads", "value": {}},
        )
        self.site.wait_until_in_force(revision)
        self.site.wait_for_leader(DOMAIN)
        self.borrowers = [self.submit("squads", 1, 600) for _ in range(WORKERS)]
        for job in self.borrowers:
            self.wait_state(job, "running", 20)

    def submit(self, organisation: str, members: int, run_time_s: float) -> str:
        job = f"gang-{next(_numbers)}"
        spec = {
            "id": job,
            "organisation": organisation,
            "members": members,
            "accelerators": 4,
            "run_time_s": run_time_s,
            "max_attempts": 20,
        }
        status, answer = call(self.site.gateway(), "POST", "/v1/jobs", spec)
        assert status == 202, answer
        return job

    def find_state(self, job: str) -> str:
        return str(call(self.site.gateway(), "GET", f"/v1/jobs/{job}")[1]["state"])

    def wait_state(self, job: str, state: str, timeout_s: float) -> None:
        wait_for(lambda: self.find_state(job) == state, timeout_s, f"{job} {state}")

    def list_workers(self) -> list[str]:
        return [m["name"] for m in self.site.machines if m["role"] == "worker"]

    def count_running(self) -> int:
        return sum(self.find_state(job) == "running" for job in self.borrowers)

    def has_ordered_stop(self) -> bool:
        """Return whether the leader has ordered a stop for the owner's reclaim."""
        leader = self.site.wait_for_leader(DOMAIN)["leader"]
        events = call(self.site.addresses[f"{leader}/scheduler"], "GET", "/v1/events")
        return "reclaimed by kraftwerk" in str(events[1])

    def is_degraded(self) -> bool:
        status = call(self.site.gateway(), "GET", "/v1/status")[1]
        return any("kraftwerk" in d["degraded"] for d in status["failure_domains"])


@given("a jobs site where borrowers fill all workers")
def fill_site(context):
    context.reclaim = ReclaimCheck(context)


@given("the borrowers' tasks ignore a graceful stop")
def ignore_stops(context):
    for name in context.reclaim.list_workers():
        context.reclaim.site.behave(name, ignore_polite=True)


@when("the owner submits a gang of its shape")
def submit_owner(context):
    context.owner = context.reclaim.submit("kraftwerk", 2, 6)


@when("the leader is killed while it preempts for the owner")
def kill_leader(context):
    check = context.reclaim
    wait_for(check.has_ordered_stop, 10, "a preemption for the owner")
    assert check.find_state(context.owner) == "queued"
    leader = check.site.wait_for_leader(DOMAIN)["leader"]
    check.site.child(f"{leader}/scheduler").kill()


@when("all workers but one are killed")
def kill_workers(context):
    check = context.reclaim
    for name in check.list_workers()[1:]:
        check.site.child(name).kill()


@then("the owner's gang runs within {seconds:d} seconds")
def check_runs(context, seconds):
    context.reclaim.wait_state(context.owner, "running", seconds)


@then("the preempted borrowers run again once the owner's gang is done")
def check_borrowers(context):
    check = context.reclaim
    assert check.count_running() == WORKERS - 2
    check.wait_state(context.owner, "finished", 20)
    wait_for(lambda: check.count_running() == WORKERS, 20, "all borrowers run")


@then("status says within {seconds:d} seconds that the owner's guarantee is degraded")
def check_degraded(context, seconds):
    wait_for(context.reclaim.is_degraded, seconds, "the guarantee is degraded")
