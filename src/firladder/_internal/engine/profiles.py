"""What is known of each worker's speed and reliability."""

import dataclasses
import math

from ..exceptions import MalformedBody
from ..models.workload import WorkerEntry
from .doubts import (
    compute_doubt,
    count_good_run,
    record_failed_run,
    record_good_run,
)
from .machines import Machine, Machines, WorkerProfile
from .profile_records import encode_profiles, restore_profiles
from .slow_phases import Note
from .speeds import Speeds
from .state import Placement, Unit

__all__ = ["UNKNOWN", "Profiles", "WorkerProfile"]

MEASURED_SHARE = 0.2
"""Precision of the observations relative to the pool's prior from which a worker counts
as measured: the first per cent of one task tell next to nothing."""

NOTED_DOUBT = 0.5
"""Doubt from which a line is logged."""

UNKNOWN = WorkerProfile()


class Profiles:
    """The profiles of all workers.

    On a pool whose workers cannot be distinguished (see ``PoolSpread``), slowness is 1
    unless a worker is slow just now, so that decisions there do not depend on chance.
    """

    def __init__(self, note: Note) -> None:
        """Start without any; ``note`` logs what changes decisions."""
        self._note = note
        self.machines = Machines()
        self.speeds = Speeds(self.machines, note)

    def bind(self, entry: WorkerEntry) -> None:
        """Use the profile of the machine of a worker that has registered."""
        self.machines.bind(entry)

    def find(self, worker_id: str, now: float) -> WorkerProfile:
        """Return the profile of a worker at ``now`` (monotonic seconds)."""
        machine = self.machines.find(worker_id)
        if machine is None:
            return UNKNOWN
        profile = _find_lasting(machine)
        phase = machine.slow
        if now >= phase.until and not machine.broken:
            return profile
        factor = math.exp(phase.log_factor) if now < phase.until else 1.0
        return dataclasses.replace(
            profile,
            slowness=profile.slowness * factor,
            doubt=compute_doubt(machine, now),
        )

    def find_lasting(self, worker_id: str) -> WorkerProfile:
        """Return a worker's profile without what concerns only this moment."""
        machine = self.machines.find(worker_id)
        return UNKNOWN if machine is None else _find_lasting(machine)

    def measure_spread(self, pool: str) -> float:
        """Return the standard deviation of the log slowness in a pool."""
        found = self.machines.pools.get(pool)
        return 0.0 if found is None else found.spread

    @property
    def unrecorded(self) -> bool:
        """Whether something significant changed since the last record."""
        return any(pool.unrecorded for pool in self.machines.pools.values())

    def encode(self, now: float, *, wall: float) -> bytes:
        """Return the record for a successor.

        ``wall`` is the Unix time at ``now``: a successor's other clock is not ours.
        """
        for machine in self.machines:
            machine.recorded = machine.mean if machine.measured else None
        for pool in self.machines.pools.values():
            pool.unrecorded = False
        return encode_profiles(self.machines, self.speeds.steps, now=now, wall=wall)

    def mark_unrecorded(self) -> None:
        """Note that the newest record was not stored."""
        for pool in self.machines.pools.values():
            pool.unrecorded = True

    def restore(self, value: bytes, now: float, *, wall: float) -> None | MalformedBody:
        """Restore a former leader's record; what was learned since then is kept."""
        found = restore_profiles(
            value, self.machines, self.speeds.steps, now=now, wall=wall
        )
        if isinstance(found, MalformedBody):
            return found
        spreads = {p.name: round(p.spread, 3) for p in self.machines.pools.values()}
        self._note("profiles restored", machines=found, spreads=spreads)
        return None

    def is_uncertain(
        self, worker_id: str, pool: str, *, sd: float, enough_pairs: int
    ) -> bool:
        """Return whether a worker's slowness is known to less than ``sd``.

        After ``enough_pairs`` pairs of tasks, no worker is uncertain in a pool whose
        workers cannot be distinguished.
        """
        machine = self.machines.obtain(worker_id, pool)
        if not machine.pool.distinct and machine.pool.pairs >= enough_pairs:
            return False
        return machine.total_precision * sd * sd < 1

    def predict_run_time(self, unit: Unit, worker_id: str) -> tuple[float, float]:
        """Return the expected log run time of a task on a worker, and its variance."""
        return self.speeds.predict_run_time(unit, worker_id)

    def record_failure(self, unit: Unit, placement: Placement, now: float) -> None:
        """Record that a run failed, stalled or was refused."""
        machine = self.machines.obtain(placement.worker_id, unit.job.accepted.pool)
        earlier = len(unit.failed_runs - {placement.run})
        former = compute_doubt(machine, now)
        doubt = record_failed_run(machine, now, failures=earlier)
        if former < NOTED_DOUBT <= doubt:
            self._note(
                "worker doubted", worker=placement.worker_id, doubt=round(doubt, 2)
            )

    def record_stall(self, unit: Unit, placement: Placement, now: float) -> None:
        """Record that a run stands still, once for each run."""
        if not placement.stall_recorded:
            placement.stall_recorded = True
            self.record_failure(unit, placement, now)

    def record_success(self, unit: Unit, placement: Placement) -> None:
        """Record that a task has succeeded on its worker."""
        machine = self.machines.obtain(placement.worker_id, unit.job.accepted.pool)
        record_good_run(machine)
        if placement.task.index == unit.indices[0]:
            count_good_run(machine.pool)


def _find_lasting(machine: Machine) -> WorkerProfile:
    # This runs for each worker in each pass.
    profile = machine.profile
    if profile is None or machine.profile_epoch != machine.pool.epoch:
        profile = _make_profile(machine)
    return profile


def _make_profile(machine: Machine) -> WorkerProfile:
    """Return the lasting part of a worker's profile, and keep it."""
    pool = machine.pool
    known = machine.settled_precision + machine.precision
    measured = known > MEASURED_SHARE * pool.prior_precision
    if pool.distinct:
        log_slowness = machine.mean - pool.centre if machine.measured else 0.0
        spread = 1 / math.sqrt(machine.total_precision)
        profile = WorkerProfile(math.exp(log_slowness), spread, measured)
    else:
        profile = WorkerProfile(measured=measured)
    machine.profile, machine.profile_epoch = profile, pool.epoch
    return profile
