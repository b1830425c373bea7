"""Golden sessions: messages of scripted sessions, compared with recorded files.

A session runs in one process with a fixed clock and seed.
``python -m features.support.golden --renew`` rewrites the files.
"""

import argparse
import asyncio
import contextlib
import difflib
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

from features.support.golden_parts import (
    FakeNetwork,
    GatewayBench,
    Recorder,
    RecordingStore,
    make_token_source,
)
from firladder._internal.models.machine import Machine
from firladder._internal.utils.identifiers import use_random_source

DIRECTORY = Path(__file__).resolve().parent.parent / "golden"

MACHINES = [
    Machine(
        name="runner-1",
        role="target",
        failure_domain="bern",
        address="runner-1",
        service="planwerk",
        slots=4,
        connections=4,
    ),
    *(
        Machine(
            name=f"worker-{number}",
            role="worker",
            failure_domain="bern",
            address=f"worker-{number}",
            rack="rack-1",
            accelerators=8,
            cpus=32,
            memory_mb=65536,
        )
        for number in (1, 2)
    ),
]

Session = Callable[[Recorder], Coroutine[Any, Any, None]]
SESSIONS: dict[str, Session] = {}


def session(name: str) -> Callable[[Session], Session]:
    """Register a session under the name of its file."""

    def add(function: Session) -> Session:
        SESSIONS[name] = function
        return function

    return add


class GoldenFleet:
    """Two gateways with their store and the network between them."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.store = RecordingStore(recorder)
        self.network = FakeNetwork(recorder)
        self.first = GatewayBench("gateway-1", self.store, self.network)
        self.second = GatewayBench("gateway-2", self.store, self.network)

    @property
    def gateways(self) -> tuple[GatewayBench, GatewayBench]:
        return self.first, self.second

    def sync_configuration(self) -> None:
        for gateway in self.gateways:
            gateway.sync_configuration()

    async def configure(self) -> None:
        self.recorder.title("an operator configures the fleet")
        changes = [organisation("kraftwerk"), organisation("squads")]
        body = {"expected_revision": 0, "changes": changes}
        await self.first.call("operator", "POST", "/v1/config", body)
        self.sync_configuration()


@contextlib.asynccontextmanager
async def run_fleet(recorder: Recorder) -> AsyncIterator[GoldenFleet]:
    """Yield a configured fleet whose gateways run until the session ends."""
    fleet = GoldenFleet(recorder)
    fleet.first.peers, fleet.second.peers = [fleet.second], [fleet.first]
    for gateway in fleet.gateways:
        gateway.adopt(MACHINES)
        gateway.sync_configuration()
    tasks = [asyncio.ensure_future(g.dispatcher.run()) for g in fleet.gateways]
    await fleet.configure()
    yield fleet
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def organisation(name: str, **value: Any) -> dict[str, Any]:
    """Return the change that adds an organisation."""
    return {"kind": "organisation", "name": name, "value": value}


def make_request(request_id: str | None, **more: Any) -> dict[str, Any]:
    """Return a coach's request."""
    return {
        "id": request_id,
        "organisation": "kraftwerk",
        "deadline_ms": 3000,
        "body": {"athlete": "a-17"},
        **more,
    }


REQUESTS = "/v1/services/planwerk/requests"


@session("request_and_retry")
async def run_request_session(recorder: Recorder) -> None:
    """Send a request and repeat it at another gateway."""
    async with run_fleet(recorder) as fleet:
        recorder.title("a request with a ticket")
        tickets = await fleet.first.call("coach", "POST", "/v1/tickets", {})
        body = make_request(tickets["ids"][0])
        await fleet.first.call("coach", "POST", REQUESTS, body)
        recorder.title("the same request at another gateway: it does not run again")
        await fleet.second.call("coach", "POST", REQUESTS, body)
        recorder.title("the same id with another body")
        other = {**body, "body": {"athlete": "a-18"}}
        await fleet.first.call("coach", "POST", REQUESTS, other)
        recorder.title("an id of the coach's own, at both gateways")
        own = make_request("own-1")
        await fleet.second.call("coach", "POST", REQUESTS, own)
        await fleet.first.call("coach", "POST", REQUESTS, own)


