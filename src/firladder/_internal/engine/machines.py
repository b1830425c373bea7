"""The machines behind workers, and what was learned of each."""

import dataclasses
import hashlib
import math
from collections.abc import Iterator

from ..models.workload import WorkerEntry
from .pool_spread import PoolSpread

DIGEST_BYTES = 6
"""Length of a machine's digest: among 3,000, two agree by chance once in 10^7."""

MAX_ABSENT_MACHINES = 512
"""Machines without a worker that are kept: restarts of two hundred workers at once are
usual, and a machine that is replaced for good never comes back."""

SIGNIFICANT_CHANGE = 0.1
"""Change of a log slowness that is worth a new record."""

RESIDUALS_KEPT = 6
"""Residuals of a machine that are paired with the next one, to learn the spread."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerProfile:
    """What is known of a worker now.

    ``slowness`` is the run time of a task there relative to a usual worker, and
    ``spread`` the standard deviation of its logarithm. ``measured`` says whether
    anything is known of this worker itself. ``doubt`` is the probability that a run
    fails or stalls there through the worker's fault.
    """

    slowness: float = 1.0
    spread: float = 0.0
    measured: bool = False
    doubt: float = 0.0


@dataclasses.dataclass(slots=True)
class SlowPhase:
    """The time for which a worker counts as slow, and how slow, as a logarithm.

    ``usual_at`` is when a task last was as fast as expected there.
    """

    log_factor: float = 0.0
    until: float = 0.0
    since: float = 0.0
    usual_at: float = -math.inf


@dataclasses.dataclass(slots=True, eq=False)
class Machine:
    """What is known of one machine.

    The logarithm of its slowness is estimated from a normal prior, the pool's, and two
    sums over the observations: their ``precision`` and their ``weighted`` mean, which
    is precision times value. The ``settled`` part is of tasks that have ended; the
    other part is replaced as the progress of running tasks is refined.

    ``worker_id`` is the newest incarnation there. ``mean`` is the estimate as it counts
    in the pool's centre. ``broken`` is the probability at ``broken_at`` that the worker
    fails every run. ``suspects`` has the jobs whose tasks lately looked slow there.
    ``recorded`` is the mean in the last record, and ``profile`` the lasting part of the
    profile in ``profile_epoch``.
    """

    digest: bytes
    pool: PoolSpread
    worker_id: str = ""
    precision: float = 0.0
    weighted: float = 0.0
    settled_precision: float = 0.0
    settled_weighted: float = 0.0
    running: int = 0
    mean: float = 0.0
    measured: bool = False
    changed_at: float = 0.0
    residuals: tuple[tuple[str, float, float], ...] = ()
    product_sum: float = 0.0
    product_weight: float = 0.0
    slow: SlowPhase = dataclasses.field(default_factory=SlowPhase)
    suspects: dict[str, tuple[float, float]] = dataclasses.field(default_factory=dict)
    broken: float = 0.0
    broken_at: float = 0.0
    failures: int = 0
    recorded: float | None = None
    profile: WorkerProfile | None = None
    profile_epoch: int = -1

    @property
    def total_precision(self) -> float:
        """Return the precision of the estimate, with the pool's prior."""
        return self.precision + self.settled_precision + self.pool.prior_precision

    @property
    def total_weighted(self) -> float:
        """Return the weighted mean of all observations."""
        return self.weighted + self.settled_weighted

    def update_mean(self) -> None:
        """Count a changed estimate in the pool's centre."""
        mean = self.total_weighted / self.total_precision
        self.pool.replace_mean(self.mean if self.measured else None, mean)
        self.mean = mean
        self.measured = True
        self.profile = None
        recorded = self.recorded
        if recorded is None or abs(mean - recorded) > SIGNIFICANT_CHANGE:
            self.pool.unrecorded = True


class Machines:
    """All machines, by the workers there and by their digests."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_worker: dict[str, Machine] = {}
        self._by_digest: dict[bytes, Machine] = {}
        self._entries: dict[str, WorkerEntry] = {}
        self.pools: dict[str, PoolSpread] = {}

    def __iter__(self) -> Iterator[Machine]:
        """Iterate over all machines."""
        return iter(self._by_digest.values())

    def bind(self, entry: WorkerEntry) -> Machine:
        """Return the machine of a worker that is registered with this entry."""
        known = self._entries.get(entry.worker_id)
        if known is not None and _is_same_machine(known, entry):
            return self._by_worker[entry.worker_id]
        self._entries[entry.worker_id] = entry
        machine = self._obtain(compute_digest(entry), entry.pool)
        self._by_worker[entry.worker_id] = machine
        machine.worker_id = entry.worker_id
        return machine

    def find(self, worker_id: str) -> Machine | None:
        """Return the machine of a worker, or None."""
        return self._by_worker.get(worker_id)

    def obtain(self, worker_id: str, pool: str) -> Machine:
        """Return the machine of a worker that may not be registered yet."""
        machine = self._by_worker.get(worker_id)
        if machine is None:
            machine = self._obtain(_hash(worker_id), pool)
            self._by_worker[worker_id] = machine
            machine.worker_id = worker_id
        return machine

    def restore(self, digest: bytes, pool: str) -> Machine:
        """Return the machine with a recorded digest."""
        return self._obtain(digest, pool)

    def release(self, worker_id: str) -> None:
        """Keep what is known of a worker's machine for its next incarnation."""
        self._by_worker.pop(worker_id, None)
        self._entries.pop(worker_id, None)
        if len(self._by_digest) > len(self._by_worker) + MAX_ABSENT_MACHINES:
            self._drop_absent()

    def obtain_pool(self, name: str) -> PoolSpread:
        """Return what is known of the spread of a pool."""
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = PoolSpread(name)
        return pool

    def _obtain(self, digest: bytes, pool: str) -> Machine:
        machine = self._by_digest.get(digest)
        if machine is None:
            machine = Machine(digest, self.obtain_pool(pool))
            self._by_digest[digest] = machine
        return machine

    def _drop_absent(self) -> None:
        """Drop the machines without a worker of which nothing was learned lately."""
        present = {id(machine) for machine in self._by_worker.values()}
        absent = [m for m in self if id(m) not in present]
        absent.sort(key=lambda machine: machine.changed_at)
        for machine in absent[: len(absent) // 2]:
            del self._by_digest[machine.digest]
            if machine.measured:
                machine.pool.remove_mean(machine.mean)


def _is_same_machine(one: WorkerEntry, other: WorkerEntry) -> bool:
    return one is other or (
        one.address == other.address
        and one.pool == other.pool
        and one.capacity == other.capacity
        and one.labels == other.labels
        and one.rack == other.rack
    )


def compute_digest(entry: WorkerEntry) -> bytes:
    """Return the digest of a machine: its address, capacity, labels and rack.

    A worker without an address is a machine of its own.
    """
    capacity = entry.capacity
    return _hash(
        entry.address or f"worker {entry.worker_id}",
        f"{capacity.cpu_milli} {capacity.memory_mb} {capacity.accelerators}",
        *sorted(entry.labels),
        entry.rack,
    )


def _hash(*parts: str) -> bytes:
    text = "\0".join(parts).encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
