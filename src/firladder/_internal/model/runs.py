"""One task on the platform: a leader, its successor, two workers, late orders.

Orders without an answer may be carried out at any later step, also when their
leader has been succeeded; a leader's write of progress may land late too. A lease
that lapses is left out: whoever cannot be reached is waited for.
"""

from collections.abc import Iterator
from typing import NamedTuple

from .specification import Guards, Specification, Step, register

MAX_RUNS = 3
WORKERS = (0, 1)
NOWHERE = -1


class Record(NamedTuple):
    """What the store holds of the task; ``worker`` is where its run may be."""

    run: int = 0
    worker: int = NOWHERE
    done: bool = False


class Worker(NamedTuple):
    """A worker: the highest token, the task's run, and the runs given up there."""

    token: int = 1
    running: int = 0
    given_up: int = 0
    listed: int = 0
    """A run whose end is listed and not acknowledged yet."""


class Task(NamedTuple):
    """The task as the store, the present leader and the workers have it."""

    leader: int = 1
    record: Record = Record()
    phase: str = "waiting"
    mind: Record = Record()
    """What the leader believes; written to the store by a step of its own."""
    written: bool = True
    workers: tuple[Worker, ...] = (Worker(), Worker())
    late: frozenset[tuple[int, int, int]] = frozenset()
    """Starts on their way: worker, run, token."""
    late_write: Record | None = None
    cancelled: bool = False
    knows_cancel: bool = False
    cancelled_before: bool = False
    """The cancellation was stored before the present leader's term."""
    acknowledged: bool = False
    twice: bool = False
    again: bool = False
    uncancelled: bool = False


def expand(task: Task, guards: Guards) -> Iterator[Step]:
    """Return every step from this state."""
    yield from _plan(task, guards)
    yield from _write(task)
    yield from _send(task, guards)
    yield from _land(task)
    yield from _give_up(task, guards)
    yield from _end(task)
    yield from _look(task, guards)
    yield from _acknowledge(task, guards)
    yield from _cancel(task)
    yield from _succeed(task, guards)
    yield from _land_write(task, guards)


def _put(task: Task, index: int, worker: Worker) -> tuple[Worker, ...]:
    return tuple(worker if n == index else w for n, w in enumerate(task.workers))


def _accept(task: Task, index: int, run: int, token: int) -> Task:
    """Let a start reach a worker."""
    worker = task.workers[index]
    if token < worker.token or run <= worker.given_up:
        return task
    beside = any(w.running for n, w in enumerate(task.workers) if n != index)
    begun = worker._replace(token=token, running=run)
    return task._replace(
        workers=_put(task, index, begun),
        twice=task.twice or beside,
        again=task.again or task.acknowledged,
        uncancelled=task.uncancelled or (task.cancelled_before and token == 2),
    )


def _plan(task: Task, guards: Guards) -> Iterator[Step]:
    if task.phase != "waiting" or task.knows_cancel or task.mind.run == MAX_RUNS:
        return
    if task.mind.done or not task.written:
        return
    for index in WORKERS:
        mind = Record(task.mind.run + 1, index)
        yield (
            f"leader {task.leader} plans run {mind.run} on worker {index + 1}",
            task._replace(phase="planned", mind=mind, written=False),
        )


def _write(task: Task) -> Iterator[Step]:
    if task.written:
        return
    written = task._replace(record=task.mind, written=True)
    yield f"leader {task.leader} writes its progress", written
    if task.leader == 1 and task.late_write is None:
        yield (
            "leader 1 writes, and the write is on its way for long",
            task._replace(late_write=task.mind),
        )


def _send(task: Task, guards: Guards) -> Iterator[Step]:
    if task.phase != "planned":
        return
    if "durable_before_start" in guards and not task.written:
        return
    run, index = task.mind.run, task.mind.worker
    sent = _accept(task, index, run, task.leader)
    yield f"worker {index + 1} begins run {run}", sent._replace(phase="active")
    yield (
        f"worker {index + 1} begins run {run}, and its answer is lost",
        sent._replace(phase="unknown"),
    )
    late = task.late | {(index, run, task.leader)}
    yield (
        f"the start of run {run} is on its way for long",
        task._replace(phase="unknown", late=late),
    )


