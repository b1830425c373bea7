from pathlib import Path

from behave import then

from features.support import golden


@then('the golden session "{name}" matches its file')
def check_session(context, name):
    diff = golden.compare(name, golden.read_golden_file(name))
    assert not diff, f"\n{diff}"


@then("the golden sessions are those of the outline")
def check_complete(context):
    text = Path(context.feature.filename).read_text()
    names = golden.list_sessions()
    assert len(names) == 4 and all(f"| {name} " in text for name in names), names
    files = {path.stem for path in golden.DIRECTORY.glob("*.txt")}
    assert files == set(names), files


@then(
    "one changed field of a golden session shows as a diff of at most {limit:d} lines"
)
def check_diff(context, limit):
    expected = golden.read_golden_file("operator_race")
    changed = expected.replace('"type":"revision_conflict"', '"type":"conflict"')
    assert expected != changed
    lines = golden.compare("operator_race", changed).splitlines()
    assert 0 < len(lines) <= limit, lines
    assert any(x[0] == "-" and '"type":"conflict"' in x for x in lines), lines
    assert any(x[0] == "+" and '"type":"revision_conflict"' in x for x in lines), lines
