"""Measure the time of decisions and the memory of their data in this process."""

import functools
import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from ..cli.daemon_settings import SCHEDULER_SETTINGS
from ..fleet.configuration import read_configuration
from ..models.configuration import Cell, Configuration, Labels, Organisation, Rule
from ..models.entry import Entry
from ..models.job import JobRecord, JobSpec, Member
from ..models.machine import Machine
from ..models.message import Envelope, Heartbeat, Identity
from ..models.task import TaskReport, TaskStatus
from ..policies.placement_catalogue import PLACEMENTS
from ..policies.selectors import find_steering
from ..scheduler.accounting import Accounting, GangState
from ..utils.codec import encode_json
from .series import Series

GANG_SIZE = 128
REPEATS = 5

DOMAIN = "d-1"

DEFAULT_PLACEMENT = next(
    str(s.default) for s in SCHEDULER_SETTINGS if s.name == "placement"
)


def make_machines(count: int) -> list[Machine]:
    """Return workers with two accelerators, the target fleet's mean, 16 per rack."""
    return [
        Machine(
            name=f"worker-{n}",
            role="worker",
            failure_domain=DOMAIN,
            address=f"127.9.{n // 250}.{n % 250 + 1}:7000",
            rack=f"rack-{n // 16}",
            accelerators=2,
            cpus=32,
            memory_mb=65536,
            labels={"pool": "night", "zone": DOMAIN},
        )
        for n in range(count)
    ]


def make_job(number: int, machines: Sequence[Machine], members: int) -> JobRecord:
    """Return a running gang spread over the machines."""
    spec = JobSpec(
        id=f"season-block-{number}",
        organisation="team-1",
        members=members,
        accelerators=0,
        adjacency="domain",
        labels={"kind": "season-block"},
    )
    places = itertools.islice(itertools.cycle(machines), number, number + members)
    return JobRecord(
        spec=spec,
        failure_domain=DOMAIN,
        submitted_at=0.0,
        spec_digest="0" * 32,
        state="running",
        epoch=1,
        attempt=1,
        members=tuple(
            Member(f"{spec.id}.1.{n}", machine.name, ())
            for n, machine in enumerate(places)
        ),
    )


def make_configuration(teams: int) -> Configuration:
    """Return a configuration with a shape, a rule and a label row per team."""
    return Configuration(
        1,
        {f"team-{n}": Organisation((Cell(DOMAIN, 1, 1),)) for n in range(teams)},
        {f"rule-{n}": Rule(f"kind=season-block-{n}") for n in range(teams)},
        {f"worker.worker-{n}": Labels({"pool": "night"}) for n in range(teams)},
    )


def fill_accounting(workers: int, tasks: int) -> Accounting:
    """Return a leader's accounting with all workers claimed and gangs running."""
    machines = make_machines(workers)
    accounting = Accounting(DOMAIN)
    accounting.update_machines(machines)
    sizes = [GANG_SIZE] * (tasks // GANG_SIZE) + [tasks % GANG_SIZE] * bool(
        tasks % GANG_SIZE
    )
    jobs = [make_job(n, machines, size) for n, size in enumerate(sizes)]
    tasks_by_worker: dict[str, list[TaskStatus]] = {m.name: [] for m in machines}
    for job in jobs:
        accounting.gangs[job.spec.id] = GangState(job, job.members, 0.0)
        for member in job.members:
            tasks_by_worker[member.worker].append(_describe_task(job, member))
    for name, statuses in tasks_by_worker.items():
        report = TaskReport(worker=name, epoch=1, sequence=1, tasks=tuple(statuses))
        accounting.apply_report(name, report, 0.0)
        accounting.workers[name].claimed = True
    return accounting


def _describe_task(job: JobRecord, member: Member) -> TaskStatus:
    return TaskStatus(
        task=member.task,
        job=job.spec.id,
        attempt=1,
        gang_size=job.spec.members,
        state="running",
        accelerators=(),
        cpus=1,
        memory_mb=256,
        confirmed=True,
    )