def _land(task: Task) -> Iterator[Step]:
    for index, run, token in sorted(task.late):
        rest = task._replace(late=task.late - {(index, run, token)})
        yield (
            f"the late start of run {run} reaches worker {index + 1}",
            _accept(rest, index, run, token),
        )


def _give_up(task: Task, guards: Guards) -> Iterator[Step]:
    """Resolve a start without an answer: stop it, then look."""
    if task.phase != "unknown":
        return
    run, index = task.mind.run, task.mind.worker
    waiting = task._replace(
        phase="waiting", mind=task.mind._replace(worker=NOWHERE), written=False
    )
    if "stop_before_next" not in guards:
        yield f"leader {task.leader} takes run {run} for not begun", waiting
        return
    worker = task.workers[index]
    if worker.token > task.leader:
        return
    if worker.listed == run:
        yield f"a look lists the end of run {run}", task._replace(phase="active")
        return
    stopped = worker._replace(
        token=task.leader, running=0, given_up=max(run, worker.given_up)
    )
    yield (
        f"run {run} is stopped on worker {index + 1} and not there any more",
        waiting._replace(workers=_put(task, index, stopped)),
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
                task._replace(workers=_put(task, index, ended)),
            )


def _look(task: Task, guards: Guards) -> Iterator[Step]:
    if task.phase == "recovered":
        yield from _recover(task, guards)
    if task.phase != "active":
        return
    worker = task.workers[task.mind.worker]
    if worker.listed == task.mind.run and worker.token <= task.leader:
        yield (
            f"leader {task.leader} learns that run {task.mind.run} is done",
            task._replace(
                phase="done", mind=task.mind._replace(done=True), written=False
            ),
        )


def _recover(task: Task, guards: Guards) -> Iterator[Step]:
    run, index = task.mind.run, task.mind.worker
    waiting = task._replace(
        phase="waiting", mind=task.mind._replace(worker=NOWHERE), written=False
    )
    if "ask_before_next" not in guards:
        yield f"leader {task.leader} takes run {run} for over", waiting
        return
    worker = task.workers[index]._replace(token=task.leader)
    asked = _put(task, index, worker)
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
    index = task.mind.worker
    worker = task.workers[index]
    if worker.token > task.leader:
        return
    yield (
        f"leader {task.leader} acknowledges the end of run {task.mind.run}",
        task._replace(
            acknowledged=True, workers=_put(task, index, worker._replace(listed=0))
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
        # The former leader may send what it had just made durable.
        late = late | {(task.mind.worker, task.mind.run, 1)}
    placed = task.record.worker != NOWHERE
    phase = "done" if task.record.done else "recovered" if placed else "waiting"
    reads_cancel = "cancel_read_first" in guards
    yield (
        "leader 2 reads the records",
        task._replace(
            leader=2,
            phase=phase,
            mind=task.record,
            written=True,
            late=late,
            knows_cancel=task.cancelled and reads_cancel,
            cancelled_before=task.cancelled,
        ),
    )


def _land_write(task: Task, guards: Guards) -> Iterator[Step]:
    late = task.late_write
    if late is None or task.leader == 1:
        return
    landed = task._replace(late_write=None)
    if "leader_compared" not in guards:
        landed = landed._replace(record=late)
        if task.written and not task.mind.done:
            # The successor reads it where it has nothing of its own to write.
            landed = landed._replace(mind=late, phase="waiting")
    yield "the former leader's write arrives", landed


RUNS = register(
    Specification(
        name="run",
        summary="one task on the platform, two leaders, late orders and writes",
        initial=Task(),
        fields=Task._fields,
        expand=expand,
        invariants={
            "two runs of a task are never at work at once": lambda t: not t.twice,
            "nothing starts after an acknowledged end": lambda t: not t.again,
            "no successor starts what was cancelled before it": (
                lambda t: not t.uncancelled
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
