"""Named series of measured points, kept as JSON and shown as tables."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from .fitting import Fit, fit_line


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """One quantity measured against one size.

    ``name`` is unique (``leader.cpu.workers``); ``per`` names what x counts and
    ``unit`` what y is given in. ``note`` says how the points were taken.
    """

    name: str
    per: str
    unit: str
    points: tuple[tuple[float, float], ...]
    note: str = ""

    def fit(self) -> Fit:
        """Return the line through the points."""
        return fit_line(self.points)


def read_series(path: Path) -> dict[str, Series]:
    """Return the series of a file by name; none if there is no file yet."""
    if not path.exists():
        return {}
    found = msgspec.json.decode(path.read_bytes(), type=list[Series])
    return {series.name: series for series in found}


def write_series(path: Path, fresh: Iterable[Series]) -> None:
    """Write series to a file, replacing those of the same name."""
    kept = read_series(path) | {series.name: series for series in fresh}
    raw = msgspec.json.encode([kept[name] for name in sorted(kept)])
    path.write_bytes(msgspec.json.format(raw, indent=1) + b"\n")


def format_table(series: Iterable[Series]) -> str:
    """Return a Markdown table of the slopes with points, fit and error."""
    head = (
        "| series | slope per x | error of the slope | at x = 0 | worst point off "
        "| points (x: y) |\n| --- | --- | --- | --- | --- | --- |\n"
    )
    return head + "".join(map(_format_row, series))


def _format_row(series: Series) -> str:
    fit = series.fit()
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in series.points)
    return (
        f"| `{series.name}` | {fit.slope:.4g} {series.unit} per {series.per} "
        f"| ±{fit.slope_error:.2g} | {fit.intercept:.4g} | {fit.worst_residual:.0%} "
        f"| {points} |\n"
    )
