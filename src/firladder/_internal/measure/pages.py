"""Replace the generated sections of a Markdown page."""

import re
from collections.abc import Mapping

from .capacity import format_capacity
from .series import Series, format_table


def replace_section(text: str, name: str, body: str) -> str:
    """Return the page with the text between a section's markers replaced."""
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    pattern = re.compile(re.escape(begin) + ".*?" + re.escape(end), re.DOTALL)
    if not pattern.search(text):
        raise ValueError(f"the page has no section {name}")
    return pattern.sub(lambda _: f"{begin}\n\n{body.strip()}\n\n{end}", text)


def fill_capacity(text: str, series: Mapping[str, Series]) -> str:
    """Return the capacity page with its tables regenerated."""
    text = replace_section(text, "figures", format_capacity(series))
    ordered = [series[name] for name in sorted(series)]
    return replace_section(text, "slopes", format_table(ordered))
