"""Bodies of the HTTP interface that belong to no other model."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .configuration import Name
from .job import JobRecord

Action = Literal["add", "replace", "remove", "keep"]


class TicketRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for ids under which requests run at most once."""

    count: Annotated[int, Meta(ge=1, le=1000)] = 1


class Tickets(msgspec.Struct, frozen=True):
    """Request ids that only the gateway that issued them may run, until it restarts."""

    ids: tuple[str, ...]


class JobList(msgspec.Struct, frozen=True):
    """Jobs as of one revision of the store."""

    jobs: tuple[JobRecord, ...]


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the configuration that the store accepted, or would accept.

    ``actions`` says of each changed part whether it is added, replaced,
    removed or stays as it was.
    """

    revision: int
    dry_run: bool = False
    changed: tuple[str, ...] = ()
    actions: dict[str, Action] = {}


class ProcessStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A process according to the last heartbeat that this gateway has of it."""

    vm: str
    role: str
    alive: bool
    draining: bool
    revision: int
    heard_s_ago: float
    http_address: str


class DomainStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A failure domain as this gateway sees it.

    ``in_force`` is the lowest revision among its live processes, or the lowest
    last heard of; ``cut_off`` is true if no process there answers this gateway.
    """

    failure_domain: Name
    in_force: int
    cut_off: bool
    processes: tuple[ProcessStatus, ...]
    leader: str | None = None
    epoch: int = 0
    isolated: bool = False
    queued: int | None = None
    running: int | None = None
    accelerators: int | None = None
    accelerators_busy: int | None = None
    workers_unreachable: tuple[str, ...] = ()
    workers_quarantined: tuple[str, ...] = ()
    degraded: dict[str, str] = {}


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet as this gateway sees it; what it cannot reach is marked as such."""

    revision: int
    in_force_everywhere: bool
    store_reachable: bool
    failure_domains: tuple[DomainStatus, ...]