@session("operator_race")
async def run_race_session(recorder: Recorder) -> None:
    """Let two operators change the same revision, then lose one's next answer."""
    async with run_fleet(recorder) as fleet:
        recorder.title("two operators change revision 1 at once")
        changes = ([organisation("erle")], [organisation("linde")])
        await asyncio.gather(
            *(
                gateway.call(
                    f"operator-{number}",
                    "POST",
                    "/v1/config",
                    {"expected_revision": 1, "changes": change},
                )
                for number, (gateway, change) in enumerate(
                    zip(fleet.gateways, changes, strict=True), 1
                )
            )
        )
        fleet.sync_configuration()
        recorder.title("the answer to the next change is lost")
        fleet.store.lose_next_answer = True
        body = {"expected_revision": 2, "changes": changes[1]}
        await fleet.second.call("operator-2", "POST", "/v1/config", body)
        recorder.title("a rule that names an unknown organisation")
        rule = {"selects": "team=a", "organisation": "nobody"}
        wrong = [{"kind": "rule", "name": "a", "value": rule}]
        body = {"expected_revision": 3, "changes": wrong}
        await fleet.first.call("operator-1", "POST", "/v1/config", body)


@session("outage")
async def run_outage_session(recorder: Recorder) -> None:
    """Go through an outage of the store and a partition of the gateways."""
    async with run_fleet(recorder) as fleet:
        first, second = fleet.gateways
        tickets = await first.call("coach", "POST", "/v1/tickets", {"count": 2})
        ticket, other = tickets["ids"]
        job = {"id": "night-1", "organisation": "squads", "accelerators": 4}
        change = {"expected_revision": 1, "changes": [organisation("erle")]}
        recorder.title("the store is down")
        fleet.store.down = True
        await first.call("coach", "POST", REQUESTS, make_request(ticket))
        await first.call("coach", "POST", REQUESTS, make_request("own-1"))
        await first.call("squad", "POST", "/v1/jobs", job)
        await first.call("operator", "POST", "/v1/config", change)
        recorder.title("the gateways are partitioned from each other too")
        fleet.network.partitioned = {"gateway-1"}
        await second.call("coach", "POST", REQUESTS, make_request(other))
        recorder.title("the store and the network are back")
        fleet.store.down, fleet.network.partitioned = False, set()
        await second.call("coach", "POST", REQUESTS, make_request(other))
        await first.call("coach", "POST", REQUESTS, make_request("own-1"))
        await first.call("squad", "POST", "/v1/jobs", job)
        await first.call("operator", "POST", "/v1/config", change)


def record_session(name: str) -> str:
    """Run a session and return its messages as text."""
    from features.support import golden_job  # noqa: F401 - registers its session

    recorder = Recorder()
    with use_random_source(make_token_source()):
        asyncio.run(asyncio.wait_for(SESSIONS[name](recorder), 20))
    return "\n".join(recorder.lines) + "\n"


def read_golden_file(name: str) -> str:
    """Return the recorded text of a session, empty if there is none."""
    path = DIRECTORY / f"{name}.txt"
    return path.read_text() if path.exists() else ""


def compare(name: str, expected: str) -> str:
    """Return a diff from the expected text of a session to its present one."""
    lines = difflib.unified_diff(
        expected.splitlines(keepends=True),
        record_session(name).splitlines(keepends=True),
        f"golden/{name}.txt",
        f"{name} as recorded now",
        n=2,
    )
    return "".join(lines)


def list_sessions() -> list[str]:
    """Return the names of all sessions."""
    from features.support import golden_job  # noqa: F401 - registers its session

    return sorted(SESSIONS)


def main() -> int:
    """Print the differences; with ``--renew``, rewrite the files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--renew", action="store_true", help="rewrite the files")
    options = parser.parse_args()
    differing = {
        name: diff
        for name in list_sessions()
        if (diff := compare(name, read_golden_file(name)))
    }
    for name, diff in differing.items():
        print(diff)
        if options.renew:
            (DIRECTORY / f"{name}.txt").write_text(record_session(name))
    return 1 if differing and not options.renew else 0


if __name__ == "__main__":
    # As `__main__` this module would have a second, incomplete `SESSIONS`.
    from features.support import golden

    sys.exit(golden.main())
