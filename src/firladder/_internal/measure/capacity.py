"""Compute the load on each role at a given fleet size from measured slopes."""

from collections.abc import Iterable, Mapping

from .figures import Figure, FigureTerm
from .series import Series
from .size import Size

DAY_S = 86_400.0

PASSES_PER_S = 1 / 0.3
"""Placement passes of an idle leader: a pause of 0.25 s and a spacing of 0.05 s."""


def _make_change_term(size: Size) -> FigureTerm:
    """Return the processor time of configuration changes, in ms per second."""
    return FigureTerm(
        "configuration.cpu.teams",
        size.teams,
        size.changes_per_day / DAY_S,
        with_intercept=True,
    )


def list_leader_figures(size: Size) -> Iterable[Figure]:
    """Yield the figures of a scheduler that leads a failure domain."""
    workers, tasks = size.domain_workers, size.domain_tasks
    jobs_per_s = size.jobs_per_day / size.domains / DAY_S
    kept_jobs = size.jobs_per_day * size.job_days_kept
    yield Figure(
        "leader",
        "processor, workers and heartbeats",
        "ms/s",
        (FigureTerm("leader.cpu.workers", workers, with_intercept=True),),
        "one long poll and one lease renewal a worker; 3.3 passes a second",
        43,
        "polls of quiet workers, each 5 s",
    )
    yield Figure(
        "leader",
        "processor, running tasks",
        "ms/s",
        (FigureTerm("pass.cpu.tasks", tasks, PASSES_PER_S),),
        "each pass builds its view from all workers and members",
        43,
        "passes while nothing has changed",
    )
    yield Figure(
        "leader",
        "processor, passes with every team's shape",
        "ms/s",
        (FigureTerm("pass.cpu.teams", size.teams, PASSES_PER_S, with_intercept=True),),
        "each pass places all guaranteed cells again",
        43,
        "passes while nothing has changed",
    )
    yield Figure(
        "leader",
        "processor, jobs through their lives",
        "ms/s",
        (FigureTerm("gang.cpu.members", size.mean_gang, jobs_per_s),),
        "reserve, start and confirm: three calls a member",
        43,
        "bursts: see the largest gang",
    )
    yield Figure(
        "leader",
        "processor, configuration changes",
        "ms/s",
        (_make_change_term(size),),
        "each change reads all rows again",
        43,
    )
    yield Figure(
        "leader",
        "memory, without finished jobs",
        "KB",
        (
            FigureTerm("leader.memory.workers", workers, with_intercept=True),
            FigureTerm("leader.memory.tasks", tasks),
            FigureTerm("restart.memory.rows", size.rows),
            FigureTerm("configuration.memory.teams", size.teams),
        ),
        "books, connections to workers, VM list, configuration",
        64 * 1024,
        "memory taken while gangs start and not given back",
    )
    yield Figure(
        "leader",
        f"memory, jobs of {size.job_days_kept} days",
        "KB",
        (FigureTerm("ledger.memory.jobs", kept_jobs),),
        "the mirror of `jobs/` holds all failure domains' jobs",
        64 * 1024,
        "finished jobs are never removed",
    )
    yield Figure(
        "leader",
        "bytes to and from workers",
        "bytes/s",
        (FigureTerm("leader.bytes.workers", workers, with_intercept=True),),
        "HTTP long polls: headers outweigh what they carry",
        15_000,
        "an empty poll each 5 s and a renewal each 7.5 s a worker",
    )
    yield Figure(
        "leader",
        "store calls",
        "calls/s",
        (FigureTerm("leader.calls.workers", workers, with_intercept=True),),
        "lease renewal each third of the lease; three watches",
    )
    yield Figure(
        "leader",
        "largest gang, submission to running",
        "s",
        (FigureTerm("gang.start_s.members", size.largest_gang, with_intercept=True),),
        "all members reserved at once, then all started at once",
        7.7,
        "room must be free; reclaiming adds the stop grace of 5 s",
    )
    yield Figure(
        "leader",
        "largest gang, processor of its life",
        "ms",
        (FigureTerm("gang.cpu.members", size.largest_gang, with_intercept=True),),
        "a burst of gangs queues behind one core",
    )
    yield Figure(
        "leader",
        "takeover after a leader is killed",
        "s",
        (FigureTerm("leader.takeover_s.workers", workers, with_intercept=True),),
        "the lease of 5 s ends, then every worker is claimed in parallel",
        None,
        "the lease, not the workers",
    )


