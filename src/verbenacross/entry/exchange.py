"""One caller's request: its attempts and the answer."""

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
from ..refusals import Execution, Refusal, RefusedError
from ..routing import AttemptOutcome
from ..transport.answer_body import abort_caller, is_bodiless, stream
from ..transport.attempt_guard import AttemptGuard
from ..transport.exceptions import CallerBodyError, UnusableAnswerError
from ..transport.headers import (
    ATTEMPT_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    append_forwarding,
    append_via,
    copy_end_to_end,
)
from ..transport.request_body import RequestBody
from .answer import build_headers, check_head, is_small, read_execution

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from ..limits import AdmissionController, RetryBudget
    from ..routing import RequestContext, UpstreamState
    from ..transport.drain import Drain
    from ..transport.upstream_client import UpstreamClient

MS_PER_S = 1_000
HTTP_SERVER_ERROR = 500
SILENCE_SHARE = 0.5
SILENCE_FACTOR = 4.0
RETRIED_STATUSES = frozenset({500, 502, 503, 504})

DEADLINE_EXCEEDED = Refusal(
    504, "deadline-exceeded", "The deadline has passed", Execution.UNKNOWN
)
UPSTREAM_FAILED = Refusal(
    502, "upstream-failed", "The upstream gave no whole answer", Execution.UNKNOWN
)
UPSTREAM_UNREACHABLE = Refusal(
    503, "upstream-unreachable", "The upstream cannot be reached", Execution.NOT_RUN
)
BAD_BODY = Refusal(
    400, "malformed-body", "The request body is not whole", Execution.UNKNOWN
)

logger = logbook.Logger("verbenacross.entry")


