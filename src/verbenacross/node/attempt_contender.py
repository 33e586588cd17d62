"""The two attempts of a request that take part in a race."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .attempt_result import (
    BufferedResponse,
    NoUsableResponse,
    Rejected,
    StreamedResponse,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from ..transport.buffer_budget import BufferReservation
    from .attempt_result import AttemptResult
    from .upstream_attempt import UpstreamAttempt

HTTP_SERVER_ERROR = 500


class AttemptContender:
    """One attempt of a request; implements ``Contender``.

    ``attempt`` is ``None`` until an upstream was found. ``held`` has the bytes of its
    response, which are returned unless it wins. ``run`` gets the contender and sends
    the request; ``on_loss`` is called before a losing attempt is cancelled.
    """

    def __init__(
        self,
        run: Callable[[AttemptContender], Coroutine[Any, Any, AttemptResult | None]],
        held: BufferReservation,
        on_loss: Callable[[UpstreamAttempt], None],
        attempt: UpstreamAttempt | None = None,
    ) -> None:
        self.attempt = attempt
        self.held = held
        self._run = run
        self._on_loss = on_loss

    def is_sent(self) -> bool:
        """Returns whether the attempt has an upstream, so that it may be running."""
        return self.attempt is not None

    def has_response_head(self) -> bool:
        """Returns whether a response has started to arrive."""
        return self.attempt is not None and self.attempt.has_response_head

    async def run(self) -> AttemptResult | None:
        """Runs the attempt; ``None`` if it cannot be sent. Cancelling ends it."""
        try:
            return await self._run(self)
        except BaseException:
            self.held.release()
            raise

    def lose(self) -> None:
        """Notes that the other attempt won, before this one is cancelled."""
        if self.attempt is not None:
            self._on_loss(self.attempt)

    def discard(self, result: AttemptResult) -> None:
        """Closes a result that arrived together with the other attempt's response."""
        if isinstance(result, StreamedResponse) and self.attempt is not None:
            self.attempt.end_stream(result, None)
        self.held.release()


def is_usable(result: AttemptResult) -> bool:
    """Returns whether a result ends the race: a response that is not an error."""
    match result:
        case BufferedResponse(status=status):
            return status < HTTP_SERVER_ERROR
        case StreamedResponse():
            return True
    return False


def describe_failure(attempt: UpstreamAttempt, result: AttemptResult) -> str:
    """Returns why an attempt failed."""
    upstream = attempt.tracked.upstream.id
    match result:
        case Rejected(status):
            return f"rejected with {status} by {upstream}"
        case NoUsableResponse(reason=reason):
            return f"{reason} at {upstream}"
        case BufferedResponse(status=status):
            return f"status {status} of {upstream}"
    return ""


def merge_failures(
    results: list[tuple[UpstreamAttempt, AttemptResult]],
) -> tuple[UpstreamAttempt, AttemptResult]:
    """Returns one result for one or two attempts that all failed, and whose it is.

    It is a rejection only if both were rejected, because the request may have run
    otherwise. A response of an upstream, even an error, is preferred to none.
    """
    attempt, result = results[-1]
    if len(results) == 1:
        return attempt, result
    for earlier, response in reversed(results):
        if isinstance(response, BufferedResponse):
            return earlier, response
    failures = [result for _, result in results if isinstance(result, NoUsableResponse)]
    if not failures:
        return attempt, result
    reason = result.reason if isinstance(result, NoUsableResponse) else "rejected"
    return attempt, NoUsableResponse(
        f"{describe_failure(*results[0])}, {reason}",
        request_sent=any(failure.request_sent for failure in failures),
        timed_out=any(failure.timed_out for failure in failures),
    )
