"""Stand-ins of the platform for the review's scripts, and the node processes.

Everything runs on loopback addresses, with the standard library only. The store and
the runners do what PROTOCOL.md says of them, and nothing that it doesn't say.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be run, so it says nothing of the rule."""


def clock() -> float:
    """Return the seconds since the script was started."""
    return time.monotonic() - STARTED


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")

    def __call__(self, text: str) -> None:
        line = f"{clock():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


# -- HTTP ----------------------------------------------------------------------------


class Request:
    """One request that a stand-in has read."""

    def __init__(self, method, target, headers, body, peer) -> None:
        parts = urlsplit(target)
        self.method, self.path = method, unquote(parts.path)
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers, self.raw, self.peer = headers, body, peer

    @property
    def json(self):
        return json.loads(self.raw)


async def _read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class HttpServer:
    """A listener; ``handler`` returns (status, value) or None for no answer."""

    def __init__(self, handler) -> None:
        self._handler = handler
        self._server = None
        self._writers = set()
        self.dark = False

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body, peer)
                found = None if self.dark else await self._handler(request)
                if found is None or self.dark:
                    # No answer, and nothing further on this connection.
                    await reader.read()
                    return
                status, value = found
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def go_dark(self) -> None:
        """Answer nothing any more, and close nothing; new connections hang."""
        self.dark = True
        # The listening socket stays open with a full queue, so that the system drops
        # the opening packets.
        for listener in self._server.sockets:
            self._kept = [socket.socket(fileno=os.dup(listener.fileno()))]
        self._server.close()
        kept = self._kept[0]
        kept.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(kept.getsockname())
            self._kept.append(filler)

    def abort(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()


async def call(address, method, path, body=None, *, headers=None, timeout_s=3.0):
    """Make one HTTP call on a new connection; return (status, value) or None."""
    host, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [
                f"{k}: {v}" for k, v in {"Host": address, **(headers or {})}.items()
            ]
            if data:
                lines += ["Content-Type: application/json"]
            lines += [f"Content-Length: {len(data)}", "", ""]
            writer.write("\r\n".join(lines).encode() + data)
            await writer.drain()
            first, _, answer = await _read_message(reader)
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(answer) if answer else None
            except ValueError:
                return status, answer.decode("utf-8", "replace")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, TimeoutError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


# -- the platform's store ------------------------------------------------------------


class Store:
    """The platform's store: linearizable, with leases and watches."""

    def __init__(self) -> None:
        self.rows = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Event()
        self.down = False
        self.turned_away = set()
        self.server = HttpServer(self._answer)

    def apply(self, puts, remove) -> int:
        self.revision += 1
        for key, value, lease in puts:
            former = self.rows.get(key)
            row = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": former["created"] if former else self.revision,
                "lease": lease,
            }
            self.rows[key] = row
            self.history.append(row)
        for key in remove:
            if self.rows.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "revision": self.revision, "tombstone": True}
                )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key, value, lease=0) -> int:
        """Write one key, as the operator and the runners do."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.apply([(key, base64.b64encode(data).decode(), lease)], [])

    def remove(self, key) -> None:
        self.apply([], [key])

    def read(self, key):
        row = self.rows.get(key)
        return None if row is None else base64.b64decode(row["value"])

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, row in self.rows.items() if row["lease"] == lease]
        if keys:
            self.apply([], keys)

    async def _answer(self, request):
        if self.down:
            return None
        if request.peer in self.turned_away:
            return 503, None
        await asyncio.sleep(0.004)
        path, query = request.path, request.query
        if path == "/-/kv-key":
            row = self.rows.get(query["key"])
            if row is None:
                return 404, {"at": self.revision}
            return 200, {**row, "at": self.revision}
        if path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(
                k for k in self.rows if k.startswith(query["prefix"]) and k > after
            )
            items = [self.rows[k] for k in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "has_more": more, "at": self.revision}
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._commit(request.json)
        if path == "/-/kv-lease":
            ttl_s = max(1.0, request.json["ttl_ms"] / 1000)
            lease = next(self._lease_ids)
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
        name, _, number = path.rpartition("/")
        lease = int(number)
        if name == "/-/kv-keep":
            if lease not in self.leases:
                return 404, None
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if name == "/-/kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        return 404, None

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _commit(self, body):
        expected = body.get("expected", [])
        held = [self.rows[e["key"]] for e in expected if e["key"] in self.rows]
        if any(
            self.rows.get(e["key"], {"revision": 0})["revision"] != e["revision"]
            for e in expected
        ):
            return 412, {"items": held}
        puts = body.get("puts", [])
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, None
        rows = [(p["key"], p["value"], p.get("lease", 0)) for p in puts]
        return 200, {"revision": self.apply(rows, body.get("remove", []))}


# -- a proxy -------------------------------------------------------------------------


class Proxy:
    """Forwards connections; ``mute`` makes the open ones silent without a reset."""

    def __init__(self, forward: str, source_ip: str = "") -> None:
        self._forward = forward
        self._source_ip = source_ip
        self._pairs = set()
        self._muted = set()
        self._server = None
        self.cut = False

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer) -> None:
        pair = object()
        self._pairs.add(pair)
        try:
            while self.cut:
                await asyncio.sleep(0.02)
            host, _, port = self._forward.rpartition(":")
            source = (self._source_ip, 0) if self._source_ip else None
            upstream = await asyncio.open_connection(host, int(port), local_addr=source)
        except OSError:
            writer.transport.abort()
            self._pairs.discard(pair)
            return
        await asyncio.gather(
            self._pump(reader, upstream[1], pair), self._pump(upstream[0], writer, pair)
        )
        self._pairs.discard(pair)

    async def _pump(self, reader, writer, pair) -> None:
        try:
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.02)
                if pair in self._muted:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        if pair not in self._muted:
            writer.close()

    def mute(self) -> None:
        """Make the connections that are open now silent for good."""
        self._muted.update(self._pairs)


# -- runners -------------------------------------------------------------------------


class Run:
    """A task that a runner has begun."""

    def __init__(self, task, run, work_s) -> None:
        self.task, self.run, self.work_s = task, run, work_s
        self.began = time.monotonic()

    @property
    def percent(self) -> int:
        return min(100, int(100 * (time.monotonic() - self.began) / self.work_s))


class Runner:
    """A runner: tasks are timers, of the seconds that their ``spec`` names."""

    def __init__(self, stage, number: int, **options) -> None:
        self.stage, self.number = stage, number
        self.address = stage.free_address("127.0.7.2")
        self.keeps_id = options.pop("keeps_id", False)
        self.zone = options.pop("zone", "z1")
        self.labels = options.pop("labels", ["a", f"r1-{number}"])
        self.capacity = options.pop(
            "capacity", {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
        )
        self.lives = itertools.count(1)
        self.up = False
        self.proxy = None
        self.advertised = self.address
        self.before_order = None
        self.state, self.remaining_ms = "ready", None

    async def start(self) -> None:
        """Begin a life: nothing runs, and no fencing token is known."""
        life = next(self.lives)
        self.id = (
            f"s{self.number:03d}" if self.keeps_id else f"s{self.number:03d}l{life}"
        )
        self.born = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        self.runs, self.ended, self.highest = {}, [], {}
        self.token, self.lease_until = 0, 0.0
        self._end_numbers = itertools.count(1)
        self._seq = itertools.count(1)
        self._changed = asyncio.Event()
        self.server = HttpServer(self._answer)
        await self.server.listen(self.address)
        self.up = True
        self._loop = self.stage.spawn(self._work())
        self.register()
        self.stage.record(f"runner {self.id} is up, born {self.born}")

    def register(self) -> None:
        """Write the entry; heartbeats that only change ``seq`` are left out."""
        entry = {
            "backend": "svc",
            "address": self.advertised,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": next(self._seq),
            "capacity": self.capacity,
            "labels": self.labels,
        }
        if self.keeps_id:
            entry["born"] = self.born
        if self.remaining_ms is not None:
            entry["remaining_ms"] = self.remaining_ms
        self.stage.store.put(f"servers/{self.id}", entry)

    def crash(self) -> None:
        """Go down without a word; the entry stays for three heartbeats."""
        self.up = False
        self._loop.cancel()
        self.server.abort()
        lost = [f"{r.task} run {r.run}" for r in self.runs.values()]
        self.stage.record(f"runner {self.id} crashes, with {lost or 'nothing'} on it")
        self._lose_runs()
        former = self.id
        self.stage.spawn(self._remove_entry(former))

    def go_dark(self) -> None:
        """Lose power for good: no answer any more, and connections to it hang."""
        self.up = False
        self._loop.cancel()
        self.server.go_dark()
        lost = [f"{r.task} run {r.run}" for r in self.runs.values()]
        self.stage.record(
            f"runner {self.id} loses power, with {lost or 'nothing'} on it"
        )
        self._lose_runs()
        self.stage.spawn(self._remove_entry(self.id))

    def _lose_runs(self) -> None:
        for run in self.runs.values():
            self.stage.on_end(self, run, "lost")
        self.runs = {}

    async def _remove_entry(self, former) -> None:
        await asyncio.sleep(4.5)
        if not (self.up and self.id == former):
            self.stage.store.remove(f"servers/{former}")

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_zero) * 1000)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            lapsed = self.clock_ms() > self.lease_until
            for key, run in list(self.runs.items()):
                if lapsed:
                    self._end(key, "lapsed")
                elif time.monotonic() - run.began >= run.work_s:
                    self._end(key, "done")

    def _end(self, key, how) -> None:
        run = self.runs.pop(key)
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.ended.append([next(self._end_numbers), run.task, run.run, how, ""])
        self.stage.record(f"runner {self.id}: {run.task} run {run.run} ended {how}")
        self.stage.on_end(self, run, how)
        self._changed.set()

    async def _answer(self, request):
        body = request.json if request.raw else {}
        target = request.headers.get("x-target-instance", self.id)
        if self.before_order is not None:
            late = await self.before_order(self, request.path, body)
            if late:
                return None
        return self.carry_out(request.path, body, target) or await self._hold(body)

    def carry_out(self, path, body, target, *, late=False):
        """Apply a call, or return None for a poll that may wait."""
        if target != self.id:
            return 421, self._reply()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, self._reply(reason="fence")
        self.token = token
        if path == "/-/run-start":
            return self._start(body, late=late)
        if path == "/-/run-stop":
            task = body["task"]
            self.highest[task] = max(body["run"], self.highest.get(task, 0))
            for key in [k for k in self.runs if k[0] == task and k[1] <= body["run"]]:
                self._end(key, "stopped")
            return 200, self._reply()
        if path != "/-/hold":
            return 404, None
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        seen = body.get("last_seen", 0)
        if seen:
            self.stage.on_seen(self, [e for e in self.ended if e[0] <= seen])
        self.ended = [e for e in self.ended if e[0] > seen]
        return None

    def _extend(self, deadline_ms) -> None:
        limit = self.clock_ms() + self.stage.max_hold_ms
        self.lease_until = max(self.lease_until, min(deadline_ms, limit))

    def _start(self, body, *, late):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            return 200, self._reply()
        self._extend(body["deadline_ms"])
        if run <= self.highest.get(task, 0):
            return 409, self._reply(reason="old")
        if body["deadline_ms"] < self.clock_ms():
            return 409, self._reply(reason="late")
        begun = Run(task, run, float(body["spec"].split()[0]))
        how = " (carried out late)" if late else ""
        self.stage.record(f"runner {self.id}: {task} run {run} starts{how}")
        self.stage.on_start(self, begun, late=late)
        self.runs[task, run] = begun
        return 200, self._reply()

    async def _hold(self, body):
        wait_s = min(2000, body.get("wait_ms", 0)) / 1000
        if wait_s and not self.ended:
            self._changed.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        running = [[r.task, r.run, "", r.percent] for r in self.runs.values()]
        return 200, self._reply(running=running, ended=self.ended[:500])

    def _reply(self, **fields):
        born = {"born": self.born} if self.keeps_id else {}
        return {"clock_ms": self.clock_ms(), **born, **fields}


# -- the whole deployment ------------------------------------------------------------

BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_hold_ms": 10000,
    "stop_grace_ms": 200,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "restore_ms": 100,
    "reclaim_ms": 2700,
}
"""The bounds of sites/kat-lauf.toml."""

GROWN_BOUNDS = {
    **BOUNDS,
    "contact_ms": 4000,
    "ack_ms": 6000,
    "drain_ms": 3000,
    "config_apply_ms": 3000,
    "gang_timeout_ms": 4000,
    "cancel_ms": 4000,
}
"""Those of grown/kat-lauf-grown.toml."""

TRENTHOLM_BOUNDS = {
    **GROWN_BOUNDS,
    "stop_grace_ms": 400,
    "restore_ms": 250,
    "reclaim_ms": 2900,
}
"""Those of demands/trentholm-lic-grown.toml."""

SETTINGS = """node = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "{zone}"
region = "reg"
port_range = [{peer}, {last}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
orders = "call"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
{bounds}[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


class Node:
    """A process of an entry VM, started with the command of the deploy file."""

    def __init__(self, stage, number, ip) -> None:
        self.stage, self.number, self.ip = stage, number, ip
        self.process = None

    def start(self) -> None:
        settings = self.stage.folder / f"node-{self.number}.toml"
        keep = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in keep if k in os.environ}
        env["FIRLADDER_NODE_FILE"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.stage.folder / f"node-{self.number}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "deploy/launch.py", "node"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.stage.record(f"node {self.number} is started")

    def signal(self, number) -> None:
        self.stage.record(f"node {self.number} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Stage:
    """The store, the runners, the operator and the nodes of one script."""

    def __init__(self, folder, *, nodes=3, bounds=BOUNDS, zones=("z1", "z2", "z3")):
        self.record = Record(Path(folder))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._bounds = bounds
        self.max_hold_ms = bounds["max_hold_ms"]
        self._ports = set()
        self._tasks = set()
        self.zones = zones
        self.store = Store()
        self.store_address = self.free_address("127.0.7.1")
        self.nodes = [Node(self, n, f"127.0.{11 + n}.1") for n in range(nodes)]
        self.store_links = []
        self.runners = []
        self.starts, self.ends, self.seen = [], [], []
        self.common = {
            name: self._free_port() for name in ("front", "ready", "control")
        }
        self.common["peer"] = self._free_port(span=2)

    def _free_port(self, span=1) -> int:
        rng = random.SystemRandom()
        for _ in range(200):
            port = rng.randrange(20000, 32000)
            wanted = set(range(port, port + span))
            if wanted & self._ports:
                continue
            try:
                for number in wanted:
                    with socket.socket() as probe:
                        probe.bind(("", number))
            except OSError:
                continue
            self._ports |= wanted
            return port
        raise CannotRun("no free port")

    def free_address(self, host) -> str:
        return f"{host}:{self._free_port()}"

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Hooks: what the runners have done.

    def on_start(self, runner, run, *, late) -> None:
        self.starts.append((clock(), runner.id, run.task, run.run, late))

    def on_end(self, runner, run, how) -> None:
        self.ends.append((clock(), runner.id, run.task, run.run, how))

    def on_seen(self, runner, ends) -> None:
        self.seen += [(clock(), runner.id, e[1], e[2], e[3]) for e in ends]

    # Building the deployment.

    async def open(self) -> None:
        await self.store.server.listen(self.store_address)
        self.spawn(self.store.expire_leases())
        for node in self.nodes:
            # Each node reaches the store over a link of its own, from its address.
            link = Proxy(self.store_address, source_ip=node.ip)
            address = self.free_address("127.0.7.1")
            await link.listen(address)
            self.store_links.append(link)
            self._write_settings(node, address)

    def _write_settings(self, node, store) -> None:
        seeds = ", ".join(f'"{n.ip}:{self.common["control"]}"' for n in self.nodes[:3])
        text = SETTINGS.format(
            name=f"edge-{node.number}",
            ip=node.ip,
            zone=self.zones[node.number % len(self.zones)],
            last=self.common["peer"] + 1,
            seeds=seeds,
            store=store,
            bounds="".join(f"{k} = {v}\n" for k, v in self._bounds.items()),
            **self.common,
        )
        (self.folder / f"node-{node.number}.toml").write_text(text)

    async def add_runner(self, **options) -> Runner:
        runner = Runner(self, len(self.runners), **options)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def start_nodes(self) -> None:
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.until(lambda n=node: self.is_ready(n), 30, f"node {node.number}")
        await self.until(
            lambda: self.store.rows.get("firladder/leader"), 15, "a leader"
        )

    async def until(self, condition, limit_s, what):
        """Wait for a condition, and raise ``CannotRun`` if it never holds."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise CannotRun(f"waited in vain for {what}")

    async def is_ready(self, node) -> bool:
        address = f"{node.ip}:{self.common['ready']}"
        answer = await call(address, "GET", "/-/ready", timeout_s=1.0)
        return answer is not None and answer[0] == 200

    async def find_leader(self):
        """Return the node that says that it leads, by its metrics page."""
        for node in self.nodes:
            if node.process is None or node.process.poll() is not None:
                continue
            address = f"{node.ip}:{self.common['peer'] + 1}"
            answer = await call(address, "GET", "/metrics", timeout_s=1.0)
            text = "" if answer is None else str(answer[1])
            rows = [
                x for x in text.splitlines() if "leading_token" in x and x[0] != "#"
            ]
            if any(float(x.split()[-1]) > 0 for x in rows):
                return node
        return None

    def configure(self, configuration) -> None:
        """Write a configuration as the operator; the write is its acknowledgement."""
        self.store.put("op/config", configuration)
        self.record(f"operator: version {configuration['version']} is acknowledged")

    async def ask(
        self, node, method, path, body=None, *, key="key-1", deadline_ms=3000
    ):
        """Call a node as a client."""
        headers = {
            "Host": "jobs.example",
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": str(deadline_ms),
        }
        address = f"{node.ip}:{self.common['front']}"
        sent = clock()
        limit_s = deadline_ms / 1000 + 0.5
        answer = await call(
            address, method, path, body, headers=headers, timeout_s=limit_s
        )
        self.record(
            f"client: {method} {path} with {key} to node {node.number}, sent at"
            f" {sent:.3f}: {answer}"
        )
        return answer

    async def submit(self, node, path, steps, spec, **options):
        """Hand a job in, and again after no answer, 502 or 504, at other nodes."""
        for attempt in range(5):
            chosen = self.nodes[(node.number + attempt) % len(self.nodes)]
            body = {"spec": spec, "steps": steps}
            answer = await self.ask(chosen, "POST", path, body, **options)
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.5)
        return answer

    def close(self) -> None:
        for node in self.nodes:
            node.kill()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def make_configuration(version, *, routes=(0, 1, 2), keys=("key-1",), **route_options):
    """Return a configuration with a queue for each priority in ``routes``."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"queue-{n}",
                "hostname": "jobs.example",
                "prefix": f"/q{n}/",
                "backend": "svc",
                "priority": min(n, 2),
                "max_attempts": 3,
                "stretch": 3.0,
                "slo_ms": 1000,
                **route_options,
            }
            for n in routes
        ],
        "services": [{"name": "svc", "enforces_capacity": False}],
        "limits": {"max_body_bytes": 262144, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "ten", "api_keys": list(keys), "guaranteed_gpu": {"gpu": 8}}
        ],
    }


def run_case(play, folder, **options) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 if it can't run."""

    async def main() -> int:
        stage = Stage(folder, **options)
        try:
            await stage.open()
            async with asyncio.timeout(105):
                broken = await play(stage)
            stage.record(f"rule broken: {broken}" if broken else "the rule held")
            print("broken: " + broken if broken else "held")
            return 1 if broken else 0
        except (CannotRun, TimeoutError) as error:
            stage.record(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return 2
        finally:
            stage.close()

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    with asyncio.Runner() as runner:
        status = runner.run(main())
        sys.stdout.flush()
        # The stand-ins' open connections need no orderly end.
        os._exit(status)