class Exchange:
    """One caller's request: its attempts and the answer.

    ``execution`` tells whether the work ran. It is ``NOT_RUN`` only while no attempt
    may have sent a byte or every upstream that got one said that it did not run, and
    ``UNKNOWN`` while an attempt is under way.
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
        self._tried: list[str] = []
        self._fallback: web.StreamResponse | RefusedError | None = None
        self._cut_short = False
        self._gave_up_early = False
        self.execution = Execution.NOT_RUN

    @property
    def upstream(self) -> str:
        """Id of the upstream of the last attempt, empty before the first."""
        return self._tried[-1] if self._tried else ""

    async def prepare(self) -> None:
        """Reads a small request body; raises ``RefusedError`` (not run)."""
        if not self._request.body_exists:
            return
        try:
            async with asyncio.timeout(self._get_remaining_s()):
                await self._body.prepare()
        except CallerBodyError as error:
            raise self._refuse(BAD_BODY, error) from error
        except TimeoutError as error:
            raise self._refuse(DEADLINE_EXCEEDED, error) from error

    async def run(self) -> web.StreamResponse:
        """Returns an answer, complete or ready to be sent; raises ``RefusedError``."""
        headers = self._build_headers()
        while True:
            if self._get_remaining_s() <= 0:
                raise self._refuse(DEADLINE_EXCEEDED)
            upstream = await self._acquire()
            if upstream is None:
                return self._use_fallback()
            response = await self._attempt(upstream, headers)
            if response is not None:
                return response

    async def _acquire(self) -> UpstreamState | None:
        """Returns an upstream, or ``None`` when there is none for a retry."""
        try:
            return await self._admission.acquire(self._context, self._tried)
        except RefusedError:
            if self._fallback is None:
                raise
            return None

    def _use_fallback(self) -> web.StreamResponse:
        if isinstance(self._fallback, web.StreamResponse):
            return self._fallback
        assert self._fallback is not None
        raise self._fallback

    async def _attempt(
        self, upstream: UpstreamState, headers: CIMultiDict[str]
    ) -> web.StreamResponse | None:
        """Returns an answer, or ``None`` when another attempt is to follow."""
        started = time.monotonic()
        outcome = AttemptOutcome(0.0, cancelled=True)
        guard = AttemptGuard()
        before, self.execution = self.execution, Execution.UNKNOWN
        attempt_id = f"{self._context.request_id}.{random.getrandbits(32):08x}"
        try:
            async with asyncio.timeout(self._get_remaining_s()) as limit:
                early = self._limit_silence(limit, guard, upstream)
                try:
                    answer = await self._send(upstream, headers, attempt_id, guard)
                finally:
                    if early is not None:
                        early.cancel()
                try:
                    check_head(answer, attempt_id)
                    self._note_execution(before, read_execution(answer))
                    response = await self._take(answer, before)
                    outcome = build_outcome(answer)
                finally:
                    # Closes the connection unless the exchange on it is complete.
                    answer.close()
            return response
        except (aiohttp.ClientError, UnusableAnswerError, OSError) as error:
            if is_gone(self._request) and not self._cut_short:
                raise ConnectionAbortedError("the caller went away") from error
            outcome = AttemptOutcome(
                0.0, failed=not self._body.failed, cancelled=self._body.failed
            )
            if self._cut_short:
                raise ConnectionAbortedError("the answer was cut short") from error
            sent = guard.may_have_sent()
            self._note_execution(
                before, Execution.UNKNOWN if sent else Execution.NOT_RUN
            )
            self._fail(upstream, error, guard)
            return None
        finally:
            latency_s = time.monotonic() - started
            outcome = outcome._replace(latency_s=latency_s)
            self._admission.release(self._context, upstream, outcome)

    def _limit_silence(
        self, limit: asyncio.Timeout, guard: AttemptGuard, upstream: UpstreamState
    ) -> asyncio.TimerHandle | None:
        """Ends the wait for a head on a reused connection after half of the time.

        An open connection can go silent for good while new ones work. Only short
        idempotent requests are given up early, and only if they may be sent again. An
        answer that may merely be slow is waited for: giving it up at the crest of a
        swing wastes the slot that works on it.
        """
        context = self._context
        if not context.idempotent or context.request_class.size == "long":
            return None
        remaining_s = self._get_remaining_s()
        typical_s = self._admission.get_median_latency_s(context)
        wait_s = max(remaining_s * SILENCE_SHARE, typical_s * SILENCE_FACTOR)
        if wait_s >= remaining_s:
            return None
        loop = asyncio.get_running_loop()
        started = time.monotonic()
        return loop.call_later(
            wait_s, self._give_up_early, limit, guard, upstream, started
        )

    def _give_up_early(
        self,
        limit: asyncio.Timeout,
        guard: AttemptGuard,
        upstream: UpstreamState,
        started: float,
    ) -> None:
        if not upstream.is_attempt_stalled(started):
            return
        if guard.is_reused() and self._may_retry(Execution.UNKNOWN):
            self._gave_up_early = True
            limit.reschedule(asyncio.get_running_loop().time())

    async def _send(
        self,
        upstream: UpstreamState,
        headers: CIMultiDict[str],
        attempt_id: str,
        guard: AttemptGuard,
    ) -> aiohttp.ClientResponse:
        context = self._context
        self._tried.append(upstream.instance.id)
        remaining_ms = max(1, int(self._get_remaining_s() * MS_PER_S))
        headers[REQUEST_ID_HEADER] = attempt_id
        headers[TIMEOUT_HEADER] = str(remaining_ms)
        headers[ATTEMPT_HEADER] = str(max(context.caller_attempt, len(self._tried)))
        return await self._client.send(
            self._request.method,
            URL(upstream.base_url + get_target(self._request), encoded=True),
            headers,
            self._body.build_payload(),
            guard,
            context.policy.upstreams.connect_timeout_ms,
            new_connection=not context.idempotent or len(self._tried) > 1,
        )

    async def _take(
        self, answer: aiohttp.ClientResponse, before: Execution
    ) -> web.StreamResponse | None:
        """Returns the answer for the caller, or ``None`` to try again."""
        headers = build_headers(
            answer,
            self._context.request_id,
            may_have_run=before is not Execution.NOT_RUN,
        )
        if answer.status < HTTP_SERVER_ERROR:
            self._budget.record_success(self._context.policy.retries.budget_ratio)
        if is_bodiless(answer):
            response = web.StreamResponse(
                status=answer.status, reason=answer.reason, headers=headers
            )
            self._drain.mark(response)
        elif is_small(answer):
            body = await answer.read()
            response = web.Response(
                status=answer.status, reason=answer.reason, headers=headers, body=body
            )
            self._drain.mark(response)
        else:
            return await self._take_large(answer, headers)
        if self._is_retried(answer):
            self._fallback = response
            return None
        return response

    async def _take_large(
        self, answer: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> web.StreamResponse | None:
        if self._is_retried(answer):
            self._fallback = self._refuse(UPSTREAM_FAILED)
            return None
        response = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=headers
        )
        self._drain.mark(response)
        try:
            await response.prepare(self._request)
            return await stream(answer, response)
        except (aiohttp.ClientError, OSError, asyncio.CancelledError) as error:
            if is_gone(self._request):
                raise
            self._cut_short = True
            abort_caller(self._request)
            self._log_failure(self.upstream, error, "answer-cut-short")
            raise

    def _is_retried(self, answer: aiohttp.ClientResponse) -> bool:
        if answer.status not in RETRIED_STATUSES:
            return False
        return self._may_retry(read_execution(answer))

    def _fail(
        self, upstream: UpstreamState, error: Exception, guard: AttemptGuard
    ) -> None:
        """Returns when another attempt is to follow; raises ``RefusedError`` if not."""
        upstream_id = upstream.instance.id
        sent = guard.may_have_sent()
        if self._body.failed:
            raise self._refuse(BAD_BODY, error) from error
        if guard.is_reused() and not isinstance(error, aiohttp.ClientError):
            self._client.distrust(URL(upstream.base_url))
        if not sent and isinstance(error, aiohttp.ClientError):
            refused = self._refuse(UPSTREAM_UNREACHABLE, error)
        elif isinstance(error, TimeoutError):
            refused = self._refuse(DEADLINE_EXCEEDED, error)
        else:
            refused = self._refuse(UPSTREAM_FAILED, error)
        self._log_failure(upstream_id, error, refused.refusal.problem)
        execution = Execution.UNKNOWN if sent else Execution.NOT_RUN
        if not self._gave_up_early and not self._may_retry(execution):
            raise refused from error
        self._gave_up_early = False
        self._fallback = refused

    def _may_retry(self, execution: Execution) -> bool:
        context = self._context
        retries = context.policy.retries
        if execution is not Execution.NOT_RUN and not context.idempotent:
            return False
        if context.caller_attempt > 1 or len(self._tried) >= retries.max_attempts:
            return False
        if not self._body.is_replayable() or self._get_remaining_s() <= 0:
            return False
        return self._budget.try_spend(retries.budget_ratio)

    def _note_execution(self, before: Execution, now: Execution) -> None:
        match before, now:
            case (Execution.RAN, _) | (_, Execution.RAN):
                self.execution = Execution.RAN
            case (Execution.NOT_RUN, Execution.NOT_RUN):
                self.execution = Execution.NOT_RUN
            case _:
                self.execution = Execution.UNKNOWN

    def _build_headers(self) -> CIMultiDict[str]:
        headers = copy_end_to_end(self._request.headers)
        headers.popall("Expect", None)
        append_via(headers)
        append_forwarding(headers, self._request)
        return headers

    def _get_remaining_s(self) -> float:
        return self._context.deadline - time.monotonic()

    def _refuse(self, refusal: Refusal, error: Exception | None = None) -> RefusedError:
        detail = "" if error is None else repr(error)
        return RefusedError(refusal._replace(execution=self.execution, detail=detail))

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


def build_outcome(answer: aiohttp.ClientResponse) -> AttemptOutcome:
    """Returns what a whole answer showed; its latency is added later."""
    return AttemptOutcome(
        0.0,
        failed=answer.status >= HTTP_SERVER_ERROR,
        shed=read_execution(answer) is Execution.NOT_RUN,
        load=parse_load_header(answer.headers),
        announced_state=parse_state_header(answer.headers),
    )


def is_gone(request: web.BaseRequest) -> bool:
    """Returns whether the caller's connection is closed."""
    return request.transport is None or request.transport.is_closing()


def get_target(request: web.BaseRequest) -> str:
    """Returns path and query as the caller sent them."""
    raw = request.raw_path
    return raw if raw.startswith("/") else request.path_qs
