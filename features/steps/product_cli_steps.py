import http.server
import json
import os
import re
import resource
import shlex
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from behave import given, then, when

from standins.site import ROOT

COMMAND = [sys.executable, "-m", "firladder"]


class CommandRun:
    """One run of the command line, with its exit code and output."""

    def __init__(self, arguments: list[str], variables: dict[str, str] | None = None):
        done = subprocess.run(
            [*COMMAND, *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, **(variables or {})},
        )
        self.code = done.returncode
        self.errors = done.stderr
        self.output = done.stdout + done.stderr

    def check(self, code: int, text: str) -> None:
        assert self.code == code, (self.code, self.output)
        assert text in self.output, self.output


class FakeGateway:
    """A gateway with the given answers to requests, of which the last one repeats."""

    RETRY = {"type": "queue_full", "reason": "full"}

    def __init__(self, *answers: str, retry_after_s: float = 4) -> None:
        fake = self
        self.seen: list[dict] = []
        later = list(answers)

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_POST(self) -> None:  # noqa: N802
                raw = self.rfile.read(int(self.headers["Content-Length"]))
                if self.path == "/v1/tickets":
                    self.reply(200, {"ids": ["t-1"]})
                    return
                fake.seen.append(json.loads(raw))
                answer = later.pop(0) if len(later) > 1 else later[0]
                if answer == "silence":
                    return
                result = {"id": "t-1", "outcome": answer}
                if answer != "done":
                    failure = {**fake.RETRY, "retry_after_s": retry_after_s}
                    result |= {"failure": failure, "retry_after_s": retry_after_s}
                self.reply(200, {**result, "body": {"plan": 1}})

            def reply(self, status: int, body: dict) -> None:
                raw = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            def log_message(self, *_: object) -> None:
                pass

        self.server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        if answers == ("nothing",):
            self.server.server_close()
            return
        self.thread = threading.Thread(target=self.server.serve_forever)
        self.thread.start()

    def stop(self) -> None:
        if hasattr(self, "thread"):
            self.server.shutdown()
            self.thread.join()
            self.server.server_close()


def read_children_s() -> float:
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime


@when("the overview of commands is printed {count:d} times")
def time_overview(context, count):
    context.spent = []
    for _ in range(count):
        started = read_children_s()
        CommandRun(["--help"]).check(0, "usage: firladder")
        context.spent.append(read_children_s() - started)


@then("the cheapest run took under {limit:f} s of processor time")
def check_overview(context, limit):
    assert min(context.spent) < limit, context.spent


@when('firladder runs with "{arguments}" and variables "{variables}"')
def run_with_variables(context, arguments, variables):
    pairs = dict(v.split("=", 1) for v in variables.split())
    context.run = CommandRun(shlex.split(arguments), pairs)


@when('firladder runs with "{arguments}"')
def run_command(context, arguments):
    context.run = CommandRun(shlex.split(arguments))


@then('it exits with {code:d} and says "{text}"')
def check_run(context, code, text):
    context.run.check(code, text)


@then('it exits with {code:d} and names exactly "{names}"')
def check_names(context, code, names):
    context.run.check(code, "settings are wrong")
    found = re.findall(r"^  (--\w+) ", context.run.output, re.MULTILINE)
    assert found == names.split(", "), context.run.output


@then('the output does not contain "{text}"')
def check_absent(context, text):
    assert text not in context.run.output, context.run.output


@then('a printed line reads "{words}"')
def check_line(context, words):
    lines = [line.split() for line in context.run.output.splitlines()]
    assert words.split() in lines, context.run.output


@given('a gateway that answers requests with "{answer}"')
def start_fake(context, answer):
    context.fake = FakeGateway(answer)
    context.add_cleanup(context.fake.stop)


@when("a request is sent to it from the command line")
def send_from_command_line(context):
    arguments = ["request", "planwerk", "--organisation=kraftwerk"]
    context.run = CommandRun([*arguments, f"--gateway={context.fake.address}"])


@when('the output of "{arguments}" is closed by its reader at once')
def close_output(context, arguments):
    child = subprocess.Popen(
        [*COMMAND, *shlex.split(arguments)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    child.stdout.close()
    context.errors = child.stderr.read().decode()
    child.stderr.close()
    context.code = child.wait(30)


@then("nothing is written to standard error")
def check_quiet(context):
    assert context.errors == "", context.errors
    assert context.code == 141, context.code


@when(
    "changes with a shape of {count:d} cells of {size:d} are checked against "
    "{workers:d} workers of {accelerators:d}"
)
def check_offline(context, count, size, workers, accelerators):
    cell = {"failure_domain": "d", "accelerators": size, "count": count}
    change = {"kind": "organisation", "name": "squads", "value": {"shape": [cell]}}
    rows = [
        {
            "name": f"w-{n}",
            "role": "worker",
            "failure_domain": "d",
            "rack": "r",
            "address": "127.0.0.1:1",
            "accelerators": accelerators,
        }
        for n in range(workers)
    ]
    with tempfile.TemporaryDirectory() as name:
        changes, machines = Path(name) / "changes.json", Path(name) / "workers.json"
        changes.write_text(json.dumps([change]))
        machines.write_text(json.dumps(rows))
        context.run = CommandRun(["check", str(changes), f"--workers={machines}"])
