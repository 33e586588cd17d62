"""Proxies one request of a caller, with retries on other upstreams."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import aiohttp
import logbook
from aiohttp import hdrs, web

from ..balancing.exceptions import BalancingError
from ..balancing.outcome import Abandoned
from ..hedging.attempt_race import AttemptRace
from ..platform.headers import API_KEY, CUSTOMER
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
from .attempt_contender import (
    AttemptContender,
    describe_failure,
    is_usable,
    merge_failures,
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
    from collections.abc import Callable

    from ..balancing.balancing_context import BalancingContext
    from ..balancing.service_balancer import ServiceBalancer
    from ..balancing.tracked_upstream import TrackedUpstream
    from ..balancing.windowed_retry_budget import WindowedRetryBudget
    from ..customers.customer import Customer
    from ..hedging.hedge_policy import HedgePolicy
    from ..routes.route import Route
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

    With hedging, a slow request may have a second attempt while the first one runs.
    ``sends`` counts the attempts that sent at least part of the request. ``upstream``
    is the id of the upstream tried last, or of the one whose response was used,
    ``cause`` why the latest attempt failed or why there was none.
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
        # Attempts that are under way, or after which the request may have run.
        self._possible_runs = 0
        self._hedge_policy: HedgePolicy | None = None
        self._is_stopping: Callable[[], bool] = bool
        self._has_raced = False
        self._is_counted = False
        self._last_response: BufferedResponse | None = None
        # Whether the next attempt is counted against the retry budget already.
        self._has_spent_retry = False
        # A reused connection may break unnoticed, which leaves it unknown whether the
        # request ran; one that is not idempotent could not be retried then. Without an
        # id, a late response to an earlier request would be taken for its response.
        self._needs_new_connection = not (route.idempotent and context.request_id)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request.

        False only while no byte was sent, or every upstream that received bytes stated
        that it did not run the request.
        """
        return self._possible_runs > 0

    def enable_hedging(
        self, policy: HedgePolicy, is_stopping: Callable[[], bool]
    ) -> None:
        """Allows a second attempt, as long as the process is not stopping."""
        self._hedge_policy = policy
        self._is_stopping = is_stopping

    def set_customer(self, customer: Customer | None) -> None:
        """Replaces the API key by the customer's name in what upstreams receive."""
        self._headers.popall(API_KEY, None)
        self._headers.popall(CUSTOMER, None)
        if customer is not None:
            self._headers[CUSTOMER] = customer.name

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
            has_spent_retry = self._has_spent_retry
            attempt = self._build_attempt(tracked, self._context, self._held)
            hedge_at = self._find_hedge_time()
            if hedge_at is None:
                results = [(attempt, await self._run_first(attempt))]
            else:
                results = await self._race(attempt, hedge_at)
            attempt, result = results[-1]
            if not is_usable(result):
                attempt, result = merge_failures(results)
            elif len(results) > 1:
                self.cause = describe_failure(*results[0])
            self.upstream = attempt.tracked.upstream.id
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
            for attempt, result in results:
                self._exclude(attempt.tracked, result)
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

    def _build_attempt(
        self,
        tracked: TrackedUpstream,
        context: BalancingContext,
        held: BufferReservation,
    ) -> UpstreamAttempt:
        return UpstreamAttempt(self._client, self._balancer, tracked, context, held)

    async def _run_first(self, attempt: UpstreamAttempt) -> AttemptResult:
        """Runs an attempt while no other is under way."""
        self._has_spent_retry = False
        result = await self._run_attempt(
            attempt,
            self.sends + 1,
            new_connection=self._needs_new_connection or self.sends > 0,
        )
        timed_out = isinstance(result, NoUsableResponse) and result.timed_out
        if timed_out or is_usable(result):
            self._record_latency(attempt)
        return result

    async def _run_attempt(
        self,
        attempt: UpstreamAttempt,
        number: int,
        *,
        new_connection: bool,
        is_hedge: bool = False,
    ) -> AttemptResult:
        self.upstream = attempt.tracked.upstream.id
        self._log_attempt(attempt, number, is_hedge)
        self._possible_runs += 1
        try:
            result = await attempt.run(
                self._request.method,
                self._target,
                self._headers,
                self._body,
                new_connection=new_connection,
            )
        except asyncio.CancelledError:
            self.sends += attempt.may_have_sent()
            raise
        match result:
            case Rejected():
                self._possible_runs -= 1
            case NoUsableResponse(request_sent=False):
                self._possible_runs -= 1
        if not (isinstance(result, NoUsableResponse) and not result.request_sent):
            self.sends += 1
        return result

    def _record_latency(self, attempt: UpstreamAttempt) -> None:
        if self._hedge_policy is not None and self._route.idempotent:
            now = self._loop.time()
            self._hedge_policy.record_latency(
                self._context.request_kind, now - attempt.started_at, now
            )

    def _find_hedge_time(self) -> float | None:
        """Returns when the attempt that starts now may get a second one beside it."""
        policy = self._hedge_policy
        if policy is None or self.sends > 0 or self._has_raced:
            return None
        now, context = self._loop.time(), self._context
        if not self._is_counted:
            self._is_counted = True
            policy.record_request(now)
        if (
            not self._route.idempotent
            or self._route.max_attempts < 2
            or not self._body.is_buffered()
        ):
            return None
        return policy.find_hedge_time(
            context.request_kind, now, context.target_at, context.deadline
        )

    async def _race(
        self, attempt: UpstreamAttempt, hedge_at: float
    ) -> list[tuple[UpstreamAttempt, AttemptResult]]:
        """Runs an attempt, with a second one beside it once the first is slow."""
        assert self._hedge_policy is not None

        async def run_first(contender: AttemptContender) -> AttemptResult:
            return await self._run_first(attempt)

        async def run_second(contender: AttemptContender) -> AttemptResult | None:
            return await self._run_second(contender, attempt)

        first = AttemptContender(run_first, self._held, self._lose_first, attempt)
        with self._held.budget.open() as second_held:
            second = AttemptContender(run_second, second_held, self._log_loss)
            race: AttemptRace[AttemptContender, AttemptResult]
            race = AttemptRace(first, second, is_usable)
            finished = await race.run(hedge_at - self._loop.time())
            self._held.take_over(second_held)
        results: list[tuple[UpstreamAttempt, AttemptResult]] = []
        for contender, result in finished:
            assert contender.attempt is not None
            results.append((contender.attempt, result))
        if second.attempt is not None:
            self._has_raced = True
            if finished[-1][0] is second and is_usable(finished[-1][1]):
                self._hedge_policy.counts.won += 1
        return results

    async def _run_second(
        self, contender: AttemptContender, first: UpstreamAttempt
    ) -> AttemptResult | None:
        """Sends the second attempt, unless a limit or the upstreams forbid it."""
        policy = self._hedge_policy
        assert policy is not None
        now, context = self._loop.time(), self._context
        if self._is_stopping() or not policy.is_enabled:
            return None
        if self._balancer.is_overloaded():
            policy.counts.unsuitable += 1
            return None
        if not policy.try_spend(now):
            policy.counts.over_budget += 1
            return None
        if not self._retry_budget.try_spend(now, self._instance_count):
            policy.refund()
            policy.counts.over_budget += 1
            return None
        excluded = context.excluded | {first.tracked.upstream.id}
        second_context = dataclasses.replace(context, excluded=excluded)
        tracked = None
        try:
            tracked = await self._balancer.try_acquire(second_context)
        finally:
            if tracked is None:
                policy.refund()
                self._retry_budget.refund()
        if tracked is None:
            policy.counts.unsuitable += 1
            return None
        if first.has_response_head or self._is_stopping():
            self._balancer.release(tracked, second_context, Abandoned())
            policy.refund()
            self._retry_budget.refund()
            return None
        attempt = self._build_attempt(tracked, second_context, contender.held)
        contender.attempt = attempt
        first.streams_early = attempt.streams_early = True
        policy.counts.sent += 1
        # As with a retry: a reused connection may have broken unnoticed.
        return await self._run_attempt(
            attempt, self.sends + 2, new_connection=True, is_hedge=True
        )

    def _lose_first(self, attempt: UpstreamAttempt) -> None:
        """Records what a first attempt that the second one overtook shows."""
        policy = self._hedge_policy
        assert policy is not None
        self._record_latency(attempt)
        report = attempt.tracked.report
        now = self._loop.time()
        is_silent = not attempt.has_response_head and policy.is_silent(
            self._context.request_kind,
            now - attempt.started_at,
            report.slowness if report is not None else 1.0,
            now,
        )
        if is_silent:
            attempt.record_silence()
        self._log_loss(attempt, is_silent=is_silent)

    def _log_loss(self, attempt: UpstreamAttempt, is_silent: bool = False) -> None:
        now = self._loop.time()
        logger.info(
            "attempt abandoned",
            extra={
                "request_id": self._context.request_id,
                "upstream": attempt.tracked.upstream.id,
                "service": self._balancer.service,
                "after_ms": round((now - attempt.started_at) * 1000, 1),
                "is_silent": is_silent,
            },
        )

    def _log_attempt(
        self, attempt: UpstreamAttempt, number: int, is_hedge: bool
    ) -> None:
        tracked, context = attempt.tracked, self._context
        now = self._loop.time()
        logger.info(
            "upstream chosen",
            extra={
                "request_id": context.request_id,
                "upstream": tracked.upstream.id,
                "service": self._balancer.service,
                "attempt": number,
                "waited_ms": round((now - context.arrived_at) * 1000, 1),
                "left_ms": round((context.deadline - now) * 1000),
                "report": tracked.report,
                "report_age_ms": round((now - tracked.reported_at) * 1000, 1)
                if tracked.report
                else None,
                "in_flight": tracked.in_flight,
            }
            | ({"is_hedge": True} if is_hedge else {}),
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
