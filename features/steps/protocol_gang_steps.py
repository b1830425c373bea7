import itertools
import signal
import time

from behave import given, step, then, when
from environment import start_site

from features.support.gangs import (
    find_overlap,
    list_histories,
    list_intervals,
    measure_partial_run,
)
from standins.site import Layout, Site, call, wait_for

DOMAIN = "bern-halle"
LEADER_TTL_S = 2.0
SLACK_S = 0.7
"""Allowance for a busy machine, which notices the end of a lease late."""

SETTINGS = {
    "scheduler.task_ttl_s": "6",
    "scheduler.start_ttl_s": "2",
    "scheduler.stop_grace_s": "1",
}


class ProtocolSite:
    """One failure domain with two entry VMs, and the jobs submitted to it."""

    _numbers = itertools.count(1)

    def __init__(self, site: Site) -> None:
        self.site = site
        self.jobs: list[str] = []
        self.stopped_leader = ""
        site.configure({"kind": "organisation", "name": "squads", "value": {}})
        site.wait_for_leader(DOMAIN)
        # While a worker is still starting, gangs would be placed on other workers
        # than those that a scenario checks.
        wait_for(self._is_claimed, 20, "every worker is claimed")

    def _is_claimed(self) -> bool:
        address = self.site.addresses[self.find_leader()]
        events = call(address, "GET", "/v1/events")[1]["events"]
        claimed = {
            e["details"]["worker"] for e in events if e["message"] == "worker claimed"
        }
        return len(claimed) == len(list_histories(self.site))

    @property
    def job(self) -> str:
        return self.jobs[-1]

    def submit(self, members: int, run_s: float, **spec) -> str:
        self.jobs.append(f"rebuild-{next(self._numbers)}")
        body = {
            "id": self.job,
            "organisation": "squads",
            "members": members,
            "accelerators": 8,
            "run_time_s": run_s,
            **spec,
        }
        status, answer = call(self.site.gateway(), "POST", "/v1/jobs", body)
        assert status == 202, answer
        return self.job

    def find_job(self, job: str) -> dict:
        return call(self.site.gateway(), "GET", f"/v1/jobs/{job}")[1]

    def wait_end(self, job: str, timeout_s: float = 60) -> dict:
        def find():
            found = self.find_job(job)
            return found if found.get("state") == "finished" else None

        return wait_for(find, timeout_s, f"the end of {job}")

    def list_intervals(self, job: str) -> list[dict]:
        return list_intervals(list_histories(self.site), job)

    def worker(self, number: int) -> str:
        return f"worker-{DOMAIN}-1-{number}"

    def read_history(self, number: int) -> dict:
        address = self.site.addresses[self.worker(number)]
        return call(address, "GET", "/control/history")[1]

    def has_member(self, number: int, job: str, state: str) -> bool:
        tasks = self.read_history(number)["tasks"]
        return any(t["job"] == job and t["state"] == state for t in tasks)

    def wait_member(self, number: int, job: str, state: str) -> None:
        what = f"a member {state} on worker {number}"
        wait_for(lambda: self.has_member(number, job, state), 20, what)

    def find_leader(self) -> str:
        leader = self.site.wait_for_leader(DOMAIN)["leader"]
        return f"{leader.split('/')[0]}/scheduler"

    def stop_leader(self, how: str) -> None:
        self.stopped_leader = self.find_leader()
        child = self.site.child(self.stopped_leader)
        {
            "killed": child.kill,
            "frozen": lambda: child.signal(signal.SIGSTOP),
            "told to stop": lambda: child.signal(signal.SIGTERM),
        }[how]()

    def read_epoch(self) -> int:
        return max(h["epoch"] for h in list_histories(self.site))


@given("a protocol site of {workers:d} workers with leadership leases of {ttl_s} s")
def start_site_with_lease(context, workers, ttl_s):
    start_protocol_site(context, workers, {"scheduler.leader_ttl_s": ttl_s})


@given("a protocol site of {workers:d} workers")
def start_protocol_site(context, workers, settings=()):
    layout = Layout(
        domains=(DOMAIN,),
        targets=1,
        workers_per_rack=workers,
        settings={**SETTINGS, **dict(settings)},
    )
    context.protocol = ProtocolSite(start_site(context, layout))


@given("protocol worker {number:d} never starts the tasks that it holds")
def never_start(context, number):
    protocol = context.protocol
    protocol.site.behave(protocol.worker(number), never_start=True)


@step("protocol worker {number:d} answers after {delay_s:g} s")
def delay_worker(context, number, delay_s):
    protocol = context.protocol
    protocol.site.behave(protocol.worker(number), delay_s=delay_s)


