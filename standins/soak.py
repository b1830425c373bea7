"""A randomised soak test: real processes, injected faults, checked guarantees.

    python -m standins.soak --seed 7 --seconds 20

Nodes run as processes against the platform's stand-ins; each node reaches the store
through a proxy link of its own, and each worker is reached through one. A seeded
schedule injects overlapping faults while clients submit, repeat, query and cancel
jobs over persistent connections. Only what callers and workers see is checked.
"""

import argparse
import dataclasses
import http.client
import itertools
import json
import random
import shutil
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from .platform_site import API_KEY, PlatformSite
from .proxy import Mode, Proxy
from .site import call

JOB_END_TIMEOUT_S = 60.0
"""Seconds without the end of any job after which the remaining jobs count as stuck:
the longest lease, a leader's time without the store, late orders and run times."""

READY_TIMEOUT_S = 40.0
"""Seconds after the last fault within which each node must be ready: a lease, the
bound of a late order and a restart, on a busy machine."""

MAX_ANSWER_S = 10.0
CLIENT_COUNT = 4
RESTARTED_WORKERS = 8
WIDE_SHARE = 0.4
RESTART_WEIGHT = 4
"""Workers, share of jobs with dozens of tasks, and how much likelier a restart is than
another fault, in runs with restarted workers."""

MEAN_FAULT_GAP_S = 0.6
"""Mean seconds between two faults; each lasts some seconds, so that they overlap."""


@dataclasses.dataclass
class Submission:
    """A job and what its client knows of it."""

    job_id: str
    tasks: int
    accepted: bool = False
    refused: bool = False
    uncertain: bool = False
    cancelled: bool = False
    crashes: bool = False
    queue: str = "q1"
    last_state: str = ""


class Client(threading.Thread):
    """Submits jobs one after the other over a persistent connection per node."""

    def __init__(
        self,
        site: PlatformSite,
        rng: random.Random,
        number: int,
        *,
        crash_share: float,
        advised_share: float,
        wide_share: float,
    ) -> None:
        """Prepare a client whose job ids begin at ``number << 32``.

        ``crash_share`` of its jobs crash each worker that starts them,
        ``advised_share`` go to the queue with advice, and ``wide_share`` have dozens
        of small tasks.
        """
        self.crash_share = crash_share
        self.advised_share = advised_share
        self.wide_share = wide_share
        super().__init__(daemon=True)
        self.site = site
        self.rng = rng
        self.numbers = itertools.count(number << 32)
        self.stop = threading.Event()
        self.jobs: list[Submission] = []
        self.problems: list[str] = []
        self.answers: Counter[str] = Counter()
        self._connections: dict[int, http.client.HTTPConnection] = {}

    def run(self) -> None:
        """Submit, query and cancel jobs until stopped."""
        while not self.stop.is_set():
            self._submit()
            for job in self.rng.sample(self.jobs, min(3, len(self.jobs))):
                self._query(job)
            if self.rng.random() < 0.15:
                self._cancel(self.rng.choice(self.jobs))
            time.sleep(self.rng.uniform(0.05, 0.4))

    def _submit(self) -> None:
        count = self.rng.randint(1, 4)
        gang = self.rng.random() < 0.4
        # A gang that takes four whole workers would fit nowhere and wait forever.
        gpu = self.rng.choice([1, 2, 4] if gang else [1, 2, 4, 8])
        crashes = bool(self.crash_share) and self.rng.random() < self.crash_share
        if not crashes and self.wide_share and self.rng.random() < self.wide_share:
            count, gang, gpu = self.rng.randint(12, 60), False, 0
        job = Submission(f"{next(self.numbers):016x}", count, crashes=crashes)
        self.jobs.append(job)
        step = {"count": count, "cpu": 500, "mem_mb": 100, "gpu": gpu, "gang": gang}
        run_time_s = self.rng.choice([0.2, 0.5, 1.5, 3.0])
        spec = f"{run_time_s} {gpu} {count if gang else 1}" + " crash" * crashes
        if self.advised_share and self.rng.random() < self.advised_share:
            job.queue = "advised"
            spec += " advised"
        body = {"spec": spec, "steps": [step]}
        for _ in range(4):
            status = self._call("POST", job, body)
            if status == 200:
                job.accepted = True
                if self.rng.random() < 0.1:
                    self._call("POST", job, body)
                return
            if status in (429, 503):
                job.refused = not job.uncertain
                time.sleep(0.3)
            else:
                job.uncertain = True
                job.refused = False

    def _query(self, job: Submission) -> None:
        status = self._call("GET", job)
        if status == 410 and job.accepted:
            self.problems.append(f"{job.job_id} was accepted but is answered 410")
        if status != 200:
            return
        state = self.last["state"]
        ended = ("completed", "failed", "cancelled")
        if job.last_state in ended and state != job.last_state:
            self.problems.append(f"{job.job_id} was {job.last_state}, is now {state}")
        if state == "cancelled" and not job.cancelled:
            self.problems.append(f"{job.job_id} is shown as cancelled but was not")
        job.last_state = state
        if state == "completed":
            done = self.site.read_ledger()["done"]
            found = sum(t.startswith(job.job_id) for t in done)
            if found < job.tasks:
                self.problems.append(f"{job.job_id} completed with {found} done")

    def _cancel(self, job: Submission) -> None:
        # The cancellation may have been stored whatever the answer is.
        job.cancelled = True
        self._call("DELETE", job)

    def _call(self, method: str, job: Submission, body: Any = None) -> int:
        node = self.rng.randrange(len(self.site.ips))
        connection = self._connections.get(node)
        if connection is None:
            ip = self.site.ips[node]
            connection = http.client.HTTPConnection(ip, self.site.front, timeout=4)
            self._connections[node] = connection
        headers = {"Host": "jobs.example", "Authorization": f"Bearer {API_KEY}"}
        headers["X-Deadline-Ms"] = "2500"
        data = None if body is None else json.dumps(body)
        started_at = time.monotonic()
        try:
            path = f"/{job.queue}/{job.job_id}"
            connection.request(method, path, body=data, headers=headers)
            response = connection.getresponse()
            raw = response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            del self._connections[node]
            self.answers[f"{method} none"] += 1
            return 0
        self.last = json.loads(raw) if raw else {}
        self.answers[f"{method} {response.status}"] += 1
        if time.monotonic() - started_at > MAX_ANSWER_S:
            self.problems.append(f"{method} answered after {MAX_ANSWER_S} s")
        return response.status


