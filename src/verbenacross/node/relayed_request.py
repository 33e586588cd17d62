"""A caller's request on its way through the attempts at upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import logbook
from aiohttp import web

from ..balancing.exceptions import BalancingError
from ..transport.answer_body import abort_caller, stream
from ..transport.headers import copy_end_to_end
from .attempt_result import Lost, OpenAnswer, Rejected, WholeAnswer
from .refusals import build_refusal
from .upstream_attempt import UpstreamAttempt

if TYPE_CHECKING:
    from ..balancing.balancing_context import BalancingContext
    from ..balancing.service_balancer import ServiceBalancer
    from ..balancing.tracked_upstream import TrackedUpstream
    from ..balancing.windowed_retry_budget import WindowedRetryBudget
    from ..routes.route import Route
    from ..transport.request_body import RequestBody
    from ..transport.upstream_client import UpstreamClient
    from .attempt_result import AttemptResult

HTTP_SERVER_ERROR = 500
# A request with less time than this left is not sent to another upstream.
MIN_REPEAT_S = 0.01

logger = logbook.Logger("verbenacross.node.request")


class RelayedRequest:
    """A caller's request on its way through the attempts at upstreams.

    ``may_have_run`` stays false only while no byte was sent or every upstream that got
    some said that it did not run the request.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        route: Route,
        context: BalancingContext,
        body: RequestBody,
        balancer: ServiceBalancer,
        client: UpstreamClient,
        retry_budget: WindowedRetryBudget,
        instances: int,
    ) -> None:
        self.may_have_run = False
        self.sends = 0
        self.upstream = ""
        self.cause = ""
        self._request = request
        self._route = route
        self._context = context
        self._body = body
        self._balancer = balancer
        self._client = client
        self._retry_budget = retry_budget
        self._instances = instances
        self._loop = asyncio.get_running_loop()
        self._headers = copy_end_to_end(request.headers)
        self._headers.popall("Expect", None)
        self._last_answer: WholeAnswer | None = None
        # A kept connection may break unnoticed, which leaves the outcome unknown.
        self._needs_new_connection = not route.idempotent

    async def run(self) -> web.StreamResponse:
        """Returns the answer for the caller, ready to be sent or sent already."""
        retry_after_s: float | None = None
        timed_out = False
        while True:
            try:
                tracked = await self._balancer.acquire(self._context)
            except BalancingError as error:
                self.cause = self.cause or str(error)
                retry_after_s = error.retry_after_s
                break
            attempt = UpstreamAttempt(
                self._client, self._balancer, tracked, self._context
            )
            result = await self._run_attempt(attempt)
            match result:
                case WholeAnswer() if not self._is_repeated(result):
                    return self._build_response(result)
                case WholeAnswer():
                    self._last_answer = result
                case OpenAnswer():
                    return await self._stream(result)
                case Rejected(status):
                    self.cause = f"rejected with {status} by {self.upstream}"
                    if not self._may_repeat(sent=True):
                        break
                case Lost(reason=reason, timed_out=timed_out):
                    self.cause = f"{reason} at {self.upstream}"
                    if not self._may_repeat_lost(result):
                        break
            self._exclude(tracked, result)
        return self._build_failure(retry_after_s, timed_out)

    def _exclude(self, tracked: TrackedUpstream, result: AttemptResult) -> None:
        """Keeps the next attempt off an upstream, but for one that got no byte.

        That one may be asked again if there is no other.
        """
        if isinstance(result, Lost) and result.is_stale:
            self._needs_new_connection = True
            return
        untouched = isinstance(result, Lost) and not result.sent
        if untouched and not self._balancer.has_alternative(self._context, tracked):
            return
        self._context.excluded.add(tracked.upstream.id)

    async def _run_attempt(self, attempt: UpstreamAttempt) -> AttemptResult:
        upstream = attempt.tracked.upstream
        self.upstream = upstream.id
        self._log_attempt(attempt)
        ran_before, self.may_have_run = self.may_have_run, True
        result = await attempt.run(
            self._request.method,
            get_target(self._request),
            self._headers,
            self._body.build_payload(),
            new_connection=self._needs_new_connection or self.sends > 0,
        )
        match result:
            case Rejected():
                self.may_have_run = ran_before
            case Lost(sent=False):
                self.may_have_run = ran_before
        if not (isinstance(result, Lost) and not result.sent):
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

    def _is_repeated(self, answer: WholeAnswer) -> bool:
        """Returns whether a failure of an upstream is tried again elsewhere."""
        if answer.status < HTTP_SERVER_ERROR or not self._route.idempotent:
            return False
        self.cause = f"status {answer.status} of {self.upstream}"
        return self._may_repeat(sent=True)

    def _may_repeat_lost(self, lost: Lost) -> bool:
        if lost.timed_out or (lost.sent and not self._route.idempotent):
            return False
        return self._may_repeat(lost.sent)

    def _may_repeat(self, sent: bool) -> bool:
        """Returns whether another attempt may follow; takes it from the budget."""
        now = self._loop.time()
        if not self._body.is_replayable():
            return False
        if self._context.deadline - now < MIN_REPEAT_S:
            return False
        if self.sends >= self._route.max_attempts:
            return False
        if not sent and self.sends == 0:
            return True
        return self._retry_budget.try_take(now, self._instances)

    def _build_response(self, answer: WholeAnswer) -> web.Response:
        return web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=answer.headers,
            body=answer.body,
        )

    def _build_failure(
        self, retry_after_s: float | None, timed_out: bool
    ) -> web.Response:
        if self._last_answer is not None:
            return self._build_response(self._last_answer)
        request_id = self._context.request_id
        if not self.may_have_run:
            return build_refusal(
                503, "not-run", request_id, retry_after_s if retry_after_s else 0.05
            )
        if timed_out or self._loop.time() >= self._context.deadline:
            return build_refusal(504, "deadline-exceeded", request_id)
        return build_refusal(502, "outcome-unknown", request_id)

    async def _stream(self, result: OpenAnswer) -> web.StreamResponse:
        answer = result.answer
        response = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=result.headers
        )
        try:
            await response.prepare(self._request)
            await response.write(result.start)
            await stream(answer, response)
        except (aiohttp.ClientError, OSError) as error:
            self.cause = f"the answer was cut short: {error!r}"
            abort_caller(self._request)
            raise ConnectionAbortedError(self.cause) from error
        finally:
            answer.close()
        return response


def get_target(request: web.BaseRequest) -> str:
    """Returns path and query as the caller sent them, without an authority."""
    raw = request.raw_path
    if raw.startswith("/"):
        return raw
    _, _, rest = raw.partition("://")
    _, slash, path = rest.partition("/")
    return slash + path or "/"
