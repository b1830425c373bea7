"""In-memory components of golden sessions that record their messages."""

import asyncio
import itertools
import json
import random
import re
import types
from typing import Any

import msgspec

from features.support.protocol import FakeClock, FakeStore
from firladder._internal.charts.interpreter import load_chart
from firladder._internal.etcd.inventory import Inventory
from firladder._internal.etcd.targets import TargetResponse
from firladder._internal.exceptions import PeerUnreachable, StoreUnavailable
from firladder._internal.fleet.configuration import PREFIX as CONFIGURATION_PREFIX
from firladder._internal.fleet.configuration import ConfigurationHolder
from firladder._internal.fleet.membership import Peer
from firladder._internal.gateway.configuration import ConfigurationHandler
from firladder._internal.gateway.dispatch import Dispatcher
from firladder._internal.gateway.jobs import JobHandler
from firladder._internal.gateway.ownership import RequestIdRegistry
from firladder._internal.gateway.requests import RequestHandler
from firladder._internal.gateway.routes import routes
from firladder._internal.gateway.targets import TargetTable
from firladder._internal.models.entry import Delete, Entry, Snapshot
from firladder._internal.models.machine import Machine
from firladder._internal.models.message import Envelope, Heartbeat, Identity
from firladder._internal.network.http_server import HttpCall
from firladder._internal.policies.dispatching import find_policies
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.codec import encode_json
from firladder._internal.utils.events import Timeline

COLUMNS = 100


class Recorder:
    """Collects the lines of one session."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def title(self, text: str) -> None:
        self.lines += ["", f"# {text}"] if self.lines else [f"# {text}"]

    def write(self, source: str, dest: str, text: str) -> None:
        # Wrap between fields, so that a diff shows the field that changed.
        line = f"{source} -> {dest}:"
        for part in re.split(r"(?<=, )(?=\")|(?<=,)(?=\")|(?<=; )", f" {text}"):
            if len(line) + len(part) > COLUMNS:
                self.lines.append(line)
                line = "    "
            line += part
        self.lines.append(line)


class RecordingStore(FakeStore):
    """The store of a session, whose calls and answers are recorded."""

    def __init__(self, recorder: Recorder) -> None:
        super().__init__()
        self.recorder = recorder

    def connect(self, name: str) -> "StoreView":
        return StoreView(self, name)


def format_answer(answer: Any) -> str:
    """Return a store answer as text, with readable values."""
    if isinstance(answer, Entry):
        return f"{answer.key} at {answer.mod_revision} {answer.value.decode()}"
    if isinstance(answer, Snapshot):
        entries = "; ".join(map(format_answer, answer.entries))
        return f"revision {answer.revision}; {entries}"
    return encode_json(answer).decode()


class StoreView:
    """The store's client in one process of the session."""

    def __init__(self, store: RecordingStore, name: str) -> None:
        self.store, self.name = store, name

    async def _call(self, text: str, work: Any) -> Any:
        self.store.recorder.write(self.name, "store", text)
        await asyncio.sleep(0)
        down = StoreUnavailable(reason="connection refused")
        answer = down if self.store.down else await work
        if self.store.down:
            work.close()
        self.store.recorder.write("store", self.name, format_answer(answer))
        return answer

    async def get(self, key: str) -> Any:
        return await self._call(f"get {key}", self.store.get(key))

    async def range(self, prefix: str) -> Any:
        return await self._call(f"range {prefix}", self._range(prefix))

    async def _range(self, prefix: str) -> Snapshot:
        entries = sorted(self.store.entries_of(prefix).values(), key=lambda e: e.key)
        return Snapshot(self.store.revision, tuple(entries))

    async def grant_lease(self, ttl_s: int) -> Any:
        return await self._call(f"grant {ttl_s} s", self.store.grant_lease(ttl_s))

    async def commit(self, compares: Any, changes: Any) -> Any:
        compares, changes = list(compares), list(changes)
        conditions = [f"{c.key} at {c.mod_revision}" for c in compares]
        writes = [
            f"delete {c.key}"
            if isinstance(c, Delete)
            else f"put {c.key} {c.value.decode()}"
            for c in changes
        ]
        text = f"if {' and '.join(conditions) or 'ever'}: {'; '.join(writes)}"
        return await self._call(text, self.store.commit(compares, changes))


class FakeTarget:
    """Simulate the targets that one gateway calls; each answer echoes the request."""

    def __init__(self, recorder: Recorder, name: str) -> None:
        self.recorder, self.name = recorder, name

    async def run(self, address: str, service: str, **call: Any) -> TargetResponse:
        text = f"POST /{service} x-request-id={call['request_id']} "
        self.recorder.write(self.name, address, text + call["body"].decode())
        await asyncio.sleep(0)
        answer = TargetResponse(200, b'{"plan":' + call["body"] + b"}")
        self.recorder.write(address, self.name, f"200 {answer.body.decode()}")
        return answer


