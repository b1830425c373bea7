import asyncio
from unittest import mock

from behave import given, then, when

from features.support.fake_workers import NO_ANSWER, FakeWorkerCalls
from features.support.loaded_term import LoadedTerm
from features.support.virtual_time import run_in_virtual_time
from firladder._internal.engine.state import Worker
from firladder._internal.models.workload import Resources, WorkerEntry
from firladder._internal.node.worker_session import WorkerSession
from firladder._internal.platform.store import Change, Changes, Listing

CAPACITY = Resources(64000, 262144, 8)


def parse_count(text):
    return int(text.replace(",", ""))


class BusyLeaderCalls(FakeWorkerCalls):
    """Calls that each take some time of one processor, whatever becomes of them."""

    def __init__(self, processor_s):
        super().__init__(answer_s=0.0)
        self.processor_s = processor_s
        self._busy_until = 0.0

    async def poll(self, worker_id, address, *, wait_s, timeout_s, **fields):
        now = self._now()
        self._busy_until = max(self._busy_until, now) + self.processor_s
        spent_s = self._busy_until - now
        if spent_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return NO_ANSWER
        await asyncio.sleep(spent_s)
        return await super().poll(
            worker_id, address, wait_s=wait_s, timeout_s=timeout_s, **fields
        )


@given("a new leader of {count} workers, of which {silent} are silent")
def describe_fleet(context, count, silent):
    context.count = parse_count(count)
    context.silent = {f"w{number}" for number in range(parse_count(silent))}
    context.calls = FakeWorkerCalls()


@given("each call takes {seconds:f} s of the leader's processor")
def charge_calls(context, seconds):
    context.calls = BusyLeaderCalls(seconds)


def lead(context, work):
    async def run():
        term = context.term = LoadedTerm()
        term.calls = context.calls
        term.calls.silent_workers = context.silent
        for number in range(context.count):
            address = f"10.0.{number // 250}.{number % 250}:80"
            entry = WorkerEntry(
                f"w{number}", address, "pool", "d", CAPACITY, frozenset()
            )
            term._open_session(term.core.register_worker(entry, now=0.0))
        await term.lead(work(term))

    run_in_virtual_time(run())


@when("it leads for {seconds:f} s")
def lead_for(context, seconds):
    lead(context, lambda _term: asyncio.sleep(seconds))


@then("it has claimed all workers that answer")
def check_claimed(context):
    workers = context.term.core.workers.values()
    missing = [
        w.worker_id
        for w in workers
        if not w.claimed and w.worker_id not in context.silent
    ]
    assert not missing, len(missing)


@when("it leads for {seconds:f} s, and then 100 writes become durable within 0.1 s")
def write_often(context, seconds):
    async def write(term):
        await asyncio.sleep(seconds)
        with mock.patch.object(WorkerSession, "wake", autospec=True) as wake:
            for _ in range(100):
                term._on_durable()
                await asyncio.sleep(0.001)
        # All sessions are woken by each periodic check; one falls within that time.
        context.woken = max(0, wake.call_count - context.count)

    lead(context, write)


@then("no session of an idle worker is woken by them")
def check_not_woken(context):
    assert context.woken == 0, context.woken


@when("it leads for {first:f} s, and then for {seconds:f} s without a task")
def stay_idle(context, first, seconds):
    async def wait(_term):
        await asyncio.sleep(first)
        free = mock.PropertyMock(return_value=CAPACITY)
        with mock.patch.object(Worker, "free", new_callable=lambda: free):
            await asyncio.sleep(seconds)
        context.computed = free.call_count

    lead(context, wait)


@then("no free capacity is computed")
def check_not_computed(context):
    assert context.computed == 0, context.computed


class ChangingStore:
    """A store in which one key changes periodically; a watch waits for a change."""

    def __init__(self, interval_s):
        self.interval_s = interval_s
        self.calls = 0

    async def watch(self, prefix, *, after, wait_s, max_bytes):
        self.calls += 1
        loop = asyncio.get_running_loop()
        while (revision := int(loop.time() / self.interval_s)) <= after:
            await asyncio.sleep(self.interval_s / 2)
        found = (Change(f"{prefix}w", b"", n) for n in range(after + 1, revision + 1))
        return Changes(tuple(found), revision)


@given("a store where an entry changes every {seconds:f} s")
def make_store(context, seconds):
    context.store = ChangingStore(seconds)


@when("a leader watches the entries for {seconds:f} s")
def watch_entries(context, seconds):
    async def watch():
        term = LoadedTerm()
        term._store = context.store
        term._apply_worker_listing = lambda _listing: None
        context.seen = []
        term._apply_worker_change = lambda change: context.seen.append(change.revision)
        term._watch_workers(Listing((), 0))
        await asyncio.sleep(seconds)
        await term._tasks.close()

    context.span_s = seconds
    run_in_virtual_time(watch())


@then("it has made at most {count:d} calls")
def check_calls(context, count):
    assert context.store.calls <= count, context.store.calls


@then("it has seen all changes up to {seconds:f} s before")
def check_seen(context, seconds):
    expected = int((context.span_s - seconds) / context.store.interval_s)
    assert set(range(1, expected + 1)) <= set(context.seen), len(context.seen)
