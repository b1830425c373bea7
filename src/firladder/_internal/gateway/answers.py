"""Remember the answers under ids that run at most once."""

import asyncio
import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from ..exceptions import Failure
from ..models.request import RequestResult

REMEMBERED = 10_000
"""Answers kept for callers who ask again, the oldest going first. With about
510 bytes for each beside its body (measured) they cost 5 MB at most."""

REMEMBERED_BYTES = 4 * 1024 * 1024
"""Bytes of bodies kept. A daemon has 64 MB for everything and starts at 48."""

Answer = RequestResult | Failure


@dataclasses.dataclass(slots=True, eq=False)
class KnownRequest:
    """An id this gateway has taken, and its eventual answer.

    ``begun`` tells whether it was queued here or relayed, so that it may run.
    """

    digest: str
    answer: "asyncio.Future[Answer]"
    begun: bool = False
    size: int = 0


class AnswerCache:
    """Requests under way, and the latest final answers."""

    def __init__(
        self,
        on_forget: Callable[[str], None],
        *,
        entries: int = REMEMBERED,
        size: int = REMEMBERED_BYTES,
    ) -> None:
        """Call ``on_forget`` with each id whose answer is let go."""
        self._on_forget = on_forget
        self._entries = entries
        self._size = size
        self._held = 0
        self._open: dict[str, KnownRequest] = {}
        self._ended: OrderedDict[str, KnownRequest] = OrderedDict()

    def find(self, request_id: str) -> KnownRequest | None:
        """Return what is known of an id."""
        return self._open.get(request_id) or self._ended.get(request_id)

    def register(self, request_id: str, known: KnownRequest) -> None:
        """Register an id that is under way; it is kept until it has ended."""
        self._open[request_id] = known

    def drop(self, request_id: str) -> None:
        """Let go of an id that did not run here, so that it may be asked again."""
        self._open.pop(request_id, None)

    def keep(self, request_id: str, result: RequestResult) -> None:
        """Keep the final answer of an id, and let the oldest ones go."""
        known = self._open.pop(request_id)
        known.size = len(bytes(result.body))
        self._held += known.size
        self._ended[request_id] = known
        while len(self._ended) > self._entries or self._held > self._size:
            oldest, gone = self._ended.popitem(last=False)
            self._held -= gone.size
            self._on_forget(oldest)