class FakeNetwork:
    """The network between the processes of a session, with the real encoding."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.handlers: dict[str, dict[type, Any]] = {}
        self.clocks: dict[str, LogicalClock] = {}
        self.partitioned: set[str] = set()

    def connect(self, name: str, logical: LogicalClock) -> Any:
        self.handlers[name], self.clocks[name] = {}, logical

        async def ask(address: str, body: Any, *, timeout_s: float) -> Any:
            if address in self.partitioned or name in self.partitioned:
                self.recorder.write(name, address, f"lost {type(body).__name__}")
                return PeerUnreachable(reason=f"{address}: no reply")
            received = self.deliver(name, address, body)
            reply = await self.handlers[address][type(received)](received)
            return self.deliver(address, name, reply)

        return types.SimpleNamespace(ask=ask, handle=self.handlers[name].__setitem__)

    def deliver(self, source: str, dest: str, body: Any) -> Any:
        clock = self.clocks[source].advance()
        envelope = Envelope(sender=source, clock=clock, correlation="1", body=body)
        data = msgspec.msgpack.encode(envelope)
        self.recorder.write(source, dest, f"{type(body).__name__} {data!r}")
        received = msgspec.msgpack.decode(data, type=Envelope)
        self.clocks[dest].merge(received.clock)
        return received.body


class GatewayBench:
    """The production handlers of one gateway behind its production routes."""

    def __init__(self, name: str, store: RecordingStore, network: FakeNetwork) -> None:
        self.name, self.recorder = name, store.recorder
        self.store = store.connect(name)
        self.clock = FakeClock()
        logical = LogicalClock()
        self.timeline = Timeline(process=name, clock=self.clock, logical=logical)
        self.identity = Identity(name, "gateway", "bern", f"start{name}", name, name)
        fabric = network.connect(name, logical)
        self.configuration = ConfigurationHolder(self.timeline)
        self.inventory = Inventory()
        self.peers: list[GatewayBench] = []
        self.metrics = types.SimpleNamespace(count_request=lambda *_: None)
        membership: Any = types.SimpleNamespace(
            list_peers=self.list_peers,
            list_all=lambda: [Peer(heartbeat, 0.0) for heartbeat in self.list_peers()],
        )
        self.id_registry = RequestIdRegistry(identity=self.identity, store=self.store)  # type: ignore[arg-type]
        self.targets = TargetTable(
            inventory=self.inventory, own_address=name, share=find_policies().share
        )
        self.dispatcher = Dispatcher(
            targets=self.targets,
            client=FakeTarget(self.recorder, name),  # type: ignore[arg-type]
            configuration=self.configuration,
            chart=load_chart("request"),
            clock=self.clock,
            rng=random.Random(1),
            timeline=self.timeline,
            policies=find_policies(),
            queue_limit=100,
        )
        shared: dict[str, Any] = {
            "configuration": self.configuration,
            "clock": self.clock,
            "timeline": self.timeline,
        }
        self.requests = RequestHandler(
            id_registry=self.id_registry,
            dispatcher=self.dispatcher,
            membership=membership,
            fabric=fabric,
            **shared,
        )
        self.jobs = JobHandler(store=self.store, inventory=self.inventory, **shared)  # type: ignore[arg-type]
        self.changes = ConfigurationHandler(
            store=self.store,  # type: ignore[arg-type]
            holder=self.configuration,
            inventory=self.inventory,
            find_newest=int,
            timeline=self.timeline,
        )

    def list_peers(self, **_: Any) -> list[Heartbeat]:
        return [Heartbeat(identity=p.identity, revision=0) for p in self.peers]

    def read_setting(self, name: str) -> Any:
        """Return a setting: all are empty, so no operator token is required."""
        return ""

    def adopt(self, machines: list[Machine]) -> None:
        self.inventory.replace(
            {m.name: Entry(m.name, encode_json(m), 1) for m in machines}
        )
        self.targets.refresh()

    def sync_configuration(self) -> None:
        """Load the configuration from the store, as the gateway's watch does."""
        store = self.store.store
        self.configuration.read_entries(store.entries_of(CONFIGURATION_PREFIX))

    async def call(self, who: str, method: str, path: str, body: Any = None) -> Any:
        """Call a route as the HTTP server does and return the decoded reply."""
        raw = b"" if body is None else json.dumps(body).encode()
        self.recorder.write(who, self.name, f"{method} {path} {raw.decode()}".rstrip())
        found: Any = routes.find(method, path)
        call = HttpCall(
            method, path, found[1], {}, {}, raw, "127.0.0.1", asyncio.Event(), None
        )
        reply = await found[0](self, call)
        headers = "".join(f" {k}={v}" for k, v in sorted(reply.headers.items()))
        text = f"{reply.status}{headers} {reply.body.decode()}"
        self.recorder.write(self.name, who, text)
        return json.loads(reply.body)


def make_token_source() -> Any:
    """Return a token source that counts up instead of drawing random tokens."""
    numbers = itertools.count(1)
    return lambda size: f"{next(numbers):0{2 * size}x}"
