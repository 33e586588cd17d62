"""HTTP servers for readiness, metrics and the state dump."""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp import web
from aioprometheus.renderer import render

from ..transport.caller_server import CLOSE_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from contextlib import AsyncExitStack

    from aioprometheus import Registry

    from ..documents.address import Address
    from .node_metrics import NodeMetrics

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# Objects in the state that have no JSON type, such as addresses, are written as text.
dump_json = functools.partial(json.dumps, default=str)


class MonitoredProcess(Protocol):
    """Interface of a process that the metrics server uses."""

    metrics: NodeMetrics

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process for JSON."""

    def refresh_metrics(self) -> Registry:
        """Updates the gauges and returns the registry."""


async def serve_readiness(
    stack: AsyncExitStack, address: Address, is_ready: Callable[[], bool]
) -> None:
    """Serves status 200 on any path while the process is ready, else 503."""

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(status=HTTP_OK if is_ready() else HTTP_UNAVAILABLE)

    await serve(stack, address, handle)


async def serve_metrics(
    stack: AsyncExitStack, address: Address, process: MonitoredProcess
) -> None:
    """Serves the state dump on ``/state`` and metrics on any other path."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path == "/state":
            return web.json_response(process.dump_state(), dumps=dump_json)
        accepts = request.headers.getall("Accept", [])
        body, headers = render(process.refresh_metrics(), accepts)
        return web.Response(body=body, headers=headers)

    await serve(stack, address, handle)


async def serve(
    stack: AsyncExitStack,
    address: Address,
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
) -> None:
    """Serves requests on an address until the stack closes.

    Raises ``OSError`` if the address cannot be listened on.
    """
    server = web.Server(handler, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, address.host, address.port).start()
