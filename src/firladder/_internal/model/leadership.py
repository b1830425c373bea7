"""Model of two schedulers of one failure domain, two workers and the store.

Time is abstract: a lease may expire at any step, first by its holder's own clock and
then in the store. A command may be delayed for any time, as in a process that is
paused after its last check of the clock.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from ..charts.interpreter import load_chart
from ..exceptions import IllegalTransition
from .specification import Guards, Specification, Step, register

CHART = load_chart("leadership")
MAX_EPOCH = 2
NO_HOLDER = -1


class Candidate(NamedTuple):
    """One scheduler; ``lease_valid`` is judged by its own clock."""

    state: str = "following"
    epoch: int = 0
    lease_valid: bool = False
    reaches_store: bool = True
    queued: int = 0
    """Epoch of the term that began the work that waits here, or 0."""


class Domain(NamedTuple):
    """The store's key, both candidates, the workers, and one command in flight."""

    holder: int = NO_HOLDER
    epoch: int = 0
    candidates: tuple[Candidate, ...] = (Candidate(), Candidate())
    highest_epochs: tuple[int, ...] = (0, 0)
    sent: tuple[int, int] | None = None
    """Epoch and worker of a placement in flight."""
    late_send: bool = False
    stale_term: bool = False
    stale_placement: bool = False
    concurrent_start: bool = False


def _advance(domain: Domain, who: int, event: str, **fields: object) -> Domain | None:
    """Advance a candidate in the state chart that the real code uses."""
    candidate = domain.candidates[who]
    moved = CHART.advance(candidate.state, event)
    if isinstance(moved, IllegalTransition):
        return None
    after = candidate._replace(state=moved[0], **fields)  # type: ignore[arg-type]
    return domain._replace(candidates=_replace_at(domain.candidates, who, after))