Fault = Callable[["Soak"], Callable[[], None]]

FAULTS: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault: a function that starts it and returns one that ends it."""
    FAULTS[function.__name__] = function
    return function


class Soak:
    """A soak run with one seed."""

    def __init__(
        self,
        seed: int,
        *,
        nodes: int = 3,
        workers: int = 3,
        domains: int = 1,
        crash_share: float = 0.0,
        advised_share: float = 0.0,
        restart_share: float = 0.0,
        unheard_restarts: bool = False,
    ) -> None:
        """Start all processes; nodes take the failure domains in rotation."""
        self.rng = random.Random(seed)
        self.faults = {**FAULTS, **(ADVICE_FAULTS if advised_share else {})}
        self.fault_names = sorted(self.faults)
        if restart_share:
            restarts = RESTART_FAULTS | (
                UNHEARD_RESTART_FAULTS if unheard_restarts else {}
            )
            self.faults |= restarts
            self.fault_names += [*restarts] * RESTART_WEIGHT
        self.proxy = Proxy()
        names = tuple(f"domain-{n}" for n in range(domains))
        self.site = PlatformSite(
            nodes=nodes,
            workers=RESTARTED_WORKERS if restart_share else workers,
            seed=seed,
            domains=names,
            restart_share=restart_share,
        )
        self.site.route_through(self.proxy)
        self.site.start()
        self.down: set[int] = set()
        self.log: list[str] = []
        self.problems: list[str] = []
        self.clients = [
            Client(
                self.site,
                random.Random(seed * 100 + n),
                n + 1,
                crash_share=crash_share,
                advised_share=advised_share,
                wide_share=WIDE_SHARE if restart_share else 0.0,
            )
            for n in range(CLIENT_COUNT)
        ]

    def run(self, seconds: float) -> list[str]:
        """Inject faults for ``seconds``; return the problems that were found."""
        for client in self.clients:
            client.start()
        started_at = time.monotonic()
        pending: list[tuple[float, Callable[[], None]]] = []
        while (now := time.monotonic() - started_at) < seconds:
            for due, end in [p for p in pending if p[0] <= now]:
                pending.remove((due, end))
                end()
            self._restart_ended_nodes()
            name = self.rng.choice(self.fault_names)
            self.log.append(f"{now:.2f} {name}")
            pending.append((now + self.rng.uniform(0.5, 4.0), self.faults[name](self)))
            time.sleep(self.rng.expovariate(1 / MEAN_FAULT_GAP_S))
        for _, end in pending:
            end()
        for client in self.clients:
            client.stop.set()
        for client in self.clients:
            client.join(30)
        return self._check_jobs()

    def _restart_ended_nodes(self) -> None:
        """Restart nodes that ended, as the platform does, and record why they ended.

        SIGHUP ends a process whose interpreter has not yet run a line, because no
        handler can be set before. Any other end that no fault caused is a problem.
        """
        for number, node in enumerate(self.site.nodes):
            code = node.process.poll()
            if code is None or number in self.down:
                continue
            how = f"{node.name} ended with {code}"
            if code == -signal.SIGHUP and not node.has_logged():
                self.log.append(f"{how} before its first line, and was started again")
            else:
                self.problems.append(f"{how}, which no fault caused")
            node.restart()

    def _wait_until_ready(self) -> None:
        waiting = dict(enumerate(self.site.ips))
        end = time.monotonic() + READY_TIMEOUT_S
        while waiting and time.monotonic() < end:
            self._restart_ended_nodes()
            waiting = {n: ip for n, ip in waiting.items() if not self._is_ready(ip)}
            time.sleep(0.1)
        self.problems += [
            f"{ip} is not ready {READY_TIMEOUT_S} s after the last fault, "
            f"exit code {self.site.nodes[n].process.poll()}"
            for n, ip in waiting.items()
        ]

    def _is_ready(self, ip: str) -> bool:
        try:
            return self.site.is_ready(ip)
        except (OSError, http.client.HTTPException):
            return False

    def _check_jobs(self) -> list[str]:
        jobs = [job for client in self.clients for job in client.jobs]
        self._wait_until_ready()
        problems = [p for client in self.clients for p in client.problems]
        problems += self.problems
        end = time.monotonic() + JOB_END_TIMEOUT_S
        waiting = [job for job in jobs if job.accepted]
        while waiting and time.monotonic() < end:
            left = [j for j in waiting if not self._has_ended(j)]
            if len(left) < len(waiting):
                # The accepted jobs may take the workers longer than one timeout.
                end = time.monotonic() + JOB_END_TIMEOUT_S
            waiting = left
            time.sleep(0.3)
        problems += [f"{j.job_id} has not ended" for j in waiting]
        ledger = self.site.read_ledger()
        problems += ledger["problems"]
        started = {task.split(".")[0] for task, _, _ in ledger["starts"]}
        problems += [
            f"{j.job_id} was rejected but has run"
            for j in jobs
            if j.refused and not j.accepted and j.job_id in started
        ]
        problems += [
            f"{j.job_id} was given up without a failed run or a crash of its own"
            for j in jobs
            if j.last_state == "failed"
            and not j.crashes
            and j.job_id not in {task.split(".")[0] for task in ledger["failed"]}
        ]
        problems += [
            f"{j.job_id} crashes its workers and is shown as {j.last_state}"
            for j in jobs
            if j.crashes and j.last_state in ("completed", "running")
        ]
        running = {t.split(".")[0] for ts in ledger["running"].values() for t in ts}
        problems += [
            f"{j.job_id} was cancelled but is running"
            for j in jobs
            if j.last_state == "cancelled" and j.job_id in running
        ]
        return problems

    def _has_ended(self, job: Submission) -> bool:
        status, answer = self.site.ask("GET", f"/q1/{job.job_id}")
        if status == 200:
            job.last_state = answer["state"]
        return status == 200 and job.last_state in ("completed", "failed", "cancelled")

    def close(self, *, keep: bool) -> None:
        """Stop all processes of this run; delete its files unless ``keep``."""
        for number in self.down:
            self.site.nodes[number].signal(signal.SIGCONT)
        self.site.stop()
        self.proxy.close()
        if not keep:
            shutil.rmtree(self.site.directory, ignore_errors=True)

    def choose_link(self, prefix: str) -> str:
        """Return a random link whose name has this prefix."""
        names = [n for n in sorted(self.proxy.links) if n.startswith(prefix)]
        return self.rng.choice(names)

    def choose_node(self) -> int | None:
        """Return a random node that no fault affects, or None to leave one up."""
        up = [n for n in range(len(self.site.ips)) if n not in self.down]
        return self.rng.choice(up) if len(up) > 1 else None


def _degrade_link(soak: Soak, prefix: str) -> Callable[[], None]:
    name = soak.choose_link(prefix)
    mode = soak.rng.choice(list(Mode))
    soak.proxy.set_mode(name, mode, delay_s=soak.rng.uniform(0.05, 0.8))
    return lambda: soak.proxy.set_mode(name, Mode.PASS)


@fault
def harm_store_link(soak: Soak) -> Callable[[], None]:
    """Inject a network fault between one node and the store."""
    return _degrade_link(soak, "store")


@fault
def harm_worker_link(soak: Soak) -> Callable[[], None]:
    """Inject a network fault between the nodes and one worker."""
    return _degrade_link(soak, "worker")


@fault
def reset_links(soak: Soak) -> Callable[[], None]:
    """Reset the open connections of one link."""
    soak.proxy.reset(soak.choose_link(""))
    return lambda: None


@fault
def kill_node(soak: Soak) -> Callable[[], None]:
    """Kill a node, and restart it later."""
    number = soak.choose_node()
    if number is None:
        return lambda: None
    soak.down.add(number)
    soak.site.nodes[number].kill()
    return lambda: _restart(soak, number)


@fault
def stop_node(soak: Soak) -> Callable[[], None]:
    """Terminate a node gracefully, and restart it later."""
    number = soak.choose_node()
    if number is None:
        return lambda: None
    soak.down.add(number)
    soak.site.nodes[number].signal(signal.SIGTERM)

    def restart() -> None:
        soak.site.nodes[number].process.wait(15)
        _restart(soak, number)

    return restart


def _restart(soak: Soak, number: int) -> None:
    soak.site.nodes[number].restart()
    soak.down.discard(number)


@fault
def pause_node(soak: Soak) -> Callable[[], None]:
    """Suspend a node for a while, so that its leases may expire."""
    number = soak.choose_node()
    if number is None:
        return lambda: None
    soak.down.add(number)
    soak.site.nodes[number].signal(signal.SIGSTOP)

    def resume() -> None:
        soak.site.nodes[number].signal(signal.SIGCONT)
        soak.down.discard(number)

    return resume


@fault
def reload_node(soak: Soak) -> Callable[[], None]:
    """Send a node the signal to reload its settings."""
    number = soak.choose_node()
    if number is not None:
        soak.site.nodes[number].signal(signal.SIGHUP)
    return lambda: None


@fault
def harm_store(soak: Soak) -> Callable[[], None]:
    """Inject a fault into the store, for all callers."""
    faults = soak.rng.choice(
        [
            {"busy": True},
            {"silent": True},
            {"lost_share": 0.4},
            {"lost_share": 0.4, "late_s": 1.5},
            {"delay_s": 0.25},
        ]
    )
    soak.site.set_store_faults(**faults)
    return soak.site.set_store_faults


@fault
def drop_history(soak: Soak) -> Callable[[], None]:
    """Make the store discard its history."""
    call(soak.site.store, "POST", "/drop-history", {})
    return lambda: None


@fault
def harm_worker(soak: Soak) -> Callable[[], None]:
    """Make a worker carry out orders late, reject starts or fail its tasks."""
    number = soak.rng.randrange(len(soak.site.workers))
    faults = soak.rng.choice(
        [
            {"late_share": 0.5, "late_s": soak.rng.uniform(0.7, 4.0)},
            {"reject": True},
            {"fail_share": 0.3},
        ]
    )
    soak.site.set_worker_faults(number, **faults)
    return lambda: soak.site.set_worker_faults(number)


@fault
def change_configuration(soak: Soak) -> Callable[[], None]:
    """Store a newer version of the configuration."""
    soak.site.configuration["version"] += soak.rng.randint(1, 5)
    soak.site.configure()
    return lambda: None


def harm_advice(soak: Soak) -> Callable[[], None]:
    """Make the advice service silent or busy, or let it refuse one worker."""
    refused = f"i-{soak.rng.randrange(len(soak.site.workers)):04x}"
    faults = soak.rng.choice([{"silent": True}, {"busy": True}, {"refused": [refused]}])
    soak.site.set_advice_faults(**faults)
    return soak.site.set_advice_faults


ADVICE_FAULTS: dict[str, Fault] = {"harm_advice": harm_advice}
"""Faults of runs with advised jobs only: others keep the schedules of their seeds."""


def restart_workers(soak: Soak) -> Callable[[], None]:
    """Restart several workers at one moment."""
    numbers = range(len(soak.site.workers))
    chosen = soak.rng.sample(numbers, soak.rng.randint(2, len(numbers) // 2))
    soak.site.restart_workers(chosen, down_s=soak.rng.uniform(0.1, 3.0))
    return lambda: None


def restart_workers_unheard(soak: Soak) -> Callable[[], None]:
    """Restart several workers at one moment, and lose their answers for a while."""
    numbers = range(len(soak.site.workers))
    chosen = soak.rng.sample(numbers, soak.rng.randint(2, len(numbers) // 2))
    for number in chosen:
        soak.proxy.set_mode(f"worker-{number}", Mode.ONE_WAY)
    soak.site.restart_workers(chosen, down_s=soak.rng.uniform(0.05, 0.5))

    def end() -> None:
        for number in chosen:
            soak.proxy.set_mode(f"worker-{number}", Mode.PASS)

    return end


RESTART_FAULTS: dict[str, Fault] = {"restart_workers": restart_workers}
UNHEARD_RESTART_FAULTS = {"restart_workers_unheard": restart_workers_unheard}
"""Faults of runs with restarted workers only, for the same reason; the second ones with
an option of their own."""


def run_seed(
    seed: int,
    seconds: float,
    *,
    domains: int = 1,
    crash_share: float = 0.0,
    advised_share: float = 0.0,
    restart_share: float = 0.0,
    unheard_restarts: bool = False,
) -> bool:
    """Run one seed, print the problems and return whether there were none."""
    soak = Soak(
        seed,
        domains=domains,
        crash_share=crash_share,
        advised_share=advised_share,
        restart_share=restart_share,
        unheard_restarts=unheard_restarts,
    )
    problems = ["the soak run was aborted"]
    try:
        problems = soak.run(seconds)
    finally:
        soak.close(keep=bool(problems))
    jobs = [job for client in soak.clients for job in client.jobs]
    accepted = sum(job.accepted for job in jobs)
    answers = sum((client.answers for client in soak.clients), Counter())
    print(
        f"soak: seed {seed}, {len(soak.log)} faults, {len(jobs)} jobs, "
        f"{accepted} accepted, {len(problems)} problems",
        flush=True,
    )
    print("".join(f"{line}\n" for line in soak.log if "started again" in line), end="")
    if problems:
        (soak.site.directory / "problems.txt").write_text("\n".join(problems))
        print("\n".join(problems[:10]))
        print(f"faults: {soak.log}\nanswers: {dict(answers)}")
        print(f"logs: {soak.site.directory}", flush=True)
    return not problems


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=None, help="first seed; default: the time"
    )
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--domains", type=int, default=1, help="failure domains")
    parser.add_argument(
        "--crash_share",
        type=float,
        default=0.0,
        help="share of jobs that crash workers",
    )
    parser.add_argument(
        "--advised_share",
        type=float,
        default=0.0,
        help="share of jobs for the queue with advice",
    )
    parser.add_argument(
        "--restart_share",
        type=float,
        default=0.0,
        help="share of workers that keep their ids when they restart; adds restarts "
        "of several workers at one moment, and jobs with dozens of tasks",
    )
    parser.add_argument(
        "--unheard_restarts",
        action="store_true",
        help="with --restart_share: workers also restart while their answers are lost",
    )
    options = parser.parse_args()
    first_seed = options.seed if options.seed is not None else int(time.time())
    results = [
        run_seed(
            first_seed + n,
            options.seconds,
            domains=options.domains,
            crash_share=options.crash_share,
            advised_share=options.advised_share,
            restart_share=options.restart_share,
            unheard_restarts=options.unheard_restarts,
        )
        for n in range(options.seeds)
    ]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
