"""Admin HTTP endpoints of a process: state dump, metrics, readiness."""

from __future__ import annotations

import functools
import ipaddress
import json
from typing import TYPE_CHECKING, Any, Protocol

import logbook
from aiohttp import web
from aioprometheus.renderer import render

from .process_metrics import ProcessMetrics

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from aioprometheus import Registry

    from ..policy import PolicyTable
    from ..settings import Address

HTTP_OK = 200
HTTP_UNAVAILABLE = 503

logger = logbook.Logger("verbenacross.observability.admin_server")
# Values in a state dump that have no JSON type are written as their ``str``.
dump_json = functools.partial(json.dumps, default=str)


class MonitoredProcess(Protocol):
    """Interface of a process whose state and metrics the admin server exposes."""

    registry: Registry
    table: PolicyTable

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON-serializable object."""

    def is_ready(self) -> bool:
        """Returns whether the process accepts new requests."""


class AdminServer:
    """Serves ``/state``, ``/metrics`` and ``/ready`` on a separate address.

    Entering the context raises ``OSError`` if the address cannot be bound.
    """

    def __init__(self, process: MonitoredProcess, address: Address) -> None:
        self._process = process
        self._address = address
        self._metrics = ProcessMetrics(process.registry, process.table)
        self.application = web.Application(middlewares=[self._count_request])
        self.application.router.add_get("/state", self._serve_state)
        self.application.router.add_get("/metrics", self._serve_metrics)
        self.application.router.add_get("/ready", self._serve_ready)
        self._runner = web.AppRunner(self.application, access_log=None)

    async def __aenter__(self) -> AdminServer:
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
        try:
            await site.start()
        except OSError:
            await self._runner.cleanup()
            raise
        if not ipaddress.ip_address(self._address.host).is_loopback:
            logger.warning(
                "admin endpoints are reachable from other hosts",
                extra={"admin_listen": str(self._address)},
            )
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._runner.cleanup()

    @web.middleware
    async def _count_request(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        status = web.HTTPInternalServerError.status_code
        resource = request.match_info.route.resource
        try:
            response = await handler(request)
            status = response.status
            return response
        except web.HTTPException as error:
            status = error.status
            raise
        finally:
            path = resource.canonical if resource is not None else "other"
            self._metrics.record_admin_request(path, status)

    async def _serve_state(self, request: web.Request) -> web.Response:
        return web.json_response(self._process.dump_state(), dumps=dump_json)

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        self._metrics.refresh(self._process.is_ready())
        accepts = request.headers.getall("Accept", [])
        body, headers = render(self._process.registry, accepts)
        return web.Response(body=body, headers=headers)

    async def _serve_ready(self, request: web.Request) -> web.Response:
        ready = self._process.is_ready()
        status = HTTP_OK if ready else HTTP_UNAVAILABLE
        return web.json_response({"ready": ready}, status=status)
