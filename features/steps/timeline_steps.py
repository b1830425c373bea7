import itertools
import json
import os
import pty
import subprocess
import sys

from behave import given, then, when

from features.environment import start_site
from features.steps.configuration_steps import LAYOUT, add
from firladder._internal.utils.events import Event
from standins.site import ROOT, Layout, Site, call, wait_for


class TimelineCheck:
    """A site, its jobs and its time line as the command prints it."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.jobs: list[str] = []

    def advance_clock(self, gateway: str) -> None:
        """Advance a gateway's Lamport clock ahead of all others."""
        body = {"organisation": "squads", "deadline_ms": 3000, "idempotent": True}
        for _ in range(20):
            call(gateway, "POST", "/v1/services/planwerk/requests", body)

    def accept_job(self, gateway: str) -> None:
        job = f"job-{len(self.jobs)}"
        spec = {"id": job, "organisation": "squads", "run_time_s": 0.2, "members": 1}
        status, answer = call(gateway, "POST", "/v1/jobs", spec)
        assert status == 202, answer
        self.jobs.append(job)

    def wait_ends(self) -> None:
        gateway = self.site.gateway(self.site.layout.domains[0])

        def all_ended() -> bool:
            jobs = call(gateway, "GET", "/v1/jobs")[1]["jobs"]
            return all(job["state"] == "finished" for job in jobs)

        wait_for(all_ended, 30, "the end of all jobs")

    def build_command(self, *flags: str) -> list[str]:
        gateway = f"--gateway={self.site.gateway(self.site.layout.domains[0])}"
        return [sys.executable, "-m", "firladder", "timeline", gateway, *flags]

    def read(self, *flags: str) -> list[dict]:
        command = self.build_command("--format=json", *flags)
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
        return [json.loads(line) for line in done.stdout.splitlines()]

    def read_terminal(self) -> list[str]:
        """Return the lines that a terminal shows."""
        leader, follower = pty.openpty()
        child = subprocess.Popen(self.build_command(), cwd=ROOT, stdout=follower)
        os.close(follower)
        text = b""
        while True:
            try:
                text += (data := os.read(leader, 65536))
            except OSError:  # raised when the writer has closed the terminal
                break
            if not data:
                break
        assert child.wait() == 0
        os.close(leader)
        return text.decode().splitlines()


@given("a site without work in progress")
def start_idle_site(context):
    context.timeline = TimelineCheck(start_site(context, Layout(**LAYOUT)))
    site = context.site
    site.wait_until_in_force(site.configure(add("squads")))
    for domain in site.layout.domains:
        site.wait_for_leader(domain)


@when(
    "{jobs:d} jobs and {changes:d} changes of the configuration are accepted "
    "at all gateways"
)
def accept_work(context, jobs, changes):
    site = context.site
    gateways = itertools.cycle(map(site.gateway, site.layout.domains))
    for number in range(max(jobs, changes)):
        gateway = next(gateways)
        context.timeline.advance_clock(gateway)
        if number < jobs:
            context.timeline.accept_job(gateway)
        if number < changes:
            site.wait_until_in_force(
                site.configure(add(f"o-{number}"), address=gateway)
            )
    context.timeline.wait_ends()


@then("every job is accepted before reserved before started before ended")
def check_jobs(context):
    wanted = ["job accepted", "gang reserved", "gang started", "job ended"]

    def find():
        events = context.timeline.read()
        ends = [e for e in events if e["message"] == "job ended"]
        return events if len(ends) >= len(context.timeline.jobs) else None

    events = wait_for(find, what="all ends on the time line")
    for job in context.timeline.jobs:
        job_messages = [e["message"] for e in events if e["details"].get("job") == job]
        assert [m for m in job_messages if m in wanted] == wanted, (job, job_messages)


@then("every revision is accepted before any process adopts it")
def check_revisions(context):
    accepted: set[int] = set()
    seen = 0
    for event in context.timeline.read():
        revision = event["details"].get("revision")
        if event["message"] == "configuration accepted":
            accepted.add(revision)
        if event["message"] == "configuration adopted" and revision:
            assert revision in accepted, event
            seen += 1
    assert len(accepted) == 13 and seen >= len(accepted), (accepted, seen)


