"""Cache of answers to requests that run at most once, by id."""

import asyncio
import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from ..exceptions import Failure
from ..models.request import RequestResult

MAX_ANSWERS = 10_000
"""Final answers kept for retries; the oldest are discarded first. At about 510
bytes each, without the body, they take up to 5 MB."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Total size of the bodies kept: a daemon may use 64 MB and starts at 48 MB."""

Answer = RequestResult | Failure


@dataclasses.dataclass(slots=True, eq=False)
class KnownRequest:
    """An id that this gateway handles or has handled, and its answer.

    ``dispatched`` is set once the request was queued here or relayed: from then
    on it may run. ``size`` is the length of the answer's body in bytes.
    """

    digest: str
    answer: "asyncio.Future[Answer]"
    dispatched: bool = False
    size: int = 0


class AnswerCache:
    """Requests in progress, and the most recent final answers."""

    def __init__(
        self,
        on_discard: Callable[[str], None],
        *,
        entries: int = MAX_ANSWERS,
        size: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Keep up to ``entries`` answers, with ``size`` bytes of bodies in all.

        ``on_discard`` is called with each id whose final answer is discarded.
        """
        self._on_discard = on_discard
        self._max_entries = entries
        self._max_bytes = size
        self._stored_bytes = 0
        self._in_progress: dict[str, KnownRequest] = {}
        self._completed: OrderedDict[str, KnownRequest] = OrderedDict()

    def find(self, request_id: str) -> KnownRequest | None:
        """Return the entry of an id, in progress or completed."""
        return self._in_progress.get(request_id) or self._completed.get(request_id)

    def register(self, request_id: str, known: KnownRequest) -> None:
        """Add an id in progress; it is kept until it completes."""
        self._in_progress[request_id] = known

    def drop(self, request_id: str) -> None:
        """Remove an id that did not run here, so that it can be retried."""
        self._in_progress.pop(request_id, None)

    def keep(self, request_id: str, result: RequestResult) -> None:
        """Keep the final answer of an id, and discard the oldest beyond the limits."""
        known = self._in_progress.pop(request_id)
        known.size = len(bytes(result.body))
        self._stored_bytes += known.size
        self._completed[request_id] = known
        while (
            len(self._completed) > self._max_entries
            or self._stored_bytes > self._max_bytes
        ):
            oldest, gone = self._completed.popitem(last=False)
            self._stored_bytes -= gone.size
            self._on_discard(oldest)
