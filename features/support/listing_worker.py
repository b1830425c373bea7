"""A worker that answers polls in the platform's format, without a network."""

import asyncio
import json

from firladder._internal.network.http_client import HttpResponse
from firladder._internal.platform.workers import WorkerCalls, format_task

ENDS_IN_ANSWER = 500


class ListingWorker:
    """Lists running and ended runs, at most 500 ends at a time.

    ``born`` is when its present incarnation started, or 0 if it does not say.
    """

    def __init__(self, *, born: int = 0) -> None:
        self.born = born
        self.running: list[list] = []
        self.ends: list[list] = []
        self._numbers = iter(range(1, 100_000))

    def restart(self, *, after_ms: int = 1000) -> None:
        """Start again; nothing is known of before, and ends are numbered anew."""
        self.__init__(born=self.born + after_ms)

    def run(self, placement) -> None:
        self.running.append([format_task(placement.task), placement.run, "", 10])

    def end(self, placement, how: str = "done") -> None:
        task = format_task(placement.task)
        self.running = [row for row in self.running if row[0] != task]
        self.ends.append([next(self._numbers), task, placement.run, how, ""])

    async def call(self, _method, _url, *, body, **_) -> HttpResponse:
        last_seen = json.loads(body)["last_seen"]
        self.ends = [end for end in self.ends if end[0] > last_seen]
        ends = self.ends[:ENDS_IN_ANSWER]
        reply = {"clock_ms": 0, "running": self.running, "ended": ends}
        if self.born:
            reply["born"] = self.born
        return HttpResponse(200, {}, json.dumps(reply).encode())

    def answer_poll(self, worker):
        """Return the answer to a poll of ``worker``, and what it acknowledged."""
        acknowledged = worker.choose_acknowledgement()
        calls = WorkerCalls(http=self, token=1)
        answer = calls.poll(
            worker.worker_id,
            worker.entry.address,
            born=worker.entry.born,
            acknowledged=acknowledged,
            deadline_s=None,
            wait_s=0.0,
            send_within_s=1.0,
            timeout_s=1.0,
        )
        return asyncio.run(answer), acknowledged
