"""Whole sessions, played in process with a fixed clock and seed.

``python -m features.support.golden --renew`` writes their files anew.
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
    make_tokens,
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


class Stage:
    """Two gateways, their store and the messages between them."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.store = RecordingStore(recorder)
        self.network = FakeNetwork(recorder)
        self.first = GatewayBench("gateway-1", self.store, self.network)
        self.second = GatewayBench("gateway-2", self.store, self.network)

    @property
    def gateways(self) -> tuple[GatewayBench, GatewayBench]:
        return self.first, self.second

    def follow_store(self) -> None:
        for gateway in self.gateways:
            gateway.follow_store()

    async def configure(self) -> None:
        self.recorder.title("an operator sets the fleet up")
        changes = [organisation("kraftwerk"), organisation("squads")]
        body = {"expected_revision": 0, "changes": changes}
        await self.first.call("operator", "POST", "/v1/config", body)
        self.follow_store()


@contextlib.asynccontextmanager
async def open_stage(recorder: Recorder) -> AsyncIterator[Stage]:
    """Return a stage whose gateways run until the session is over."""
    stage = Stage(recorder)
    stage.first.peers, stage.second.peers = [stage.second], [stage.first]
    for gateway in stage.gateways:
        gateway.adopt(MACHINES)
        gateway.follow_store()
    tasks = [asyncio.ensure_future(g.dispatcher.run()) for g in stage.gateways]
    await stage.configure()
    yield stage
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
async def play_request(recorder: Recorder) -> None:
    """Send a request, and repeat it at another gateway."""
    async with open_stage(recorder) as stage:
        recorder.title("a request with a ticket")
        tickets = await stage.first.call("coach", "POST", "/v1/tickets", {})
        body = make_request(tickets["ids"][0])
        await stage.first.call("coach", "POST", REQUESTS, body)
        recorder.title("the same request at another gateway: it does not run again")
        await stage.second.call("coach", "POST", REQUESTS, body)
        recorder.title("the same id with another body")
        other = {**body, "body": {"athlete": "a-18"}}
        await stage.first.call("coach", "POST", REQUESTS, other)
        recorder.title("an id of the coach's own, at both gateways")
        own = make_request("own-1")
        await stage.second.call("coach", "POST", REQUESTS, own)
        await stage.first.call("coach", "POST", REQUESTS, own)


@session("operator_race")
async def play_race(recorder: Recorder) -> None:
    """Let two operators change one revision, and one lose an answer."""
    async with open_stage(recorder) as stage:
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
                    zip(stage.gateways, changes, strict=True), 1
                )
            )
        )
        stage.follow_store()
        recorder.title("the answer to the next change is lost on its way")
        stage.store.lose_next_answer = True
        body = {"expected_revision": 2, "changes": changes[1]}
        await stage.second.call("operator-2", "POST", "/v1/config", body)
        recorder.title("a rule that names nobody")
        rule = {"selects": "team=a", "organisation": "nobody"}
        wrong = [{"kind": "rule", "name": "a", "value": rule}]
        body = {"expected_revision": 3, "changes": wrong}
        await stage.first.call("operator-1", "POST", "/v1/config", body)


@session("outage")
async def play_outage(recorder: Recorder) -> None:
    """Go through an outage of the store and a cut between gateways."""
    async with open_stage(recorder) as stage:
        first, second = stage.gateways
        tickets = await first.call("coach", "POST", "/v1/tickets", {"count": 2})
        ticket, other = tickets["ids"]
        job = {"id": "night-1", "organisation": "squads", "accelerators": 4}
        change = {"expected_revision": 1, "changes": [organisation("erle")]}
        recorder.title("the store is down")
        stage.store.down = True
        await first.call("coach", "POST", REQUESTS, make_request(ticket))
        await first.call("coach", "POST", REQUESTS, make_request("own-1"))
        await first.call("squad", "POST", "/v1/jobs", job)
        await first.call("operator", "POST", "/v1/config", change)
        recorder.title("the gateways are cut off from each other too")
        stage.network.cut = {"gateway-1"}
        await second.call("coach", "POST", REQUESTS, make_request(other))
        recorder.title("all is back")
        stage.store.down, stage.network.cut = False, set()
        await second.call("coach", "POST", REQUESTS, make_request(other))
        await first.call("coach", "POST", REQUESTS, make_request("own-1"))
        await first.call("squad", "POST", "/v1/jobs", job)
        await first.call("operator", "POST", "/v1/config", change)


def play(name: str) -> str:
    """Return the text of a session."""
    from features.support import golden_job  # noqa: F401 - registers its session

    recorder = Recorder()
    with use_random_source(make_tokens()):
        asyncio.run(asyncio.wait_for(SESSIONS[name](recorder), 20))
    return "\n".join(recorder.lines) + "\n"


def read_golden_file(name: str) -> str:
    """Return a session's file."""
    path = DIRECTORY / f"{name}.txt"
    return path.read_text() if path.exists() else ""


def compare(name: str, known: str) -> str:
    """Return a diff between what is known of a session and how it goes now."""
    lines = difflib.unified_diff(
        known.splitlines(keepends=True),
        play(name).splitlines(keepends=True),
        f"golden/{name}.txt",
        f"{name} as it goes now",
        n=2,
    )
    return "".join(lines)


def list_sessions() -> list[str]:
    """Return the names of all sessions."""
    from features.support import golden_job  # noqa: F401 - registers its session

    return sorted(SESSIONS)


def main() -> int:
    """Print what differs, or write the files anew."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--renew", action="store_true", help="write the files anew")
    options = parser.parse_args()
    differing = {
        name: diff
        for name in list_sessions()
        if (diff := compare(name, read_golden_file(name)))
    }
    for name, diff in differing.items():
        print(diff)
        if options.renew:
            (DIRECTORY / f"{name}.txt").write_text(play(name))
    return 1 if differing and not options.renew else 0


if __name__ == "__main__":
    # Run under its importable name: sessions register themselves there.
    from features.support import golden

    sys.exit(golden.main())
