"""Tell whether this node is cut off from the rest of the fleet and from the store."""

import asyncio

from ..platform.store import PlatformStore
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from .fleet import Fleet
from .keys import LEADER

SILENCE_LIMIT_S = 0.9
"""Seconds without an answer from any node of another failure domain after which this
node doubts its way out: two greetings in a row, to different nodes."""

CHECK_INTERVAL_S = 0.2
"""Seconds between two looks at how long the others have been silent."""

PROBE_INTERVAL_S = 1.0
"""Seconds between two probes of a store that answers: where the other domains are away
for good, each node goes on asking, and each call is priced."""

PROBE_TIMEOUT_S = 0.4
"""Seconds for the store's answer to a doubtful node; a slow store takes 0.25 s."""


def is_partitioned(*, others_silent_s: float | None, store_away_s: float) -> bool:
    """Tell whether a node can serve nobody that another node could not serve better.

    Answers a failure domain that is cut off while its callers still reach it: its nodes
    can store nothing, nor through a peer, and each caller is refused until it gives up,
    though every other domain would serve it. An outage of the store alone is no reason:
    other nodes answer then, and are no better off. ``others_silent_s`` is None where no
    node of another domain is known: then nobody could serve the callers instead.
    """
    if others_silent_s is None or store_away_s <= 0:
        return False
    return others_silent_s >= SILENCE_LIMIT_S


class PartitionDetector:
    """Watches the ways out of this node."""

    def __init__(
        self, *, fleet: Fleet, store: PlatformStore, clock: Clock, timeline: Timeline
    ) -> None:
        """Take this node for connected until the others fall silent."""
        self._fleet = fleet
        self._store = store
        self._clock = clock
        self._timeline = timeline
        self._probed_at = -PROBE_INTERVAL_S
        self.partitioned = False

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._needs_probe():
                # A node without callers asks the store little: without a probe it
                # would learn only from the next caller that the store is away.
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
        event = Event.NODE_CUT_OFF if partitioned else Event.NODE_CONNECTED
        self._timeline.record(event, others_silent_s=silent_s, store_away_s=outage_s)
