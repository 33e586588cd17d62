"""Sends a request to one upstream and validates the response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import hdrs

from ..balancing.outcome import Abandoned, Failed, NotRun, Succeeded, Unreachable
from ..balancing.upstream_notice import NO_NOTICE
from ..platform.headers import (
    MISDIRECTED,
    NOT_RUN_STATUSES,
    REMAINING_TIME,
    REQUEST_ID,
    SIGNATURE,
    TARGET_UPSTREAM,
    is_not_run,
    parse_load_after_response,
    parse_load_header,
    parse_notice,
)
from ..transport.deadline import timeout_at_or_after_pause
from ..transport.exceptions import AssignmentWithdrawnError, UnusableAnswerError
from ..transport.headers import copy_end_to_end
from ..transport.response_body import read_parts
from ..transport.response_ending import ResponseEnding
from ..transport.response_status import validate_status
from ..transport.single_attempt_middleware import SingleAttemptMiddleware
from .attempt_result import (
    BufferedResponse,
    NoUsableResponse,
    Rejected,
    StreamedResponse,
)

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from ..balancing.balancing_context import BalancingContext
    from ..balancing.outcome import Outcome
    from ..balancing.service_balancer import ServiceBalancer
    from ..balancing.tracked_upstream import TrackedUpstream
    from ..transport.buffer_budget import BufferReservation
    from ..transport.request_body import RequestBody
    from ..transport.upstream_client import UpstreamClient
    from .attempt_result import AttemptResult

MS_PER_S = 1_000
HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300
HTTP_SERVER_ERROR = 500
# Response bodies up to this size are buffered until they are complete.
MAX_BUFFERED_BYTES = 2_097_152
# Extra time after the deadline for the response that an upstream sends at its own
# deadline, in seconds.
RESPONSE_GRACE_S = 0.06
# A timeout counts as a failure of an upstream that had at least this share of the time
# of the request.
MIN_TIME_SHARE = 0.6
# Connecting takes two round trips of a few milliseconds each.
CONNECT_TIMEOUT_MS = 300


class UpstreamAttempt:
    """One attempt to send a request to an upstream.

    A response is buffered as far as ``held`` has room, and streamed otherwise.

    Releases the upstream to the balancer with the outcome of the attempt. After a
    ``StreamedResponse``, ``end_stream`` does so.
    """

    def __init__(
        self,
        client: UpstreamClient,
        balancer: ServiceBalancer,
        tracked: TrackedUpstream,
        context: BalancingContext,
        held: BufferReservation,
    ) -> None:
        self.tracked = tracked
        self._middleware = SingleAttemptMiddleware()
        self._middleware.is_withdrawn = lambda: balancer.is_evacuated(tracked)
        self._client = client
        self._balancer = balancer
        self._context = context
        self._held = held
        self._loop = asyncio.get_running_loop()
        self.started_at = self._loop.time()
        # Whether the head of a response has arrived.
        self.has_response_head = False
        # Whether a response that is declared too large to buffer is streamed from its
        # start, because another attempt is to be cancelled then.
        self.streams_early = False
        self._outcome: Outcome = Abandoned()
        self._body: RequestBody | None = None

    async def run(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: RequestBody,
        *,
        new_connection: bool,
    ) -> AttemptResult:
        """Sends the request and returns the result.

        Cancelling closes the connection.
        """
        self._body = body
        timeout_at = self._context.deadline + RESPONSE_GRACE_S
        is_streamed = False
        try:
            async with timeout_at_or_after_pause(timeout_at):
                response = await self._send(
                    method, target, headers, body.build_payload(), new_connection
                )
                self.has_response_head = True
                try:
                    result = await self._process_response(response)
                except BaseException:
                    response.close()
                    self._middleware.close_connection()
                    raise
                is_streamed = isinstance(result, StreamedResponse)
                return result
        except TimeoutError:
            return self._process_timeout()
        except (aiohttp.ClientError, UnusableAnswerError, OSError) as error:
            return self._process_error(error)
        finally:
            if not is_streamed:
                self._release()

    def may_have_sent(self) -> bool:
        """Returns whether a byte of the request may have been sent."""
        return self._middleware.may_have_sent()

    def record_silence(self) -> None:
        """Counts an attempt that is about to be cancelled as a failed one."""
        waited_ms = (self._loop.time() - self.started_at) * MS_PER_S
        reason = f"no response head within {waited_ms:.0f} ms"
        self._outcome = Failed(reason) if self.may_have_sent() else Unreachable(reason)

    def end_stream(self, result: StreamedResponse, failure: str | None) -> None:
        """Closes a streamed response and releases its upstream.

        ``failure`` states how the upstream failed to send the whole response, ``None``
        if it did not fail.
        """
        is_complete = result.response.content.at_eof()
        result.response.close()
        if failure is not None:
            self._outcome = Failed(failure)
        elif is_complete:
            self._outcome = self._build_outcome(result.response)
        self._release()

    def _release(self) -> None:
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
        remaining_s = self._context.deadline - self.started_at
        headers[REMAINING_TIME] = str(max(1, int(remaining_s * MS_PER_S)))
        headers[TARGET_UPSTREAM] = upstream.id
        return await self._client.send(
            method,
            f"http://{upstream.address}",
            target,
            headers,
            body,
            self._middleware,
            CONNECT_TIMEOUT_MS,
            new_connection=new_connection,
        )

    def _process_timeout(self) -> NoUsableResponse:
        """Returns the result of an attempt that reached the deadline.

        The timeout counts against the upstream only if it had most of the time of the
        request; after a long wait in this process it may just have started too late.
        """
        context = self._context
        request_sent = self._middleware.may_have_sent()
        reason = "no response before the deadline"
        total_s = context.deadline - context.arrived_at
        if context.deadline - self.started_at >= MIN_TIME_SHARE * total_s:
            self._outcome = Failed(reason) if request_sent else Unreachable(reason)
        return NoUsableResponse(reason, request_sent, timed_out=True)

    def _process_error(self, error: Exception) -> NoUsableResponse:
        request_sent = self._middleware.may_have_sent()
        reason = repr(error)
        if isinstance(error, AssignmentWithdrawnError):
            self._outcome = Abandoned(is_unsent=True)
            return NoUsableResponse(reason, request_sent, is_withdrawn=True)
        has_failed_body = self._body is not None and self._body.failed
        if not (has_failed_body or isinstance(error, UnusableAnswerError)):
            self._balancer.record_broken_connection(self.tracked)
        if not request_sent and self._middleware.is_connection_reused():
            self._outcome = Abandoned(is_unsent=True)
            return NoUsableResponse(reason, request_sent, stale_connection=True)
        if has_failed_body:
            # The caller ended its body early or exceeded the limit.
            self._outcome = Abandoned()
        elif not request_sent:
            self._outcome = Unreachable(reason)
        elif self._middleware.is_connection_reused() and not isinstance(
            error, UnusableAnswerError
        ):
            # A reused connection may break without a failure of the upstream.
            self._outcome = Abandoned()
        else:
            self._outcome = Failed(reason)
        return NoUsableResponse(reason, request_sent)

    async def _process_response(
        self, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        self._validate_headers(response)
        self._apply_notice(response)
        if is_not_run(response.status, response.headers):
            self._validate_rejection(response)
            return self._process_rejection(response)
        if response.status in NOT_RUN_STATUSES:
            raise UnusableAnswerError(
                f"status {response.status} without a statement that nothing ran"
            )
        ending = ResponseEnding.from_response(response, self._middleware.get_protocol())
        headers = copy_end_to_end(response.headers)
        max_bytes = MAX_BUFFERED_BYTES
        if self.streams_early and (response.content_length or 0) > MAX_BUFFERED_BYTES:
            max_bytes = 0
        parts, is_complete = await read_parts(response, max_bytes, self._held)
        if not is_complete:
            return StreamedResponse(response, headers, parts, ending)
        ending.check()
        self._outcome = self._build_outcome(response)
        return BufferedResponse(
            response.status, response.reason or "", headers, b"".join(parts)
        )

    def _apply_notice(self, response: aiohttp.ClientResponse) -> None:
        """Applies what the upstream states about itself.

        Without a request id, the response may be that to an earlier request.
        """
        if not self._context.request_id:
            return
        notice = parse_notice(response.status, response.headers)
        if notice != NO_NOTICE:
            self._balancer.apply_notice(self.tracked, notice)

    def _build_outcome(self, response: aiohttp.ClientResponse) -> Outcome:
        if response.status >= HTTP_SERVER_ERROR:
            return Failed(f"status {response.status}")
        latency_s = self._loop.time() - self.started_at
        return Succeeded(latency_s, parse_load_after_response(response.headers))

    def _process_rejection(self, response: aiohttp.ClientResponse) -> Rejected:
        if response.status == MISDIRECTED:
            self.tracked.record_misdirection(f"status {MISDIRECTED}", self._loop.time())
        self._outcome = NotRun(
            parse_load_header(response.headers),
            is_misdirected=response.status == MISDIRECTED,
        )
        # A faulty upstream may send the rejection once more. If the caller repeats the
        # request with the same id, nothing would tell the copy from its response.
        response.close()
        self._middleware.close_connection()
        return Rejected(response.status)

    def _validate_headers(self, response: aiohttp.ClientResponse) -> None:
        """Raises ``UnusableAnswerError`` if a response must not reach the caller."""
        request_id = self._context.request_id
        echoed_ids = response.headers.getall(REQUEST_ID, ())
        for echoed in echoed_ids:
            if echoed != request_id:
                raise UnusableAnswerError(
                    f"the response carries request id {echoed!r}, "
                    f"expected {request_id!r}"
                )
        if request_id and not echoed_ids:
            # It may be a late response to an earlier request on the connection, or
            # come before the response to this one.
            raise UnusableAnswerError("the response carries no request id")
        validate_status(response.status)
        succeeded = HTTP_OK <= response.status < HTTP_MULTIPLE_CHOICES
        if succeeded and SIGNATURE not in response.headers:
            raise UnusableAnswerError(
                f"status {response.status} without the upstream's signature"
            )
        lengths = response.headers.getall(hdrs.CONTENT_LENGTH, ())
        chunked = hdrs.TRANSFER_ENCODING in response.headers
        if (chunked and lengths) or len(set(lengths)) > 1:
            raise UnusableAnswerError("the response has conflicting lengths")

    def _validate_rejection(self, response: aiohttp.ClientResponse) -> None:
        """Raises ``UnusableAnswerError`` unless a rejection is consistent.

        The request is sent to another upstream after it.
        """
        if HTTP_OK <= response.status < HTTP_MULTIPLE_CHOICES:
            raise UnusableAnswerError(
                f"the rejection has status {response.status} of a success"
            )
