"""The orders to workers that are due: starts and stops of runs."""

from collections import Counter

from ..models.order import StartOrder, StopOrder
from .runs import Runs
from .state import Phase, Placement, Unit

STOP_AGAIN_S = 0.5
"""Time until an unanswered stop order is sent again; longer than the timeout of its
answer, so that only one is in flight at a time."""


class DueOrders(Runs):
    """Hands out the orders that are due, and aborts runs whose starts come too late."""

    def take_starts(self) -> list[Placement]:
        """Return the placements whose start is durable and not sent yet, once each."""
        starts, self.starts = self.starts, []
        for placement in starts:
            self.drop_unsent(placement)
        return [p for p in starts if p.phase is Phase.SENT]

    def drop_unsent(self, placement: Placement) -> None:
        """Free a placement whose run was aborted before its start order was sent.

        The worker never got the order, so neither a stop nor a poll is needed.
        """
        worker = self.workers.get(placement.worker_id)
        if worker is None or placement.key not in worker.placements:
            return
        if placement.phase is Phase.STOPPING:
            self._resolve(worker, placement, None)

    def record_start_due(self, placement: Placement, now: float) -> None:
        """Record that the start of a durable run is queued."""
        if placement.unit is not None and placement.unit.durable_at is None:
            placement.unit.durable_at = now

    def record_start_sent(self, placement: Placement, now: float) -> None:
        """Record that a start is sent: from now on its unit's members may wait."""
        placement.sent_at = now
        unit = placement.unit
        if unit is not None and unit.first_start_at is None:
            unit.first_start_at = now

    def record_recovered_member(self, placement: Placement, now: float) -> None:
        """Record that a worker lists a member that a former leader started."""
        elapsed_s = self._start_window_s - self._successor_window_s
        self.record_start_sent(placement, now - elapsed_s)

    def abort_late_gang(self, unit: Unit, now: float) -> bool:
        """Abort a gang whose members have not all started in time.

        Return whether it was aborted. Its active members would wait until they end by
        themselves, and what kept the other starts back may keep back the stops as well.
        """
        if not unit.is_starting or unit.first_start_at is None:
            return False
        waited_s = now - unit.first_start_at
        if waited_s < self._start_window_s:
            return False
        phases = Counter(p.phase.value for p in unit.placements.values())
        self.note(
            "gang aborted",
            job=unit.job.accepted.job_id,
            step=unit.step_index,
            run=unit.run,
            waited_s=round(waited_s, 3),
            members=dict(phases),
        )
        self._abort_run(unit)
        return True

    def abort_without_ticket(self, unit: Unit, now: float) -> None:
        """Abort a run that has no valid ticket for some start not known as active.

        Tickets may expire while the run's record is written or its starts are queued.
        """
        if self.advice.lacks_ticket(unit, now):
            self.note(
                "ticket expired",
                job=unit.job.accepted.job_id,
                step=unit.step_index,
                run=unit.run,
            )
            self._abort_run(unit)

    def abort_late_gangs(self, now: float) -> None:
        """Abort all gangs whose members have not all started in time."""
        starting = {
            id(p.unit): p.unit
            for worker in self.workers.values()
            for p in worker.placements.values()
            if p.phase in (Phase.SENT, Phase.RECOVERED) and p.unit is not None
        }
        for unit in starting.values():
            self.abort_late_gang(unit, now)

    def take_stops(self, now: float) -> list[Placement]:
        """Return the placements whose stop order is due, including repeated ones."""
        self.stops.clear()
        due = [
            p
            for w in self.workers.values()
            for p in w.placements.values()
            if p.phase is Phase.STOPPING
            and not p.stop_answered
            and now - p.stop_sent_at > STOP_AGAIN_S
        ]
        for placement in due:
            placement.stop_sent_at = now
        return due

    def describe_start(self, placement: Placement) -> StartOrder:
        """Return the order that starts a placement's task."""
        unit = placement.unit
        assert unit is not None
        entry = self.workers[placement.worker_id].entry
        return StartOrder(
            placement.worker_id,
            entry.address,
            placement.task,
            placement.run,
            unit.job.accepted.workload.payload,
            unit.checkpoint,
            self.advice.find_ticket(unit, placement.worker_id),
            entry.born,
        )

    def describe_stop(self, placement: Placement) -> StopOrder | None:
        """Return the order that stops a placement's task, or None without a worker."""
        worker = self.workers.get(placement.worker_id)
        if worker is None:
            return None
        return StopOrder(
            placement.worker_id,
            worker.entry.address,
            placement.task,
            placement.run,
            worker.entry.born,
        )
