"""The durable record of what was learned of workers, written by the leader alone."""

import heapq
import math
import operator

import msgspec

from ..exceptions import MalformedBody
from ..utils.codec import describe_error
from .doubts import compute_doubt
from .machines import DIGEST_BYTES, Machine, Machines
from .pool_spread import PoolSpread
from .step_times import DECLARED_VARIANCE, TASK_VARIANCE, QueueTimes, StepTimes

VERSION = 1
"""Version of the record; a new field is appended with a default and keeps it."""

MAX_MACHINE_ROWS = 6000
"""Machines in a record, those with the newest news first: twice the largest fleet, in
some 120 kB."""

MAX_QUEUE_ROWS = 500
"""Steps of queues in a record, those with the most tasks first."""

MAX_AGE_S = 3600
"""Age from which an estimate counts as equally old."""

AGE_VARIANCE_PER_S = 0.0002
"""Growth of the variance of a log slowness while nothing is learned: a fifth either way
after three minutes."""

MAX_LOG_SLOWNESS = math.log(20.0)
"""Bound of a restored log slowness, whatever the record says."""

CENTS = 100
"""Logarithms are recorded in hundredths: progress is known to some per cent."""


class _MachineRow(msgspec.Struct, frozen=True, array_like=True):
    """The log slowness and its standard deviation (hundredths), age, doubt (%)."""

    digest: bytes
    pool: int
    mean: int
    deviation: int
    age_s: int
    doubt: int = 0


class _PoolRow(msgspec.Struct, frozen=True, array_like=True):
    """The sums of ``PoolSpread``."""

    name: str
    product_sum: float
    product_weight: float
    pairs: int
    square_sum: float
    squares: int
    worker_sum: float
    worker_weight: float
    runs: int = 0
    failed_runs: float = 0.0


class _QueueRow(msgspec.Struct, frozen=True, array_like=True):
    """The fields of ``QueueTimes``, in hundredths."""

    name: str
    step_index: int
    steps: int
    bias: int
    bias_variance: int
    usual: int | None
    usual_variance: int
    tasks: int
    task_variance: int


class _Record(msgspec.Struct, frozen=True, array_like=True):
    version: int
    written_at: float
    machines: tuple[_MachineRow, ...] = ()
    pools: tuple[_PoolRow, ...] = ()
    queues: tuple[_QueueRow, ...] = ()


_decoder = msgspec.msgpack.Decoder(_Record)


def encode_profiles(
    machines: Machines, steps: StepTimes, *, now: float, wall: float
) -> bytes:
    """Return the record of all measured machines, pools and queues."""
    numbers = {name: number for number, name in enumerate(machines.pools)}
    measured = [m for m in machines if m.measured]
    newest = heapq.nlargest(
        MAX_MACHINE_ROWS, measured, key=operator.attrgetter("changed_at")
    )
    queues = heapq.nlargest(
        MAX_QUEUE_ROWS, steps.queues.items(), key=lambda item: item[1].tasks
    )
    record = _Record(
        VERSION,
        round(wall, 1),
        tuple(_describe_machine(m, numbers[m.pool.name], now) for m in newest),
        tuple(map(_describe_pool, machines.pools.values())),
        tuple(_describe_queue(*key, queue) for key, queue in queues),
    )
    return msgspec.msgpack.encode(record)


def restore_profiles(
    value: bytes, machines: Machines, steps: StepTimes, *, now: float, wall: float
) -> int | MalformedBody:
    """Restore a record; return how many machines were in it."""
    try:
        record = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return describe_error(error)
    if record.version != VERSION:
        return MalformedBody(reason=f"version {record.version} is not known")
    pools = [_restore_pool(row, machines) for row in record.pools]
    for queue_row in record.queues:
        _restore_queue(queue_row, steps)
    elapsed_s = max(0.0, wall - record.written_at)
    rows = [row for row in record.machines if _is_valid(row, len(pools))]
    for row in rows:
        machine = machines.restore(row.digest, pools[row.pool].name)
        if not machine.measured:
            _restore_machine(machine, row, elapsed_s, now)
    for pool in pools:
        pool.begin_epoch()
    return len(rows)


