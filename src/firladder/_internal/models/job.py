"""A job: a gang of tasks that run together or not at all."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .configuration import LabelText, Name, PositiveInt, Urgency
from .request import Identifier, Outcome

Adjacency = Literal["worker", "rack", "domain"]
JobState = Literal["queued", "starting", "running", "finished"]

MAX_GANG_SIZE = 1024


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a caller submits.

    Sizes and ``run_time_s`` are the caller's estimates and may be far off. All
    members must lie on one worker, in one rack or in one failure domain, as
    ``adjacency`` says.
    """

    id: Identifier
    organisation: Name
    members: Annotated[int, Meta(ge=1, le=MAX_GANG_SIZE)] = 1
    accelerators: Annotated[int, Meta(ge=0, le=1024)] = 1
    cpus: Annotated[int, Meta(ge=0, le=4096)] = 1
    memory_mb: Annotated[int, Meta(ge=0, le=16_777_216)] = 256
    adjacency: Adjacency = "rack"
    run_time_s: Annotated[float, Meta(gt=0, le=10_000_000)] = 3600.0
    urgency: Urgency = "overnight"
    idempotent: bool = True
    checkpointable: bool = False
    failure_domain: Name | None = None
    labels: dict[LabelText, LabelText] = {}
    max_attempts: Annotated[int, Meta(ge=1, le=20)] = 3
    payload: msgspec.Raw = msgspec.Raw(b"null")


class Member(msgspec.Struct, frozen=True):
    """One task of a gang, with its worker and the accelerators it holds there."""

    task: str
    worker: str
    accelerators: tuple[int, ...]


class JobRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The job as the platform's store keeps it.

    ``epoch`` is that of the leader that wrote it last. ``attempt`` counts starts,
    including those whose answer was lost. ``cell`` names the guaranteed cell that
    the gang runs in, so that a new leader does not lend it to others.
    ``clock`` is the Lamport time of the last write.
    """

    spec: JobSpec
    failure_domain: str
    submitted_at: float
    spec_digest: str
    state: JobState = "queued"
    outcome: Outcome | None = None
    reason: str | None = None
    cancel_requested: bool = False
    epoch: int = 0
    attempt: int = 0
    failures: int = 0
    members: tuple[Member, ...] = ()
    cell: str = ""
    finished_at: float | None = None
    write_id: str = ""
    clock: int = 0


PositiveCount = PositiveInt
