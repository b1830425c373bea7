"""Stand-ins for the platform's store and its runners, in one process.

Only the standard library is used. The process writes one JSON object a line to the file
that ``--log`` names: each order, answer, start and end at a runner. Control calls below
``/control/`` inject the disruption of a case; nothing else departs from the pages.
"""

import argparse
import asyncio
import base64
import contextlib
import itertools
import json
import secrets
import time
import urllib.parse

MAX_ENDS = 500
"""Ends that one answer of a runner lists: «500 at a time» in PROTOCOL.md."""

PAGE_ITEMS = 500
"""Items in one page of a listing of the store."""

HISTORY_S = 20.0
"""Seconds for which the store keeps its history of changes."""

NO_ANSWER = object()
"""Returned by a handler whose caller gets no answer."""

SILENCE = object()
"""The same for a call that arrived before its machine lost power."""


class Log:
    """The file of events; times are seconds since the start of the process."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1, encoding="utf-8")  # noqa: SIM115
        self._began_at = time.monotonic()

    def write(self, what, **fields):
        """Write one event."""
        at = round(time.monotonic() - self._began_at, 3)
        self._file.write(json.dumps({"at": at, "what": what, **fields}) + "\n")


class HttpServer:
    """A small HTTP/1.1 server with connections that stay open."""

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self._unanswered = set()
        self._stale = set()
        self._server = None

    async def listen(self, address):
        """Listen on ``ip:port``."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    async def close(self):
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def reboot(self):
        """Know nothing of the connections from before the machine lost power.

        Those on which a peer has sent something meanwhile are reset now, as it sends
        that again, and the others with the next thing that a peer sends.
        """
        self._stale = set(self._writers) - self._unanswered
        for writer in list(self._unanswered):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = request.split(" ")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (x.partition(":") for x in lines if x)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if writer in self._stale:
                    writer.transport.abort()
                    return
                path, _, query = target.partition("?")
                found = await self._handle(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    json.loads(body) if body else {},
                )
                if found is NO_ANSWER:
                    self._unanswered.add(writer)
                if found in (NO_ANSWER, SILENCE):
                    if await reader.read(1):
                        writer.transport.abort()
                    return
                status, answer = found
                raw = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(raw)) + raw
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            self._unanswered.discard(writer)
            self._stale.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store; ``mode`` is up, silent or busy."""

    def __init__(self, log):
        self._log = log
        self.mode = "up"
        self.rows = {}
        self.revision = 1
        self.history = []
        self.dropped_at = 0
        self.leases = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Condition()

    async def apply(self, puts, remove):
        """Apply writes and removals as one revision; return it."""
        self.revision += 1
        now = time.monotonic()
        for put in puts:
            key = put["key"]
            created = self.rows[key]["created"] if key in self.rows else self.revision
            self.rows[key] = {
                "key": key,
                "value": put["value"],
                "revision": self.revision,
                "created": created,
                "lease": put.get("lease", 0),
            }
            self.history.append((self.revision, now, dict(self.rows[key])))
        for key in remove:
            if self.rows.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append((self.revision, now, gone))
        while self.history and now - self.history[0][1] > HISTORY_S:
            self.dropped_at = self.history.pop(0)[0]
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def put(self, key, value):
        """Write one key, as the operator or a runner does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.apply([{"key": key, "value": text}], [])

    async def expire(self):
        """End leases that have run out; they pause while the store is down."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.mode != "up":
                for lease in self.leases.values():
                    lease["until"] += now - last
            last = now
            for number in [n for n, x in self.leases.items() if x["until"] < now]:
                await self.end_lease(number)

    async def end_lease(self, number):
        """Remove a lease and its keys."""
        self.leases.pop(number, None)
        keys = [k for k, row in self.rows.items() if row["lease"] == number]
        if keys:
            await self.apply([], keys)

    async def handle(self, method, path, query, headers, body):
        """Answer one call."""
        if self.mode == "silent":
            return NO_ANSWER
        if self.mode == "busy":
            return 503, {}
        await asyncio.sleep(0.004)
        if path == "/-/kv-key":
            row = self.rows.get(query["key"])
            if row is None:
                return 404, {"at": self.revision}
            return 200, {**row, "at": self.revision}
        if path == "/-/kv-range":
            return self._list(query)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return await self._commit(body)
        if path == "/-/kv-lease":
            number = next(self._lease_ids)
            ttl_s = max(1.0, body["ttl_ms"] / 1000)
            self.leases[number] = {"ttl": ttl_s, "until": time.monotonic() + ttl_s}
            return 200, {"lease": number, "ttl_ms": int(ttl_s * 1000)}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return 404, {}
            lease["until"] = time.monotonic() + lease["ttl"]
            return 200, {"ttl_ms": int(lease["ttl"] * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            await self.end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    def _list(self, query):
        after = query.get("after", "")
        prefix = query["prefix"]
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        items = [self.rows[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "has_more": more, "at": self.revision}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if self.mode != "up":
                return NO_ANSWER
            if after < self.dropped_at:
                return 410, {}
            events = [
                row
                for revision, _, row in self.history
                if revision > after and row["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))

    async def _commit(self, body):
        held = [self.rows[x["key"]] for x in body["expected"] if x["key"] in self.rows]
        for row in body["expected"]:
            found = self.rows.get(row["key"])
            if (found["revision"] if found else 0) != row["revision"]:
                return 412, {"items": held}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        return 200, {
            "revision": await self.apply(body.get("puts", []), body.get("remove", []))
        }


class Runner:
    """A runner at one address; each life has an id, runs, ends and a clock."""

    def __init__(self, number, address, options, log, store):
        self.number, self.address, self.options = number, address, options
        self._log, self._store = log, store
        self._lives = itertools.count()
        self.up = False
        self.unhealthy = False
        self.dark = False
        self.stalled_at = None
        self.begun = 0
        self._changed = asyncio.Condition()

    async def begin_life(self, same_id=False):
        """Start with a new id, or under the former one; nothing is known of before."""
        life = self.life = next(self._lives)
        if life == 0 or not same_id:
            self.runner_id = f"i-{secrets.token_hex(5)}"
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        self.runs, self.highest, self.ended = {}, {}, []
        self.end_numbers = itertools.count(1)
        self.token = 0
        self.lease_until = 0.0
        self.lapsed = True
        self.seq = 0
        if self.dark:
            self.dark = False
            self.server.reboot()
        else:
            self.server = HttpServer(self.handle)
            await self.server.listen(self.address)
        self.up = True
        self._log.write("runner up", runner=self.runner_id, born=self.born)
        await self.register()

    async def crash(self):
        """End without a word; all that ran here is gone."""
        self.up = False
        lost = [f"{task} run {run}" for task, run in self.runs]
        self._log.write("runner down", runner=self.runner_id, lost=lost)
        self.runs = {}
        await self.server.close()

    async def lose_power(self):
        """End without a word, and answer nothing, until the next life begins."""
        await self._end_life(dark=True)

    async def _end_life(self, *, dark):
        self.up, self.dark = False, dark
        lost = [f"{task} run {run}" for task, run in self.runs]
        self._log.write("runner down", runner=self.runner_id, lost=lost, dark=dark)
        self.runs = {}

    async def register(self):
        """Write the entry of this life."""
        self.seq += 1
        entry = {
            "backend": "planwerk",
            "address": self.address,
            "zone": self.options["zones"][self.number % len(self.options["zones"])],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "capacity": self.options["capacity"],
            "labels": ["a", f"r1-{self.number % len(self.options['zones'])}"],
            "machine": f"m{self.number}",
            "clock_ms": self.read_clock(),
        }
        if self.options["born"]:
            entry["born"] = self.born
        if self._store.mode == "up":
            await self._store.put(f"servers/{self.runner_id}", entry)

    def read_clock(self):
        """Return the milliseconds since the start of this life."""
        return int((time.monotonic() - self.clock_began) * 1000)

    def _reply(self, status=200, **fields):
        if self.options["born"]:
            fields["born"] = self.born
        return status, {"clock_ms": self.read_clock(), **fields}

    async def handle(self, method, path, query, headers, body):
        """Answer one call, unless the machine has no power before the answer."""
        if self.dark:
            return NO_ANSWER
        life = self.life
        found = await self._answer(path, headers, body)
        return found if life == self.life and not self.dark else SILENCE

    async def _answer(self, path, headers, body):
        if headers.get("x-target-instance", self.runner_id) != self.runner_id:
            return 421, {}
        if self.unhealthy and path == "/-/run-start":
            self._log.write("start refused", runner=self.runner_id, task=body["task"])
            return 503, {}
        if body.get("fencing_token", 0) < self.token:
            return self._reply(409, reason="fence")
        self.token = body.get("fencing_token", 0)
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            return await self._stop(body)
        if path == "/-/hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, deadline_ms):
        limit = self.read_clock() + self.options["max_hold_ms"]
        self.lease_until = max(self.lease_until, min(deadline_ms, limit))
        self.lapsed = self.lapsed and self.lease_until <= self.read_clock()

    def _start(self, body):
        task, run = body["task"], body["run"]
        if body["deadline_ms"] <= self.read_clock():
            return self._reply(409, reason="late")
        self._extend(body["deadline_ms"])
        if (task, run) in self.runs:
            return self._reply()
        if run <= self.highest.get(task, 0):
            return self._reply(409, reason="old")
        self.runs[task, run] = time.monotonic()
        self.begun += 1
        self._log.write(
            "start", runner=self.runner_id, task=task, run=run, spec=body["spec"]
        )
        return self._reply()

    async def _stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        for key in [k for k in self.runs if k[0] == task and k[1] <= run]:
            await self.end(key, "stopped")
        return self._reply()

    async def _hold(self, body):
        if body["last_seen"]:
            noted = [x for x in self.ended if x[0] <= body["last_seen"]]
            for number, task, run, how, _ in noted:
                self._log.write(
                    "end noted",
                    runner=self.runner_id,
                    task=task,
                    run=run,
                    how=how,
                    number=number,
                    last_seen=body["last_seen"],
                )
            self.ended = self.ended[len(noted) :]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        if not self.ended and body.get("wait_ms"):
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), body["wait_ms"] / 1000)
        now = self.stalled_at or time.monotonic()
        running = [
            [
                task,
                run,
                "",
                max(0, min(99, int(100 * (now - at) / self._measure(task)))),
            ]
            for (task, run), at in self.runs.items()
        ]
        return self._reply(running=running, ended=self.ended[:MAX_ENDS])

    def _measure(self, task):
        return self.options["work_s"].get(task.split(".")[0], self.options["default_s"])

    async def end(self, key, how):
        """End a run, and answer polls that wait."""
        self._list_end(key, how)
        async with self._changed:
            self._changed.notify_all()

    def _list_end(self, key, how):
        self.runs.pop(key, None)
        task, run = key
        self.highest[task] = max(run, self.highest.get(task, 0))
        number = next(self.end_numbers)
        self.ended.append([number, task, run, how, ""])
        self._log.write(
            "end", runner=self.runner_id, task=task, run=run, how=how, number=number
        )

    async def fail_all(self):
        """Fail everything that runs here."""
        for key in list(self.runs):
            self._list_end(key, "failed")
        async with self._changed:
            self._changed.notify_all()

    def stall(self, on):
        """Let everything that runs here stand still, or go on."""
        now = time.monotonic()
        if on:
            self.stalled_at = now
        elif self.stalled_at is not None:
            self.runs = {k: at + now - self.stalled_at for k, at in self.runs.items()}
            self.stalled_at = None
        self._log.write("stall", runner=self.runner_id, on=on)

    async def work(self):
        """End runs that are done, and all of them when the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.up and not self.lapsed and self.read_clock() > self.lease_until:
                self.lapsed = True
                self._log.write("lease lapsed", runner=self.runner_id)
            for key, at in list(self.runs.items()):
                if key not in self.runs:
                    continue
                if self.read_clock() > self.lease_until:
                    await self.end(key, "lapsed")
                elif self.stalled_at is None and now - at >= self._measure(key[0]):
                    await self.end(key, "done")

    async def beat(self):
        """Write the entry every 1.5 seconds."""
        while True:
            await asyncio.sleep(1.5)
            if self.up:
                await self.register()


