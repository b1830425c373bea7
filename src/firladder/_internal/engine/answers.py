"""Apply the answers of workers to start and stop orders, and missing answers."""

import math

from ..exceptions import (
    FencedOff,
    NotSent,
    OrderFailure,
    OrderRejected,
    SentUnanswered,
    WorkerRefused,
    WorkerReplaced,
    WorkerRestarted,
)
from .health import record_failure
from .losses import Losses
from .state import Phase, Placement, Worker

FULL_WORKER_BACKOFF_S = 1.0
"""How long a worker that reported no free capacity gets no new work."""


UNKNOWN_ADVICE_BACKOFF_S = 1.0
"""How long a unit waits after a worker has asked for a ticket although its queue has no
advice in the configuration in force. Rejected starts are billed."""


class Answers(Losses):
    """Updates placements and workers from the answers to start and stop orders."""

    def handle_start_answer(
        self, placement: Placement, answer: float | OrderFailure, now: float
    ) -> None:
        """Apply the answer to a start order; a float means that it was accepted."""
        worker = self.workers.get(placement.worker_id)
        if worker is None or placement.key not in worker.placements:
            return
        if isinstance(answer, float):
            worker.answered_at = now
            placement.reported = True
            if placement.last_answer_at == math.inf:
                placement.last_answer_at = now
            if placement.phase is Phase.SENT:
                self._activate(placement, now)
            return
        if isinstance(answer, WorkerReplaced):
            self.lose_worker(worker.worker_id, answer.reason, now=now)
            return
        if isinstance(answer, WorkerRestarted):
            self.record_restart(worker, answer.born, now)
            return
        if isinstance(answer, SentUnanswered | FencedOff):
            self.record_no_answer(worker, answer, now)
            if placement.phase is Phase.SENT:
                self._abort_run_of(placement)
            return
        self._handle_refusal(worker, placement, answer, now)
        if not placement.may_start_late:
            self._resolve(worker, placement, None)
        elif placement.phase is Phase.SENT:
            self._abort_run_of(placement)

    def _handle_refusal(
        self,
        worker: Worker,
        placement: Placement,
        answer: OrderRejected | WorkerRefused | NotSent,
        now: float,
    ) -> None:
        unit = placement.unit
        if isinstance(answer, OrderRejected) and answer.rejection == "no_room":
            worker.full_until = now + FULL_WORKER_BACKOFF_S
        elif isinstance(answer, OrderRejected) and answer.rejection == "ticket":
            self._handle_rejected_ticket(placement, now)
        elif isinstance(answer, NotSent):
            self.record_no_answer(worker, answer, now)
        elif isinstance(answer, WorkerRefused) and unit is not None:
            worker.full_until = now + FULL_WORKER_BACKOFF_S
            record_failure(worker, unit.job.accepted.job_id, now)
            self.profiles.record_failure(unit, placement, now)

    def _handle_rejected_ticket(self, placement: Placement, now: float) -> None:
        unit = placement.unit
        if unit is None:
            return
        count = self.advice.discard_ticket(unit, placement.worker_id, now)
        if not self.advice.covers(unit):
            # A newer configuration may not have arrived yet.
            unit.backoff_until = now + UNKNOWN_ADVICE_BACKOFF_S
        self.note(
            "ticket rejected",
            job=unit.job.accepted.job_id,
            step=unit.step_index,
            run=placement.run,
            worker=placement.worker_id,
            count=count,
        )

    def handle_stop_answer(
        self, placement: Placement, answer: float | OrderFailure, now: float
    ) -> None:
        """Apply the answer to a stop order; a float means that it was accepted."""
        worker = self.workers.get(placement.worker_id)
        if worker is None:
            return
        if isinstance(answer, float | OrderRejected):
            worker.answered_at = now
            placement.stop_answered = True
            placement.last_answer_at = now
        elif isinstance(answer, WorkerReplaced):
            self.lose_worker(worker.worker_id, answer.reason, now=now)
        elif isinstance(answer, WorkerRestarted):
            self.record_restart(worker, answer.born, now)
        else:
            self.record_no_answer(worker, answer, now)
