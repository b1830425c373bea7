"""The outcomes of simulated days: worth earned, and what the rest was missed for."""

import dataclasses
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Literal, TypeVar

from .day_jobs import DayJob

MAX_LATENESS_FACTOR = 3.0
"""A late job has some worth up to this many times its objective."""

WINDOW_S = 2.0
WORST_WINDOW_COUNT = 2
"""Arrivals are grouped by windows of ``WINDOW_S``; the worst few are averaged."""

WORST_ORGANISATIONS = 0.1
"""Share of the organisations that count as the worst served, at least one."""

Key = TypeVar("Key")

RestartCause = Literal["preempted or lost", "failed run"]


@dataclasses.dataclass(slots=True)
class JobOutcome:
    """The outcome of a job; all times in seconds.

    ``accepted_at`` is when the job was accepted, after the arrival if the store was
    away then. ``first_started_at`` is when the last of its units started for the first
    time, ``last_started_at`` when a unit last started. ``restart_s`` has the time
    between successive starts of its units by what ended the earlier run. Of the last
    run, ``cross_rack_s`` is the additional time because it spans several racks, and
    ``slow_s`` because its workers are slower than usual ones; it was done at
    ``done_at``. An end during an outage is shown ``shown_late_s`` later. ``gave_up``
    says that the job failed.
    """

    job: DayJob
    accepted_at: float | None = None
    first_started_at: float | None = None
    last_started_at: float = 0.0
    ended_at: float | None = None
    cross_rack_s: float = 0.0
    slow_s: float = 0.0
    restart_s: defaultdict[RestartCause, float] = dataclasses.field(
        default_factory=lambda: defaultdict(float)
    )
    shown_late_s: float = 0.0
    done_at: float | None = None
    gave_up: bool = False

    @property
    def took_s(self) -> float:
        """Return the time from arrival to end."""
        if self.ended_at is None:
            return float("inf")
        return self.ended_at - self.job.accepted.accepted_at_s

    @property
    def counts(self) -> bool:
        """Return whether the job counts: nobody waits for the end of a cancelled one.

        Whether it ended before the cancel is left out, as planners would otherwise be
        measured by different jobs.
        """
        return self.job.cancelled_at_s is None

    @property
    def earned(self) -> float:
        """Return the job's worth to its caller, given when it ended."""
        if self.took_s <= self.job.objective_s:
            return self.full_worth
        if self.took_s <= MAX_LATENESS_FACTOR * self.job.objective_s:
            return self.job.kind.late_worth * self.job.weight
        return 0.0

    @property
    def full_worth(self) -> float:
        """Return the worth of the job if it ends in time."""
        return self.job.kind.worth * self.job.weight

    def find_main_delay(self) -> str:
        """Return the main cause of the job's delay."""
        if self.gave_up:
            return "failed run"
        if self.accepted_at is None:
            return "store away"
        if self.first_started_at is None:
            return "never started"
        accepted_late_s = self.accepted_at - self.job.accepted.accepted_at_s
        delays: dict[str, float] = {
            "waited for capacity": self.first_started_at - self.accepted_at,
            **self._split_restart_delay(),
            "spread over racks": self.cross_rack_s,
            "slow worker": self.slow_s,
            "store away": accepted_late_s + self.shown_late_s,
            "leader away": self._measure_read_delay(),
        }
        return max(delays, key=lambda name: delays[name])

    def _measure_read_delay(self) -> float:
        """Return the time from the end of the work until a leader read it."""
        if self.done_at is None or self.ended_at is None:
            return 0.0
        return self.ended_at - self.shown_late_s - self.done_at

    def _split_restart_delay(self) -> dict[str, float]:
        """Return the time from first to last start, split by what ended the runs.

        The units of a job restart side by side, so the sum of their times is more.
        """
        delay_s = self.last_started_at - (self.first_started_at or 0.0)
        total_s = sum(self.restart_s.values())
        failed_share = self.restart_s["failed run"] / total_s if total_s else 0.0
        failed_s = delay_s * failed_share
        return {"preempted or lost": delay_s - failed_s, "failed run": failed_s}


@dataclasses.dataclass(frozen=True, slots=True)
class DayOutcome:
    """The outcome of a day: worth earned, and worth missed by cause.

    ``by_kind`` is the share of the full worth that each kind earned. ``lost_core_s``
    is discarded work in core-seconds; an accelerator counts as eight cores.
    ``worst_window_share`` is the share earned by the arrivals of the worst windows,
    ``worst_organisation_share`` that earned by the worst tenth of the organisations.
    """

    earned: float
    full_worth: float
    by_kind: dict[str, float]
    missed_by: dict[str, float]
    lost_core_s: float
    preemptions: int
    worst_window_share: float
    worst_organisation_share: float

    @property
    def worst_kind_share(self) -> float:
        """Return the share earned by the kind that earned the least of its worth."""
        return min(self.by_kind.values(), default=1.0)


def summarize(
    outcomes: Iterable[JobOutcome], *, lost_core_s: float, preemptions: int
) -> DayOutcome:
    """Return the outcome of a day, given those of its jobs."""
    counted = [outcome for outcome in outcomes if outcome.counts]
    missed: defaultdict[str, float] = defaultdict(float)
    for outcome in counted:
        if outcome.earned < outcome.full_worth:
            missed[outcome.find_main_delay()] += outcome.full_worth - outcome.earned
    by_kind = _group(counted, lambda outcome: outcome.job.kind.name)
    return DayOutcome(
        sum(sum(o.earned for o in rows) for rows in by_kind.values()),
        sum(sum(o.full_worth for o in rows) for rows in by_kind.values()),
        {name: _compute_share(rows) for name, rows in by_kind.items()},
        dict(missed),
        lost_core_s,
        preemptions,
        _compute_worst_window_share(counted),
        _compute_worst_organisation_share(counted),
    )


def _group(
    outcomes: Iterable[JobOutcome], find_key: Callable[[JobOutcome], Key]
) -> dict[Key, list[JobOutcome]]:
    groups: defaultdict[Key, list[JobOutcome]] = defaultdict(list)
    for outcome in outcomes:
        groups[find_key(outcome)].append(outcome)
    return groups


def _compute_share(outcomes: Iterable[JobOutcome]) -> float:
    rows = list(outcomes)
    return sum(o.earned for o in rows) / sum(o.full_worth for o in rows)


def _compute_worst_window_share(outcomes: Iterable[JobOutcome]) -> float:
    """Return the mean share of worth that the worst windows earned."""
    windows = _group(
        (o for o in outcomes if o.job.accepted.accepted_at_s >= 0),
        lambda outcome: int(outcome.job.accepted.accepted_at_s / WINDOW_S),
    )
    shares = sorted(_compute_share(rows) for rows in windows.values())
    return statistics.mean(shares[:WORST_WINDOW_COUNT]) if shares else 1.0


def _compute_worst_organisation_share(outcomes: Iterable[JobOutcome]) -> float:
    """Return the share of worth that the worst tenth of organisations earned."""
    groups = _group(outcomes, lambda outcome: outcome.job.accepted.organisation)
    ranked = sorted(groups.values(), key=_compute_share)
    worst = ranked[: max(1, round(WORST_ORGANISATIONS * len(ranked)))]
    return _compute_share(o for rows in worst for o in rows) if worst else 1.0