def time_call(call: Callable[[], Any]) -> float:
    """Return the minimum processor time of a few calls, in milliseconds.

    Other work on the machine only adds to the time, so the minimum is closest to the
    cost of the code.
    """
    times_ms = []
    for _ in range(REPEATS):
        started = time.process_time_ns()
        call()
        times_ms.append((time.process_time_ns() - started) / 1e6)
    return min(times_ms)


def measure_memory_kb(build: Callable[[], Any]) -> float:
    """Return the memory that the result of ``build`` holds, in kilobytes."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        after, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return (after - before) / 1024


def _run_pass(accounting: Accounting, configuration: Configuration) -> None:
    view = accounting.view(
        jobs=(), configuration=configuration, now=0.0, idempotent_only=False
    )
    policy = PLACEMENTS.find(DEFAULT_PLACEMENT)
    assert policy is not None
    policy(view)


def _steer(configuration: Configuration) -> None:
    for _ in range(10):
        find_steering(
            configuration,
            organisation="team-1",
            urgency="urgent",
            labels={"kind": "check"},
        )


def measure_passes() -> Iterable[Series]:
    """Measure a placement pass for numbers of workers, tasks and teams."""
    one_team = make_configuration(1)
    yield Series(
        name="pass.cpu.workers",
        per="worker",
        unit="ms",
        points=tuple(
            (
                n,
                time_call(
                    functools.partial(_run_pass, fill_accounting(n, 1024), one_team)
                ),
            )
            for n in (50, 100, 150, 217)
        ),
        note="view and the default policy with 1,024 running tasks and an empty queue",
    )
    yield Series(
        name="pass.cpu.tasks",
        per="task",
        unit="ms",
        points=tuple(
            (
                n,
                time_call(
                    functools.partial(_run_pass, fill_accounting(217, n), one_team)
                ),
            )
            for n in (0, 800, 1600, 2400, 3200)
        ),
        note="view and the default policy on 217 workers",
    )
    yield Series(
        name="pass.cpu.teams",
        per="team",
        unit="ms",
        points=tuple(
            (
                n,
                time_call(
                    functools.partial(
                        _run_pass, fill_accounting(217, 0), make_configuration(n)
                    )
                ),
            )
            for n in (50, 100, 150, 200)
        ),
        note="one shape, rule and label row a team; 217 workers, no tasks",
    )


def _encode_entries(configuration: Configuration) -> list[Entry]:
    parts = {
        "organisation": configuration.organisations,
        "rule": configuration.rules,
        "labels": configuration.labels,
    }
    return [
        Entry(f"config/{kind}/{name}", encode_json(value), 1)
        for kind, rows in parts.items()
        for name, value in rows.items()  # type: ignore[attr-defined]
    ]


def measure_configuration() -> Iterable[Series]:
    """Measure a change, a rule lookup and the memory for numbers of teams."""
    sizes = (50, 100, 150, 200)
    entries = {n: _encode_entries(make_configuration(n)) for n in sizes}
    yield Series(
        name="configuration.cpu.teams",
        per="team",
        unit="ms",
        points=tuple(
            (n, time_call(functools.partial(read_configuration, rows)))
            for n, rows in entries.items()
        ),
        note="reading the whole configuration again, as each change does",
    )
    yield Series(
        name="steering.cpu.rules",
        per="rule",
        unit="ms",
        points=tuple(
            (
                n,
                time_call(functools.partial(_steer, make_configuration(n))) / 10,
            )
            for n in sizes
        ),
        note="one request or job whose labels match no rule",
    )
    yield Series(
        name="configuration.memory.teams",
        per="team",
        unit="KB",
        points=tuple(
            (n, measure_memory_kb(functools.partial(read_configuration, rows)))
            for n, rows in entries.items()
        ),
        note="decoded; the mirror keeps the encoded rows besides",
    )
    yield Series(
        name="configuration.bytes.teams",
        per="team",
        unit="KB",
        points=tuple(
            (n, sum(len(e.key) + len(e.value) for e in rows) * 4 / 3 / 1024)
            for n, rows in entries.items()
        ),
        note="on the wire from the store, in base64, without framing",
    )


def measure_memory() -> Iterable[Series]:
    """Measure a leader's memory for numbers of workers, tasks and jobs."""
    yield Series(
        name="books.memory.workers",
        per="worker",
        unit="KB",
        points=tuple(
            (n, measure_memory_kb(functools.partial(fill_accounting, n, 0)))
            for n in (50, 100, 150, 217)
        ),
    )
    yield Series(
        name="books.memory.tasks",
        per="task",
        unit="KB",
        points=tuple(
            (n, measure_memory_kb(functools.partial(fill_accounting, 217, n)))
            for n in (0, 800, 1600, 3200)
        ),
        note="task in the gang's record and in its worker's row",
    )
    machines = make_machines(217)
    rows = [encode_json(make_job(n, machines, 23)) for n in range(830)]
    yield Series(
        name="ledger.memory.jobs",
        per="job",
        unit="KB",
        points=tuple(
            (n, measure_memory_kb(functools.partial(_mirror_jobs, rows[:n])))
            for n in (100, 300, 600, 830)
        ),
        note="23 members, the target fleet's mean; mirror entry and decoded record",
    )
    yield Series(
        name="job.bytes.members",
        per="member",
        unit="KB",
        points=tuple(
            (n, len(encode_json(make_job(1, machines, n))) / 1024)
            for n in (1, 32, 64, 128)
        ),
        note="the store's value of one running job",
    )


