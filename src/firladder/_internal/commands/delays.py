"""Report which stage each delayed job of a day lost its time in."""

import json
import sys
from collections.abc import Iterator, Mapping, Sequence

from ..cli.exit_codes import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from ..cli.output import write_failure
from ..delays.attribution import attribute_job
from ..delays.building import build_day, infer_ends
from ..delays.lines import Reader
from ..delays.tables import build_report
from ..delays.text import format_report
from ..delays.verdicts import Objective, learn_objectives
from ..delays.waste import count_waste
from ..utils.settings import (
    ResolvedSetting,
    Setting,
    check_choice,
    check_integer,
    check_number,
    check_optional,
    check_text,
)
from .registry import Command

MAX_TOP = 10_000
MAX_UNIX_S = 1e11

ANY_QUEUE = "any"
"""Name of the objective that serves all queues without their own."""


def check_objectives(raw: str) -> dict[str, Objective]:
    """Accept ``QUEUE:STRETCH:SLO_S,...``; ``any`` is every other queue."""
    found: dict[str, Objective] = {}
    for part in filter(None, raw.split(",")):
        try:
            queue, stretch, slo_s = part.split(":")
            found[queue] = Objective(float(stretch), float(slo_s))
        except ValueError:
            raise ValueError("must be QUEUE:STRETCH:SLO_S,...") from None
    return found


class DelaysCommand(Command):
    """Attribute the delays of a day's jobs to stages."""

    name = "delays"
    settings = (
        Setting("logs", check_text, "log files of all nodes: FILE,..."),
        Setting("format", check_choice("text", "json"), "form of the output", "text"),
        Setting("top", check_integer(0, MAX_TOP), "delayed jobs with all stages", "0"),
        Setting("urgent", check_optional, "only urgent jobs", "", switch=True),
        Setting("queues", check_optional, "only jobs of these queues: QUEUE,...", ""),
        Setting(
            "objectives",
            check_objectives,
            "QUEUE:STRETCH:SLO_S,... for lines without them; any: other queues",
            "",
        ),
        Setting(
            "origin",
            check_number(0, MAX_UNIX_S),
            "Unix time that windows count from; 0: the begin of the logs",
            "0",
        ),
    )
    examples = (
        "firladder delays --logs=node-1.log,node-2.log --top=10",
        "firladder delays --logs=day.log --urgent --format=json",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print the tables; exit with 1 if a log cannot be read."""
        if arguments:
            return write_failure(self.name, "name files with --logs", EXIT_USAGE)
        reader = Reader()
        paths = [path for path in settings["logs"].value.split(",") if path]
        try:
            day = build_day(reader.read(_read_files(paths)))
        except OSError as error:
            reason = f"{error.filename}: {error.strerror}"
            return write_failure(self.name, reason, EXIT_FAILED)
        if reader.dropped or reader.left_out:
            infer_ends(day)
        queues = {queue for queue in settings["queues"].value.split(",") if queue}
        urgent = settings["urgent"].value == "true"
        chosen = [
            history
            for history in day.histories.values()
            if (not queues or history.queue in queues)
            and (history.urgent or not urgent)
        ]
        learned = learn_objectives(day.histories.values())
        objectives = settings["objectives"].value | learned
        delays = [
            attribute_job(
                history,
                day.ended_at,
                objectives.get(history.queue, objectives.get(ANY_QUEUE)),
            )
            for history in chosen
        ]
        report = build_report(
            day,
            delays,
            count_waste(chosen),
            reader,
            origin=settings["origin"].value or day.began_at,
            top=settings["top"].value,
        )
        as_json = settings["format"].value == "json"
        text = json.dumps(report) + "\n" if as_json else format_report(report)
        sys.stdout.write(text)
        return EXIT_OK


def _read_files(paths: Sequence[str]) -> Iterator[bytes]:
    for path in paths:
        with open(path, "rb") as lines:
            yield from lines
