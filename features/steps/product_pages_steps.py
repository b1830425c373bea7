import re

from behave import then

from features.support.pages import (
    list_events,
    list_metrics,
    list_settings,
    read_rows,
)
from firladder._internal.measure.fitting import fit_line
from firladder._internal.measure.pages import fill_capacity
from firladder._internal.measure.series import read_series
from standins.site import ROOT


class PageCheck:
    """A comparison of a page's rows with the code."""

    def __init__(self, page: str, cells: int, first: str) -> None:
        rows = [r for r in read_rows(page) if re.match(first, r[0])]
        self.found = [tuple(row[:cells]) for row in rows]

    def check(self, wanted: set) -> None:
        missing, stale = wanted - set(self.found), set(self.found) - wanted
        assert not missing, f"not on the page: {sorted(missing)}"
        assert not stale, f"not in the code: {sorted(stale)}"
        assert len(self.found) == len(set(self.found)), "a row stands twice"


@then("the page of events is equal to the code")
def check_events(context):
    PageCheck("events.md", 2, r"\d").check(list_events())


@then("the page of metrics is equal to the code")
def check_metrics_page(context):
    PageCheck("metrics.md", 2, "firladder_").check(list_metrics())


@then("the page of settings is equal to the code")
def check_settings_page(context):
    PageCheck("settings.md", 4, "--[a-z]").check(list_settings())


@then("the capacity page is what is calculated from its points")
def check_capacity(context):
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    series = read_series(ROOT / "docs" / "slopes.json")
    assert fill_capacity(text, series) == text, "run firladder measure --keep"


@then("a line through {count:d} points is rejected")
def check_few(context, count):
    try:
        fit_line([(x, x) for x in range(count)])
    except ValueError:
        return
    raise AssertionError("not refused")


@then("a line through the points of y = 2x + 1 has slope 2 and no error")
def check_line(context):
    fit = fit_line([(x, 2 * x + 1) for x in range(4)])
    assert (round(fit.slope, 9), round(fit.intercept, 9)) == (2, 1), fit
    assert fit.slope_error < 1e-9, fit
