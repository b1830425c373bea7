"""Decode the body of a client's job submission."""

import msgspec

from ..exceptions import InvalidValue, MalformedBody
from ..models.workload import Resources, Step, Workload
from ..utils.codec import decode_json

MAX_PAYLOAD_BYTES = 4000
"""Size of the opaque text that a job passes to its tasks."""

MAX_TASKS = 10_000
"""Tasks of one job over all occurrences; keeps its record below 1 MB."""


class _Step(msgspec.Struct):
    # gpu is in whole accelerators, cpu in thousandths of a core.
    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    # The rack that holds the data, not an affinity between tasks.
    affinity: str = ""
    max_per_server: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    # The cpu of such a step doesn't count against the worker's capacity.
    fills: bool = False


class _Submission(msgspec.Struct):
    # Opaque text for the tasks, not a specification of the job.
    spec: str = ""
    steps: list[_Step] = []
    # How often the steps run; 0 means once, immediately.
    times: int = 0
    first_ms: float = 0
    interval_ms: float = 0


def decode_submission(body: bytes) -> Workload | MalformedBody | InvalidValue:
    """Return the job that a submission describes, or why it is invalid."""
    wire = decode_json(body, _Submission)
    if isinstance(wire, MalformedBody):
        return wire
    invalid = _validate(wire)
    if invalid is not None:
        return invalid
    return Workload(
        wire.spec,
        tuple(map(_convert_step, wire.steps)),
        wire.times,
        wire.first_ms / 1000,
        wire.interval_ms / 1000,
    )


def _validate(wire: _Submission) -> InvalidValue | None:
    if len(wire.spec.encode()) > MAX_PAYLOAD_BYTES:
        return InvalidValue(reason=f"at most {MAX_PAYLOAD_BYTES} bytes", field="spec")
    if not wire.steps:
        return InvalidValue(reason="at least one step", field="steps")
    tasks = sum(s.count for s in wire.steps) * max(1, wire.times)
    if not 0 < tasks <= MAX_TASKS:
        return InvalidValue(reason=f"1 to {MAX_TASKS} tasks", field="steps")
    for number, step in enumerate(wire.steps):
        amounts = (step.count - 1, step.cpu, step.mem_mb, step.gpu, step.estimate_ms)
        if min(amounts) < 0:
            return InvalidValue(
                reason="count must be at least 1, other amounts at least 0",
                field=f"steps[{number}]",
            )
        if not all(0 <= earlier < number for earlier in step.after):
            return InvalidValue(
                reason="must be indexes of earlier steps",
                field=f"steps[{number}].after",
            )
    return None


def _convert_step(wire: _Step) -> Step:
    return Step(
        count=wire.count,
        need=Resources(0 if wire.fills else wire.cpu, wire.mem_mb, wire.gpu),
        estimate_s=wire.estimate_ms / 1000,
        after=tuple(wire.after),
        checkpoints=wire.checkpoints,
        gang=wire.gang,
        one_rack=wire.same_rack,
        label=wire.required_label,
        rack=wire.affinity,
        most_per_worker=wire.max_per_server,
        copies_allowed=wire.allow_duplicates,
        lasting=wire.long_running,
    )
