"""Write the report on delays for people."""

from collections.abc import Iterator
from typing import Any

from ..cli.output import format_rows
from .attribution import Stage
from .verdicts import Verdict


def format_report(report: dict[str, Any]) -> str:
    """Return the tables as text, each with aligned columns."""
    return "\n".join(_list_parts(report))


def _list_parts(report: dict[str, Any]) -> Iterator[str]:
    yield (
        f"{report['jobs']} jobs; {report['incomplete']} have incomplete histories, "
        f"of {report['unknown_objective']} the objective is not known\n"
        f"lines dropped by nodes {report['lines_dropped']}, unreadable "
        f"{report['lines_unreadable']}, left out {report['lines_left_out']}\n"
    )
    for dimension, rows in report["tables"].items():
        yield format_rows(
            (dimension, *Verdict, "main causes"),
            [
                (row[dimension], *row["verdicts"].values(), _join(row["causes"]))
                for row in rows
            ],
        )
    yield format_rows(
        ("lost work of runs", "runs", "core_s", "of it saved", "size not logged"),
        [
            (
                row["cause"],
                row["runs"],
                f"{row['core_s']:.0f}",
                f"{row['saved_core_s']:.0f}",
                row["unsized_runs"],
            )
            for row in report["waste"]
        ],
    )
    if report["top"]:
        yield format_rows(
            ("job", "queue", "verdict", "cause", "age_s", "objective_s", *Stage),
            [
                (
                    *(job[name] for name in ("job", "queue", "verdict", "cause")),
                    job["age_s"],
                    "" if job["objective_s"] is None else job["objective_s"],
                    *(job["stages"].get(stage, "") for stage in Stage),
                )
                for job in report["top"]
            ],
        )


def _join(causes: dict[str, int]) -> str:
    return ", ".join(f"{cause} {count}" for cause, count in causes.items())
