"""Measure what each decision costs, and calculate capacity from that."""

import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from ..cli.exit_codes import EXIT_OK
from ..utils.settings import ResolvedSetting, Setting, check_optional
from .registry import Command


class MeasureCommand(Command):
    """Measure the slopes that docs/CAPACITY.md is worked out from."""

    name = "measure"
    settings = (
        Setting("into", check_optional, "JSON file that takes the points", ""),
        Setting("page", check_optional, "page whose tables are worked out again", ""),
        Setting("keep", check_optional, "measure nothing; use --into", "", switch=True),
    )
    examples = (
        "firladder measure",
        "firladder measure --into=docs/slopes.json --page=docs/CAPACITY.md",
        "firladder measure --keep --into=docs/slopes.json --page=docs/CAPACITY.md",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Measure and print the fits; write the points and the page if wanted."""
        from ..measure.pages import fill_capacity
        from ..measure.series import format_table, read_series, write_series

        into, page = settings["into"].value, settings["page"].value
        if settings["keep"].value != "true":
            # Installs the reactor that the measured modules require.
            from .. import network  # noqa: F401
            from ..measure.decisions import measure_all

            measured = measure_all()
            if into:
                write_series(Path(into), measured)
            sys.stdout.write(format_table(measured))
        if page:
            text = fill_capacity(Path(page).read_text(), read_series(Path(into)))
            Path(page).write_text(text)
        return EXIT_OK
