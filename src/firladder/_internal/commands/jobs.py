"""Submit, list, watch and cancel jobs."""

import itertools
import json
import sys
import time
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import quote, urlencode

from ..cli.calls import Reply, call_gateway
from ..cli.client_settings import CLIENT_SETTINGS, JOBS_SETTINGS, SUBMIT_SETTINGS
from ..cli.exit_codes import (
    EXIT_OK,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    OUTCOME_EXIT_CODES,
)
from ..cli.inputs import read_json
from ..cli.output import format_rows, write_answer, write_failure, write_refusal
from ..utils.settings import ResolvedSetting
from .registry import Command

POLL_INTERVAL_S = 1.0
"""Seconds between polls of a watched job, which may run for hours."""

MAX_SILENT_POLLS = 30
"""Consecutive polls without a reply after which ``watch`` gives up."""


class SubmitCommand(Command):
    """Submit a job."""

    name = "submit"
    usage = "[SPEC.json | -]"
    settings = SUBMIT_SETTINGS
    examples = (
        "firladder submit --id=season-7 --organisation=squads --members=2 "
        "--accelerators=8",
        "firladder submit spec.json --wait",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Submit the job; repeating this with the same id is harmless."""
        spec = read_json(arguments[0]) if arguments else _build_spec(settings)
        if not spec.get("id") or not spec.get("organisation"):
            reason = "a job needs --id and --organisation"
            return write_failure(self.name, reason, EXIT_USAGE)
        reply = call_gateway(settings, "POST", "/v1/jobs", spec)
        code = write_answer(
            self.name,
            settings,
            reply,
            lambda job: f"{spec['id']} accepted for {job['failure_domain']}\n",
        )
        if code == EXIT_OK and settings["wait"].value == "true":
            return watch_job(settings, spec["id"])
        return code


def _build_spec(settings: Mapping[str, ResolvedSetting]) -> dict[str, Any]:
    names = (
        "id",
        "organisation",
        "members",
        "accelerators",
        "adjacency",
        "run_time_s",
        "urgency",
        "labels",
    )
    return {name: settings[name].value for name in names}


class JobsCommand(Command):
    """List jobs."""

    name = "jobs"
    settings = JOBS_SETTINGS
    examples = ("firladder jobs --state=running", "firladder jobs --format=json")

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print the jobs in the store, one per line."""
        wanted = {n: settings[n].value for n in ("organisation", "state")}
        path = "/v1/jobs?" + urlencode({k: v for k, v in wanted.items() if v})
        reply = call_gateway(settings, "GET", path)
        return write_answer(self.name, settings, reply, _format_jobs, read_only=True)


def _format_jobs(body: dict[str, Any]) -> str:
    head = ("JOB", "ORGANISATION", "DOMAIN", "MEMBERS", "STATE", "OUTCOME", "ATTEMPT")
    return format_rows(
        head,
        (
            (
                job["spec"]["id"],
                job["spec"]["organisation"],
                job["failure_domain"],
                job["spec"].get("members", 1),
                job["state"],
                job.get("outcome") or "-",
                job["attempt"],
            )
            for job in body["jobs"]
        ),
    )


class CancelCommand(Command):
    """Cancel a job."""

    name = "cancel"
    usage = "JOB"
    settings = CLIENT_SETTINGS
    examples = ("firladder cancel season-7",)

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Request the cancellation, which the job's leader carries out."""
        if len(arguments) != 1:
            return write_failure(self.name, "name one job", EXIT_USAGE)
        reply = call_gateway(settings, "DELETE", f"/v1/jobs/{quote(arguments[0])}")
        return write_answer(self.name, settings, reply, _format_cancelled)


def _format_cancelled(job: dict[str, Any]) -> str:
    name = job["spec"]["id"]
    if job["state"] == "finished":
        return f"{name} had ended already: {job['outcome']}\n"
    return f"{name} will be cancelled\n"


class WatchCommand(Command):
    """Follow a job to its end."""

    name = "watch"
    usage = "JOB"
    settings = CLIENT_SETTINGS
    examples = ("firladder watch season-7",)

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print each change of a job and return its outcome as exit code."""
        if len(arguments) != 1:
            return write_failure(self.name, "name one job", EXIT_USAGE)
        return watch_job(settings, arguments[0])


def watch_job(settings: Mapping[str, ResolvedSetting], job_id: str) -> int:
    """Print a job's changes until it ends; return its outcome as exit code."""
    last_line = ""
    silent_polls = 0
    for poll in itertools.count():
        if poll:
            time.sleep(POLL_INTERVAL_S)
        reply = call_gateway(settings, "GET", f"/v1/jobs/{quote(job_id)}")
        if not isinstance(reply, Reply) or reply.status >= 500:
            # A gateway or the store is unavailable, which does not stop the job.
            silent_polls += 1
            if silent_polls > MAX_SILENT_POLLS:
                reason = f"no reply about {job_id}; the job continues unwatched"
                return write_failure("watch", reason, EXIT_UNREACHABLE)
            continue
        silent_polls = 0
        if reply.status >= 400:
            return write_refusal("watch", reply.body)
        line = _format_progress(settings, reply.body)
        if line != last_line:
            sys.stdout.write(line)
            sys.stdout.flush()
            last_line = line
        if reply.body["state"] == "finished":
            return OUTCOME_EXIT_CODES[reply.body["outcome"]]
    raise AssertionError("unreachable")


def _format_progress(
    settings: Mapping[str, ResolvedSetting], job: dict[str, Any]
) -> str:
    if settings["format"].value == "json":
        return json.dumps(job) + "\n"
    parts = [job["spec"]["id"], job["state"], f"attempt {job['attempt']}"]
    workers = {m["worker"] for m in job["members"]}
    if workers:
        parts.append(f"{len(job['members'])} members on {len(workers)} workers")
    if job.get("outcome"):
        parts.append(f"outcome {job['outcome']}")
    if job.get("reason"):
        parts.append(job["reason"])
    return ", ".join(parts) + "\n"
