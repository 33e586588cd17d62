"""Sends one request to an upstream and streams the answer back."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from yarl import URL

from ..platform.upstream_signals import read_load, read_state
from ..refusals import Execution, Refusal, RefusedError, refuse_not_run
from ..routing import AttemptOutcome
from .headers import (
    ATTEMPT_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    append_via,
    copy_end_to_end,
)

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from ..limits import ServiceGate
    from ..routing import RequestContext, UpstreamState

MS_PER_S = 1_000
HTTP_SERVER_ERROR = 500

DEADLINE_EXCEEDED = Refusal(
    504, "deadline-exceeded", "The deadline has passed", Execution.UNKNOWN
)
UPSTREAM_FAILED = Refusal(
    502, "upstream-failed", "The upstream gave no whole answer", Execution.UNKNOWN
)


class Forwarder:
    """Sends requests to upstreams."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def forward(
        self, request: web.BaseRequest, context: RequestContext, gate: ServiceGate
    ) -> web.StreamResponse:
        """Returns an upstream's answer, already streamed to the caller.

        Raises ``RefusedError`` when there is no answer.
        """
        upstream = await gate.acquire(context)
        started = time.monotonic()
        outcome = AttemptOutcome(0.0, cancelled=True)
        try:
            response = await self._attempt(request, context, upstream)
            outcome = AttemptOutcome(
                time.monotonic() - started,
                failed=response.status >= HTTP_SERVER_ERROR,
                load=read_load(response.headers),
                announced_state=read_state(response.headers),
            )
            return response
        except RefusedError:
            outcome = AttemptOutcome(time.monotonic() - started, failed=True)
            raise
        finally:
            gate.release(upstream, outcome)

    async def _attempt(
        self, request: web.BaseRequest, context: RequestContext, upstream: UpstreamState
    ) -> web.StreamResponse:
        url = URL(upstream.url_prefix + request.path_qs, encoded=True)
        timeout_s = context.get_remaining_ms() / MS_PER_S
        try:
            async with self._session.request(
                request.method,
                url,
                headers=self._build_headers(request, context),
                data=request.content if request.body_exists else None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                return await self._relay(request, answer)
        except aiohttp.ClientConnectorError as error:
            title = f"The upstream cannot be reached: {error}"
            raise refuse_not_run(503, "upstream-unreachable", title) from error
        except TimeoutError as error:
            raise RefusedError(DEADLINE_EXCEEDED) from error
        except aiohttp.ClientError as error:
            raise RefusedError(UPSTREAM_FAILED._replace(detail=repr(error))) from error

    def _build_headers(
        self, request: web.BaseRequest, context: RequestContext
    ) -> CIMultiDict[str]:
        headers = copy_end_to_end(request.headers)
        append_via(headers)
        headers[REQUEST_ID_HEADER] = context.request_id
        headers[TIMEOUT_HEADER] = str(max(0, int(context.get_remaining_ms())))
        headers[ATTEMPT_HEADER] = str(context.attempt)
        return headers

    async def _relay(
        self, request: web.BaseRequest, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        headers = copy_end_to_end(answer.headers)
        append_via(headers)
        response = web.StreamResponse(status=answer.status, headers=headers)
        await response.prepare(request)
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response