def list_other_figures(size: Size) -> Iterable[Figure]:
    """Yield the figures of the standby, the gateway, the VM and the store."""
    standby_cpu = FigureTerm(
        "leader.standby_cpu.workers", size.domain_workers, with_intercept=True
    )
    standby_kb = FigureTerm(
        "leader.standby_memory.workers", size.domain_workers, with_intercept=True
    )
    gateway_cpu = FigureTerm(
        "gateway.cpu.processes", size.heartbeat_peers, with_intercept=True
    )
    common_kb = (
        FigureTerm("restart.memory.rows", size.rows),
        FigureTerm("configuration.memory.teams", size.teams),
    )
    gateway_kb = (
        FigureTerm(
            "gateway.memory.processes", size.heartbeat_peers, with_intercept=True
        ),
        FigureTerm("gateway.memory.processes", size.processes - size.heartbeat_peers),
        *common_kb,
    )
    yield Figure(
        "standby scheduler",
        "processor",
        "ms/s",
        (standby_cpu, _make_change_term(size)),
        "heartbeats; a look at the leader's key each third of the lease",
        43,
    )
    yield Figure(
        "standby scheduler",
        "memory",
        "KB",
        (standby_kb, *common_kb),
        "VM list and configuration, ready to take over",
        64 * 1024,
    )
    yield Figure(
        "gateway",
        "processor, control alone",
        "ms/s",
        (gateway_cpu, _make_change_term(size)),
        "heartbeats to its own failure domain and two far daemons",
        43,
        "daemons in one failure domain",
    )
    yield Figure(
        "gateway",
        "processor of one request",
        "ms",
        (FigureTerm("gateway.cpu.requests", 1),),
        "parse, admit, queue, forward, answer",
        None,
        "one core answers 1000 / this a second",
    )
    yield Figure(
        "gateway",
        "steering of one request",
        "ms",
        (FigureTerm("steering.cpu.rules", size.teams, with_intercept=True),),
        "rules are tried in their order",
        None,
        "rules; an index over labels would end it",
    )
    yield Figure(
        "gateway",
        "memory",
        "KB",
        gateway_kb,
        "VM list, configuration, peers",
        64 * 1024,
    )
    yield Figure(
        "gateway",
        "memory of 512 waiting callers",
        "KB",
        (FigureTerm("gateway.memory.waiting", 512),),
        "each holds its connection and its body",
        None,
        "connections: 512 a listener",
    )
    yield Figure(
        "gateway",
        "bytes between daemons",
        "bytes/s",
        (
            FigureTerm(
                "gateway.fabric.processes", size.heartbeat_peers, with_intercept=True
            ),
        ),
        "heartbeats each second, both ways",
        15_000,
        "daemons in one failure domain",
    )
    yield Figure(
        "gateway",
        "start until ready",
        "s",
        (FigureTerm("restart.ready_s.rows", size.rows, with_intercept=True),),
        "two reads of the store: configuration and VM list",
        None,
        "the interpreter's own start",
    )
    yield Figure(
        "entry VM",
        "processor, its two daemons, standby",
        "ms/s",
        (gateway_cpu, standby_cpu, _make_change_term(size), _make_change_term(size)),
        "as above",
    )
    yield Figure(
        "entry VM",
        "memory, its two daemons, standby",
        "KB",
        (*gateway_kb, standby_kb, *common_kb),
        "as above",
    )
    yield from _list_store_figures(size)


def _list_store_figures(size: Size) -> Iterable[Figure]:
    jobs_per_s = size.jobs_per_day / DAY_S
    # Only standbys read while the fleet is idle. The slope is per process of one
    # failure domain, so each process of the fleet counts once.
    yield Figure(
        "store",
        "reads, all callers",
        "calls/s",
        (FigureTerm("store.reads.processes", size.processes),),
        "standbys look whether a leader's key is gone",
        2000,
    )
    yield Figure(
        "store",
        "writes, leases",
        "calls/s",
        (FigureTerm("leader.calls.workers", 0, size.domains, with_intercept=True),),
        "one renewal a leader each third of its lease",
        300,
    )
    yield Figure(
        "store",
        "writes, jobs",
        "calls/s",
        (
            FigureTerm(
                "gang.calls.members", size.mean_gang, jobs_per_s, with_intercept=True
            ),
        ),
        "accepted, starting, running, finished",
        300,
        "one write a request id that is no ticket comes on top",
    )
    yield Figure(
        "store",
        "watches that wait",
        "watches",
        (
            FigureTerm("store.watches.processes", size.processes),
            FigureTerm("store.watches.processes", 0, size.domains, with_intercept=True),
        ),
        "two a daemon, and one a leader for jobs",
        None,
        "a configuration change is sent to each",
    )
    yield Figure(
        "store",
        "bytes of one whole reload of the configuration",
        "KB",
        (FigureTerm("configuration.bytes.teams", size.teams, with_intercept=True),),
        f"{size.replaced_per_day} replaced VMs a day, two daemons each",
        1024,
        "one megabyte a value does not bind: each part is its own key",
    )
    yield Figure(
        "store",
        "bytes of the largest job's record",
        "KB",
        (FigureTerm("job.bytes.members", size.largest_gang, with_intercept=True),),
        "members are kept in the job's record",
        1024,
    )


HEADER = (
    "| role | what | at the target size | limit | worked out from | mechanism "
    "| breaks first |\n| --- | --- | --- | --- | --- | --- | --- |\n"
)


def format_capacity(series: Mapping[str, Series], size: Size | None = None) -> str:
    """Return the figures of the capacity page as a Markdown table."""
    size = size or Size()
    figures = (*list_leader_figures(size), *list_other_figures(size))
    return HEADER + "".join(figure.format(series) for figure in figures)
