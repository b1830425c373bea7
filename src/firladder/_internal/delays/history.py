"""The history of each job: its submissions, the runs of its units, and its end."""

import dataclasses
from collections import defaultdict

UnitKey = tuple[int, int, int]
"""Occurrence, step, and first index of a unit."""


@dataclasses.dataclass(slots=True, eq=False)
class UnitRun:
    """One run of a unit. Times are Unix seconds, or None if no line tells them.

    ``ready_at`` is when the unit could first be planned, and ``orders_s`` the time from
    the durable run to its begin; ``usual_s`` is how long such runs take. ``hows`` has
    the endings of its members, ``worker`` the one whose end is the last. ``reason`` is
    the decision that stopped the run, and ``saved`` says that it had a checkpoint.
    """

    key: UnitKey
    run: int
    planned_at: float | None = None
    workers: tuple[str, ...] = ()
    members: int = 1
    cores: float | None = None
    racks: int = 1
    ready_at: float | None = None
    began_at: float | None = None
    orders_s: float | None = None
    done_at: float | None = None
    slowness: float = 0.0
    usual_s: float | None = None
    ended_at: float | None = None
    hows: set[str] = dataclasses.field(default_factory=set)
    worker: str = ""
    reason: str = ""
    saved: bool = False

    @property
    def lost(self) -> bool:
        """Return whether the run ended without a result."""
        return self.ended_at is not None and self.done_at is None

    @property
    def first_known_at(self) -> float:
        """Return when the run was planned, or the first later time that is known."""
        times = (self.planned_at, self.began_at, self.done_at, self.ended_at)
        return next((at for at in times if at is not None), 0.0)


@dataclasses.dataclass(slots=True, eq=False)
class JobHistory:
    """What the logs tell of one job. Times are Unix seconds.

    ``complete`` is false if lines of the job are missing that each such job has.
    """

    job: str
    queue: str = ""
    organisation: str = ""
    domain: str = ""
    urgent: bool = False
    first_try_at: float | None = None
    refusals: list[str] = dataclasses.field(default_factory=list)
    stored_at: float | None = None
    cancelled_at: float | None = None
    ended_at: float | None = None
    durable_at: float | None = None
    outcome: str = ""
    stretch: float | None = None
    slo_s: float | None = None
    work_s: float | None = None
    runs: dict[tuple[UnitKey, int], UnitRun] = dataclasses.field(default_factory=dict)
    room_made_at: list[float] = dataclasses.field(default_factory=list)
    last_line_at: float = 0.0
    complete: bool = True

    def list_unit_runs(self) -> dict[UnitKey, list[UnitRun]]:
        """Return the runs of each unit, by their numbers."""
        units: dict[UnitKey, list[UnitRun]] = defaultdict(list)
        for (key, _), run in sorted(self.runs.items()):
            units[key].append(run)
        return dict(units)


@dataclasses.dataclass(slots=True)
class Day:
    """All histories, and when the logs begin and end."""

    histories: dict[str, JobHistory]
    began_at: float
    ended_at: float
