"""Remember the answers under ids that run at most once."""

import asyncio
import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from ..exceptions import Failure
from ..models.request import RequestResult

MAX_ANSWERS = 10_000
"""Answers kept for callers who ask again, the oldest going first. With about
510 bytes for each beside its body (measured) they cost 5 MB at most."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Bytes of bodies kept. A daemon has 64 MB for everything and starts at 48."""

Answer = RequestResult | Failure


@dataclasses.dataclass(slots=True, eq=False)
class KnownRequest:
    """An id this gateway has taken, and its eventual answer.

    ``dispatched`` tells whether it was queued here or relayed, so that it may run.
    """

    digest: str
    answer: "asyncio.Future[Answer]"
    dispatched: bool = False
    size: int = 0


class AnswerCache:
    """Requests under way, and the latest final answers."""

    def __init__(
        self,
        on_discard: Callable[[str], None],
        *,
        entries: int = MAX_ANSWERS,
        size: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Call ``on_discard`` with each id whose answer is let go."""
        self._on_discard = on_discard
        self._max_entries = entries
        self._max_bytes = size
        self._stored_bytes = 0
        self._in_progress: dict[str, KnownRequest] = {}
        self._completed: OrderedDict[str, KnownRequest] = OrderedDict()

    def find(self, request_id: str) -> KnownRequest | None:
        """Return what is known of an id."""
        return self._in_progress.get(request_id) or self._completed.get(request_id)

    def register(self, request_id: str, known: KnownRequest) -> None:
        """Register an id that is under way; it is kept until it has ended."""
        self._in_progress[request_id] = known

    def drop(self, request_id: str) -> None:
        """Let go of an id that did not run here, so that it may be asked again."""
        self._in_progress.pop(request_id, None)

    def keep(self, request_id: str, result: RequestResult) -> None:
        """Keep the final answer of an id, and let the oldest ones go."""
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
