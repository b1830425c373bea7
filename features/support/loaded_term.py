"""A leader's term without a store, for tests of its planning and its sessions."""

import random
import types
from collections.abc import Awaitable

from features.support.fake_workers import FakeWorkerCalls
from features.support.virtual_time import VirtualClock
from firladder._internal.network.traffic import TrafficMeter
from firladder._internal.node.link_backlog import LinkBacklog
from firladder._internal.node.term import Term


class LoadedTerm(Term):
    """A term that has read its records; it runs in virtual time."""

    def __init__(self) -> None:
        settings = types.SimpleNamespace(
            max_lease_s=6.0,
            member_wait_s=3.0,
            reclaim_s=2.7,
            restart_s=0.3,
            retention_s=120.0,
        )
        clock = VirtualClock()
        super().__init__(
            store=None,
            calls=FakeWorkerCalls(),
            leadership=types.SimpleNamespace(token=1, lease_valid_until=1e9),
            settings=settings,
            clock=clock,
            rng=random.Random(1),
            timeline=types.SimpleNamespace(record=lambda *_args, **_fields: None),
            traffic=TrafficMeter(),
            backlog=LinkBacklog(link_mbps=1000.0, read_clock=clock.read_monotonic),
            on_order=lambda *_args: None,
        )

    async def lead(self, work: Awaitable[None]) -> None:
        """Plan and send orders while ``work`` runs."""
        self._start_loops()
        try:
            await work
        finally:
            await self._tasks.close()
