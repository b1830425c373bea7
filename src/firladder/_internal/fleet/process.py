"""The life cycle that both daemons share."""

import asyncio
import random
import signal
from collections.abc import Mapping
from typing import Any

from ..charts.interpreter import ChartInstance, load_chart
from ..etcd.inventory import PREFIX as VM_PREFIX
from ..etcd.inventory import Inventory
from ..etcd.mirror import PrefixMirror
from ..etcd.store import StoreClient
from ..models.configuration import Configuration
from ..models.entry import Entry
from ..models.message import DaemonRole, Heartbeat, Identity
from ..network.fabric import Fabric
from ..network.http_client import HttpClient
from ..utils.addresses import split_address
from ..utils.clocks import LogicalClock, SystemClock
from ..utils.events import Event, Timeline
from ..utils.identifiers import mint_incarnation
from ..utils.lag import LoopLag
from ..utils.settings import ResolvedSetting
from ..utils.tasks import TaskSet
from .configuration import PREFIX as CONFIGURATION_PREFIX
from .configuration import ConfigurationHolder
from .membership import Membership

STORE_LOOK_S = 0.2
"""Seconds between two looks at whether the store is reachable; the same sleep
tells how late the event loop was, so that it costs no wake-up of its own."""


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Process:
    """What a daemon has before it does anything of its own."""

    role: DaemonRole

    def __init__(self, settings: Mapping[str, ResolvedSetting]) -> None:
        """Build all parts; nothing listens or connects yet."""
        self.settings = settings
        self.identity = Identity(
            vm=self.read("vm"),
            role=self.role,
            failure_domain=self.read("failure_domain"),
            incarnation=mint_incarnation(),
            address=self.read("advertise") or self.read("address"),
            http_address=self.read("http_address"),
        )
        self.rng = random.Random()
        self.clock = SystemClock()
        self.logical = LogicalClock()
        self.timeline = Timeline(
            process=f"{self.identity.vm}/{self.role}",
            clock=self.clock,
            logical=self.logical,
            domain=self.identity.failure_domain,
        )
        self.tasks = TaskSet()
        self.life = ChartInstance(load_chart("process"))
        self.stopping = asyncio.Event()
        self.source_ip = split_address(self.read("address"))[0]
        self.store = StoreClient(
            url=self.read("store_url"), http=HttpClient(source_ip=self.source_ip)
        )
        self.fabric = Fabric(
            address=self.read("address"),
            sender=f"{self.identity.vm}/{self.role}/{self.identity.incarnation}",
            logical=self.logical,
            secret=self.read("fleet_secret"),
        )
        self.configuration = ConfigurationHolder(self.timeline)
        self.adopted_at = self.clock.read_monotonic()
        self.configuration.listen(self._note_adopted)
        self.loop_lag = LoopLag()
        self.inventory = Inventory()
        # A leader that took an empty list for the truth would end every gang.
        self.inventory_loaded = asyncio.Event()
        self.membership = Membership(
            fabric=self.fabric,
            describe=self.describe,
            configuration=self.configuration,
            seeds=self.read("seeds"),
            period_s=self.read("heartbeat_s"),
            clock=self.clock,
            rng=self.rng,
            timeline=self.timeline,
        )

    def read(self, name: str) -> Any:
        """Return the value of a setting."""
        return self.settings[name].value

    @property
    def draining(self) -> bool:
        """Tell whether the process is on its way out."""
        return self.life.state in ("draining", "stopped")

    def describe(self) -> Heartbeat:
        """Return this process as peers shall see it."""
        return Heartbeat(
            identity=self.identity,
            revision=self.configuration.current.revision,
            draining=self.draining,
            store_reachable=self.store.reachable,
            peers=self.membership.sample_addresses(),
        )

    def mirror(
        self, prefix: str, on_change: Any, *, allow_rollback: bool = False
    ) -> PrefixMirror:
        """Return a mirror of a prefix of the store."""
        return PrefixMirror(
            store=self.store,
            prefix=prefix,
            on_change=on_change,
            rng=self.rng,
            allow_rollback=allow_rollback,
        )

    async def run(self) -> None:
        """Serve until told to stop, then leave gracefully."""
        self._obey_signals()
        self.timeline.record(
            Event.PROCESS_STARTED, incarnation=self.identity.incarnation
        )
        self.fabric.start()
        self.tasks.spawn(
            self.mirror(
                CONFIGURATION_PREFIX,
                self.configuration.read_entries,
                allow_rollback=True,
            ).run(),
            name="mirror-configuration",
        )
        self.tasks.spawn(
            self.mirror(VM_PREFIX, self._adopt_machines, allow_rollback=True).run(),
            name="mirror-vms",
        )
        self.tasks.spawn(self.membership.run(), name="membership")
        self.tasks.spawn(self._watch_store(), name="store-state")
        await self.begin()
        self.life.fire("ready")
        self.timeline.record(Event.PROCESS_SERVING)
        await self.stopping.wait()
        self.life.fire("drain")
        self.timeline.record(Event.PROCESS_DRAINING)
        await self.drain()
        self.life.fire("stop")
        self.timeline.record(Event.PROCESS_STOPPED)
        await self.close()
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _obey_signals(self) -> None:
        """Begin a planned stop at the first signal, and ignore any other.

        The event loop's own handlers end with the loop, and the interpreter's
        with its shutdown: a second signal in the last moments of a graceful stop
        would then kill the process, and its supervisor would report a crash. So
        these are plain handlers, and the signals are ignored in the end.
        """
        loop = asyncio.get_running_loop()

        def stop(*_: object) -> None:
            if not self.stopping.is_set():
                loop.call_soon_threadsafe(self.stopping.set)

        for number in STOP_SIGNALS:
            signal.signal(number, stop)

    def _adopt_machines(self, entries: dict[str, Entry]) -> None:
        self.inventory.replace(entries)
        self.inventory_loaded.set()
        self.adopt_inventory()

    def _note_adopted(self, fresh: Configuration) -> None:
        self.adopted_at = self.clock.read_monotonic()

    async def _watch_store(self) -> None:
        loop = asyncio.get_running_loop()
        reachable = True
        while True:
            due = loop.time() + STORE_LOOK_S
            await asyncio.sleep(STORE_LOOK_S)
            self.loop_lag.observe(max(0.0, loop.time() - due), loop.time())
            if self.store.reachable != reachable:
                reachable = self.store.reachable
                self.timeline.record(
                    Event.STORE_REACHABLE if reachable else Event.STORE_UNREACHABLE
                )

    def adopt_inventory(self) -> None:
        """React to a new state of the VM list."""

    async def begin(self) -> None:
        """Start what the daemon itself does."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Finish what was begun and take nothing new."""
        raise NotImplementedError

    async def close(self) -> None:
        """Free all sockets."""
        await self.tasks.close()
        await self.membership.close()
        await self.fabric.close()