@given("protocol worker {number:d} answers after {delay_s:g} s and never starts")
def delay_and_never_start(context, number, delay_s):
    protocol = context.protocol
    protocol.site.behave(protocol.worker(number), delay_s=delay_s, never_start=True)


@when("a protocol gang of {members:d} members runs for {run_s:g} s")
def submit_gang(context, members, run_s):
    context.protocol.submit(members, run_s)


@when("a protocol gang of {members:d} members that must run once runs for {run_s:g} s")
def submit_gang_once(context, members, run_s):
    context.protocol.submit(members, run_s, idempotent=False)


@when("the protocol leader is {how} once worker {number:d} has a member {state}")
def stop_leader_at(context, how, number, state):
    protocol = context.protocol
    leader = protocol.find_leader()
    protocol.wait_member(number, protocol.job, state)
    protocol.epoch, protocol.stopped_at = protocol.read_epoch(), time.monotonic()
    protocol.stop_leader(how)
    assert protocol.stopped_leader == leader


@when("all members of the protocol gang run")
def wait_running(context):
    protocol = context.protocol
    protocol.wait_member(1, protocol.job, "running")
    wait_for(lambda: protocol.find_job(protocol.job)["state"] == "running", 20, "start")


@when("protocol worker {number:d} is partitioned")
def partition_worker(context, number):
    protocol = context.protocol
    protocol.site.behave(protocol.worker(number), cut=["127.0.1."])


@when("protocol worker {number:d} is reachable again")
def reconnect_worker(context, number):
    protocol = context.protocol
    protocol.site.behave(protocol.worker(number))


@when("the protocol member on worker {number:d} has ended")
def wait_member_end(context, number):
    context.protocol.wait_member(number, context.protocol.job, "stopped")


@when(
    "the protocol gang is cancelled{also} once worker {number:d} has a member {state}"
)
def cancel_at(context, also, number, state):
    cancel(context, number, state, leader_dies=True)


@when("the protocol gang is cancelled once worker {number:d} has a member {state}")
def cancel_alone_at(context, number, state):
    cancel(context, number, state, leader_dies=False)


def cancel(context, number, state, *, leader_dies):
    protocol = context.protocol
    protocol.wait_member(number, protocol.job, state)
    path = f"/v1/jobs/{protocol.job}"
    status, answer = call(protocol.site.gateway(), "DELETE", path)
    assert status in (200, 202), answer
    if leader_dies:
        protocol.stop_leader("killed")


@then('the protocol gang ends as "{outcome}"')
def check_end(context, outcome):
    job = context.protocol.wait_end(context.protocol.job)
    assert job["outcome"] == outcome, job


@then("the protocol leader that was {how} is back")
def restore_leader(context, how):
    protocol = context.protocol
    child = protocol.site.child(protocol.stopped_leader)
    if how == "frozen":
        child.signal(signal.SIGCONT)
    else:
        child.restart()
    address = protocol.site.addresses[protocol.stopped_leader]
    wait_for(lambda: call(address, "GET", "/health/live")[0] == 200, 20, "live again")


@then("the protocol gang never ran partially for longer than {bound_s:g} s")
def check_partial_run(context, bound_s):
    partial_s = measure_partial_run(
        context.protocol.list_intervals(context.protocol.job)
    )
    print(f"ran partially for {partial_s:.2f} s")
    assert partial_s <= bound_s + SLACK_S, partial_s


@then(
    "the protocol gang never ran partially for longer than {bound_s:g} s after {s:g} s"
)
def check_partial_run_later(context, bound_s, s):
    protocol = context.protocol
    first = protocol.list_intervals(protocol.job)[0]["start"]

    def is_old():
        intervals = protocol.list_intervals(protocol.job)
        return any(i["end"] - first >= s for i in intervals)

    wait_for(is_old, 40, f"{s} s since the start")
    check_partial_run(context, bound_s)


@then("the protocol gang was attempted once")
def check_attempts(context):
    protocol = context.protocol
    for job in protocol.jobs:
        attempts = {i["attempt"] for i in protocol.list_intervals(job)}
        assert len(attempts) == 1, (job, attempts)


@then("no member of the protocol gang runs any more")
def check_stopped(context):
    protocol = context.protocol
    intervals = protocol.list_intervals(protocol.job)
    assert all(i["state"] != "running" for i in intervals), intervals


@then("no protocol worker is overcommitted and no attempts overlap")
def check_overcommitment(context):
    protocol = context.protocol
    histories = list_histories(protocol.site)
    assert not any(h["overcommitted"] for h in histories), histories
    for job in protocol.jobs:
        intervals = list_intervals(histories, job)
        assert find_overlap(intervals) is None, find_overlap(intervals)
