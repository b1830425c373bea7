"""Measure the processor time of a pass of the "cells" placement policy."""

from collections.abc import Iterable

import msgspec

from ..measure.decisions import (
    fill_accounting,
    make_configuration,
    make_job,
    make_machines,
    time_call,
)
from ..measure.series import Series
from ..models.job import JobRecord
from ..policies.placement_catalogue import PLACEMENTS
from ..scheduler.accounting import Accounting

WORKERS, TASKS, QUEUE = 217, 3200, 100
"""The mean failure domain of the target fleet; the queue is an assumed busy hour."""

TEAMS = 20


def make_queue(length: int) -> list[JobRecord]:
    """Return waiting gangs of eight sizes, none of which can be placed."""
    record = make_job(0, make_machines(1), 1)
    return [
        msgspec.structs.replace(
            record,
            state="queued",
            members=(),
            spec=msgspec.structs.replace(
                record.spec,
                id=f"queued-{number}",
                organisation=f"team-{number % TEAMS}",
                members=17 + number % 8,
                accelerators=2,
                adjacency="rack",
            ),
        )
        for number in range(length)
    ]


def time_pass(workers: int, tasks: int, queue: int) -> float:
    """Return the processor time of one view and one pass, in milliseconds."""
    accounting, jobs = fill_accounting(workers, tasks), make_queue(queue)
    configuration = make_configuration(TEAMS)
    policy = PLACEMENTS.find("cells")
    assert policy is not None

    def run(accounting: Accounting = accounting) -> None:
        policy(
            accounting.view(
                jobs=jobs,
                configuration=configuration,
                now=10_000.0,
                idempotent_only=False,
            )
        )

    return time_call(run)


def measure_cells() -> Iterable[Series]:
    """Measure a pass for numbers of workers, running tasks and queued jobs."""
    note = f"view and cells; else {WORKERS} workers, {TASKS} tasks, {QUEUE} queued"
    yield Series(
        name="cells.cpu.workers",
        per="worker",
        unit="ms",
        points=tuple((n, time_pass(n, TASKS, QUEUE)) for n in (50, 100, 150, 217)),
        note=note,
    )
    yield Series(
        name="cells.cpu.tasks",
        per="task",
        unit="ms",
        points=tuple((n, time_pass(WORKERS, n, QUEUE)) for n in (0, 800, 1600, 3200)),
        note=note,
    )
    yield Series(
        name="cells.cpu.queue",
        per="queued job",
        unit="ms",
        points=tuple((n, time_pass(WORKERS, TASKS, n)) for n in (0, 50, 100, 200, 400)),
        note=note,
    )
