"""Model of one task on the platform, two leaders, two workers, and late orders.

Orders without an answer may be carried out at any later step, also when their leader
has been succeeded; a leader's write of progress may be applied late too. The expiry of
leases is left out: an unreachable worker is waited for.
"""

from collections.abc import Iterator
from typing import NamedTuple

from .specification import Guards, Specification, Step, register

MAX_RUNS = 3
WORKERS = (0, 1)
NO_WORKER = -1


class Record(NamedTuple):
    """The task's record in the store; its run may be on ``worker``."""

    run: int = 0
    worker: int = NO_WORKER
    done: bool = False


class Worker(NamedTuple):
    """A worker: its highest token, the active run, and the last run given up."""

    token: int = 1
    running: int = 0
    given_up: int = 0
    listed: int = 0
    """A run whose end is reported and not acknowledged yet."""


class Task(NamedTuple):
    """The task in the store, in the current leader and on the workers."""

    leader: int = 1
    record: Record = Record()
    phase: str = "waiting"
    belief: Record = Record()
    """The leader's view; a separate step writes it to the store."""
    written: bool = True
    workers: tuple[Worker, ...] = (Worker(), Worker())
    late: frozenset[tuple[int, int, int]] = frozenset()
    """Starts in flight: worker, run, token."""
    late_write: Record | None = None
    cancelled: bool = False
    knows_cancel: bool = False
    cancelled_before: bool = False
    """Whether the cancellation was stored before the current leader's term."""
    acknowledged: bool = False
    twice: bool = False
    started_after_end: bool = False
    started_after_cancel: bool = False


def expand(task: Task, guards: Guards) -> Iterator[Step]:
    """Yield every step from this state."""
    yield from _plan(task, guards)
    yield from _write(task)
    yield from _send(task, guards)
    yield from _deliver_late_start(task)
    yield from _resolve_start(task, guards)
    yield from _end(task)
    yield from _poll(task, guards)
    yield from _acknowledge(task, guards)
    yield from _cancel(task)
    yield from _succeed(task, guards)
    yield from _deliver_late_write(task, guards)


def _replace_worker(task: Task, index: int, worker: Worker) -> tuple[Worker, ...]:
    return tuple(worker if n == index else w for n, w in enumerate(task.workers))


def _accept(task: Task, index: int, run: int, token: int) -> Task:
    """Deliver a start to a worker."""
    worker = task.workers[index]
    if token < worker.token or run <= worker.given_up:
        return task
    overlaps = any(w.running for n, w in enumerate(task.workers) if n != index)
    begun = worker._replace(token=token, running=run)
    return task._replace(
        workers=_replace_worker(task, index, begun),
        twice=task.twice or overlaps,
        started_after_end=task.started_after_end or task.acknowledged,
        started_after_cancel=task.started_after_cancel
        or (task.cancelled_before and token == 2),
    )


def _plan(task: Task, guards: Guards) -> Iterator[Step]:
    if task.phase != "waiting" or task.knows_cancel or task.belief.run == MAX_RUNS:
        return
    if task.belief.done or not task.written:
        return
    for index in WORKERS:
        belief = Record(task.belief.run + 1, index)
        yield (
            f"leader {task.leader} plans run {belief.run} on worker {index + 1}",
            task._replace(phase="planned", belief=belief, written=False),
        )


def _write(task: Task) -> Iterator[Step]:
    if task.written:
        return
    written = task._replace(record=task.belief, written=True)
    yield f"leader {task.leader} writes its progress", written
    if task.leader == 1 and task.late_write is None:
        yield (
            "leader 1 writes, and the write is delayed",
            task._replace(late_write=task.belief),
        )


def _send(task: Task, guards: Guards) -> Iterator[Step]:
    if task.phase != "planned":
        return
    if "durable_before_start" in guards and not task.written:
        return
    run, index = task.belief.run, task.belief.worker
    sent = _accept(task, index, run, task.leader)
    yield f"worker {index + 1} begins run {run}", sent._replace(phase="active")
    yield (
        f"worker {index + 1} begins run {run}, and its answer is lost",
        sent._replace(phase="unknown"),
    )
    late = task.late | {(index, run, task.leader)}
    yield (
        f"the start of run {run} is delayed",
        task._replace(phase="unknown", late=late),
    )


def _deliver_late_start(task: Task) -> Iterator[Step]:
    for index, run, token in sorted(task.late):
        rest = task._replace(late=task.late - {(index, run, token)})
        yield (
            f"the late start of run {run} reaches worker {index + 1}",
            _accept(rest, index, run, token),
        )