class Platform:
    """The store, the runners and the control calls."""

    def __init__(self, options, log):
        self._log = log
        self.options = options
        self.store = Store(log)
        self.runners = [
            Runner(n, address, options, log, self.store)
            for n, address in enumerate(options["runners"])
        ]
        self._tasks = set()

    async def start(self):
        """Listen, and begin the first life of each runner."""
        await HttpServer(self.store.handle).listen(self.options["store"])
        await HttpServer(self.control).listen(self.options["control"])
        self._spawn(self.store.expire())
        for runner in self.runners:
            await runner.begin_life()
            self._spawn(runner.work())
            self._spawn(runner.beat())

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

    async def control(self, method, path, query, headers, body):
        """Inject a disruption, or return the state of the runners."""
        command = path.removeprefix("/control/")
        if command == "put":
            await self.store.put(body["key"], body["value"])
        elif command == "store":
            self.store.mode = body["mode"]
            self._log.write("store", mode=body["mode"])
        elif command == "work":
            self.options["work_s"].update(body)
        elif command == "unhealthy":
            self.runners[body["runner"]].unhealthy = body["on"]
        elif command == "crash":
            await self.runners[body["runner"]].crash()
        elif command == "power":
            for number in body["runners"]:
                await self.runners[number].lose_power()
        elif command == "drop":
            await self.store.apply([], [f"servers/{body['id']}"])
        elif command == "begin":
            await self.runners[body["runner"]].begin_life(same_id=body["same_id"])
        elif command == "fail":
            await self.runners[body["runner"]].fail_all()
        elif command == "stall":
            self.runners[body["runner"]].stall(body["on"])
        elif command == "end":
            runner = self.runners[body["runner"]]
            for key in [k for k in runner.runs if k[0] == body["task"]]:
                await runner.end(key, body["how"])
        elif command == "state":
            return 200, {
                "runners": [
                    {
                        "id": r.runner_id,
                        "up": r.up,
                        "begun": r.begun,
                        "runs": [list(k) for k in r.runs],
                        "ended": len(r.ended),
                    }
                    for r in self.runners
                ]
            }
        return 200, {}


async def main():
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--options", required=True, help="JSON file")
    parser.add_argument("--log", required=True)
    arguments = parser.parse_args()
    with open(arguments.options, encoding="utf-8") as file:
        options = json.load(file)
    platform = Platform(options, Log(arguments.log))
    await platform.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
