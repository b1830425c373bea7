"""The catalogue of numbered events, and the timeline that records them."""

import enum
import logging
from collections import Counter, deque
from collections.abc import Iterable
from typing import Any

import msgspec

from .clocks import Clock, LogicalClock
from .logs import PRIORITY_ATTRIBUTE

logger = logging.getLogger("firladder.events")

TIMELINE_CAPACITY = 4096
"""Events kept in memory; at about 300 bytes each, at most 1.2 MB."""


class Event(enum.Enum):
    """An event's number and message; ``docs/events.md`` tells operators what to do."""

    PROCESS_STARTED = (100, "process started")
    PROCESS_SERVING = (101, "process serving")
    PROCESS_DRAINING = (102, "process draining")
    PROCESS_STOPPED = (103, "process stopped")
    STORE_UNREACHABLE = (110, "store unreachable")
    STORE_REACHABLE = (111, "store reachable again")
    PEER_JOINED = (120, "peer joined")
    PEER_LOST = (121, "peer silent")
    CONFIGURATION_ADOPTED = (130, "configuration adopted")
    CONFIGURATION_ACCEPTED = (131, "configuration accepted")
    CONFIGURATION_REFUSED = (132, "configuration refused")
    CONFIGURATION_ROLLED_BACK = (133, "store holds an older configuration")
    REQUEST_ADMITTED = (200, "request admitted")
    REQUEST_SENT = (201, "request sent to target")
    REQUEST_ENDED = (202, "request ended")
    REQUEST_RELAYED = (203, "request relayed to its owner")
    ANSWER_DISCARDED = (204, "answer discarded")
    TARGET_LEAVING = (210, "target leaving")
    JOB_ACCEPTED = (300, "job accepted")
    JOB_CANCEL_ACCEPTED = (301, "cancellation accepted")
    JOB_ENDED = (302, "job ended")
    LEADERSHIP_GAINED = (400, "leadership gained")
    LEADERSHIP_LOST = (401, "leadership lost")
    LEADERSHIP_ISOLATED = (402, "leading without the store")
    WORKER_CLAIMED = (410, "worker claimed")
    WORKER_LOST = (411, "worker unreachable")
    WORKER_FENCED = (412, "worker obeys a higher epoch")
    WORKER_QUARANTINED = (413, "worker quarantined")
    PREEMPTION_ORDERED = (433, "eviction ordered")
    QUARANTINE_ENDED = (432, "worker back from quarantine")
    GANG_RESERVED = (420, "gang reserved")
    GANG_STARTED = (421, "gang started")
    GANG_ENDED = (422, "gang ended")
    GANG_ABORTED = (423, "gang aborted")
    GANG_PREEMPTED = (424, "gang evicted")
    GUARANTEE_DEGRADED = (430, "guarantee degraded")
    GUARANTEE_RESTORED = (431, "guarantee restored")
    NODE_STARTED = (500, "node started")
    NODE_STOPPING = (501, "node stopping")
    NODE_STOPPED = (502, "node stopped")
    SETTINGS_RELOADED = (503, "settings reloaded")
    SETTINGS_REFUSED = (504, "settings refused")
    QUEUES_ADOPTED = (510, "queues and keys adopted")
    OTHER_LEADER_KNOWN = (511, "another leader known")
    ENTRY_SKIPPED = (512, "entry of another writer left out")
    NODE_PARTITIONED = (513, "cut off from the fleet and the store")
    NODE_RECONNECTED = (514, "connected to the fleet or the store again")
    WATCH_BROKEN = (515, "watch of the store broken off")
    WATCH_RESUMED = (516, "watch of the store resumed")
    CONFIGURATION_MISSED = (517, "newer configuration not received from a peer")
    SUBMISSION_ANSWERED = (520, "submission answered")
    CANCELLATION_ANSWERED = (521, "cancellation answered")
    JOB_STATE_UNKNOWN = (522, "state of a job not known")
    CALL_REJECTED = (523, "call for an unknown queue or key refused")
    TERM_STARTED = (530, "term of leadership begun")
    TERM_LOADED = (531, "jobs and workers loaded")
    TERM_ENDED = (532, "term of leadership ended")
    WORKER_DRAINING = (540, "worker drains")
    CORE_DECIDED = (541, "scheduling decision")
    DOMAIN_EVACUATED = (542, "failure domain gets no new work")
    DOMAIN_RESTORED = (543, "failure domain gets work again")
    LEADER_LOAD = (544, "load of the leader")
    ADVICE_UNAVAILABLE = (550, "advice service unavailable")
    ADVICE_AVAILABLE = (551, "advice service available again")

    @property
    def number(self) -> int:
        """Return the event's catalogue number."""
        return int(self.value[0])

    @property
    def message(self) -> str:
        """Return the event's fixed text."""
        return str(self.value[1])


