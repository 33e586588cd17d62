"""Open connections of callers and how long each has been idle."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import logbook

from ..transport.caller_protocol import CallerProtocol

if TYPE_CHECKING:
    from aiohttp import web

    from ..transport.caller_server import CallerServer

SWEEP_INTERVAL_S = 0.5
# Callers keep to the limit of the configuration that they know, and a request may be on
# its way when it ends.
IDLE_MARGIN_S = 1.5
# The rest of the descriptors is for upstreams, probes and peers.
CALLER_SHARE = 0.6

logger = logbook.Logger("verbenacross.node.connections")


class CallerConnections:
    """Closes connections of callers that were idle too long."""

    def __init__(self, max_descriptors: int) -> None:
        self._max_connections = int(max_descriptors * CALLER_SHARE)
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
            self._close_surplus(server)

    def _close_surplus(self, server: CallerServer) -> None:
        """Closes those that are idle longest while there are too many connections."""
        connections = server.connections
        surplus = len(connections) - self._max_connections
        if surplus <= 0:
            return
        idle = [
            connection
            for connection in connections
            if getattr(connection, "idle_since", math.inf) < math.inf
        ]
        idle.sort(key=lambda connection: getattr(connection, "idle_since", math.inf))
        logger.warning("too many caller connections", extra={"surplus": surplus})
        for connection in idle[:surplus]:
            connection.force_close()