@when("a gateway of the second failure domain dies")
def kill_gateway(context):
    name = f"{context.site.layout.domains[1]}-1/gateway"
    context.before = [e for e in context.timeline.read() if e["process"] == name]
    context.site.child(name).kill()
    context.dead = name


@then("its events come from its log and no event comes twice")
def check_logs(context):
    log = context.site.child(context.dead).log
    events = context.timeline.read(f"--logs={log}")
    from_log = [e for e in events if e["process"] == context.dead]
    keys = [(e["clock"], e["number"], e["wall"]) for e in from_log]
    before = {(e["clock"], e["number"], e["wall"]) for e in context.before}
    assert before and before <= set(keys), (before, keys)
    everyone = [(e["process"], e["clock"], e["wall"]) for e in events]
    assert len(everyone) == len(set(everyone))
    assert [e["clock"] for e in events] == sorted(e["clock"] for e in events)


@then("the time line of a worker has the gangs that ran on it and no others")
def check_worker(context):
    gangs = [e for e in context.timeline.read() if e["message"] == "gang reserved"]
    worker = gangs[0]["details"]["workers"][0]
    found = context.timeline.read(f"--worker={worker}")
    reserved = [e for e in found if e["message"] == "gang reserved"]
    assert reserved == [e for e in gangs if worker in e["details"]["workers"]]
    claimed = [e for e in found if e["message"] == "worker claimed"]
    assert claimed and all(e["details"]["worker"] == worker for e in claimed)


@then("the time line of a failure domain has its processes alone")
def check_domain(context):
    domain = context.site.layout.domains[0]
    found = context.timeline.read(f"--domain={domain}")
    processes = {e["process"] for e in found}
    assert processes == {f"{domain}-1/gateway", f"{domain}-1/scheduler"}, processes


@then("the time line of the last 0 seconds is empty")
def check_since(context):
    assert not context.timeline.read("--since=0")


@then("a time line that is followed shows a job that is accepted later, once")
def check_follow(context):
    timeline = context.timeline
    log = context.site.directory / "followed.log"
    command = timeline.build_command("--follow", "--format=json")
    with log.open("wb") as out:
        child = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out)

    def find(job: str) -> list[str]:
        lines = log.read_text().splitlines()
        return [x for x in lines if f'"{job}"' in x and "job accepted" in x]

    wait_for(lambda: find(timeline.jobs[0]), what="the events so far")
    timeline.accept_job(context.site.gateway(context.site.layout.domains[0]))
    wait_for(lambda: find(timeline.jobs[-1]), what="the new event")
    timeline.wait_ends()
    # The job's end comes with a later poll, so that repeated events would show.
    last = f'"{timeline.jobs[-1]}"'
    ends = lambda: [  # noqa: E731
        x for x in log.read_text().splitlines() if "job ended" in x and last in x
    ]
    wait_for(ends, what="the end of the new job")
    # Not SIGINT, which a child of a shell's background job may ignore.
    child.terminate()
    child.wait(10)
    assert len(find(timeline.jobs[0])) == len(find(timeline.jobs[-1])) == 1


@then("on a terminal no line is longer than {columns:d} columns")
def check_terminal(context, columns):
    lines = context.timeline.read_terminal()
    assert lines and max(map(len, lines)) <= columns, max(lines, key=len)


@then("every event number and message is used once and lies in its range")
def check_catalogue(context):
    numbers = [event.number for event in Event]
    messages = [event.message for event in Event]
    # Iteration skips members with the same value; __members__ includes them.
    assert len(numbers) == len(Event.__members__) == len(set(numbers))
    assert len(set(messages)) == len(messages), messages
    assert all(100 <= number < 600 for number in numbers), numbers
    assert all(m == m.strip() and m[0].islower() for m in messages), messages
