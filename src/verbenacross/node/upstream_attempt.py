"""One attempt to have a request answered by an upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import hdrs
from yarl import URL

from ..balancing.outcome import Abandoned, Failed, NotRun, Succeeded, Unreachable
from ..platform.headers import (
    EXPECTED_UPSTREAM,
    MISDIRECTED,
    REMAINING_TIME,
    REQUEST_ID,
    SIGNATURE,
    is_not_run,
    read_load,
    read_load_after,
)
from ..transport.answer_body import is_bodiless
from ..transport.attempt_guard import AttemptGuard
from ..transport.exceptions import UnusableAnswerError
from ..transport.headers import copy_end_to_end
from .attempt_result import Lost, OpenAnswer, Rejected, WholeAnswer

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from ..balancing.balancing_context import BalancingContext
    from ..balancing.outcome import Outcome
    from ..balancing.service_balancer import ServiceBalancer
    from ..balancing.tracked_upstream import TrackedUpstream
    from ..transport.upstream_client import UpstreamClient
    from .attempt_result import AttemptResult

MS_PER_S = 1_000
HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300
HTTP_SERVER_ERROR = 500
HTTP_SWITCHING_PROTOCOLS = 101
# Answers up to this size are held until they are complete.
MAX_HELD_BYTES = 2_097_152
# Wait past the deadline for an upstream's own answer at its deadline, in seconds.
ANSWER_GRACE_S = 0.06
# An upstream that had this share of a request's time should have answered.
FAIR_SHARE = 0.6
# A connection takes two round trips of a few milliseconds.
CONNECT_TIMEOUT_MS = 300


class UpstreamAttempt:
    """One attempt; gives the upstream back to the balancer with what it showed."""

    def __init__(
        self,
        client: UpstreamClient,
        balancer: ServiceBalancer,
        tracked: TrackedUpstream,
        context: BalancingContext,
    ) -> None:
        self.tracked = tracked
        self._guard = AttemptGuard()
        self._client = client
        self._balancer = balancer
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._started = self._loop.time()
        self._outcome: Outcome = Abandoned()

    async def run(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: Any,
        *,
        new_connection: bool,
    ) -> AttemptResult:
        """Returns what came of it; cancelling closes the connection."""
        limit = self._context.deadline + ANSWER_GRACE_S
        try:
            async with asyncio.timeout_at(limit):
                answer = await self._send(method, target, headers, body, new_connection)
                try:
                    return await self._take(answer)
                except BaseException:
                    answer.close()
                    raise
        except TimeoutError:
            return self._give_up()
        except (aiohttp.ClientError, UnusableAnswerError, OSError) as error:
            return self._lose(error)
        finally:
            self._balancer.release(self.tracked, self._context, self._outcome)

    async def _send(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: Any,
        new_connection: bool,
    ) -> aiohttp.ClientResponse:
        upstream = self.tracked.upstream
        headers = headers.copy()
        remaining_s = self._context.deadline - self._started
        headers[REMAINING_TIME] = str(max(1, int(remaining_s * MS_PER_S)))
        headers[EXPECTED_UPSTREAM] = upstream.id
        return await self._client.send(
            method,
            URL(f"http://{upstream.address}{target}", encoded=True),
            headers,
            body,
            self._guard,
            CONNECT_TIMEOUT_MS,
            new_connection=new_connection,
        )

    def _give_up(self) -> Lost:
        """Ends the wait at the deadline.

        That counts against the upstream only if it had most of the request's time;
        after a wait in the instance it may just have been too late.
        """
        context = self._context
        sent = self._guard.may_have_sent()
        reason = "no answer in time"
        whole_s = context.deadline - context.arrived_at
        if context.deadline - self._started >= FAIR_SHARE * whole_s:
            self._outcome = Failed(reason) if sent else Unreachable(reason)
        return Lost(reason, sent, timed_out=True)

    def _lose(self, error: Exception) -> Lost:
        sent = self._guard.may_have_sent()
        reason = repr(error)
        if not sent and self._guard.is_reused():
            return Lost(reason, sent, is_stale=True)
        if not sent:
            self._outcome = Unreachable(reason)
        elif self._guard.is_reused() and not isinstance(error, UnusableAnswerError):
            # A kept connection may break without any fault of the upstream.
            self._outcome = Abandoned()
        else:
            self._outcome = Failed(reason)
        return Lost(reason, sent)

    async def _take(self, answer: aiohttp.ClientResponse) -> AttemptResult:
        if is_not_run(answer.status, answer.headers):
            return self._take_rejection(answer)
        self._check_head(answer)
        connection = answer.connection
        protocol = connection.protocol if connection is not None else None
        headers = copy_end_to_end(answer.headers)
        body, is_complete = await read_body(answer)
        if not is_complete:
            self._outcome = self._judge(answer)
            return OpenAnswer(answer, headers, body)
        if is_unframed(answer):
            # Such an answer ends with its connection, which must not be a reset.
            error = protocol.exception() if protocol is not None else None
            if isinstance(error, aiohttp.ClientOSError):
                raise UnusableAnswerError("the connection was reset within the answer")
        self._outcome = self._judge(answer)
        return WholeAnswer(answer.status, answer.reason or "", headers, body)

    def _judge(self, answer: aiohttp.ClientResponse) -> Outcome:
        if answer.status >= HTTP_SERVER_ERROR:
            return Failed(f"status {answer.status}")
        latency_s = self._loop.time() - self._started
        return Succeeded(latency_s, read_load_after(answer.headers))

    def _take_rejection(self, answer: aiohttp.ClientResponse) -> Rejected:
        if answer.status == MISDIRECTED:
            self.tracked.is_misdirected = True
        self._outcome = NotRun(read_load(answer.headers))
        answer.release()
        return Rejected(answer.status)

    def _check_head(self, answer: aiohttp.ClientResponse) -> None:
        """Raises ``UnusableAnswerError`` for an answer that must not be passed on."""
        request_id = self._context.request_id
        for echoed in answer.headers.getall(REQUEST_ID, ()):
            if echoed != request_id:
                raise UnusableAnswerError(f"the answer carries request id {echoed!r}")
        if answer.status == HTTP_SWITCHING_PROTOCOLS:
            raise UnusableAnswerError("the upstream switched protocols")
        succeeded = HTTP_OK <= answer.status < HTTP_MULTIPLE_CHOICES
        if succeeded and SIGNATURE not in answer.headers:
            raise UnusableAnswerError("a success without the upstream's signature")
        lengths = answer.headers.getall(hdrs.CONTENT_LENGTH, ())
        chunked = hdrs.TRANSFER_ENCODING in answer.headers
        if (chunked and lengths) or len(set(lengths)) > 1:
            raise UnusableAnswerError("the answer has conflicting lengths")


async def read_body(answer: aiohttp.ClientResponse) -> tuple[bytes, bool]:
    """Returns the body, or its start and ``False`` if it is too large to be held."""
    if is_bodiless(answer):
        return b"", True
    parts: list[bytes] = []
    size = 0
    async for part in answer.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > MAX_HELD_BYTES:
            return b"".join(parts), False
    return b"".join(parts), True


def is_unframed(answer: aiohttp.ClientResponse) -> bool:
    """Returns whether an answer ends only with its connection."""
    framed = (
        hdrs.CONTENT_LENGTH in answer.headers
        or hdrs.TRANSFER_ENCODING in answer.headers
    )
    return not framed and not is_bodiless(answer)
