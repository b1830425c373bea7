"""Build the histories of jobs from the lines of all nodes."""

from collections.abc import Iterable

from .history import Day, JobHistory, UnitRun
from .lines import LogLine, sort_lines


def build_day(lines: Iterable[LogLine]) -> Day:
    """Build the histories from the lines of all nodes, in any order."""
    builder = _Builder()
    ordered = sort_lines(lines)
    for line in ordered:
        builder.add(line)
    for history in builder.histories.values():
        _close_runs(history)
        history.complete = history.complete and _is_whole(history)
    _mark_urgent_queues(builder.histories)
    times = [line.wall for line in ordered] or [0.0]
    return Day(builder.histories, times[0], times[-1])


STOP_LIMIT_S = 3.0
"""Seconds for which a decision explains a stop: a stop order and its polls take less,
and the leases of a silent worker end by then."""


class _Builder:
    """Adds lines, in order, to the histories."""

    def __init__(self) -> None:
        self.histories: dict[str, JobHistory] = {}
        self._gangs: dict[tuple[str, int, int, int], UnitRun] = {}
        self._reasons: dict[tuple[str, str], tuple[float, str]] = {}
        self._handlers = {
            "job planned": self._add_plan,
            "work began": self._add_begin,
            "urgent work began": self._add_begin,
            "urgent work ended": self._add_done,
            "run ended": self._add_run_end,
            "job ended": self._add_end,
            "room made": self._add_room,
            "moved off a draining worker": self._add_reason,
            "gang aborted": self._add_reason,
            "run stands still": self._add_reason,
            "runs lapsed": self._add_loss,
            "worker lost": self._add_loss,
        }

    def add(self, line: LogLine) -> None:
        if line.what:
            handler = self._handlers.get(line.what)
            if handler is not None:
                handler(line)
        elif line.outcome and line.job:
            self._add_answer(line)
        elif line.event == "end durable late":
            self._find(line).durable_at = line.wall

    def _find(self, line: LogLine) -> JobHistory:
        history = self.histories.get(line.job)
        if history is None:
            history = self.histories[line.job] = JobHistory(line.job)
        history.last_line_at = line.wall
        return history

    def _add_answer(self, line: LogLine) -> None:
        history = self._find(line)
        if not line.queue:
            if line.outcome == "Stored" and history.cancelled_at is None:
                history.cancelled_at = line.wall
            return
        began_at = line.wall - line.took_s
        history.queue, history.organisation = line.queue, line.organisation
        if history.first_try_at is None or began_at < history.first_try_at:
            history.first_try_at = began_at
        # A later try that is answered as stored finds the job that exists already.
        if history.stored_at is not None:
            return
        history.domain = line.domain
        if line.outcome == "Stored":
            history.stored_at = line.wall
        else:
            history.refusals.append(line.outcome)

    def _add_plan(self, line: LogLine) -> None:
        history = self._find(line)
        key = (line.occurrence, line.step, line.index)
        members = line.members if isinstance(line.members, int) else 0
        run = history.runs[key, line.run] = UnitRun(
            key,
            line.run,
            planned_at=line.wall,
            workers=line.workers,
            members=max(members, len(line.workers), 1),
            cores=line.cores,
            racks=line.racks or 1,
            slowness=line.slowness,
            usual_s=line.usual_s,
        )
        if run.members > 1:
            self._gangs[line.job, *key[:2], line.run] = run

    def _match(self, line: LogLine) -> UnitRun:
        """Return the run of a line, which may name another member of the gang.

        Without the line of its plan, the run begins with this one.
        """
        history = self._find(line)
        key = (line.occurrence, line.step, line.index)
        found = history.runs.get((key, line.run))
        if found is None:
            found = self._gangs.get((line.job, *key[:2], line.run))
        if found is None:
            found = history.runs[key, line.run] = UnitRun(key, line.run)
            history.complete = False
        return found

    def _add_begin(self, line: LogLine) -> None:
        run = self._match(line)
        self.histories[line.job].urgent |= line.what == "urgent work began"
        # A new leader finds the run at work; it began before.
        if run.began_at is None:
            run.began_at = line.wall - line.ran_s
            if line.waited_s is not None:
                run.ready_at = line.wall - line.waited_s
            run.orders_s = line.orders_s

    def _add_done(self, line: LogLine) -> None:
        run = self._match(line)
        run.done_at, run.slowness = line.wall, line.slowness

    def _add_run_end(self, line: LogLine) -> None:
        run = self._match(line)
        run.ended_at = line.wall
        run.hows.add(line.how)
        run.saved |= line.saved
        run.worker = line.worker
        if not run.reason:
            run.reason = self._find_reason(line, run)

    def _find_reason(self, line: LogLine, run: UnitRun) -> str:
        """Return the newest decision about the job or its workers since its plan."""
        known = (
            self._reasons.get(("job", line.job)),
            self._reasons.get(("worker", line.worker)),
        )
        planned_at = run.planned_at or 0.0
        recent = [
            (at, reason)
            for at, reason in filter(None, known)
            if at >= max(planned_at, line.wall - STOP_LIMIT_S)
        ]
        return max(recent)[1] if recent else ""

    def _add_reason(self, line: LogLine) -> None:
        self._find(line)
        self._reasons["job", line.job] = (line.wall, line.what)

    def _add_loss(self, line: LogLine) -> None:
        self._reasons["worker", line.worker] = (line.wall, line.what)

    def _add_room(self, line: LogLine) -> None:
        self._find(line).room_made_at.append(line.wall)
        for victim in line.victims:
            self._reasons["job", victim] = (line.wall, "room made")

    def _add_end(self, line: LogLine) -> None:
        history = self._find(line)
        # A successor that reads an older record decides the same end again.
        history.ended_at, history.outcome = line.wall, line.outcome
        self._reasons["job", line.job] = (line.wall, line.outcome)
        history.stretch, history.slo_s = line.stretch, line.slo_s
        history.work_s = line.work_s
        history.queue = line.queue or history.queue
        history.organisation = line.organisation or history.organisation
        if line.queue_priority is not None:
            history.urgent = line.queue_priority == 0
        if line.accepted_at is not None and history.stored_at is None:
            history.stored_at = line.accepted_at
            if history.first_try_at is None:
                history.first_try_at = line.accepted_at


