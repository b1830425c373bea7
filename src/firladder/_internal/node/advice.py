"""Ask the advice service, one request at a time."""

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from ..engine.advice_requests import AdviceRequest, AdviceRequests
from ..engine.core import Core
from ..exceptions import AdviceBusy
from ..platform.advice import AdviceFailure
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from ..utils.logs import PRIORITY_ATTRIBUTE
from .pass_loop import PassBudget

logger = logging.getLogger(__name__)

ANSWER_MARGIN_S = 1.0
"""Seconds beyond the usual time after which a request counts as unanswered."""

LATE_MARGIN_S = 0.25
"""Seconds beyond the usual time from which an answer is logged as late."""

MIN_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 2.0
"""Bounds of the pause after a request without advice, in seconds. It doubles with each
further one: the service still works on what it was asked before."""

UNAVAILABLE_AFTER_S = 5.0
"""Seconds without an answer after which the service counts as unavailable."""

CHOICE_PAUSE_FACTOR = 3.0
"""Pause after a choice that found nothing to ask, relative to the time that it took. It
looks through the waiting steps and the workers, and may otherwise follow each pass."""

ObserveCall = Callable[[str], None]
"""Receives the outcome of each request: ``answered``, ``busy`` or ``unanswered``."""


class AskAdvice(Protocol):
    """The calls to the service."""

    @property
    def available(self) -> bool:
        """Return whether there is a service to call."""

    async def ask(
        self, step: tuple[str, int, int], workers: Sequence[str], *, timeout_s: float
    ) -> dict[str, str] | AdviceFailure:
        """Return the tickets of those ``workers`` that may run a step."""


class ServiceState:
    """Whether the service answers, and how long to wait before the next request."""

    def __init__(self) -> None:
        """Start with a service of which nothing is known."""
        self._silent_since: float | None = None
        self._limit_s = UNAVAILABLE_AFTER_S
        self._failures = 0

    def record_sent(self, now: float, *, usual_s: float) -> None:
        """Record a request whose answer usually takes ``usual_s``."""
        self._limit_s = max(UNAVAILABLE_AFTER_S, usual_s + ANSWER_MARGIN_S)
        if self._silent_since is None:
            self._silent_since = now

    def record_answer(self, answer: dict[str, str] | AdviceFailure) -> None:
        """Record an answer, or why there was none."""
        if isinstance(answer, dict):
            self._failures = 0
        else:
            self._failures += 1
        if isinstance(answer, dict | AdviceBusy):
            self._silent_since = None

    def reset(self) -> None:
        """Record that nothing is asked: silence then proves nothing."""
        self._silent_since = None
        self._failures = 0

    def is_unavailable(self, now: float) -> bool:
        """Return whether requests have had no answer for too long."""
        since = self._silent_since
        return since is not None and now - since >= self._limit_s

    def choose_pause(self) -> float:
        """Return the seconds until the next request, 0 after an answer."""
        if not self._failures:
            return 0.0
        # Ten doublings are far above the maximum; without a bound the float overflows.
        return min(
            MAX_RETRY_PAUSE_S,
            math.ldexp(MIN_RETRY_PAUSE_S, min(10, self._failures - 1)),
        )


class AdviceLoop:
    """Asks for the tickets that a leader's waiting steps need.

    Only steps whose queue needs advice wait for it. A term starts without any answer.
    """

    def __init__(
        self,
        *,
        core: Core,
        calls: AskAdvice,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        on_advice: Callable[[], None],
        on_call: ObserveCall,
    ) -> None:
        """Ask for ``core``; ``on_advice`` is called after each answer."""
        self._core = core
        self._calls = calls
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._on_advice = on_advice
        self._on_call = on_call
        self._requests = AdviceRequests(core)
        self._state = ServiceState()
        self._reported_unavailable = False
        self._wake = asyncio.Event()

    @property
    def waiting_steps(self) -> int:
        """Return how many steps were due without any ticket at the last choice."""
        return self._requests.waiting_steps

    @property
    def unavailable(self) -> bool:
        """Return whether the service has not answered for too long."""
        return self._state.is_unavailable(self._clock.read_monotonic())

    def wake(self) -> None:
        """Check again whether something is to be asked."""
        self._wake.set()

    async def run(self) -> None:
        """Ask whenever a step needs tickets, until cancelled."""
        while True:
            self._wake.clear()
            began_at = self._clock.read_monotonic()
            budget = PassBudget(clock=self._clock)
            request = self._requests.choose(
                began_at, self._clock.read_wall(), may_continue=budget.is_left
            )
            spent_s = self._clock.read_monotonic() - began_at
            if request is None or not self._calls.available:
                self._state.reset()
                self._report_state()
                await asyncio.sleep(CHOICE_PAUSE_FACTOR * spent_s)
                await self._wake.wait()
                continue
            await self._ask(request)
            pause_s = self._state.choose_pause()
            if pause_s:
                await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    async def _ask(self, request: AdviceRequest) -> None:
        sent_at = self._clock.read_monotonic()
        self._state.record_sent(sent_at, usual_s=request.usual_s)
        answer = await self._calls.ask(
            request.step, request.workers, timeout_s=request.usual_s + ANSWER_MARGIN_S
        )
        now = self._clock.read_monotonic()
        self._state.record_answer(answer)
        self._report_state()
        self._on_call(_name_outcome(answer))
        self._log_late(request, answer, took_s=now - sent_at)
        if isinstance(answer, dict):
            # The service begins with a request when those before it are answered, and
            # its tickets may count from then on.
            issued_at = max(sent_at, now - request.usual_s)
            self._core.advice.record_answer(
                request.step,
                request.workers,
                answer,
                terms=request.terms,
                issued_at=issued_at,
            )
            self._on_advice()

    def _report_state(self) -> None:
        unavailable = self.unavailable
        if unavailable == self._reported_unavailable:
            return
        self._reported_unavailable = unavailable
        self._timeline.record(
            Event.ADVICE_UNAVAILABLE if unavailable else Event.ADVICE_AVAILABLE
        )

    def _log_late(
        self,
        request: AdviceRequest,
        answer: dict[str, str] | AdviceFailure,
        *,
        took_s: float,
    ) -> None:
        late = took_s >= request.usual_s + LATE_MARGIN_S
        if isinstance(answer, dict) and not late:
            return
        logger.info(
            "advice taken late" if isinstance(answer, dict) else "advice not taken",
            extra={
                PRIORITY_ATTRIBUTE: late,
                "job": request.step[0],
                "step": request.step[2],
                "workers": len(request.workers),
                "usual_s": round(request.usual_s, 3),
                "took_s": round(took_s, 3),
                "reason": "" if isinstance(answer, dict) else answer.reason,
            },
        )


def _name_outcome(answer: dict[str, str] | AdviceFailure) -> str:
    if isinstance(answer, dict):
        return "answered"
    return "busy" if isinstance(answer, AdviceBusy) else "unanswered"
