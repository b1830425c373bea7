"""Figures of the capacity page, computed from measured series."""

import dataclasses
from collections.abc import Mapping, Sequence

from .series import Series


@dataclasses.dataclass(frozen=True)
class FigureTerm:
    """A summand of a figure: ``times`` the value of a series' line at ``x``.

    Without ``with_intercept`` only the line's slope counts.
    """

    series: str
    x: float
    times: float = 1.0
    with_intercept: bool = False

    def compute(self, series: Mapping[str, Series]) -> float:
        """Return the term's value."""
        fit = series[self.series].fit()
        value = fit.predict(self.x) if self.with_intercept else fit.slope * self.x
        return value * self.times

    def describe(self) -> str:
        """Return the term as the page shows it."""
        what = f"`{self.series}` at {self.x:.6g}"
        if not self.with_intercept:
            what = f"slope of `{self.series}` x {self.x:.6g}"
        return what if self.times == 1 else f"{what} x {self.times:.3g}"


@dataclasses.dataclass(frozen=True)
class Figure:
    """A figure of the page, the mechanism behind it, and its limit."""

    role: str
    what: str
    unit: str
    terms: Sequence[FigureTerm]
    mechanism: str
    limit: float | None = None
    breaks_first: str = ""

    def format(self, series: Mapping[str, Series]) -> str:
        """Return the figure as a row of a Markdown table."""
        value = sum(term.compute(series) for term in self.terms)
        verdict = ""
        if self.limit is not None:
            word = "holds" if value <= self.limit else "DOES NOT HOLD"
            verdict = f"{self.limit:g}: {word}"
        sources = "; ".join(term.describe() for term in self.terms)
        return (
            f"| {self.role} | {self.what} | {value:.3g} {self.unit} | {verdict} "
            f"| {sources} | {self.mechanism} | {self.breaks_first} |\n"
        )