def infer_ends(day: Day) -> None:
    """Take jobs without an end as completed when the last of their runs was done.

    For logs of nodes that dropped lines, which may have been those of the ends.
    """
    for history in day.histories.values():
        last = max(
            history.runs.values(), key=lambda run: run.first_known_at, default=None
        )
        if history.ended_at is None and last is not None and last.done_at is not None:
            history.ended_at, history.outcome = last.done_at, "completed"


def _mark_urgent_queues(histories: dict[str, JobHistory]) -> None:
    """Mark the jobs of urgent queues that never began, and so have no line for it."""
    urgent = {history.queue for history in histories.values() if history.urgent}
    for history in histories.values():
        history.urgent = history.queue in urgent


def _close_runs(history: JobHistory) -> None:
    """End the runs whose end has no line, as the next run of the unit shows."""
    for runs in history.list_unit_runs().values():
        for run, following in zip(runs, runs[1:], strict=False):
            if run.ended_at is None:
                run.ended_at = following.first_known_at
                history.complete = False


def _is_whole(history: JobHistory) -> bool:
    """Return whether the lines that each job has are there."""
    if history.stored_at is None and not history.refusals:
        return False
    if history.outcome == "completed" and not history.runs:
        return False
    if history.ended_at is None and history.stored_at is not None:
        return False
    return all(
        [run.run for run in runs] == list(range(1, len(runs) + 1))
        for runs in history.list_unit_runs().values()
    )
