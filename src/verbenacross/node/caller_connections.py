"""Open connections of callers and how long each has been idle."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from ..transport.caller_protocol import CallerProtocol

if TYPE_CHECKING:
    from aiohttp import web

    from ..transport.caller_server import CallerServer

SWEEP_INTERVAL_S = 0.5
# Callers keep to the limit of the configuration that they know, and a request may be on
# its way when it ends.
IDLE_MARGIN_S = 1.5


class CallerConnections:
    """Closes connections of callers that were idle too long."""

    def __init__(self) -> None:
        self.idle_timeout_s = 60.0
        self._loop = asyncio.get_running_loop()

    def note_busy(self, request: web.BaseRequest) -> None:
        """Notes that a request arrived on a connection."""
        if isinstance(request.protocol, CallerProtocol):
            request.protocol.idle_since = math.inf

    def note_idle(self, request: web.BaseRequest) -> None:
        """Notes that the answer to a request is out."""
        if isinstance(request.protocol, CallerProtocol):
            request.protocol.idle_since = self._loop.time()

    async def run(self, server: CallerServer) -> None:
        """Closes idle connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            oldest = self._loop.time() - self.idle_timeout_s - IDLE_MARGIN_S
            for connection in server.connections:
                idle_since = getattr(connection, "idle_since", math.inf)
                if idle_since < oldest:
                    connection.force_close()
