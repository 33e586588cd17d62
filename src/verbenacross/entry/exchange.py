"""One request of a caller: its attempts and the response."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import aiohttp
import logbook
from aiohttp import web
from yarl import URL

from ..infrastructure.upstream_signals import parse_load_header, parse_state_header
from ..refusals import Execution, ProblemDetails, RequestProblemError
from ..routing import AttemptOutcome
from ..transport.exceptions import CallerBodyError, UnusableAnswerError
from ..transport.headers import (
    ATTEMPT_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    append_forwarded_headers,
    append_via,
    copy_end_to_end,
)
from ..transport.request_body import RequestBody
from ..transport.request_target import RequestTarget
from ..transport.response_body import (
    is_bodiless,
    read_limited,
    reset_caller_connection,
    stream_body,
)
from ..transport.single_attempt_middleware import SingleAttemptMiddleware
from .upstream_response import (
    MAX_BUFFERED_BYTES,
    build_response_headers,
    read_execution,
    should_buffer,
    validate_headers,
)

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from ..limits import AdmissionController, RetryBudget
    from ..routing import RequestContext, UpstreamState
    from ..transport.drain import Drain
    from ..transport.upstream_client import UpstreamClient

MS_PER_S = 1_000
HTTP_SERVER_ERROR = 500
EARLY_TIMEOUT_SHARE = 0.5
EARLY_TIMEOUT_LATENCY_FACTOR = 4.0
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})

DEADLINE_EXCEEDED = ProblemDetails(
    504, "deadline-exceeded", "The deadline has passed", Execution.UNKNOWN
)
UPSTREAM_FAILED = ProblemDetails(
    502, "upstream-failed", "The upstream gave no whole answer", Execution.UNKNOWN
)
UPSTREAM_UNREACHABLE = ProblemDetails(
    503, "upstream-unreachable", "The upstream cannot be reached", Execution.NOT_RUN
)
MALFORMED_BODY = ProblemDetails(
    400, "malformed-body", "The request body is not whole", Execution.UNKNOWN
)

logger = logbook.Logger("verbenacross.entry")


class Exchange:
    """One request of a caller: its attempts and the response.

    ``execution`` states whether an upstream ran the request. It is ``NOT_RUN`` only
    while no attempt may have sent a byte, or every upstream that received one stated
    that it did not run the request, and ``UNKNOWN`` during an attempt.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        context: RequestContext,
        admission: AdmissionController,
        client: UpstreamClient,
        budget: RetryBudget,
        drain: Drain,
    ) -> None:
        self._request = request
        self._context = context
        self._admission = admission
        self._client = client
        self._budget = budget
        self._drain = drain
        self._body = RequestBody(request)
        self._tried_upstreams: list[str] = []
        self._fallback: web.StreamResponse | RequestProblemError | None = None
        self._truncated = False
        self._timed_out_early = False
        self.execution = Execution.NOT_RUN

    @property
    def upstream(self) -> str:
        """Id of the upstream of the latest attempt, empty before the first."""
        return self._tried_upstreams[-1] if self._tried_upstreams else ""

    async def buffer_body(self) -> None:
        """Buffers a small request body; raises ``RequestProblemError`` (not run)."""
        if not self._request.body_exists:
            return
        try:
            async with asyncio.timeout(self._get_remaining_s()):
                await self._body.buffer_small()
        except CallerBodyError as error:
            raise self._build_error(MALFORMED_BODY, error) from error
        except TimeoutError as error:
            raise self._build_error(DEADLINE_EXCEEDED, error) from error

    async def run(self) -> web.StreamResponse:
        """Runs attempts until one yields a response for the caller, and returns it.

        The response is ready to be sent, or sent already if it was streamed. Raises
        ``RequestProblemError`` if there is none.
        """
        headers = self._build_request_headers()
        while True:
            if self._get_remaining_s() <= 0:
                raise self._build_error(DEADLINE_EXCEEDED)
            upstream = await self._acquire()
            if upstream is None:
                return self._get_fallback()
            response = await self._attempt(upstream, headers)
            if response is not None:
                return response

    async def _acquire(self) -> UpstreamState | None:
        """Acquires an upstream; returns ``None`` if none is available for a retry."""
        try:
            return await self._admission.acquire(self._context, self._tried_upstreams)
        except RequestProblemError:
            if self._fallback is None:
                raise
            return None

    def _get_fallback(self) -> web.StreamResponse:
        """Returns the response of the last failed attempt, or raises its error."""
        if isinstance(self._fallback, web.StreamResponse):
            return self._fallback
        assert self._fallback is not None
        raise self._fallback

    async def _attempt(
        self, upstream: UpstreamState, headers: CIMultiDict[str]
    ) -> web.StreamResponse | None:
        """Runs an attempt; returns the response, or ``None`` if it is to be retried."""
        started = time.monotonic()
        outcome = AttemptOutcome(0.0, cancelled=True)
        middleware = SingleAttemptMiddleware()
        execution_before, self.execution = self.execution, Execution.UNKNOWN
        attempt_id = f"{self._context.request_id}.{random.getrandbits(32):08x}"
        try:
            async with asyncio.timeout(self._get_remaining_s()) as timeout:
                early_timeout = self._schedule_early_timeout(
                    timeout, middleware, upstream
                )
                try:
                    upstream_response = await self._send(
                        upstream, headers, attempt_id, middleware
                    )
                finally:
                    if early_timeout is not None:
                        early_timeout.cancel()
                try:
                    validate_headers(upstream_response, attempt_id)
                    self._record_execution(
                        execution_before, read_execution(upstream_response)
                    )
                    response = await self._process_response(
                        upstream_response, execution_before
                    )
                    outcome = build_outcome(upstream_response)
                finally:
                    # Closes the connection unless the response was read to its end.
                    upstream_response.close()
            return response
        except (aiohttp.ClientError, UnusableAnswerError, OSError) as error:
            if is_disconnected(self._request) and not self._truncated:
                raise ConnectionAbortedError("the caller went away") from error
            outcome = AttemptOutcome(
                0.0, failed=not self._body.failed, cancelled=self._body.failed
            )
            if self._truncated:
                raise ConnectionAbortedError("the answer was cut short") from error
            sent = middleware.may_have_sent()
            self._record_execution(
                execution_before, Execution.UNKNOWN if sent else Execution.NOT_RUN
            )
            self._handle_failure(upstream, error, middleware)
            return None
        finally:
            latency_s = time.monotonic() - started
            outcome = outcome._replace(latency_s=latency_s)
            self._admission.release(self._context, upstream, outcome)

    def _schedule_early_timeout(
        self,
        timeout: asyncio.Timeout,
        middleware: SingleAttemptMiddleware,
        upstream: UpstreamState,
    ) -> asyncio.TimerHandle | None:
        """Schedules a timeout for the response headers on a reused connection.

        It ends the attempt after half of the remaining time, or four times the median
        latency if that is longer, because an open connection can stop responding
        permanently while new ones work. It applies only to short idempotent requests
        that may be retried. A response that may merely be slow is waited for:
        abandoning it at peak load wastes the slot that processes it.
        """
        context = self._context
        if not context.idempotent or context.request_class.size == "long":
            return None
        remaining_s = self._get_remaining_s()
        typical_s = self._admission.get_median_latency_s(context)
        wait_s = max(
            remaining_s * EARLY_TIMEOUT_SHARE, typical_s * EARLY_TIMEOUT_LATENCY_FACTOR
        )
        if wait_s >= remaining_s:
            return None
        loop = asyncio.get_running_loop()
        started = time.monotonic()
        return loop.call_later(
            wait_s, self._time_out_early, timeout, middleware, upstream, started
        )

    def _time_out_early(
        self,
        timeout: asyncio.Timeout,
        middleware: SingleAttemptMiddleware,
        upstream: UpstreamState,
        started: float,
    ) -> None:
        if not upstream.is_attempt_stalled(started):
            return
        if middleware.is_connection_reused() and self._try_spend_retry(
            Execution.UNKNOWN
        ):
            self._timed_out_early = True
            timeout.reschedule(asyncio.get_running_loop().time())

    async def _send(
        self,
        upstream: UpstreamState,
        headers: CIMultiDict[str],
        attempt_id: str,
        middleware: SingleAttemptMiddleware,
    ) -> aiohttp.ClientResponse:
        context = self._context
        self._tried_upstreams.append(upstream.instance.id)
        remaining_ms = max(1, int(self._get_remaining_s() * MS_PER_S))
        headers[REQUEST_ID_HEADER] = attempt_id
        headers[TIMEOUT_HEADER] = str(remaining_ms)
        headers[ATTEMPT_HEADER] = str(
            max(context.caller_attempt, len(self._tried_upstreams))
        )
        return await self._client.send(
            self._request.method,
            upstream.base_url,
            RequestTarget.from_request(self._request).path_and_query,
            headers,
            self._body.build_payload(),
            middleware,
            context.policy.upstreams.connect_timeout_ms,
            new_connection=not context.idempotent or len(self._tried_upstreams) > 1,
        )

    async def _process_response(
        self, upstream_response: aiohttp.ClientResponse, execution_before: Execution
    ) -> web.StreamResponse | None:
        """Returns the response for the caller, or ``None`` if it is to be retried."""
        headers = build_response_headers(
            upstream_response,
            self._context.request_id,
            may_have_run=execution_before is not Execution.NOT_RUN,
        )
        if upstream_response.status < HTTP_SERVER_ERROR:
            self._budget.record_success(self._context.policy.retries.budget_ratio)
        if is_bodiless(upstream_response):
            response = web.StreamResponse(
                status=upstream_response.status,
                reason=upstream_response.reason,
                headers=headers,
            )
            self._drain.set_connection_close(self._request, response)
        elif should_buffer(upstream_response):
            body, _ = await read_limited(upstream_response, MAX_BUFFERED_BYTES)
            response = web.Response(
                status=upstream_response.status,
                reason=upstream_response.reason,
                headers=headers,
                body=body,
            )
            self._drain.set_connection_close(self._request, response)
        else:
            return await self._stream_response(upstream_response, headers)
        if self._should_retry(upstream_response):
            self._fallback = response
            return None
        return response

    async def _stream_response(
        self, upstream_response: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> web.StreamResponse | None:
        if self._should_retry(upstream_response):
            self._fallback = self._build_error(UPSTREAM_FAILED)
            return None
        response = web.StreamResponse(
            status=upstream_response.status,
            reason=upstream_response.reason,
            headers=headers,
        )
        self._drain.set_connection_close(self._request, response)
        try:
            await response.prepare(self._request)
            return await stream_body(upstream_response, response)
        except (aiohttp.ClientError, OSError, asyncio.CancelledError) as error:
            if is_disconnected(self._request):
                raise
            self._truncated = True
            reset_caller_connection(self._request)
            self._log_failure(self.upstream, error, "answer-cut-short")
            raise

    def _should_retry(self, upstream_response: aiohttp.ClientResponse) -> bool:
        """Returns whether to retry after a response; spends the retry if so."""
        if upstream_response.status not in RETRYABLE_STATUSES:
            return False
        return self._try_spend_retry(read_execution(upstream_response))

    def _handle_failure(
        self,
        upstream: UpstreamState,
        error: Exception,
        middleware: SingleAttemptMiddleware,
    ) -> None:
        """Handles an attempt without a usable response.

        Keeps the error as the fallback if the request is to be retried, otherwise
        raises it as ``RequestProblemError``.
        """
        upstream_id = upstream.instance.id
        sent = middleware.may_have_sent()
        if isinstance(error, UnusableAnswerError):
            middleware.close_connection()
        if self._body.failed:
            raise self._build_error(MALFORMED_BODY, error) from error
        if middleware.is_connection_reused() and not isinstance(
            error, aiohttp.ClientError
        ):
            self._client.disable_reuse(URL(upstream.base_url))
        if not sent and isinstance(error, aiohttp.ClientError):
            problem_error = self._build_error(UPSTREAM_UNREACHABLE, error)
        elif isinstance(error, TimeoutError):
            problem_error = self._build_error(DEADLINE_EXCEEDED, error)
        else:
            problem_error = self._build_error(UPSTREAM_FAILED, error)
        self._log_failure(upstream_id, error, problem_error.details.problem)
        execution = Execution.UNKNOWN if sent else Execution.NOT_RUN
        if not self._timed_out_early and not self._try_spend_retry(execution):
            raise problem_error from error
        self._timed_out_early = False
        self._fallback = problem_error

    def _try_spend_retry(self, execution: Execution) -> bool:
        """Returns whether a retry is allowed; spends it from the budget if so."""
        context = self._context
        retries = context.policy.retries
        if execution is not Execution.NOT_RUN and not context.idempotent:
            return False
        if (
            context.caller_attempt > 1
            or len(self._tried_upstreams) >= retries.max_attempts
        ):
            return False
        if not self._body.is_replayable() or self._get_remaining_s() <= 0:
            return False
        return self._budget.try_spend(retries.budget_ratio)

    def _record_execution(
        self, execution_before: Execution, execution: Execution
    ) -> None:
        match execution_before, execution:
            case (Execution.RAN, _) | (_, Execution.RAN):
                self.execution = Execution.RAN
            case (Execution.NOT_RUN, Execution.NOT_RUN):
                self.execution = Execution.NOT_RUN
            case _:
                self.execution = Execution.UNKNOWN

    def _build_request_headers(self) -> CIMultiDict[str]:
        headers = copy_end_to_end(self._request.headers)
        headers.popall("Expect", None)
        append_via(headers)
        append_forwarded_headers(headers, self._request)
        return headers

    def _get_remaining_s(self) -> float:
        return self._context.deadline - time.monotonic()

    def _build_error(
        self, details: ProblemDetails, error: Exception | None = None
    ) -> RequestProblemError:
        detail = "" if error is None else repr(error)
        return RequestProblemError(
            details._replace(execution=self.execution, detail=detail)
        )

    def _log_failure(self, upstream: str, error: BaseException, problem: str) -> None:
        logger.warning(
            "attempt failed: {}",
            problem,
            extra={
                "request_id": self._context.request_id,
                "policy_revision": self._context.policy_revision,
                "upstream": upstream,
                "error": repr(error),
                "execution": self.execution.value,
            },
        )


def build_outcome(upstream_response: aiohttp.ClientResponse) -> AttemptOutcome:
    """Builds the outcome of an attempt with a complete response, without latency."""
    return AttemptOutcome(
        0.0,
        failed=upstream_response.status >= HTTP_SERVER_ERROR,
        shed=read_execution(upstream_response) is Execution.NOT_RUN,
        load=parse_load_header(upstream_response.headers),
        announced_state=parse_state_header(upstream_response.headers),
    )


def is_disconnected(request: web.BaseRequest) -> bool:
    """Returns whether the caller's connection is closed."""
    return request.transport is None or request.transport.is_closing()
