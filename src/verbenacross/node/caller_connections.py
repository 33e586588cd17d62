"""Applies the limits on caller connections and on the heads of their requests."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import logbook

from ..transport.caller_protocol import CallerProtocol
from ..transport.closed_connection import CloseReason

if TYPE_CHECKING:
    from aiohttp import web

    from ..transport.caller_server import CallerServer
    from ..transport.closed_connection import ClosedConnection

SWEEP_INTERVAL_S = 0.5
# A request that was sent within the timeout may still be in transit when it ends, and
# callers may go by a longer timeout of the operator than they were told.
IDLE_MARGIN_S = 1.5
# Share of the file descriptors that caller connections may use. The rest is for
# upstreams, probes and peers.
CALLER_DESCRIPTOR_SHARE = 0.6

logger = logbook.Logger("verbenacross.node.connections")


class CallerConnections:
    """Closes caller connections that exceed a limit.

    Those are the time that a connection may stay idle, the time and the size of a
    request head, and the number of connections.
    """

    def __init__(self, max_descriptors: int) -> None:
        self._max_connections = int(max_descriptors * CALLER_DESCRIPTOR_SHARE)
        self._idle_timeout_s = math.inf
        # The longest idle timeout that was in force since the last sweep.
        self._longest_idle_timeout_s = 0.0
        self.header_timeout_s = math.inf
        self.max_header_bytes = math.inf
        self._loop = asyncio.get_running_loop()

    @property
    def idle_timeout_s(self) -> float:
        """The idle timeout in force, infinity while none is known."""
        return self._idle_timeout_s

    @idle_timeout_s.setter
    def idle_timeout_s(self, timeout_s: float) -> None:
        self._idle_timeout_s = timeout_s
        if timeout_s < math.inf:
            self._longest_idle_timeout_s = max(self._longest_idle_timeout_s, timeout_s)

    def mark_busy(self, request: web.BaseRequest) -> None:
        """Marks the connection of a request that has arrived as busy."""
        if isinstance(request.protocol, CallerProtocol):
            request.protocol.begin_request()

    def find_close(self, request: web.BaseRequest) -> ClosedConnection | None:
        """Returns how this process closed the connection of a request, if it did."""
        protocol = request.protocol
        return protocol.closed if isinstance(protocol, CallerProtocol) else None

    def mark_idle(self, request: web.BaseRequest) -> None:
        """Marks the connection of a request that has been handled as idle."""
        if isinstance(request.protocol, CallerProtocol):
            request.protocol.end_request()

    async def run(self, server: CallerServer) -> None:
        """Closes connections that exceed a limit periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep(server)

    def sweep(self, server: CallerServer) -> None:
        """Closes the connections that exceed a limit now."""
        server.max_head_bytes = self.max_header_bytes
        now = self._loop.time()
        head_cutoff = now - self.header_timeout_s
        longest_s = self._longest_idle_timeout_s
        self._longest_idle_timeout_s = 0.0
        self.idle_timeout_s = self._idle_timeout_s
        for connection in server.caller_connections:
            # Callers may go by each timeout that was in force since the last response.
            connection.kept_idle_s = max(connection.kept_idle_s, longest_s)
            if connection.idle_since == math.inf:
                continue
            connection.track_delivery()
            if connection.head_since < head_cutoff:
                connection.refuse_slow_head()
            elif (
                connection.head_since == math.inf
                and now - connection.idle_since > self._get_idle_limit_s(connection)
            ):
                connection.close_if_idle(CloseReason.IDLE)
        self._close_excess(server)

    def _get_idle_limit_s(self, connection: CallerProtocol) -> float:
        """Returns how long a connection may stay idle.

        A lower timeout applies from the next response on: the caller of a connection
        that is idle already goes by the one that it was told, or by a longer one that
        the operator has set meanwhile.
        """
        return max(self._idle_timeout_s, connection.kept_idle_s) + IDLE_MARGIN_S

    def _close_excess(self, server: CallerServer) -> None:
        """Closes the connections idle the longest while too many are open."""
        connections = [
            connection
            for connection in server.caller_connections
            if not connection.is_closing()
        ]
        excess = len(connections) - self._max_connections
        if excess <= 0:
            return
        idle = [
            connection for connection in connections if connection.idle_since < math.inf
        ]
        idle.sort(key=lambda connection: connection.idle_since)
        logger.warning("too many caller connections", extra={"surplus": excess})
        for connection in idle[:excess]:
            connection.close_if_idle(CloseReason.TOO_MANY)
