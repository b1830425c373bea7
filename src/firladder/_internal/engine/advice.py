"""What the advice service has said: which workers may run a step, by which ticket."""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple

from ..models.workload import AdviceTerms, QueueConfiguration
from .placement import Candidate, fits_one_rack, list_suitable
from .state import Job, Phase, Unit

PLAN_MARGIN_S = 0.5
"""Seconds for which a ticket must stay valid when a run is planned: writing the record
and sending the start take some tens of milliseconds, and several times as long behind a
full link."""

SEND_MARGIN_S = 0.1
"""The same when a start is sent; a start's answer usually takes some hundredths."""

MAX_MARGIN_SHARE = 0.25
"""Maximum share of a ticket's validity that a margin takes. Tickets that are valid for
less than the margin could otherwise never be used."""

REFUSAL_VALID_S = 10.0
"""Minimum seconds for which a refusal is kept. Which workers may run a step does not
change, so asking again only helps if an earlier answer was wrong."""

REJECTED_PAUSE_S = 0.5
"""Seconds for which a worker is left out after it has rejected a second ticket for a
step; doubles with each further one. Rejected starts are billed."""

MAX_REJECTED_PAUSE_S = 8.0
"""Maximum of that pause, in seconds."""

StepName = tuple[str, int, int]
"""A job's id, an occurrence, and the number of a step."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a worker may run a step, and until when this is known.

    Without a ``ticket`` the worker may not run it.
    """

    ticket: str
    expires_at: float


class _Narrowed(NamedTuple):
    """The candidates of a step, as last narrowed from those of its pool."""

    step: StepName
    now: float
    pool: list[Candidate]
    usable: list[Candidate]


def name_step(unit: Unit) -> StepName:
    """Return the name of a unit's step; a ticket is valid for all of its tasks."""
    return unit.job.accepted.job_id, unit.occurrence, unit.step_index


def _limit_margin(margin_s: float, terms: AdviceTerms) -> float:
    return min(margin_s, MAX_MARGIN_SHARE * terms.valid_s)


