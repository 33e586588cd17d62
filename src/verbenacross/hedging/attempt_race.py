"""Race between the two attempts of a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

Result = TypeVar("Result")


class Contender(Protocol[Result]):
    """One of the two attempts of a request."""

    def is_sent(self) -> bool:
        """Returns whether the attempt has an upstream, so that it may be running."""

    def has_response_head(self) -> bool:
        """Returns whether a response has started to arrive."""

    async def run(self) -> Result | None:
        """Runs the attempt; ``None`` if it cannot be sent. Cancelling ends it."""

    def lose(self) -> None:
        """Notes that the other attempt won, before this one is cancelled."""

    def discard(self, result: Result) -> None:
        """Closes a result that arrived together with the other attempt's response."""


RacingContender = TypeVar("RacingContender", bound=Contender[Any])


class AttemptRace(Generic[RacingContender, Result]):
    """Runs an attempt, and a second one if the first has no response in time.

    The first usable result ends the race. Every other attempt has ended when ``run``
    returns or raises, and its result was discarded.
    """

    def __init__(
        self,
        first: RacingContender,
        second: RacingContender,
        is_usable: Callable[[Result], bool],
    ) -> None:
        self._first = first
        self._second = second
        self._is_usable = is_usable
        self._running: dict[asyncio.Task[Result | None], RacingContender] = {}

    async def run(self, delay_s: float) -> list[tuple[RacingContender, Result]]:
        """Returns the results in the order of their arrival.

        The last one is usable unless both attempts failed. The second attempt starts
        after ``delay_s`` and is not waited for if the first fails before it is sent.
        """
        first = self._start(self._first)
        finished: list[tuple[RacingContender, Result]] = []
        has_won = False
        try:
            await asyncio.wait({first}, timeout=max(0.0, delay_s))
            if not first.done() and not self._first.has_response_head():
                self._start(self._second)
            while self._running and not has_won:
                await asyncio.wait(self._running, return_when=asyncio.FIRST_COMPLETED)
                has_won = self._collect(finished)
                if finished and not self._second.is_sent():
                    break
            return finished
        finally:
            await self._end_others(has_won)

    def _start(self, contender: RacingContender) -> asyncio.Task[Result | None]:
        task = asyncio.create_task(contender.run())
        self._running[task] = contender
        return task

    def _collect(self, finished: list[tuple[RacingContender, Result]]) -> bool:
        """Moves results to ``finished`` up to a usable one; returns whether it is."""
        for task in [task for task in self._running if task.done()]:
            contender = self._running.pop(task)
            result = task.result()
            if result is None:
                continue
            finished.append((contender, result))
            if self._is_usable(result):
                return True
        return False

    async def _end_others(self, has_won: bool) -> None:
        others = list(self._running.items())
        self._running.clear()
        for task, contender in others:
            discard = DiscardResult(contender)
            if task.done():
                discard(task)
                continue
            if has_won and contender.is_sent():
                contender.lose()
            # A result may arrive although the task is cancelled, and also after a
            # second cancellation of this task has ended the wait below.
            task.add_done_callback(discard)
            task.cancel()
        pending = [task for task, _ in others if not task.done()]
        if pending:
            await asyncio.wait(pending)


class DiscardResult(Generic[Result]):
    """Callback that discards the result of a task that lost the race."""

    __slots__ = ("_contender",)

    def __init__(self, contender: Contender[Result]) -> None:
        self._contender = contender

    def __call__(self, task: asyncio.Task[Result | None]) -> None:
        """Discards the result, if there is one."""
        if task.cancelled() or task.exception() is not None:
            return
        result = task.result()
        if result is not None:
            self._contender.discard(result)
