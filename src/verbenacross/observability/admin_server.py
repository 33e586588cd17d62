"""Admin endpoints of a process: state dump, metrics, readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from aiohttp import web
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from aioprometheus import Registry

    from ..settings import Address


class Process(Protocol):
    """What the admin server shows of a process."""

    registry: Registry

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON object."""

    def is_ready(self) -> bool:
        """Returns whether the process wants new work."""


class AdminServer:
    """Serves ``/state``, ``/metrics`` and ``/ready`` on an address of its own."""

    def __init__(self, process: Process, address: Address) -> None:
        self._process = process
        self._address = address
        self.application = web.Application()
        self.application.router.add_get("/state", self._serve_state)
        self.application.router.add_get("/metrics", self._serve_metrics)
        self.application.router.add_get("/ready", self._serve_ready)
        self._runner = web.AppRunner(self.application, access_log=None)

    async def __aenter__(self) -> AdminServer:
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
        await site.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._runner.cleanup()

    async def _serve_state(self, request: web.Request) -> web.Response:
        return web.json_response(self._process.dump_state())

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        accepts = request.headers.getall("Accept", [])
        body, headers = render(self._process.registry, accepts)
        return web.Response(body=body, headers=headers)

    async def _serve_ready(self, request: web.Request) -> web.Response:
        ready = self._process.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)
