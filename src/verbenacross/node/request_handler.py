"""Answers the requests of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from aiohttp import web

from ..balancing.balancing_context import BalancingContext
from ..platform.headers import REMAINING_TIME, REQUEST_ID
from ..routes.destination_choice import DestinationChoice
from ..transport.exceptions import CallerBodyError
from ..transport.request_body import RequestBody
from .refusals import build_refusal
from .relayed_request import RelayedRequest, get_target

if TYPE_CHECKING:
    from ..routes.route import Route
    from ..routes.route_table import RouteTable
    from ..transport.upstream_client import UpstreamClient
    from .balancers import Balancers
    from .caller_connections import CallerConnections
    from .knowledge import Knowledge
    from .node_metrics import NodeMetrics
    from .shutdown import Shutdown

MS_PER_S = 1_000
HTTP_SERVER_ERROR = 500
# A process that has just started learns all it needs within this time, in seconds.
KNOWLEDGE_WAIT_S = 0.4
# Advice while the process knows too little or leaves; another instance is ready.
ELSEWHERE_RETRY_S = 0.05
# Longest body of unknown length that is held to be sent again.
MAX_HELD_BODY_BYTES = 65_536
MAX_DIGITS = 12

logger = logbook.Logger("verbenacross.node.request")


class RequestHandler:
    """Answers the requests of callers, each by a ``RelayedRequest``."""

    def __init__(
        self,
        knowledge: Knowledge,
        balancers: Balancers,
        client: UpstreamClient,
        connections: CallerConnections,
        shutdown: Shutdown,
        metrics: NodeMetrics,
        destinations: DestinationChoice,
        max_in_flight: int,
    ) -> None:
        self._knowledge = knowledge
        self._balancers = balancers
        self._client = client
        self._connections = connections
        self._shutdown = shutdown
        self._metrics = metrics
        self._destinations = destinations
        self._max_in_flight = max_in_flight
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        arrived = self._loop.time()
        request_id = request.headers.get(REQUEST_ID, "")
        self._connections.note_busy(request)
        self._shutdown.drain.enter()
        try:
            response = await self._answer(request, request_id, arrived)
            if not response.prepared:
                if self._shutdown.drain.started:
                    response.force_close()
                # Sent here, so that the request counts as in flight until it is out.
                await response.prepare(request)
                await response.write_eof()
            return response
        except asyncio.CancelledError:
            self._log(request_id, arrived, "caller left", {})
            raise
        except ConnectionAbortedError as error:
            self._log(request_id, arrived, "answer cut short", {"cause": str(error)})
            raise
        finally:
            self._shutdown.drain.leave()
            self._connections.note_idle(request)

    async def _answer(
        self, request: web.BaseRequest, request_id: str, arrived: float
    ) -> web.StreamResponse:
        if self._shutdown.is_refusing():
            return self._refuse(503, "stopping", request_id, arrived, ELSEWHERE_RETRY_S)
        if self._shutdown.drain.in_flight > self._max_in_flight:
            return self._refuse(
                503, "too-many-requests", request_id, arrived, ELSEWHERE_RETRY_S
            )
        table = self._knowledge.table
        if table is None or not self._knowledge.is_complete():
            table = await self._wait_for_knowledge()
            if table is None:
                return self._refuse(
                    503, "not-ready", request_id, arrived, ELSEWHERE_RETRY_S
                )
        length = request.content_length
        if length is not None and length > table.limits.max_body_bytes:
            return self._refuse(413, "body-too-large", request_id, arrived)
        path = get_target(request).partition("?")[0]
        route = table.find(read_host(request), path)
        if route is None:
            return self._refuse(404, "unknown-route", request_id, arrived)
        return await self._relay(request, request_id, arrived, table, route)

    async def _wait_for_knowledge(self) -> RouteTable | None:
        try:
            async with asyncio.timeout(KNOWLEDGE_WAIT_S):
                await self._knowledge.known.wait()
        except TimeoutError:
            return None
        return self._knowledge.table

    async def _relay(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived: float,
        table: RouteTable,
        route: Route,
    ) -> web.StreamResponse:
        deadline = arrived + route.timeout_s
        remaining_s = read_remaining_s(request)
        if remaining_s is not None:
            deadline = min(deadline, arrived + remaining_s)
        body = RequestBody(request)
        try:
            async with asyncio.timeout_at(deadline):
                await body.prepare()
                await body.prepare_chunked(MAX_HELD_BODY_BYTES)
        except CallerBodyError:
            return self._refuse(400, "malformed-body", request_id, arrived)
        except TimeoutError:
            return self._refuse(408, "slow-body", request_id, arrived)
        service = self._destinations.choose(route)
        context = BalancingContext(
            request_id=request_id,
            request_kind=route.name,
            priority=route.priority,
            arrived_at=arrived,
            target_at=arrived + route.target_s,
            deadline=deadline,
        )
        relayed = RelayedRequest(
            request,
            route,
            context,
            body,
            self._balancers.get(service),
            self._client,
            self._balancers.get_retry_budget(service, arrived),
            self._balancers.instances,
        )
        response = await relayed.run()
        duration_s = self._loop.time() - arrived
        self._metrics.note_request(service, route, response.status, duration_s)
        self._log(
            request_id,
            arrived,
            "request answered" if not relayed.cause else "request troubled",
            {
                "route": route.name,
                "service": service,
                "version": table.version,
                "status": response.status,
                "upstream": relayed.upstream,
                "sends": relayed.sends,
                "may_have_run": relayed.may_have_run,
                "cause": relayed.cause,
            },
        )
        return response

    def _refuse(
        self,
        status: int,
        problem: str,
        request_id: str,
        arrived: float,
        retry_after_s: float | None = None,
    ) -> web.Response:
        self._metrics.note_refusal(problem)
        self._log(request_id, arrived, "request refused", {"problem": problem})
        response = build_refusal(status, problem, request_id, retry_after_s)
        if status in (400, 408, 413):
            response.force_close()
        return response

    def _log(
        self, request_id: str, arrived: float, message: str, extra: dict[str, object]
    ) -> None:
        duration_ms = round((self._loop.time() - arrived) * MS_PER_S, 1)
        fields = {"request_id": request_id, "duration_ms": duration_ms, **extra}
        logger.info(message, extra=fields)


def read_host(request: web.BaseRequest) -> str:
    """Returns the host that a request names, without its port."""
    host = request.headers.get("Host", "")
    raw = request.raw_path
    if not raw.startswith("/") and "://" in raw:
        host = raw.partition("://")[2].partition("/")[0]
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdecimal() else host


def read_remaining_s(request: web.BaseRequest) -> float | None:
    """Returns how long the caller still waits, ``None`` if it does not say."""
    text = request.headers.get(REMAINING_TIME, "")
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
        return None
    return int(text) / MS_PER_S
