import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from firladder._internal.delays.building import build_day
from firladder._internal.delays.lines import Reader
from standins.site import ROOT

BEGIN = 1_700_000_000.0
EVENTS = {
    "submission": ("submission answered", 520),
    "cancellation": ("cancellation answered", 521),
}
SUBMITTED = "job=j queue=q organisation=o outcome=Stored took_s=0.01"
LISTS = ("workers", "victims")


def write_line(text: str) -> str:
    """Return a line as a collector writes it.

    ``text`` is the time, the failure domain and the event or decision, and after a
    colon its fields.
    """
    head, _, tail = text.partition(":")
    at, domain, what = head.split(maxsplit=2)
    fields: dict[str, object] = {}
    for part in tail.split():
        name, _, value = part.partition("=")
        try:
            fields[name] = json.loads(value)
        except ValueError:
            fields[name] = value.split("+") if name in LISTS else value
    event, number = EVENTS.get(what, ("scheduling decision", 541))
    if what == "end durable late":
        event, number = what, 0
    if event == "scheduling decision":
        fields["what"] = what
    wall = BEGIN + float(at)
    known = {"event_number": number, "event_domain": domain, "event_wall": wall}
    return f"{at} {domain}-1 " + json.dumps({"event": event, **known, **fields})


def run_delays(context, lines, *flags):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "day.log"
        path.write_text("\n".join(lines) + "\n")
        done = subprocess.run(
            [sys.executable, "-m", "firladder", "delays", f"--logs={path}", *flags],
            cwd=ROOT,
            env=os.environ,
            capture_output=True,
            text=True,
            check=False,
        )
    assert done.returncode == 0, done.stderr
    return done.stdout


@given("the logs")
def write_logs(context):
    context.log = [write_line(text) for text in context.text.splitlines()]


@given('the log of job "j", whose work takes 1 s, with "{lines}"')
def write_job(context, lines):
    """Add the submission, which took 10 ms, and the fields of the lines' job."""
    common = "job=j step=0 occurrence=0 index=0"
    context.log = [
        write_line(f"0.01 north submission: {SUBMITTED}"),
        *(write_line(f"{text.strip()} {common}") for text in lines.split(";")),
    ]


@given("a line that is cut off, and one that a node writes about {count:d} dropped")
def add_broken(context, count):
    context.log[0] = context.log[0][:-9]
    context.log.append(json.dumps({"event": "log lines dropped", "count": count}))


@given("a collector's prefix with a brace before each line")
def add_prefix(context):
    context.log = [f"{{collector}} {line}" for line in context.log]


def find_node(line: str) -> str:
    return json.loads(line[line.rindex("{") :])["event_domain"]


@given("the lines come in the order of their nodes, and each twice")
def shuffle(context):
    context.log = sorted([*context.log, *context.log], key=find_node)


@when("the histories are built")
def build_histories(context):
    reader = Reader()
    day = build_day(reader.read(line.encode() for line in context.log))
    context.history = day.histories["j"]


@then('job "j" was tried first at {first:f} s and stored at {stored:f} s')
def check_submission(context, first, stored):
    history = context.history
    assert is_at(history.first_try_at, first) and is_at(history.stored_at, stored)


@then('its run {run:d} began at {began:f} s and was lost at {lost:f} s as "{hows}"')
def check_run(context, run, began, lost, hows):
    found = context.history.runs[(0, 0, 0), run]
    assert is_at(found.began_at, began) and is_at(found.ended_at, lost), found
    assert found.lost and ", ".join(sorted(found.hows)) == hows, found


@then("its run {run:d} is not lost")
def check_not_lost(context, run):
    assert len(context.history.runs) == run, context.history
    assert not context.history.runs[(0, 0, 0), run].lost


@then("its history is incomplete, as it has no end")
def check_incomplete(context):
    assert not context.history.complete and context.history.ended_at is None


def is_at(found: float | None, at: float) -> bool:
    return found is not None and abs(found - BEGIN - at) < 0.001


@when("the delays are reported")
def report(context):
    flags = ("--format=json", "--top=9", f"--origin={BEGIN}")
    context.report = json.loads(run_delays(context, context.log, *flags))


def find_job(context, job):
    return next(row for row in context.report["top"] if row["job"] == job)


@then('job "{job}" is {verdict} by "{cause}", which took {seconds:f} s')
def check_cause(context, job, verdict, cause, seconds):
    found = find_job(context, job)
    assert (found["verdict"], found["cause"]) == (verdict, cause), found
    assert abs(found["stages"][cause] - seconds) < 0.002, found
    total = sum(found["stages"].values())
    assert abs(total - found["age_s"]) < 0.005, found


@then('the {dimension} "{name}" has {count:d} jobs {verdict}')
def check_group(context, dimension, name, count, verdict):
    rows = context.report["tables"][dimension]
    found = next(row for row in rows if row[dimension] == name)
    assert found["verdicts"][verdict] == count, rows


@then('{core_s:f} core-seconds of {runs:d} runs were lost as "{cause}"')
def check_waste(context, core_s, runs, cause):
    rows = context.report["waste"]
    found = next(row for row in rows if row["cause"] == cause)
    assert abs(found["core_s"] - core_s) < 0.1 and found["runs"] == runs, rows


@then('the report has "{name}" {count:d}')
def check_count(context, name, count):
    assert context.report[name] == count, context.report


@then('the text names "{words}"')
def check_text(context, words):
    text = run_delays(context, context.log, "--top=3")
    assert all(word in text for word in words.split(",")), text
