"""Detect that this node is partitioned from other failure domains and the store."""

import asyncio

from ..platform.store import PlatformStore
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from .fleet import Fleet
from .keys import LEADER

SILENCE_LIMIT_S = 0.9
"""Seconds without an answer from any node of another failure domain after which this
node suspects a partition: two rounds of greetings, to different nodes."""

CHECK_INTERVAL_S = 0.2
"""Seconds between two checks of the other failure domains' silence."""

PROBE_INTERVAL_S = 1.0
"""Seconds between two probes of a store that answers. Each call is billed, and nodes
keep probing if the other domains are gone for good."""

PROBE_TIMEOUT_S = 0.4
"""Timeout of a probe of the store, in seconds; a slow store takes 0.25 s."""


def is_partitioned(*, others_silent_s: float | None, store_away_s: float) -> bool:
    """Return whether a node should send its callers to other failure domains.

    In a partitioned failure domain that callers still reach, nodes can store nothing,
    not even through a peer, and would reject each caller although the other domains
    could serve it. An outage of the store alone does not count: other nodes answer then
    and are no better off. ``others_silent_s`` is None if no node of another domain is
    known: no node could serve the callers instead.
    """
    if others_silent_s is None or store_away_s <= 0:
        return False
    return others_silent_s >= SILENCE_LIMIT_S


class PartitionDetector:
    """Monitors whether this node reaches other failure domains and the store."""

    def __init__(
        self, *, fleet: Fleet, store: PlatformStore, clock: Clock, timeline: Timeline
    ) -> None:
        """Begin in the state not partitioned."""
        self._fleet = fleet
        self._store = store
        self._clock = clock
        self._timeline = timeline
        self._probed_at = -PROBE_INTERVAL_S
        self.partitioned = False

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._needs_probe():
                # A node without callers rarely uses the store: without a probe it
                # would notice a store outage only with the next caller.
                self._probed_at = self._clock.read_monotonic()
                await self._store.read_item(LEADER, timeout_s=PROBE_TIMEOUT_S)
            self._update()

    def _needs_probe(self) -> bool:
        silent_s = self._fleet.measure_silence()
        if silent_s is None or silent_s < SILENCE_LIMIT_S:
            return False
        since_s = self._clock.read_monotonic() - self._probed_at
        return not self._store.reachable or since_s >= PROBE_INTERVAL_S

    def _update(self) -> None:
        now = self._clock.read_monotonic()
        silent_s = self._fleet.measure_silence()
        outage_s = self._store.unreachable_s(now)
        partitioned = is_partitioned(others_silent_s=silent_s, store_away_s=outage_s)
        if partitioned == self.partitioned:
            return
        self.partitioned = partitioned
        event = Event.NODE_PARTITIONED if partitioned else Event.NODE_RECONNECTED
        self._timeline.record(event, others_silent_s=silent_s, store_away_s=outage_s)