class Advice:
    """The answers of the advice service during one term.

    They are kept by step and worker; a worker's id names one incarnation of it.
    """

    def __init__(self, read_configuration: Callable[[], QueueConfiguration]) -> None:
        """Start without answers; ``read_configuration`` tells which queues need any."""
        self._read_configuration = read_configuration
        self._terms: dict[str, AdviceTerms] = {}
        self._terms_of: QueueConfiguration | None = None
        self._verdicts: dict[StepName, dict[str, Verdict]] = {}
        self._rejections: dict[tuple[StepName, str], int] = {}
        self._wanted: dict[StepName, tuple[str, ...]] = {}
        self._narrowed: _Narrowed | None = None

    # -- which work needs advice ---------------------------------------------------

    def list_terms(self) -> dict[str, AdviceTerms]:
        """Return the terms of all queues that need advice, by queue.

        The configuration in force counts, also for jobs that were accepted before.
        """
        configuration = self._read_configuration()
        if configuration is not self._terms_of:
            self._terms_of = configuration
            self._terms = {
                q.name: q.advice for q in configuration.queues if q.advice is not None
            }
        return self._terms

    def find_terms(self, job: Job) -> AdviceTerms | None:
        """Return the terms under which a job needs tickets, or None."""
        return self.list_terms().get(job.accepted.queue)

    def covers(self, unit: Unit) -> bool:
        """Return whether a unit's starts need tickets."""
        return self.find_terms(unit.job) is not None

    # -- what a ticket allows ------------------------------------------------------

    def find_verdict(self, step: StepName, worker_id: str) -> Verdict | None:
        """Return the newest answer for a worker, which may have expired."""
        return self._verdicts.get(step, {}).get(worker_id)

    def find_ticket(self, unit: Unit, worker_id: str) -> str:
        """Return the newest ticket for a start, or an empty string."""
        verdict = self.find_verdict(name_step(unit), worker_id)
        return verdict.ticket if verdict is not None and self.covers(unit) else ""

    def is_usable(
        self, step: StepName, worker_id: str, terms: AdviceTerms, now: float
    ) -> bool:
        """Return whether a run may be planned with the ticket for a worker."""
        verdict = self.find_verdict(step, worker_id)
        if verdict is None or not verdict.ticket:
            return False
        return now + _limit_margin(PLAN_MARGIN_S, terms) <= verdict.expires_at

    def is_open(
        self, step: StepName, worker_id: str, terms: AdviceTerms, now: float
    ) -> bool:
        """Return whether the service must be asked (again) about a worker."""
        verdict = self.find_verdict(step, worker_id)
        if verdict is None:
            return True
        if not verdict.ticket:
            return now >= verdict.expires_at
        return not self.is_usable(step, worker_id, terms, now)

    def list_usable(self, step: StepName, terms: AdviceTerms, now: float) -> set[str]:
        """Return the workers with a usable ticket for a step."""
        known = self._verdicts.get(step, ())
        return {w for w in known if self.is_usable(step, w, terms, now)}

    def list_settled(self, step: StepName, terms: AdviceTerms, now: float) -> set[str]:
        """Return the workers of which the answer for a step is still in force."""
        known = self._verdicts.get(step, ())
        return {w for w in known if not self.is_open(step, w, terms, now)}

    def lacks_ticket(self, unit: Unit, now: float) -> bool:
        """Return whether some start of a unit would be rejected if it was sent now."""
        terms = self.find_terms(unit.job)
        if terms is None:
            return False
        step = name_step(unit)
        arrives_at = now + _limit_margin(SEND_MARGIN_S, terms)
        verdicts = (
            self.find_verdict(step, placement.worker_id)
            for placement in unit.placements.values()
            if placement.phase in (Phase.PLANNED, Phase.SENT)
        )
        return any(
            v is None or not v.ticket or v.expires_at < arrives_at for v in verdicts
        )

    # -- what the planner may use --------------------------------------------------

    def narrow(self, unit: Unit, pool: list[Candidate], now: float) -> list[Candidate]:
        """Return the candidates that a unit may use: those with a usable ticket.

        A gang for one rack gets none as long as the service may still name a rack that
        can hold it: spread over racks it would take several times as long.
        """
        terms = self.find_terms(unit.job)
        if terms is None:
            return pool
        step = name_step(unit)
        last = self._narrowed
        if last is not None and last.pool is pool and last[:2] == (step, now):
            # All single tasks of a step have the same candidates in a pass.
            return last.usable
        known = self.list_usable(step, terms, now)
        usable = [c for c in pool if c.worker_id in known] if known else []
        if usable and self._may_get_rack(unit, pool, usable, terms, now):
            usable = []
        self._narrowed = _Narrowed(step, now, pool, usable)
        return usable

    def _may_get_rack(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        usable: Sequence[Candidate],
        terms: AdviceTerms,
        now: float,
    ) -> bool:
        count = len(unit.indices)
        if not unit.step.one_rack or count == 1:
            return False
        if fits_one_rack(unit.step, count, list_suitable(unit.step, usable, ())):
            return False
        step = name_step(unit)
        known = {c.worker_id for c in usable}
        possible = [
            c
            for c in list_suitable(unit.step, pool, ())
            if c.worker_id in known or self.is_open(step, c.worker_id, terms, now)
        ]
        return fits_one_rack(unit.step, count, possible)

    def may_start(self, unit: Unit, workers: Collection[str], now: float) -> bool:
        """Return whether a unit has tickets for reserved workers; else want them."""
        terms = self.find_terms(unit.job)
        if terms is None:
            return True
        step = name_step(unit)
        missing = [w for w in workers if not self.is_usable(step, w, terms, now)]
        if missing:
            self._wanted[step] = tuple(dict.fromkeys(missing))
        return not missing

    def take_wanted(self, step: StepName) -> tuple[str, ...]:
        """Return the reserved workers for which a step needs tickets, once."""
        return self._wanted.pop(step, ())

    # -- what the service and the workers say --------------------------------------

    def record_answer(
        self,
        step: StepName,
        workers: Iterable[str],
        good: dict[str, str],
        *,
        terms: AdviceTerms,
        issued_at: float,
    ) -> None:
        """Record which of the named ``workers`` may run a step, by which ticket."""
        self._narrowed = None
        verdicts = self._verdicts.setdefault(step, {})
        refused_until = issued_at + max(terms.valid_s, REFUSAL_VALID_S)
        for worker_id in workers:
            ticket = good.get(worker_id, "")
            verdicts[worker_id] = Verdict(
                ticket, issued_at + terms.valid_s if ticket else refused_until
            )

    def discard_ticket(self, unit: Unit, worker_id: str, now: float) -> int:
        """Discard a ticket that its worker has rejected; return how many it has.

        The service is asked for another one, after a pause if that was not the first.
        """
        self._narrowed = None
        step = name_step(unit)
        count = self._rejections.get((step, worker_id), 0) + 1
        self._rejections[step, worker_id] = count
        verdicts = self._verdicts.setdefault(step, {})
        if count == 1:
            verdicts.pop(worker_id, None)
        else:
            pause_s = min(MAX_REJECTED_PAUSE_S, REJECTED_PAUSE_S * 2 ** (count - 2))
            verdicts[worker_id] = Verdict("", now + pause_s)
        return count

    def is_refused(self, step: StepName, worker_id: str) -> bool:
        """Return whether the service has refused a worker for a step."""
        verdict = self.find_verdict(step, worker_id)
        if verdict is None or verdict.ticket:
            return False
        return (step, worker_id) not in self._rejections

    def forget(
        self, *, is_over: Callable[[StepName], bool], workers: Collection[str]
    ) -> None:
        """Forget the answers for steps that are over and for other ``workers``."""
        names = {*self._verdicts, *self._wanted, *(s for s, _ in self._rejections)}
        over = {step for step in names if is_over(step)}
        self._verdicts = {
            step: {w: v for w, v in verdicts.items() if w in workers}
            for step, verdicts in self._verdicts.items()
            if step not in over
        }
        self._rejections = {
            key: count
            for key, count in self._rejections.items()
            if key[0] not in over and key[1] in workers
        }
        self._wanted = {s: w for s, w in self._wanted.items() if s not in over}

    def forget_worker(self, worker_id: str) -> None:
        """Forget the answers for an incarnation of a worker that is gone."""
        self._narrowed = None
        for verdicts in self._verdicts.values():
            verdicts.pop(worker_id, None)
        self._rejections = {
            key: count for key, count in self._rejections.items() if key[1] != worker_id
        }

    def count_tickets(self, now: float) -> int:
        """Return how many tickets are known that have not expired."""
        return sum(
            bool(verdict.ticket) and now < verdict.expires_at
            for verdicts in self._verdicts.values()
            for verdict in verdicts.values()
        )
