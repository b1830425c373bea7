import json

from behave import given, then, when

from firladder._internal.delays.building import build_day
from firladder._internal.delays.lines import Reader

BEGIN = 1_700_000_000.0
EVENTS = {
    "submission": ("submission answered", 520),
    "cancellation": ("cancellation answered", 521),
}
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


@given("the logs")
def write_logs(context):
    context.log = [write_line(text) for text in context.text.splitlines()]


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
