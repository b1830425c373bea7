import json
import os
import re
import shlex
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from features.environment import start_site
from features.steps.product_cli_steps import COMMAND
from firladder._internal.commands.registry import COMMANDS, load_command
from standins.site import ROOT, Layout

FENCED = re.compile(r"```(\w+)\n(.*?)```", re.DOTALL)


class PageCommands:
    """The console commands of a page, and the files that they use."""

    def __init__(self, page: str) -> None:
        blocks = FENCED.findall((ROOT / "docs" / page).read_text())
        lines = "".join(text for kind, text in blocks if kind == "console")
        self.lines = [x[2:] for x in lines.splitlines() if x.startswith("$ ")]
        self.changes = next(text for kind, text in blocks if kind == "json")

    def run(self, directory: str, site) -> list[tuple[str, int, str]]:
        workers = [m for m in site.machines if m["role"] == "worker"]
        Path(directory, "changes.json").write_text(self.changes)
        Path(directory, "workers.json").write_text(json.dumps(workers))
        Path(directory, "week.json").write_text('{"athlete": 17}')
        for log in ("node-1.log", "node-2.log"):
            Path(directory, log).touch()
        variables = {**os.environ, "FIRLADDER_GATEWAY": site.gateway()}
        return [self.run_line(line, directory, variables) for line in self.lines]

    def run_line(self, line: str, directory: str, variables) -> tuple[str, int, str]:
        program, *arguments = shlex.split(line)
        assert program == "firladder", line
        done = subprocess.run(
            [*COMMAND, *arguments],
            cwd=directory,
            env=variables,
            capture_output=True,
            text=True,
            timeout=60,
        )
        return line, done.returncode, done.stdout + done.stderr


@given("a site as the first command of the docs sets it up")
def start_documented_site(context):
    site = start_site(context, Layout(domains=("bern-halle",), entry_vms=1))
    site.wait_for_leader("bern-halle")


@when('every console line of "{page}" is run in a directory with its files')
def run_page(context, page):
    with tempfile.TemporaryDirectory() as directory:
        context.ran = PageCommands(page).run(directory, context.site)


@then("each exits with 0")
def check_ran(context):
    assert len(context.ran) >= 10, context.ran
    failed = [ran for ran in context.ran if ran[1] != 0]
    assert not failed, failed


@then("every example of every command's help has only flags that exist")
def check_examples(context):
    for name in COMMANDS:
        command = load_command(name)
        known = {f"--{s.name}" for s in command.settings}
        for example in command.examples:
            used = set(re.findall(r"--\w+", example))
            assert used <= known or command.takes_any_flag, (example, used - known)