def _mirror_jobs(rows: Iterable[bytes]) -> list[tuple[Entry, JobRecord]]:
    return [
        (
            Entry(f"jobs/{number}", bytes(bytearray(row)), number + 1),
            msgspec.json.decode(row, type=JobRecord),
        )
        for number, row in enumerate(rows)
    ]


def measure_messages() -> Iterable[Series]:
    """Measure a heartbeat's bytes and codec time for numbers of addresses."""

    def encode_heartbeat(addresses: int) -> bytes:
        identity = Identity(
            vm="bern-halle-1",
            role="gateway",
            failure_domain="bern-halle",
            incarnation="0123456789ab",
            address="10.11.12.13:7000",
            http_address="10.11.12.13:8080",
        )
        peers = tuple(f"10.11.12.{n}:7000" for n in range(addresses))
        body = Heartbeat(
            identity=identity, revision=3400, demand={"planwerk": 12}, peers=peers
        )
        sender = "bern-halle-1/gateway/0123456789ab"
        message = Envelope(
            sender=sender, clock=1_000_000, correlation=f"{sender}/100", body=body
        )
        return msgspec.msgpack.encode(message)

    sizes = (0, 4, 8, 16)
    yield Series(
        name="heartbeat.bytes.addresses",
        per="gossiped address",
        unit="bytes",
        points=tuple((n, float(len(encode_heartbeat(n)))) for n in sizes),
    )
    decoder = msgspec.msgpack.Decoder(Envelope)

    def run_codec(addresses: int) -> None:
        for _ in range(200):
            decoder.decode(encode_heartbeat(addresses))

    yield Series(
        name="heartbeat.cpu.addresses",
        per="gossiped address",
        unit="ms",
        points=tuple(
            (
                n,
                time_call(functools.partial(run_codec, n)) / 200,
            )
            for n in sizes
        ),
        note="build, encode and decode, without sockets",
    )


def measure_all() -> list[Series]:
    """Return every series that needs no other process."""
    return [
        *measure_passes(),
        *measure_configuration(),
        *measure_memory(),
        *measure_messages(),
    ]