def _is_valid(row: _MachineRow, pools: int) -> bool:
    return 0 <= row.pool < pools and len(row.digest) == DIGEST_BYTES


def _describe_machine(machine: Machine, pool: int, now: float) -> _MachineRow:
    precision = machine.precision + machine.settled_precision
    return _MachineRow(
        machine.digest,
        pool,
        round(CENTS * machine.total_weighted / max(precision, 1e-6)),
        round(CENTS / math.sqrt(max(precision, 1e-6))),
        int(max(0.0, min(MAX_AGE_S, now - machine.changed_at))),
        round(100 * compute_doubt(machine, now)),
    )


def _restore_machine(
    machine: Machine, row: _MachineRow, elapsed_s: float, now: float
) -> None:
    age_s = min(MAX_AGE_S, max(0, row.age_s) + elapsed_s)
    variance = (max(1, row.deviation) / CENTS) ** 2 + AGE_VARIANCE_PER_S * age_s
    machine.settled_precision = 1 / variance
    mean = max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, row.mean / CENTS))
    machine.settled_weighted = mean / variance
    machine.changed_at = now - age_s
    machine.broken = min(99, max(0, row.doubt)) / 100
    machine.broken_at = now - elapsed_s
    machine.update_mean()
    machine.recorded = machine.mean


def _describe_pool(pool: PoolSpread) -> _PoolRow:
    return _PoolRow(
        pool.name,
        pool.product_sum,
        pool.product_weight,
        pool.pairs,
        pool.square_sum,
        pool.squares,
        pool.worker_sum,
        pool.worker_weight,
        pool.runs,
        pool.failed_runs,
    )


def _restore_pool(row: _PoolRow, machines: Machines) -> PoolSpread:
    pool = machines.obtain_pool(row.name)
    sums = (row.product_sum, row.product_weight, row.square_sum, row.worker_sum)
    if pool.squares or not all(map(math.isfinite, sums)):
        # This leader has learned for itself before the record was read, or the record
        # is damaged.
        return pool
    pool.product_sum, pool.product_weight = row.product_sum, row.product_weight
    pool.pairs = max(0, row.pairs)
    pool.square_sum, pool.squares = row.square_sum, max(0, row.squares)
    pool.worker_sum, pool.worker_weight = row.worker_sum, max(0.0, row.worker_weight)
    pool.runs = max(0, row.runs)
    pool.failed_runs = min(pool.runs, max(0.0, row.failed_runs))
    pool.update_variance()
    return pool


def _describe_queue(name: str, step_index: int, queue: QueueTimes) -> _QueueRow:
    usual = queue.usual.mean
    return _QueueRow(
        name,
        step_index,
        queue.usual.steps,
        round(CENTS * (queue.declared.mean or 0.0)),
        round(CENTS * queue.declared.variance),
        None if usual is None else round(CENTS * usual),
        round(CENTS * queue.usual.variance),
        queue.tasks,
        round(CENTS * queue.task_variance),
    )


def _restore_queue(row: _QueueRow, steps: StepTimes) -> None:
    queue = steps.obtain_queue(row.name, row.step_index)
    if queue.tasks or queue.usual.steps:
        return
    queue.declared.mean = row.bias / CENTS
    queue.declared.variance = min(DECLARED_VARIANCE, max(0, row.bias_variance) / CENTS)
    queue.usual.mean = None if row.usual is None else row.usual / CENTS
    queue.usual.variance = min(DECLARED_VARIANCE, max(0, row.usual_variance) / CENTS)
    queue.usual.steps = queue.declared.steps = max(0, row.steps)
    queue.tasks = max(0, row.tasks)
    queue.task_variance = (
        max(1, row.task_variance) / CENTS if row.tasks else (TASK_VARIANCE)
    )
