import asyncio
import types

from behave import given, then, when

from features.support.engine_world import QUEUES, make_entry, make_job, make_step
from features.support.gang_faults import GangPlay
from features.support.gang_store import STORE, Fate, Fault, FaultyStore, StoreClient
from features.support.loaded_term import LoadedTerm
from features.support.virtual_time import run_in_virtual_time
from firladder._internal.engine.progress import encode_accepted
from firladder._internal.models.order import EndedTask, WorkerReport
from firladder._internal.models.workload import QueueConfiguration
from firladder._internal.node.keys import JOBS, LEADER, PROGRESS
from firladder._internal.node.retention import (
    RETENTION_MARGIN_S,
    SWEEP_INTERVAL_S,
    Retention,
)
from firladder._internal.platform.store import Change, Item, Listing

JOB = "0000000000000001"
RETENTION_S = 5.0
DELIVERED = Fault("write", STORE, Fate.DELIVERED)


class LateDeletion:
    """Delays the first call that removes keys, and the successor's listings."""

    def __init__(self, play, late_s):
        self.play = play
        self.late_s = late_s
        self.sent = asyncio.Event()
        self.applied_at = None

    def delay(self, client):
        commit = client.commit

        async def commit_late(*, expected, writes=(), remove=(), timeout_s=0.8):
            if not remove or self.applied_at is not None:
                return await commit(
                    expected=expected, writes=writes, remove=remove, timeout_s=timeout_s
                )
            self.applied_at = self.play.now + self.late_s
            self.sent.set()
            # The call in flight arrives even if its sender is gone.
            late = client._apply_late(self.late_s, expected, writes, remove)
            self.play.spawn(late)
            await asyncio.sleep(timeout_s)
            return await commit(expected=[("", 1)])

        client.commit = commit_late

    def space_listings(self, client, margin_s):
        read_range = client.read_range

        async def read_later(prefix):
            if prefix == PROGRESS:
                await asyncio.sleep(self.applied_at + margin_s - self.play.now)
            return await read_range(prefix)

        client.read_range = read_later


@given(
    "a completed job that its leader deletes, with a call that takes {late_s:d} s more"
)
def describe_late_deletion(context, late_s):
    context.late_s = float(late_s)


@when(
    "a successor reads the jobs {before_s:g} s before and their progress {after_s:g} s"
    " after that"
)
def read_around(context, before_s, after_s):
    async def script(play):
        term, _ = play.terms[-1]
        term._retention._retention_s = RETENTION_S
        deletion = LateDeletion(play, context.late_s)
        deletion.delay(term.client)
        play.submit(JOB, count=2, gang=False, need=2)
        await deletion.sent.wait()
        play._succeeding = True
        await asyncio.sleep(deletion.applied_at - before_s - play.now)
        play.terms[-1][1].cancel()
        successor = play.elect()
        deletion.space_listings(successor.client, after_s)

    seconds = 5 + RETENTION_S + RETENTION_MARGIN_S + SWEEP_INTERVAL_S + 20
    context.play = GangPlay(2, takes_s=2.0).play(script, seconds=seconds)
    assert context.play.terms[-1][0].passes, "the successor has not led"


@then("none of the job's tasks has started twice")
def check_started_once(context):
    starts = [(m.task.index, m.run) for m in context.play.members]
    assert sorted(starts) == [(0, 1), (1, 1)], starts


class Deleting:
    """A leader of one worker that deletes a completed job."""

    def __init__(self):
        self.accepted = make_job(JOB, make_step(), at=50.0)
        self.record = encode_accepted(self.accepted)
        self.term = LoadedTerm()
        self.core = self.term.core
        self.core.configuration = QueueConfiguration(1, QUEUES)
        self.worker = self.core.register_worker(make_entry(0), now=0.0)
        self.report()

    async def complete(self):
        self.term.add_record(self.record)
        job = self.core.jobs[JOB]
        self.term._planner.run_pass(now=0.0, wall=0.0)
        self.core.mark_durable(JOB, job.version)
        (start,) = self.core.take_starts()
        self.core.handle_start_answer(start, 0.0, 0.0)
        self.end = EndedTask(1, start.task, 1, "done", "")
        self.report(self.end)
        self.core.mark_durable(JOB, job.version)
        job.ended_at = 1.0
        self.store = FaultyStore()
        client = StoreClient(self.store, lambda _kind, _machine: DELIVERED)
        token = self.store.put(LEADER, b"")
        self.item = Item(
            JOBS + JOB, self.record, self.store.put(JOBS + JOB, self.record)
        )
        self.store.put(PROGRESS + JOB, b"")
        self.retention = Retention(
            core=self.core,
            store=client,
            token=token,
            clock=types.SimpleNamespace(read_wall=lambda: 1e6),
            retention_s=RETENTION_S,
            revisions={},
        )

    def report(self, *ends):
        report = WorkerReport(1.0, (), ends)
        self.core.handle_report(self.worker, report, sent_at=1.0, now=1.0)

    async def delete(self):
        await self.retention._sweep()
        assert JOB not in self.core.jobs
        assert list(self.store.items) == [LEADER], self.store.items

    def plan(self):
        self.term._planner.run_pass(now=2.0, wall=2.0)
        return self.core.jobs.get(JOB)


@given("a leader that has deleted a completed job")
def delete_job(context):
    async def run():
        context.deleting = deleting = Deleting()
        await deleting.complete()
        await deleting.delete()

    run_in_virtual_time(run())


@when("a listing from before the deletion reaches it")
def list_late(context):
    item = context.deleting.item
    context.deleting.term._apply_submission_listing(Listing((item,), item.revision))


@when("a change from before the deletion reaches it")
def change_late(context):
    item = context.deleting.item
    change = Change(item.key, item.value, item.revision)
    context.deleting.term._apply_submission_change(change)


@when("an announcement from before the deletion reaches it")
def announce_late(context):
    context.deleting.term.add_record(context.deleting.record)


@then("it plans no task of that job")
def check_unplanned(context):
    job = context.deleting.plan()
    assert job is None, [(unit.state, unit.run) for unit in job.units]


@when("a job is accepted later under the same id")
def accept_again(context):
    accepted = make_job(JOB, make_step(), at=500.0)
    context.deleting.term.add_record(encode_accepted(accepted))


@then("it plans the tasks of that job")
def check_planned(context):
    job = context.deleting.plan()
    assert job is not None
    assert [unit.run for unit in job.units] == [1]


@given("a completed job of which an end is read while it is deleted")
def read_while_deleting(context):
    async def run():
        context.deleting = deleting = Deleting()
        await deleting.complete()
        sweep = asyncio.create_task(deleting.retention._sweep())
        await asyncio.sleep(0)
        deleting.core._mark_changed(deleting.core.jobs[JOB])
        deleting.report(EndedTask(2, deleting.end.task, 1, "stopped", ""))
        await sweep

    run_in_virtual_time(run())


@then("that end is acknowledged")
def check_acknowledged(context):
    assert context.deleting.worker.find_last_durable_end() == 2