ROUTINE_EVENTS = frozenset(
    (
        Event.REQUEST_ADMITTED,
        Event.REQUEST_SENT,
        Event.REQUEST_ENDED,
        Event.REQUEST_RELAYED,
        Event.JOB_ACCEPTED,
        Event.JOB_CANCEL_ACCEPTED,
        Event.JOB_ENDED,
        Event.SUBMISSION_ANSWERED,
        Event.CANCELLATION_ANSWERED,
        Event.JOB_STATE_UNKNOWN,
        Event.CALL_REJECTED,
        Event.CORE_DECIDED,
    )
)
"""Events that occur with each request. Their lines are dropped first."""


class EventRecord(msgspec.Struct, frozen=True):
    """One event of one process.

    ``clock`` is its Lamport time, ``wall`` the seconds since the Unix epoch and
    ``domain`` the failure domain of the process.
    """

    clock: int
    wall: float
    process: str
    number: int
    message: str
    details: dict[str, Any] = {}
    domain: str = ""


class Timeline:
    """The most recent events of this process."""

    def __init__(
        self,
        *,
        process: str,
        clock: Clock,
        logical: LogicalClock,
        domain: str = "",
        capacity: int = TIMELINE_CAPACITY,
    ) -> None:
        """Keep at most ``capacity`` events and discard the oldest first."""
        self.logical = logical
        self._process = process
        self._domain = domain
        self._clock = clock
        self._events: deque[EventRecord] = deque(maxlen=capacity)
        self.counts: Counter[tuple[Event, str]] = Counter()

    def stamp(self) -> int:
        """Return the Lamport time for an event that will be recorded later.

        A write to the store can have effects in other processes before its reply
        arrives here. If the event were stamped after the reply, it would be
        ordered after its own effects.
        """
        return self.logical.advance()

    def record(
        self, event: Event, /, *, priority: bool = False, **details: Any
    ) -> EventRecord:
        """Record an event on the timeline and in the log.

        ``priority`` lets a routine event be logged although others are dropped.
        """
        return self.record_at(
            self.logical.advance(), event, priority=priority, **details
        )

    def record_at(
        self,
        lamport_time: int,
        event: Event,
        /,
        *,
        priority: bool = False,
        **details: Any,
    ) -> EventRecord:
        """Record an event at a time that ``stamp`` returned earlier."""
        entry = EventRecord(
            lamport_time,
            self._clock.read_wall(),
            self._process,
            event.number,
            event.message,
            details,
            self._domain,
        )
        self._events.append(entry)
        self.counts[event, str(details.get("outcome") or "")] += 1
        logger.info(
            event.message,
            extra={
                "event_number": event.number,
                "clock": entry.clock,
                "event_domain": self._domain,
                "event_wall": entry.wall,
                **details,
                PRIORITY_ATTRIBUTE: priority or event not in ROUTINE_EVENTS,
            },
        )
        return entry

    def list_events(self, *, after: int = 0) -> tuple[EventRecord, ...]:
        """Return the kept events whose Lamport time is later than ``after``."""
        return tuple(entry for entry in self._events if entry.clock > after)


def merge_events(records: Iterable[EventRecord]) -> list[EventRecord]:
    """Return the events of many processes in causal order."""
    return sorted(records, key=lambda e: (e.clock, e.wall, e.process))
