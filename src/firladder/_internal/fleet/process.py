"""The life cycle that the gateway and scheduler daemons share."""

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

STORE_POLL_S = 0.2
"""Interval at which the store's reachability is polled. The same sleep measures the
delay of the event loop, which so needs no timer of its own."""


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Process:
    """The base of a daemon: the parts that do not depend on its role."""

    role: DaemonRole

    def __init__(self, settings: Mapping[str, ResolvedSetting]) -> None:
        """Create all parts; nothing listens or connects yet."""
        self.settings = settings
        self.identity = Identity(
            vm=self.read_setting("vm"),
            role=self.role,
            failure_domain=self.read_setting("failure_domain"),
            incarnation=mint_incarnation(),
            address=self.read_setting("advertise") or self.read_setting("address"),
            http_address=self.read_setting("http_address"),
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
        self.source_ip = split_address(self.read_setting("address"))[0]
        self.store = StoreClient(
            url=self.read_setting("store_url"),
            http=HttpClient(source_ip=self.source_ip),
        )
        self.fabric = Fabric(
            address=self.read_setting("address"),
            sender=f"{self.identity.vm}/{self.role}/{self.identity.incarnation}",
            logical=self.logical,
            secret=self.read_setting("fleet_secret"),
        )
        self.configuration = ConfigurationHolder(self.timeline)
        self.adopted_at = self.clock.read_monotonic()
        self.configuration.listen(self._record_adoption)
        self.loop_lag = LoopLag()
        self.inventory = Inventory()
        # A leader that acted on a list not loaded yet would stop every gang.
        self.inventory_loaded = asyncio.Event()
        self.membership = Membership(
            fabric=self.fabric,
            describe=self.describe,
            configuration=self.configuration,
            seeds=self.read_setting("seeds"),
            period_s=self.read_setting("heartbeat_s"),
            clock=self.clock,
            rng=self.rng,
            timeline=self.timeline,
        )

    def read_setting(self, name: str) -> Any:
        """Return the value of a setting."""
        return self.settings[name].value

    @property
    def draining(self) -> bool:
        """Return whether the process is draining or stopped."""
        return self.life.state in ("draining", "stopped")

    def describe(self) -> Heartbeat:
        """Return the heartbeat that describes this process to its peers."""
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
        """Serve until a stop signal, then drain and stop."""
        self._install_signal_handlers()
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
        self.tasks.spawn(self._poll_store(), name="store-state")
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

    def _install_signal_handlers(self) -> None:
        """Start a graceful stop at the first signal, and ignore all others.

        The event loop's own handlers are removed with the loop, and the interpreter's
        at its shutdown. A second signal at the end of a graceful stop would then kill
        the process, and its supervisor would report a crash. So these are plain signal
        handlers, and ``run`` ignores the signals at its end.
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

    def _record_adoption(self, fresh: Configuration) -> None:
        self.adopted_at = self.clock.read_monotonic()

    async def _poll_store(self) -> None:
        loop = asyncio.get_running_loop()
        reachable = True
        while True:
            due = loop.time() + STORE_POLL_S
            await asyncio.sleep(STORE_POLL_S)
            self.loop_lag.observe(max(0.0, loop.time() - due), loop.time())
            if self.store.reachable != reachable:
                reachable = self.store.reachable
                self.timeline.record(
                    Event.STORE_REACHABLE if reachable else Event.STORE_UNREACHABLE
                )

    def adopt_inventory(self) -> None:
        """React to a change of the VM list; daemons override this."""

    async def begin(self) -> None:
        """Start the daemon's own parts."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Finish the open work and accept no more."""
        raise NotImplementedError

    async def close(self) -> None:
        """Cancel the running tasks and close all sockets."""
        await self.tasks.close()
        await self.membership.close()
        await self.fabric.close()
