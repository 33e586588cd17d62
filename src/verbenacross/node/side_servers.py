"""Serves readiness, metrics and state next to the callers' address."""

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
# The state holds named tuples and addresses, which have a text of their own.
dump_json = functools.partial(json.dumps, default=str)


class Inspected(Protocol):
    """What the metrics address shows of a process."""

    metrics: NodeMetrics

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON object."""

    def refresh_metrics(self) -> Registry:
        """Returns the registry with gauges of this moment."""


async def serve_readiness(
    stack: AsyncExitStack, address: Address, is_ready: Callable[[], bool]
) -> None:
    """Answers 200 to any request while the process is ready, else 503."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=HTTP_OK if is_ready() else HTTP_UNAVAILABLE)

    await serve(stack, address, answer)


async def serve_metrics(
    stack: AsyncExitStack, address: Address, process: Inspected
) -> None:
    """Serves the state on ``/state`` and metrics on any other path."""

    async def answer(request: web.BaseRequest) -> web.Response:
        if request.path == "/state":
            return web.json_response(process.dump_state(), dumps=dump_json)
        accepts = request.headers.getall("Accept", [])
        body, headers = render(process.refresh_metrics(), accepts)
        return web.Response(body=body, headers=headers)

    await serve(stack, address, answer)


async def serve(
    stack: AsyncExitStack,
    address: Address,
    answer: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
) -> None:
    """Listens on an address until the stack closes; raises ``OSError``."""
    server = web.Server(answer, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, address.host, address.port).start()
