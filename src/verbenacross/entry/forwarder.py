"""Forwards requests to upstreams and handles their idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..limits import RetryBudget
from ..refusals import Execution
from ..transport.headers import IDEMPOTENCY_HEADER
from .exchange import Exchange

if TYPE_CHECKING:
    from aiohttp import web

    from ..limits import AdmissionController
    from ..routing import RequestContext
    from ..transport.drain import Drain
    from ..transport.upstream_client import UpstreamClient
    from .idempotency_keys import IdempotencyKeys


class Forwarder:
    """Forwards requests to upstreams, with one retry budget per service."""

    def __init__(
        self, client: UpstreamClient, keys: IdempotencyKeys, drain: Drain
    ) -> None:
        self._client = client
        self._keys = keys
        self._drain = drain
        self.budgets: dict[str, RetryBudget] = {}

    async def forward(
        self,
        request: web.BaseRequest,
        context: RequestContext,
        admission: AdmissionController,
    ) -> tuple[web.StreamResponse, str]:
        """Forwards a request; returns the response and the id of the upstream.

        The response is sent already if it was streamed. Raises ``RequestProblemError``
        when there is none, ``ConnectionAbortedError`` when it was truncated.
        """
        budget = self.budgets.get(context.service)
        if budget is None:
            budget = self.budgets[context.service] = RetryBudget()
        exchange = Exchange(
            request, context, admission, self._client, budget, self._drain
        )
        await exchange.buffer_body()
        if context.idempotent or IDEMPOTENCY_HEADER not in request.headers:
            return await exchange.run(), exchange.upstream
        return await self._run_keyed(request, context, exchange), exchange.upstream

    async def _run_keyed(
        self, request: web.BaseRequest, context: RequestContext, exchange: Exchange
    ) -> web.StreamResponse:
        """Runs an exchange under a claim on its key; then records the execution."""
        claim = await self._keys.claim(
            context.service,
            request.headers.getall(IDEMPOTENCY_HEADER),
            context.policy.idempotency.retention_s,
            context.deadline,
        )
        try:
            return await exchange.run()
        finally:
            match exchange.execution:
                case Execution.NOT_RUN:
                    await self._keys.release(claim)
                case Execution.RAN:
                    self._keys.record_ran(claim)
                case Execution.UNKNOWN:
                    pass
