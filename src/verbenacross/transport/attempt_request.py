"""HTTP client request that notes when its first byte may leave."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    import asyncio

    from aiohttp.connector import Connection

# Connections that have carried a request; the HTTP client does not tell.
USED_PROTOCOLS: weakref.WeakSet[asyncio.BaseProtocol] = weakref.WeakSet()


class AttemptRequest(aiohttp.ClientRequest):
    """HTTP client request that notes when its first byte may leave.

    ``connection_reused`` tells whether its connection carried a request before.
    """

    may_have_sent = False
    connection_reused = False

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Sends the request on an open connection."""
        protocol = conn.protocol
        if protocol is not None and protocol.should_close:
            # Bytes that belong to no request arrived while the connection was idle.
            self.connection_reused = True
            raise aiohttp.ServerDisconnectedError("unexpected bytes while idle")
        if protocol in USED_PROTOCOLS:
            self.connection_reused = True
        elif protocol is not None:
            USED_PROTOCOLS.add(protocol)
        self.may_have_sent = True
        return await super().send(conn)
