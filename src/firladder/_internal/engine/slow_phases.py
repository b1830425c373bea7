"""Notice workers that have become slow, and forget it within seconds."""

import dataclasses
import math
from collections.abc import Callable

from .machines import Machine, SlowPhase

Note = Callable[..., None]
"""Logs a decision by its name and its inputs."""

MEMORY_S = 4.0
"""Seconds for which a worker counts as slow after the last sign of it. Slow phases last
some seven seconds, and a second or two passes until the first sign."""

SLOW_LOG = math.log(2.0)
"""How much slower than expected a task must be, as a logarithm. The members of a step
differ by 30% at most, and their own rate is steady."""

USUAL_LOG = math.log(1.4)
"""Up to which a task is as fast as expected: its worker is no longer slow."""

SUSPECT_S = 3.0
"""Seconds for which a slow task waits for one of another job on the same worker, and
for which a task that is as fast as expected speaks against both."""

SUSPECT_ERRORS = 2.0
"""Standard errors above the expectation from which a new task looks slow."""

MIN_EXPECTED_PERCENT = 8.0
"""Progress that is expected within a window before it is judged: with less, rounding to
whole per cent looks like a change."""

LATE_READ_S = 0.2
"""Seconds by which a report may be read later than the one before: planning passes take
a tenth of a second."""

MAX_LOG_FACTOR = math.log(20.0)
"""Bound of the current slowness: a worker that stands still makes no progress."""

MAX_PHASE_S = 15.0
"""Seconds after which a slow phase counts as the worker's lasting speed."""


@dataclasses.dataclass(slots=True)
class Window:
    """The progress of a task since it was last judged.

    ``disturbed`` says that its worker was slow for a part of its run, so that the run
    says nothing of the worker's lasting speed.
    """

    since: float
    percent: float
    disturbed: bool = False


class SlowPhases:
    """The workers that are slow now, from the rates of their tasks.

    A rate that drops within a run is the worker's fault, as is a slow start of tasks of
    two different jobs while no other task there is as fast as usual. One task that is
    slow from its beginning may have more work than others of its kind.
    """

    def __init__(self, note: Note) -> None:
        """Log the workers that turn slow with ``note``."""
        self._note = note

    def judge(
        self,
        machine: Machine,
        job_id: str,
        window: Window,
        percent: float,
        now: float,
        *,
        log_time: float,
        variance: float,
        own: bool,
    ) -> None:
        """Compare a task's progress with its expected run time.

        ``log_time`` and its ``variance`` are from its own earlier rate (``own``), or
        from other tasks.
        """
        elapsed_s = now - window.since - LATE_READ_S
        expected = elapsed_s * 100 / math.exp(log_time)
        if expected < MIN_EXPECTED_PERCENT:
            return
        excess = math.log(expected / (max(0.0, percent - window.percent) + 0.5))
        window.since, window.percent = now, percent
        phase = machine.slow
        if excess > SLOW_LOG:
            if own or now < phase.until:
                self._begin(machine, excess, now)
            elif (
                excess > SUSPECT_ERRORS * math.sqrt(variance)
                and now - phase.usual_at > SUSPECT_S
            ):
                self._suspect(machine, job_id, excess, now)
        elif excess < USUAL_LOG:
            phase.usual_at = now
            phase.until = min(phase.until, now)
        if now < phase.until and now - phase.since < MAX_PHASE_S:
            window.disturbed = True

    def _suspect(
        self, machine: Machine, job_id: str, excess: float, now: float
    ) -> None:
        machine.suspects = {
            job: row
            for job, row in machine.suspects.items()
            if now - row[0] < SUSPECT_S and job != job_id
        }
        if machine.suspects:
            others = (row[1] for row in machine.suspects.values())
            self._begin(machine, min(excess, *others), now)
        machine.suspects[job_id] = (now, excess)

    def _begin(self, machine: Machine, excess: float, now: float) -> None:
        """Begin a slow phase, or extend it."""
        phase: SlowPhase = machine.slow
        excess = min(excess, MAX_LOG_FACTOR)
        if now >= phase.until:
            phase.log_factor = excess
            phase.since = now
            self._note(
                "worker turned slow",
                worker=machine.worker_id,
                factor=round(math.exp(excess), 2),
            )
        else:
            phase.log_factor += (excess - phase.log_factor) / 2
        phase.until = now + MEMORY_S
