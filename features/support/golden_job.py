"""The golden session of a job, from submission to end, with a reclaim."""

import asyncio
from typing import Any

from features.support.golden import run_fleet, session
from features.support.golden_parts import Recorder, StoreView
from features.support.protocol import FakeClock, make_leadership
from firladder._internal.charts.interpreter import load_chart
from firladder._internal.models.entry import Compare
from firladder._internal.models.machine import Machine
from firladder._internal.models.task import TaskReport, TaskStatus
from firladder._internal.policies.placement import PLACEMENTS, Place
from firladder._internal.scheduler.accounting import Accounting, GangState, WorkerState
from firladder._internal.scheduler.gang_messages import (
    GangTimes,
    MemberEnded,
    StopGang,
)
from firladder._internal.scheduler.gangs import GangRunner
from firladder._internal.scheduler.ledger import JOB_PREFIX, Ledger
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.codec import encode_json
from firladder._internal.utils.events import Timeline

NAME = "scheduler-1"


class FakeWorkers:
    """Workers that obey every call; the calls and answers are recorded."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder

    def answer(self, worker: str, command: str, reply: Any) -> Any:
        self.recorder.write(NAME, worker, command)
        self.recorder.write(worker, NAME, encode_json(reply).decode())
        return reply

    def make_status(self, task: str, state: Any) -> TaskStatus:
        job, _, rest = task.partition(".")
        attempt = int(rest.rpartition(".a")[2])
        return TaskStatus(
            task=task,
            job=job,
            attempt=attempt,
            gang_size=2,
            state=state,
            accelerators=(0, 1),
        )

    async def reserve(self, worker: str, req: Any) -> Any:
        status = self.make_status(req.task, "held")
        return self.answer(worker, f"reserve {encode_json(req).decode()}", status)

    async def start(self, worker: str, task: str, epoch: int) -> Any:
        status = self.make_status(task, "running")
        return self.answer(worker, f"start {task} epoch {epoch}", status)

    async def stop(self, worker: str, task: str, req: Any) -> Any:
        status = self.make_status(task, "stopped")
        return self.answer(worker, f"stop {task} {encode_json(req).decode()}", status)

    async def renew(self, worker: str, req: Any) -> Any:
        report = TaskReport(worker=worker, epoch=req.epoch, sequence=1)
        return self.answer(worker, f"renew {encode_json(req).decode()}", report)


class SchedulerBench:
    """The production ledger, accounting, placement and gang runner of one term."""

    def __init__(self, fleet: Any) -> None:
        self.fleet, self.clock = fleet, FakeClock()
        self.leadership = make_leadership(fleet.store, self.clock)
        self.workers = FakeWorkers(fleet.recorder)
        self.timeline = Timeline(process=NAME, clock=self.clock, logical=LogicalClock())
        self.accounting = Accounting("bern")

    async def lead(self, machines: list[Machine]) -> None:
        await self.leadership._campaign()
        self.ledger = Ledger(
            store=StoreView(self.fleet.store, NAME),  # type: ignore[arg-type]
            failure_domain="bern",
            term=Compare(self.leadership.key, self.leadership.epoch),
            on_superseded=lambda: self.leadership.step_down("superseded"),
            logical=self.timeline.logical,
        )
        for machine in machines:
            state = WorkerState(machine, claimed=True, reachable=True)
            self.accounting.workers[machine.name] = state

    def place(self) -> tuple[GangRunner, "asyncio.Task[None]"]:
        """Run the placement policy and start the gang that it places."""
        self.ledger.read_entries(self.fleet.store.entries_of(JOB_PREFIX))
        view = self.accounting.view(
            jobs=self.ledger.jobs.values(),
            configuration=self.fleet.first.configuration.current,
            now=self.clock.read_wall(),
            idempotent_only=False,
        )
        policy = PLACEMENTS.find("first_fit")
        assert policy is not None
        (action,) = policy(view)
        assert isinstance(action, Place), action
        record = self.ledger.jobs[action.job]
        gang = GangState(record, action.members, self.clock.read_wall())
        self.accounting.gangs[action.job] = gang
        runner = GangRunner(
            gang=gang,
            accounting=self.accounting,
            ledger=self.ledger,
            workers=self.workers,  # type: ignore[arg-type]
            leadership=self.leadership,
            epoch=self.leadership.epoch,
            times=GangTimes(30.0, 3.0, 1.0),
            chart=load_chart("gang"),
            clock=self.clock,
            timeline=self.timeline,
            on_worker_failure=lambda worker, job: None,
        )
        return runner, asyncio.ensure_future(runner.start())

    async def wait_running(self, runner: GangRunner) -> None:
        while not runner.settled:
            await asyncio.sleep(0)
        while self.ledger.jobs["night-1"].state != "running":
            await asyncio.sleep(0)


@session("job_with_reclaim")
async def run_job_session(recorder: Recorder) -> None:
    """Submit a gang, reclaim its workers, start it again and let it end."""
    async with run_fleet(recorder) as fleet:
        machines = [
            m for m in fleet.first.inventory.list_role("worker") if m.accelerators
        ]
        scheduler = SchedulerBench(fleet)
        await scheduler.lead(machines)
        recorder.title("a squad submits a gang of two")
        spec = {"id": "night-1", "organisation": "squads", "members": 2}
        body = {**spec, "accelerators": 2, "run_time_s": 60}
        await fleet.first.call("squad", "POST", "/v1/jobs", body)
        recorder.title("it is placed and started")
        runner, done = scheduler.place()
        await scheduler.wait_running(runner)
        recorder.title("its accelerators are reclaimed for a guaranteed shape")
        runner.inbox.put_nowait(StopGang("evicted"))
        await done
        recorder.title("there is free capacity again: it is placed once more")
        runner, done = scheduler.place()
        await scheduler.wait_running(runner)
        recorder.title("both members end")
        for number in range(2):
            task = f"night-1.{number}.a2"
            ended = scheduler.workers.make_status(task, "done")
            recorder.write("worker", NAME, encode_json(ended).decode())
            runner.inbox.put_nowait(MemberEnded(ended))
        await done
        recorder.title("the squad queries it")
        await fleet.second.call("squad", "GET", "/v1/jobs/night-1")