def _resolve_start(task: Task, guards: Guards) -> Iterator[Step]:
    """Resolve a start without an answer: stop it, then poll the worker."""
    if task.phase != "unknown":
        return
    run, index = task.belief.run, task.belief.worker
    waiting = task._replace(
        phase="waiting", belief=task.belief._replace(worker=NO_WORKER), written=False
    )
    if "stop_before_next" not in guards:
        yield f"leader {task.leader} assumes that run {run} has not started", waiting
        return
    worker = task.workers[index]
    if worker.token > task.leader:
        return
    if worker.listed == run:
        yield f"a poll lists the end of run {run}", task._replace(phase="active")
        return
    stopped = worker._replace(
        token=task.leader, running=0, given_up=max(run, worker.given_up)
    )
    yield (
        f"run {run} is stopped on worker {index + 1} and not listed any more",
        waiting._replace(workers=_replace_worker(task, index, stopped)),
    )


def _end(task: Task) -> Iterator[Step]:
    for index, worker in enumerate(task.workers):
        if worker.running:
            ended = worker._replace(
                running=0,
                given_up=max(worker.running, worker.given_up),
                listed=worker.running,
            )
            yield (
                f"run {worker.running} is done on worker {index + 1}",
                task._replace(workers=_replace_worker(task, index, ended)),
            )


def _poll(task: Task, guards: Guards) -> Iterator[Step]:
    if task.phase == "recovered":
        yield from _recover(task, guards)
    if task.phase != "active":
        return
    worker = task.workers[task.belief.worker]
    if worker.listed == task.belief.run and worker.token <= task.leader:
        yield (
            f"leader {task.leader} learns that run {task.belief.run} is done",
            task._replace(
                phase="done", belief=task.belief._replace(done=True), written=False
            ),
        )


def _recover(task: Task, guards: Guards) -> Iterator[Step]:
    run, index = task.belief.run, task.belief.worker
    waiting = task._replace(
        phase="waiting", belief=task.belief._replace(worker=NO_WORKER), written=False
    )
    if "ask_before_next" not in guards:
        yield f"leader {task.leader} assumes that run {run} has ended", waiting
        return
    worker = task.workers[index]._replace(token=task.leader)
    asked = _replace_worker(task, index, worker)
    if run in (worker.running, worker.listed):
        yield (
            f"worker {index + 1} lists run {run}",
            task._replace(phase="active", workers=asked),
        )
    else:
        yield (
            f"worker {index + 1} does not have run {run}",
            waiting._replace(workers=asked),
        )


def _acknowledge(task: Task, guards: Guards) -> Iterator[Step]:
    if task.phase != "done" or task.acknowledged:
        return
    if "durable_before_acknowledged" in guards and not task.written:
        return
    index = task.belief.worker
    worker = task.workers[index]
    if worker.token > task.leader:
        return
    yield (
        f"leader {task.leader} acknowledges the end of run {task.belief.run}",
        task._replace(
            acknowledged=True,
            workers=_replace_worker(task, index, worker._replace(listed=0)),
        ),
    )


def _cancel(task: Task) -> Iterator[Step]:
    if not task.cancelled:
        yield "the cancellation is stored", task._replace(cancelled=True)
    elif not task.knows_cancel:
        yield (
            f"leader {task.leader} hears of the cancellation",
            task._replace(knows_cancel=True),
        )


def _succeed(task: Task, guards: Guards) -> Iterator[Step]:
    if task.leader == 2:
        return
    late = task.late
    if task.phase == "planned" and task.written:
        # The former leader may still send the start that it has just made durable.
        late = late | {(task.belief.worker, task.belief.run, 1)}
    placed = task.record.worker != NO_WORKER
    phase = "done" if task.record.done else "recovered" if placed else "waiting"
    reads_cancel = "cancel_read_first" in guards
    yield (
        "leader 2 reads the records",
        task._replace(
            leader=2,
            phase=phase,
            belief=task.record,
            written=True,
            late=late,
            knows_cancel=task.cancelled and reads_cancel,
            cancelled_before=task.cancelled,
        ),
    )


def _deliver_late_write(task: Task, guards: Guards) -> Iterator[Step]:
    late = task.late_write
    if late is None or task.leader == 1:
        return
    landed = task._replace(late_write=None)
    if "leader_compared" not in guards:
        landed = landed._replace(record=late)
        if task.written and not task.belief.done:
            # The successor adopts it if it has nothing of its own to write.
            landed = landed._replace(belief=late, phase="waiting")
    yield "the former leader's write arrives", landed


RUNS = register(
    Specification(
        name="run",
        summary="one task on the platform, two leaders, late orders and writes",
        initial=Task(),
        fields=Task._fields,
        expand=expand,
        invariants={
            "two runs of a task are never active at once": lambda t: not t.twice,
            "nothing starts after an acknowledged end": lambda t: (
                not t.started_after_end
            ),
            "no successor starts a task that was cancelled before its term": (
                lambda t: not t.started_after_cancel
            ),
        },
        guards={
            "durable_before_start": "a run is in the store before it is sent",
            "stop_before_next": "a start without an answer is stopped before the next",
            "ask_before_next": "a successor asks the worker of a recorded run first",
            "durable_before_acknowledged": "an end is stored before it is acknowledged",
            "leader_compared": "a write of progress compares the leader's own key",
            "cancel_read_first": "a successor reads cancellations before it starts",
        },
    )
)
