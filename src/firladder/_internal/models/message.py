"""Messages between the product's own processes.

``Envelope`` carries the sender's incarnation and logical clock with each body, so
that the events of all processes can be put in causal order on the timeline.
"""

from typing import Literal

import msgspec

from ..exceptions import AnyFailure
from .configuration import Configuration

DaemonRole = Literal["gateway", "scheduler"]


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a process; each start has an ``incarnation`` of its own."""

    vm: str
    role: DaemonRole
    failure_domain: str
    incarnation: str
    address: str
    http_address: str


class Body(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", array_like=True
):
    """Base of all message bodies.

    Encoded as arrays: field names would be more than half of a heartbeat's bytes.
    Append new fields with a default, so that older processes can read them.
    """


class Heartbeat(Body, frozen=True, kw_only=True, tag="heartbeat"):
    """Announce that a process is alive, its configuration and its demand.

    ``demand`` maps a service to the requests queued and in flight there;
    ``leading`` is the epoch if the sender leads its failure domain, else 0.
    """

    identity: Identity
    revision: int
    draining: bool = False
    store_reachable: bool = True
    leading: int = 0
    demand: dict[str, int] = {}
    leaving_targets: tuple[str, ...] = ()
    peers: tuple[str, ...] = ()


class HeartbeatAck(Body, frozen=True, kw_only=True, tag="heartbeat_ack"):
    """Answer a heartbeat with the receiver's own."""

    heartbeat: Heartbeat


class FetchConfiguration(Body, frozen=True, kw_only=True, tag="fetch_configuration"):
    """Ask a peer for its configuration if it is newer than ``revision``."""

    revision: int


class ConfigurationReply(Body, frozen=True, kw_only=True, tag="configuration_reply"):
    """The configuration, or None if the one of the asking peer is as new."""

    configuration: Configuration | None = None


class ReadClock(Body, frozen=True, kw_only=True, tag="read_clock"):
    """Ask a peer for its monotonic clock."""


class ClockReply(Body, frozen=True, kw_only=True, tag="clock_reply"):
    """The monotonic clock of the process that answers, in seconds."""

    now_s: float


class RelayRequest(Body, frozen=True, kw_only=True, tag="relay_request"):
    """Relay a request to the only gateway that may run its id.

    ``request`` is a ``ServiceRequest`` in JSON: its body is the caller's JSON and
    would break a MessagePack message. The receiver must not run it after
    ``expires_at`` on its own monotonic clock: delayed by a partition, the message
    may arrive long after the caller was answered.
    """

    service: str
    request: bytes
    expires_at: float


class RelayReply(Body, frozen=True, kw_only=True, tag="relay_reply"):
    """The owner's final answer to a relayed request, a ``RequestResult`` in JSON."""

    result: bytes


class FetchDomain(Body, frozen=True, kw_only=True, tag="fetch_domain"):
    """Ask a leader for the state of its failure domain."""


class Refused(Body, frozen=True, kw_only=True, tag="refused"):
    """The receiver cannot answer the message."""

    failure: AnyFailure


class WorkerSummary(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as its leader sees it."""

    name: str
    rack: str
    accelerators: int
    busy: int
    reachable: bool
    quarantined: bool


class DomainReply(Body, frozen=True, kw_only=True, tag="domain_reply"):
    """A leader's view of its failure domain."""

    failure_domain: str
    epoch: int
    isolated: bool
    queued: int
    running: int
    workers: tuple[WorkerSummary, ...]
    degraded: dict[str, str] = {}


class GreetNode(Body, frozen=True, kw_only=True, tag="greet_node"):
    """Ask a node for its view, and announce the sender's own.

    ``leader_token`` is the fencing token of the known leader, or 0. The last two
    fields say how well the VM can lead: the speed of its link, and the delay before
    it stands for election, which gives others precedence.
    """

    ip: str
    configuration_version: int = 0
    leader_ip: str = ""
    leader_token: int = 0
    store_reachable: bool = True
    failure_domain: str = ""
    link_mbps: float = 0.0
    campaign_delay_s: float = 0.0


class NodeView(Body, frozen=True, kw_only=True, tag="node_view"):
    """A node's view of the fleet, in answer to ``GreetNode``.

    ``advice_unavailable`` is told by the leader only.
    """

    peers: tuple[str, ...] = ()
    leader_ip: str = ""
    leader_token: int = 0
    configuration_version: int = 0
    store_reachable: bool = True
    failure_domain: str = ""
    advice_unavailable: bool = False


class AdvertiseConfiguration(
    Body, frozen=True, kw_only=True, tag="advertise_configuration"
):
    """Announce that the node at ``ip`` has ``version``; older nodes then fetch it."""

    ip: str
    version: int


class FetchQueues(Body, frozen=True, kw_only=True, tag="fetch_queues"):
    """Ask a node for its queues and keys if their version exceeds ``newer_than``."""

    newer_than: int


class QueuesReply(Body, frozen=True, kw_only=True, tag="queues_reply"):
    """The configuration as stored, packed; empty if it is not newer."""

    packed: bytes = b""


class AnnounceJob(Body, frozen=True, kw_only=True, tag="announce_job"):
    """Send the leader the record of a job that has been stored."""

    record: bytes


class AnnounceCancel(Body, frozen=True, kw_only=True, tag="announce_cancel"):
    """Notify the leader of a cancellation that has been stored."""

    job_id: str


class StoreRecord(Body, frozen=True, kw_only=True, tag="store_record"):
    """Ask a node to store a value under a key unless the key exists."""

    key: str
    value: bytes


class StoreOutcome(Body, frozen=True, kw_only=True, tag="store_outcome"):
    """The result of a ``StoreRecord``; ``unknown`` if it may have been stored."""

    outcome: Literal["stored", "exists", "not_stored", "unknown"]


class AskJob(Body, frozen=True, kw_only=True, tag="ask_job"):
    """Ask the leader for the state of a job."""

    job_id: str


class AskPending(Body, frozen=True, kw_only=True, tag="ask_pending"):
    """Ask the leader for the number of jobs of a queue that have not begun."""

    queue: str


class JobReply(Body, frozen=True, kw_only=True, tag="job_reply"):
    """A job's state; empty if the leader does not know the job."""

    state: str = ""


class PendingReply(Body, frozen=True, kw_only=True, tag="pending_reply"):
    """The number of jobs that have not begun."""

    count: int


class Received(Body, frozen=True, kw_only=True, tag="received"):
    """Acknowledge a message that needs no other answer."""


AnyBody = (
    Heartbeat
    | HeartbeatAck
    | FetchConfiguration
    | ConfigurationReply
    | ReadClock
    | ClockReply
    | RelayRequest
    | RelayReply
    | FetchDomain
    | DomainReply
    | Refused
    | GreetNode
    | NodeView
    | AdvertiseConfiguration
    | FetchQueues
    | QueuesReply
    | AnnounceJob
    | AnnounceCancel
    | StoreRecord
    | StoreOutcome
    | AskJob
    | AskPending
    | JobReply
    | PendingReply
    | Received
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One message on the wire; ``correlation`` matches a reply to its request."""

    sender: str
    clock: int
    correlation: str
    body: AnyBody
