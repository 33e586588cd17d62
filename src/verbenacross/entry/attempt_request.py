"""HTTP client request that notes when its first byte may leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp.connector import Connection


class AttemptRequest(aiohttp.ClientRequest):
    """HTTP client request that notes when its first byte may leave."""

    may_have_left = False

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Sends the request on an open connection."""
        self.may_have_left = True
        return await super().send(conn)