def _replace_at(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _name(who: int) -> str:
    return "AB"[who]


def expand(domain: Domain, guards: Guards) -> Iterator[Step]:
    """Yield every step from this state."""
    for who in (0, 1):
        yield from _expand_store(domain, guards, who)
        yield from _expand_commands(domain, guards, who)
    yield from _deliver(domain, guards)


def _expand_store(domain: Domain, guards: Guards, who: int) -> Iterator[Step]:
    candidate, name = domain.candidates[who], _name(who)
    free = domain.holder == NO_HOLDER or "create_if_absent" not in guards
    if free and candidate.reaches_store and domain.epoch < MAX_EPOCH:
        epoch = domain.epoch + 1
        won = _advance(domain, who, "win", epoch=epoch, lease_valid=True)
        if won is not None:
            yield f"{name} wins epoch {epoch}", won._replace(holder=who, epoch=epoch)
    if candidate.lease_valid and domain.holder == who:
        stale = _replace_at(
            domain.candidates, who, candidate._replace(lease_valid=False)
        )
        yield (
            f"{name}'s lease expires by its own clock",
            domain._replace(candidates=stale),
        )
    if domain.holder == who and not (
        candidate.lease_valid and "early_expiry" in guards
    ):
        yield f"{name}'s lease expires in the store", domain._replace(holder=NO_HOLDER)
    if (
        candidate.state != "following"
        and candidate.reaches_store
        and domain.holder != who
    ):
        lost = _advance(domain, who, "lose", epoch=0, lease_valid=False)
        if lost is not None:
            yield f"{name} hears that its lease has expired", lost
    candidates_after = _replace_at(
        domain.candidates,
        who,
        candidate._replace(reaches_store=not candidate.reaches_store),
    )
    word = (
        "is partitioned from the store"
        if candidate.reaches_store
        else "reaches the store again"
    )
    yield f"{name} {word}", domain._replace(candidates=candidates_after)
    if not candidate.reaches_store and not candidate.lease_valid:
        alone = _advance(domain, who, "cut_off")
        if alone is not None:
            yield f"{name} goes on leading without the store", alone


def _expand_commands(domain: Domain, guards: Guards, who: int) -> Iterator[Step]:
    candidate, name = domain.candidates[who], _name(who)
    leads = candidate.state in ("claiming", "leading")
    if leads and candidate.lease_valid and not candidate.queued:
        begun = _replace_at(
            domain.candidates, who, candidate._replace(queued=candidate.epoch)
        )
        yield (
            f"{name} begins work in epoch {candidate.epoch}",
            domain._replace(candidates=begun),
        )
    if leads and (candidate.lease_valid or "clock_check" not in guards):
        for worker in (0, 1):
            yield from _claim(domain, guards, who, worker)
        yield from _send(domain, guards, who)
    if candidate.state == "isolated":
        other = domain.candidates[1 - who]
        if other.epoch > candidate.epoch and "peer_leads" in guards:
            return
        rival = domain.holder == 1 - who
        yield (
            f"{name} starts a gang without the store",
            domain._replace(concurrent_start=domain.concurrent_start or rival),
        )


def _claim(domain: Domain, guards: Guards, who: int, worker: int) -> Iterator[Step]:
    candidate, name = domain.candidates[who], _name(who)
    if candidate.epoch < domain.highest_epochs[worker]:
        return
    highest_epochs = _replace_at(domain.highest_epochs, worker, candidate.epoch)
    after = domain._replace(highest_epochs=highest_epochs)
    if all(epoch == candidate.epoch for epoch in highest_epochs):
        after = _advance(after, who, "claimed") or after
    if after != domain:
        yield f"{name} claims worker {worker + 1}", after


def _send(domain: Domain, guards: Guards, who: int) -> Iterator[Step]:
    candidate, name = domain.candidates[who], _name(who)
    if candidate.state != "leading" or domain.sent is not None or not candidate.queued:
        return
    if candidate.queued != candidate.epoch and "term_check" in guards:
        return
    for worker in (0, 1):
        done = _replace_at(domain.candidates, who, candidate._replace(queued=0))
        yield (
            f"{name} sends worker {worker + 1} a placement of epoch {candidate.epoch}",
            domain._replace(
                candidates=done,
                sent=(candidate.epoch, worker),
                late_send=domain.late_send or domain.holder != who,
                stale_term=domain.stale_term or candidate.queued != candidate.epoch,
            ),
        )


def _deliver(domain: Domain, guards: Guards) -> Iterator[Step]:
    if domain.sent is None:
        return
    epoch, worker = domain.sent
    after = domain._replace(sent=None)
    yield f"the placement for worker {worker + 1} is lost", after
    if epoch < domain.highest_epochs[worker] and "worker_fencing" in guards:
        return
    yield (
        f"worker {worker + 1} starts what epoch {epoch} placed",
        after._replace(
            stale_placement=domain.stale_placement
            or epoch < domain.highest_epochs[worker]
        ),
    )


LEADERSHIP = register(
    Specification(
        name="leadership",
        summary="two schedulers, two workers, one store, partitions, pauses, expiry",
        initial=Domain(),
        fields=Domain._fields,
        expand=expand,
        invariants={
            "a worker obeys no epoch below the highest that claimed it": (
                lambda d: not d.stale_placement
            ),
            "no leader sends a command after its lease has expired": (
                lambda d: not d.late_send
            ),
            "work begun in one term is not sent in the next": (
                lambda d: not d.stale_term
            ),
            "two candidates never hold the lease at once": (
                lambda d: (
                    sum(c.lease_valid and c.state != "following" for c in d.candidates)
                    < 2
                )
            ),
            "an isolated leader never starts work beside an elected one": (
                lambda d: not d.concurrent_start
            ),
        },
        guards={
            "worker_fencing": "a worker rejects epochs below the highest it has seen",
            "clock_check": "a leader checks its clock before every command",
            "early_expiry": "a leader counts its lease from before its call, less 10%",
            "create_if_absent": "the leader's key is created only if there is none",
            "term_check": "work carries the epoch of the term that began it",
            "peer_leads": "an isolated leader yields to a peer of a higher epoch",
        },
    )
)
