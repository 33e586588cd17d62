"""Handles the requests of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from aiohttp import web

from ..balancing.balancing_context import BalancingContext
from ..platform.headers import REMAINING_TIME, REQUEST_ID
from ..routes.destination_selector import DestinationSelector
from ..transport.exceptions import CallerBodyError, RequestTargetError
from ..transport.request_ahead import wait_turn
from ..transport.request_body import RequestBody
from ..transport.request_target import RequestTarget
from .customer_admission import Admitted, OverQuota, Unauthorized, Unverified
from .problem_response import build_problem_response
from .proxied_request import ProxiedRequest

if TYPE_CHECKING:
    from ..customers.customer import Customer
    from ..routes.route import Route
    from ..routes.route_table import RouteTable
    from ..transport.buffer_budget import BufferBudget, BufferReservation
    from ..transport.upstream_client import UpstreamClient
    from .balancer_registry import BalancerRegistry
    from .caller_connections import CallerConnections
    from .customer_admission import CustomerAdmission, QuotaCredit
    from .discovery_state import DiscoveryState
    from .node_metrics import NodeMetrics
    from .shutdown import Shutdown

MS_PER_S = 1_000
HTTP_SERVER_ERROR = 500
# A process that has just started loads the configuration and the upstreams within this
# time, in seconds, unless there are many upstreams and its link or processor is slow.
LOAD_TIMEOUT_S = 0.4
# A request waits for that up to this share of its time if that is longer. The other
# instances may be starting as well, so that a refusal would only use up its retry.
LOAD_TIME_SHARE = 0.1
# Retry-After while this process is not ready, overloaded or stopping: a retry may reach
# another instance, which is ready.
OTHER_INSTANCE_RETRY_AFTER_S = 0.05
# Largest body of unknown length that is buffered so that it can be sent again.
MAX_BUFFERED_BODY_BYTES = 65_536
MAX_REMAINING_TIME_DIGITS = 12
# Refusals after which the rest of the request body cannot be told from the next
# request, or is not worth reading.
BODY_PROBLEMS = frozenset({"body-too-large", "malformed-body", "slow-body"})

logger = logbook.Logger("verbenacross.node.request")


class RequestHandler:
    """Handles the requests of callers, each by a ``ProxiedRequest``.

    Refuses requests while the process is stopping, not ready or overloaded.
    """

    def __init__(
        self,
        discovery: DiscoveryState,
        balancers: BalancerRegistry,
        client: UpstreamClient,
        connections: CallerConnections,
        shutdown: Shutdown,
        metrics: NodeMetrics,
        destinations: DestinationSelector,
        max_in_flight: int,
        buffers: BufferBudget,
        admission: CustomerAdmission,
    ) -> None:
        self._discovery = discovery
        self._balancers = balancers
        self._client = client
        self._connections = connections
        self._shutdown = shutdown
        self._metrics = metrics
        self._destinations = destinations
        self._max_in_flight = max_in_flight
        self._buffers = buffers
        self._admission = admission
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request and sends the response."""
        arrived = self._loop.time()
        request_id = request.headers.get(REQUEST_ID, "")
        self._connections.mark_busy(request)
        self._shutdown.drain.begin_request()
        try:
            with self._buffers.open() as held:
                response = await self._respond(request, request_id, arrived, held)
                if not response.prepared:
                    await wait_turn(request)
                    self._shutdown.drain.set_connection_close(request, response)
                    # Sent here, so that the request stays in flight until then.
                    await response.prepare(request)
                    await response.write_eof()
                return response
        except asyncio.CancelledError:
            closed = self._connections.find_close(request)
            if closed is None:
                self._log(request_id, arrived, "caller disconnected", {})
            else:
                fields: dict[str, object] = {
                    "closed_because": closed.reason.value,
                    "caller": closed.caller,
                }
                self._log(request_id, arrived, "request cut off", fields)
            raise
        except ConnectionAbortedError as error:
            self._log(request_id, arrived, "response truncated", {"cause": str(error)})
            raise
        finally:
            self._shutdown.drain.end_request()
            self._connections.mark_idle(request)

    async def _respond(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived: float,
        held: BufferReservation,
    ) -> web.StreamResponse:
        if self._shutdown.is_refusing():
            return self._refuse_while_stopping(request_id, arrived)
        if self._shutdown.drain.in_flight > self._max_in_flight:
            return self._refuse(
                503,
                "too-many-requests",
                request_id,
                arrived,
                OTHER_INSTANCE_RETRY_AFTER_S,
            )
        table = self._discovery.table
        if table is None or not self._discovery.is_loaded():
            table = await self._wait_until_loaded(request)
            if table is None:
                return self._refuse(
                    503, "not-ready", request_id, arrived, OTHER_INSTANCE_RETRY_AFTER_S
                )
        length = request.content_length
        if length is not None and length > table.limits.max_body_bytes:
            return self._refuse(413, "body-too-large", request_id, arrived)
        try:
            target = RequestTarget.from_request(request)
        except RequestTargetError:
            return self._refuse(400, "malformed-target", request_id, arrived)
        route = table.find(read_host(request, target), target.path)
        if route is None:
            return self._refuse(404, "unknown-route", request_id, arrived)
        remaining_s = read_remaining_time_s(request)
        match self._admission.admit(request, table, route, remaining_s, arrived):
            case Unauthorized():
                return self._refuse(401, "unknown-key", request_id, arrived)
            case Unverified(retry_after_s):
                return self._refuse(
                    503, "key-not-verified", request_id, arrived, retry_after_s
                )
            case OverQuota(customer, retry_after_s):
                self._metrics.record_over_quota(customer.name)
                return self._refuse(
                    429, "over-quota", request_id, arrived, retry_after_s
                )
            case Admitted(customer):
                pass
        with self._admission.hold_credit(customer, self._loop.time) as credit:
            if not route.idempotent:
                # A caller repeats what it sent behind a response that closes the
                # connection.
                await wait_turn(request)
            path = target.path_and_query
            return await self._proxy(
                request, path, request_id, arrived, table, route, customer, credit, held
            )

    async def _wait_until_loaded(self, request: web.BaseRequest) -> RouteTable | None:
        """Returns the route table, ``None`` if it is not loaded in time."""
        remaining_s = read_remaining_time_s(request) or 0.0
        try:
            async with asyncio.timeout(
                max(LOAD_TIMEOUT_S, LOAD_TIME_SHARE * remaining_s)
            ):
                await self._discovery.loaded.wait()
        except TimeoutError:
            return None
        return self._discovery.table

    async def _proxy(
        self,
        request: web.BaseRequest,
        target: str,
        request_id: str,
        arrived: float,
        table: RouteTable,
        route: Route,
        customer: Customer | None,
        credit: QuotaCredit,
        held: BufferReservation,
    ) -> web.StreamResponse:
        deadline = arrived + route.timeout_s
        remaining_s = read_remaining_time_s(request)
        if remaining_s is not None:
            deadline = min(deadline, arrived + remaining_s)
        if self._shutdown.is_refusing(deadline):
            return self._refuse_while_stopping(request_id, arrived)
        unlimited_deadline = deadline
        deadline = self._shutdown.drain.limit_deadline(deadline)
        body = RequestBody(request, table.limits.max_body_bytes)
        try:
            async with asyncio.timeout_at(deadline):
                await body.buffer_small()
                await body.buffer_chunked(MAX_BUFFERED_BODY_BYTES)
        except CallerBodyError:
            return self._refuse(400, "malformed-body", request_id, arrived)
        except TimeoutError:
            return self._refuse(408, "slow-body", request_id, arrived)
        if self._shutdown.is_refusing(unlimited_deadline):
            # The end of the body arrived too late.
            return self._refuse_while_stopping(request_id, arrived)
        service = self._destinations.select(route)
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        context = BalancingContext(
            request_id=request_id,
            request_kind=route.name,
            priority=priority,
            arrived_at=arrived,
            target_at=arrived + route.target_latency_s,
            deadline=deadline,
        )
        proxied = ProxiedRequest(
            request,
            target,
            route,
            context,
            body,
            self._balancers.get_balancer(service),
            self._client,
            self._balancers.record_request(service, arrived),
            self._balancers.instance_count,
            held,
        )
        if table.customers is not None:
            proxied.set_customer(customer)
        hedge_policy = self._balancers.get_hedge_policy(service)
        if hedge_policy.is_enabled:
            proxied.enable_hedging(hedge_policy, self._shutdown.started.is_set)
        try:
            response = await proxied.run()
        finally:
            credit.is_used = proxied.may_have_run
        if body.is_too_large and not response.prepared:
            # The upstream got a part of the body only, so it did not run the request.
            return self._refuse(413, "body-too-large", request_id, arrived)
        duration_s = self._loop.time() - arrived
        self._metrics.record_request(service, route, response.status, duration_s)
        self._log(
            request_id,
            arrived,
            "request completed"
            if not proxied.cause
            else "request completed with errors",
            {
                "route": route.name,
                "service": service,
                "customer": customer.name if customer is not None else None,
                "version": table.version,
                "status": response.status,
                "upstream": proxied.upstream,
                "sends": proxied.sends,
                "may_have_run": proxied.may_have_run,
                "cause": proxied.cause,
            },
        )
        return response

    def _refuse_while_stopping(self, request_id: str, arrived: float) -> web.Response:
        return self._refuse(
            503, "stopping", request_id, arrived, OTHER_INSTANCE_RETRY_AFTER_S
        )

    def _refuse(
        self,
        status: int,
        problem: str,
        request_id: str,
        arrived: float,
        retry_after_s: float | None = None,
    ) -> web.Response:
        self._metrics.record_refusal(problem)
        self._log(request_id, arrived, "request refused", {"problem": problem})
        response = build_problem_response(status, problem, request_id, retry_after_s)
        if problem in BODY_PROBLEMS:
            response.force_close()
        return response

    def _log(
        self, request_id: str, arrived: float, message: str, extra: dict[str, object]
    ) -> None:
        duration_ms = round((self._loop.time() - arrived) * MS_PER_S, 1)
        fields = {"request_id": request_id, "duration_ms": duration_ms, **extra}
        logger.info(message, extra=fields)


def read_host(request: web.BaseRequest, target: RequestTarget) -> str:
    """Returns the host of a request without its port.

    An absolute request target takes precedence over the ``Host`` header.
    """
    host = target.authority or request.headers.get("Host", "")
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdecimal() else host


def read_remaining_time_s(request: web.BaseRequest) -> float | None:
    """Returns how long the caller still waits, ``None`` if absent or malformed."""
    text = request.headers.get(REMAINING_TIME, "")
    if (
        not text.isascii()
        or not text.isdecimal()
        or len(text) > MAX_REMAINING_TIME_DIGITS
    ):
        return None
    return int(text) / MS_PER_S
