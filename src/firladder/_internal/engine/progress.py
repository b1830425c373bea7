"""The durable record of a job's progress, written by the leader alone."""

from collections.abc import Mapping

import msgspec

from ..exceptions import MalformedBody
from ..models.workload import AcceptedJob
from ..utils.codec import describe_error
from .state import (
    Crash,
    Job,
    JobState,
    Phase,
    Placement,
    Unit,
    UnitState,
    Worker,
)

ENDED = frozenset((UnitState.DONE, UnitState.FAILED))


class PlacedTask(msgspec.Struct, frozen=True, array_like=True):
    """A task of the newest run, and the worker that it was given to."""

    index: int
    worker_id: str


class UnitProgress(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a unit that has left its initial state."""

    number: int
    state: UnitState
    run: int
    failed_runs: tuple[int, ...]
    checkpoint: str
    placed: tuple[PlacedTask, ...]
    crashes: tuple[Crash, ...] = ()


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """Everything that a new leader must know of a job beyond its submission.

    ``addresses`` maps the workers in ``units`` to their addresses, so that a worker
    that is not registered at the moment can still be polled. ``lapses`` maps the
    unreachable ones to the Unix time at which all their runs have ended. The loss of a
    worker in ``exempt`` is no crash: it drains, or is silent. ``born`` maps workers to
    the starts of their incarnations, if they say so.
    """

    state: JobState
    units: tuple[UnitProgress, ...]
    addresses: dict[str, str] = {}
    ended_at: float = 0.0
    lapses: dict[str, float] = {}
    exempt: tuple[str, ...] = ()
    born: dict[str, int] = {}


_accepted_decoder = msgspec.msgpack.Decoder(AcceptedJob)
_progress_decoder = msgspec.msgpack.Decoder(JobProgress)


def encode_accepted(accepted: AcceptedJob) -> bytes:
    """Return an accepted job as it is stored."""
    return msgspec.msgpack.encode(accepted)


def decode_accepted(value: bytes) -> AcceptedJob | MalformedBody:
    """Return a stored job, or why the value cannot be decoded."""
    try:
        return _accepted_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return describe_error(error)


def encode_progress(
    job: Job, workers: Mapping[str, Worker], wall_offset_s: float
) -> bytes:
    """Return the job's progress as it is stored.

    ``wall_offset_s`` is Unix time minus the leader's clock.
    """
    units = tuple(
        UnitProgress(
            number,
            unit.state,
            unit.run,
            tuple(sorted(unit.failed_runs)),
            unit.checkpoint,
            tuple(PlacedTask(i, p.worker_id) for i, p in unit.placements.items()),
            tuple(sorted(unit.crashes, key=lambda c: (c.run, c.index))),
        )
        for number, unit in enumerate(job.units)
        if unit.run or unit.state is not UnitState.WAITING
    )
    named = {p.worker_id for u in units for p in u.placed}
    known = [workers[w] for w in sorted(named) if w in workers]
    addresses = {w.worker_id: w.entry.address for w in known}
    expiries = {
        w.worker_id: w.runs_expire_at + wall_offset_s for w in known if not w.reachable
    }
    exempt = tuple(w.worker_id for w in known if w.loss_is_explained)
    born = {w.worker_id: w.entry.born for w in known if w.entry.born}
    return msgspec.msgpack.encode(
        JobProgress(job.state, units, addresses, job.ended_at, expiries, exempt, born)
    )


def decode_progress(value: bytes) -> JobProgress | MalformedBody:
    """Return a job's stored progress, or why the value cannot be decoded."""
    try:
        return _progress_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return describe_error(error)


def may_have_begun(progress: JobProgress) -> bool:
    """Return whether a task of a job may have begun since its progress was recorded.

    A unit that is placed may be at work by now. One that has only used up run numbers
    was refused by its workers.
    """
    return any(
        unit.placed or unit.failed_runs or unit.state in ENDED
        for unit in progress.units
    )


def find_misfit(job: Job, progress: JobProgress) -> MalformedBody | None:
    """Return why a record is not one of this job, or None if it may be."""
    for recorded in progress.units:
        if not 0 <= recorded.number < len(job.units):
            return MalformedBody(reason=f"the job has no unit {recorded.number}")
        indices = {placed.index for placed in recorded.placed}
        if not indices.issubset(job.units[recorded.number].indices):
            return MalformedBody(
                reason=f"unit {recorded.number} lacks a task of {sorted(indices)}"
            )
    return None


def restore_job(job: Job, progress: JobProgress) -> None:
    """Restore the recorded progress of a newly built job."""
    job.state = progress.state
    job.ended_at = progress.ended_at
    if job.state is JobState.QUEUED and may_have_begun(progress):
        job.state = JobState.RUNNING
    for recorded in progress.units:
        _restore_unit(job.units[recorded.number], recorded)


def _restore_unit(unit: Unit, recorded: UnitProgress) -> None:
    unit.state = recorded.state
    unit.run = recorded.run
    unit.failed_runs = set(recorded.failed_runs)
    unit.crashes = set(recorded.crashes)
    unit.checkpoint = recorded.checkpoint
    for placed in recorded.placed:
        unit.placements[placed.index] = Placement(
            unit,
            unit.name_task(placed.index),
            unit.run,
            placed.worker_id,
            unit.step.need,
            Phase.RECOVERED,
            last_answer_at=float("-inf"),
            recovered=True,
        )
