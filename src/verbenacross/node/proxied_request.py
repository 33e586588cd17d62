"""Proxies one request of a caller, with retries on other upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import logbook
from aiohttp import hdrs, web

from ..balancing.exceptions import BalancingError
from ..balancing.outcome import Abandoned
from ..platform.headers import API_KEY, TENANT
from ..transport.exceptions import (
    SlowCallerError,
    StreamLimitError,
    UnusableAnswerError,
)
from ..transport.headers import copy_end_to_end
from ..transport.request_ahead import wait_turn
from ..transport.response_body import (
    PIECE_BYTES,
    is_closing,
    iterate_pieces,
    reset_caller_connection,
    stream_body_until,
)
from .attempt_result import (
    BufferedResponse,
    NoUsableResponse,
    Rejected,
    StreamedResponse,
)
from .problem_response import build_problem_response
from .upstream_attempt import UpstreamAttempt

if TYPE_CHECKING:
    from ..balancing.balancing_context import BalancingContext
    from ..balancing.service_balancer import ServiceBalancer
    from ..balancing.tracked_upstream import TrackedUpstream
    from ..balancing.windowed_retry_budget import WindowedRetryBudget
    from ..routes.route import Route
    from ..tenants.tenant import Tenant
    from ..transport.buffer_budget import BufferReservation
    from ..transport.request_body import RequestBody
    from ..transport.upstream_client import UpstreamClient
    from .attempt_result import AttemptResult

HTTP_SERVER_ERROR = 500
# A request with less time left than this is not retried.
MIN_RETRY_TIME_S = 0.01

logger = logbook.Logger("verbenacross.node.request")


class ProxiedRequest:
    """Proxies one request of a caller, with retries on other upstreams.

    ``may_have_run`` is false only while no byte was sent, or every upstream that
    received bytes stated that it did not run the request. ``sends`` counts the attempts
    that sent at least part of the request. ``upstream`` is the id of the upstream tried
    last, ``cause`` why the latest attempt failed or why there was none.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        target: str,
        route: Route,
        context: BalancingContext,
        body: RequestBody,
        balancer: ServiceBalancer,
        client: UpstreamClient,
        retry_budget: WindowedRetryBudget,
        instance_count: int,
        held: BufferReservation,
    ) -> None:
        self.may_have_run = False
        self.sends = 0
        self.upstream = ""
        self.cause = ""
        self._request = request
        self._target = target
        self._route = route
        self._context = context
        self._body = body
        self._balancer = balancer
        self._client = client
        self._retry_budget = retry_budget
        self._instance_count = instance_count
        self._held = held
        self._loop = asyncio.get_running_loop()
        self._headers = copy_end_to_end(request.headers)
        self._headers.popall("Expect", None)
        self._last_response: BufferedResponse | None = None
        # Whether the next attempt is counted against the retry budget already.
        self._has_spent_retry = False
        # A reused connection may break unnoticed, which leaves it unknown whether the
        # request ran; one that is not idempotent could not be retried then. Without an
        # id, a late response to an earlier request would be taken for its response.
        self._needs_new_connection = not (route.idempotent and context.request_id)

    def set_tenant(self, tenant: Tenant | None) -> None:
        """Replaces the API key by the name of the tenant in what upstreams receive."""
        self._headers.popall(API_KEY, None)
        self._headers.popall(TENANT, None)
        if tenant is not None:
            self._headers[TENANT] = tenant.name

    async def run(self) -> web.StreamResponse:
        """Proxies the request and returns the response, sent already if streamed.

        Raises ``ConnectionAbortedError`` if streaming the response fails.
        """
        retry_after_s: float | None = None
        timed_out = False
        while True:
            try:
                tracked = await self._balancer.acquire(self._context)
            except BalancingError as error:
                if self._has_spent_retry:
                    self._retry_budget.refund()
                self.cause = self.cause or str(error)
                retry_after_s = error.retry_after_s
                break
            if not self._balancer.accepts(tracked):
                # It stated that it leaves or is busy after it had been chosen, or its
                # failure domain was evacuated.
                unsent = Abandoned(is_unsent=True)
                self._balancer.release(tracked, self._context, unsent)
                continue
            attempt = UpstreamAttempt(
                self._client, self._balancer, tracked, self._context, self._held
            )
            has_spent_retry = self._has_spent_retry
            result = await self._run_attempt(attempt)
            match result:
                case NoUsableResponse(is_withdrawn=True):
                    # The retry that was spent on this attempt is left for the next.
                    self._has_spent_retry = has_spent_retry
                    continue
                case BufferedResponse() if not self._should_retry(result):
                    return self._build_response(result)
                case BufferedResponse():
                    self._last_response = result
                case StreamedResponse():
                    return await self._stream(attempt, result)
                case Rejected(status):
                    self.cause = f"rejected with {status} by {self.upstream}"
                    if not self._try_spend_retry(request_sent=True):
                        break
                case NoUsableResponse(reason=reason, timed_out=timed_out):
                    self.cause = f"{reason} at {self.upstream}"
                    if not self._should_retry_without_response(result):
                        break
            self._exclude(tracked, result)
        return self._build_failure_response(retry_after_s, timed_out)

    def _exclude(self, tracked: TrackedUpstream, result: AttemptResult) -> None:
        """Excludes an upstream from the next attempts of this request.

        An upstream that received no byte is tried again if no other is available, and
        one whose connection was stale is tried again on a new connection.
        """
        if isinstance(result, NoUsableResponse) and result.stale_connection:
            self._needs_new_connection = True
            return
        unsent = isinstance(result, NoUsableResponse) and not result.request_sent
        if unsent and not self._balancer.has_alternative(self._context, tracked):
            return
        self._context.excluded.add(tracked.upstream.id)

    async def _run_attempt(self, attempt: UpstreamAttempt) -> AttemptResult:
        upstream = attempt.tracked.upstream
        self.upstream = upstream.id
        self._log_attempt(attempt)
        self._has_spent_retry = False
        may_have_run_before, self.may_have_run = self.may_have_run, True
        result = await attempt.run(
            self._request.method,
            self._target,
            self._headers,
            self._body,
            new_connection=self._needs_new_connection or self.sends > 0,
        )
        match result:
            case Rejected():
                self.may_have_run = may_have_run_before
            case NoUsableResponse(request_sent=False):
                self.may_have_run = may_have_run_before
        if not (isinstance(result, NoUsableResponse) and not result.request_sent):
            self.sends += 1
        return result

    def _log_attempt(self, attempt: UpstreamAttempt) -> None:
        tracked, context = attempt.tracked, self._context
        now = self._loop.time()
        logger.info(
            "upstream chosen",
            extra={
                "request_id": context.request_id,
                "upstream": tracked.upstream.id,
                "service": self._balancer.service,
                "attempt": self.sends + 1,
                "waited_ms": round((now - context.arrived_at) * 1000, 1),
                "left_ms": round((context.deadline - now) * 1000),
                "report": tracked.report,
                "report_age_ms": round((now - tracked.reported_at) * 1000, 1)
                if tracked.report
                else None,
                "in_flight": tracked.in_flight,
            },
        )

    def _should_retry(self, response: BufferedResponse) -> bool:
        """Returns whether to retry after a response; spends the retry if so."""
        if response.status < HTTP_SERVER_ERROR or not self._route.idempotent:
            return False
        self.cause = f"status {response.status} of {self.upstream}"
        return self._try_spend_retry(request_sent=True)

    def _should_retry_without_response(self, result: NoUsableResponse) -> bool:
        """Returns whether to retry without a response; spends the retry if so."""
        if result.timed_out or (result.request_sent and not self._route.idempotent):
            return False
        return self._try_spend_retry(result.request_sent)

    def _try_spend_retry(self, request_sent: bool) -> bool:
        """Returns whether another attempt is allowed; spends a retry if so.

        Until an attempt has sent a byte, the next one is not counted as a retry.
        """
        now = self._loop.time()
        if not self._body.is_replayable():
            return False
        if self._context.deadline - now < MIN_RETRY_TIME_S:
            return False
        if self.sends >= self._route.max_attempts:
            return False
        if not request_sent and self.sends == 0:
            return True
        self._has_spent_retry = self._retry_budget.try_spend(now, self._instance_count)
        return self._has_spent_retry

    def _build_response(self, response: BufferedResponse) -> web.Response:
        body, headers = response.body, response.headers
        is_large = len(body) > PIECE_BYTES
        if is_large:
            headers[hdrs.CONTENT_LENGTH] = str(len(body))
        return web.Response(
            status=response.status,
            reason=response.reason,
            headers=headers,
            body=iterate_pieces(body) if is_large else body,
        )

    def _build_failure_response(
        self, retry_after_s: float | None, timed_out: bool
    ) -> web.Response:
        """Builds the response to a request whose attempts all failed."""
        if self._last_response is not None:
            return self._build_response(self._last_response)
        request_id = self._context.request_id
        if not self.may_have_run:
            return build_problem_response(
                503, "not-run", request_id, retry_after_s if retry_after_s else 0.05
            )
        if timed_out or self._loop.time() >= self._context.deadline:
            return build_problem_response(504, "deadline-exceeded", request_id)
        return build_problem_response(502, "outcome-unknown", request_id)

    async def _stream(
        self, attempt: UpstreamAttempt, result: StreamedResponse
    ) -> web.StreamResponse:
        """Streams a response to the caller; resets the connection if it is truncated.

        Raises ``ConnectionAbortedError`` in that case.
        """
        failure: str | None = None
        try:
            await wait_turn(self._request)
            async with self._held.budget.open_stream(
                result.response, self._context.deadline
            ):
                return await self._send_stream(result)
        except StreamLimitError as error:
            self.cause = str(error)
            return self._build_failure_response(None, timed_out=True)
        except SlowCallerError as error:
            self.cause = str(error)
            reset_caller_connection(self._request)
            raise ConnectionAbortedError(self.cause) from error
        except (aiohttp.ClientError, UnusableAnswerError, OSError) as error:
            if not is_closing(self._request):
                failure = f"the response was truncated: {error!r}"
            self.cause = f"the response was truncated: {error!r}"
            reset_caller_connection(self._request)
            raise ConnectionAbortedError(self.cause) from error
        finally:
            attempt.end_stream(result, failure)

    async def _send_stream(self, result: StreamedResponse) -> web.StreamResponse:
        response = web.StreamResponse(
            status=result.response.status,
            reason=result.response.reason,
            headers=result.headers,
        )
        await response.prepare(self._request)
        await stream_body_until(
            result.response,
            response,
            self._context.deadline,
            extension_s=self._context.deadline - self._context.arrived_at,
            body_start=result.body_start,
        )
        result.ending.check()
        await response.write_eof()
        return response
