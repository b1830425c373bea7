"""Jobs, queues and workers as the scheduling core sees them."""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processor (in thousandths of a core), memory and accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference; each amount in it may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Return whether ``other`` fits into this amount."""
        return (
            self.cpu_milli >= other.cpu_milli
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


def add_resources(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of all amounts."""
    total = Resources()
    for amount in amounts:
        total = total + amount
    return total


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """``count`` equal tasks; ``after`` lists the steps that must be done first.

    ``rack`` names the rack that holds the data. ``most_per_worker`` 0 means no
    limit. ``lasting`` tasks run until the job is cancelled.
    """

    count: int
    need: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_worker: int = 0
    copies_allowed: bool = False
    lasting: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """What a caller submitted; with ``occurrences`` 0 the steps run once, at once.

    Otherwise occurrence K is due at ``first_at_s`` + K x ``interval_s`` (Unix time).
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_at_s: float = 0.0
    interval_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedJob:
    """An accepted job with the settings of its queue at the time of acceptance.

    ``accepted_at_s`` is Unix time on the VM that took the job; ``pool`` names
    the workers that run the queue's tasks.
    """

    job_id: str
    queue: str
    organisation: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    slo_s: float
    accepted_at_s: float
    workload: Workload


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceTerms:
    """How long the advice service takes, and how long its tickets are valid.

    It answers ``decision_s`` plus ``per_worker_s`` for each worker after a request.
    """

    decision_s: float
    per_worker_s: float
    valid_s: float

    def estimate_answer(self, workers: int) -> float:
        """Return the usual seconds to the answer to a request for that many workers."""
        return self.decision_s + self.per_worker_s * workers


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration in force.

    The latency objective is ``stretch`` times the longest chain of work plus
    ``slo_s``. With ``advice`` only some workers of the pool may run a step, and only
    the advice service knows which.
    """

    name: str
    host: str
    prefix: str
    pool: str
    public: bool = False
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_s: float = 0.0
    advice: AdviceTerms | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A pool of workers; with ``enforces_capacity`` they reject excess tasks."""

    name: str
    enforces_capacity: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation, its keys, and the number of accelerators guaranteed to it."""

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """The configuration of queues, pools and organisations at one version."""

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    max_body_bytes: int = 262144
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One incarnation of a worker, as it registered itself.

    ``rack`` is empty if the worker names none. While the worker drains,
    ``leaves_in_s`` is the minimum time until it leaves. ``born`` is when this
    incarnation started, in Unix milliseconds, or 0 if it does not say: a worker may
    start again under its id.
    """

    worker_id: str
    address: str
    pool: str
    failure_domain: str
    capacity: Resources
    labels: frozenset[str]
    rack: str = ""
    draining: bool = False
    leaves_in_s: float | None = None
    born: int = 0
