"""HTTP client request that records whether any byte may have been sent."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from .exceptions import AssignmentWithdrawnError
from .read_size import limit_read_size

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import Connection

# Connections that have carried a request; aiohttp does not expose this.
USED_PROTOCOLS: weakref.WeakSet[asyncio.BaseProtocol] = weakref.WeakSet()


class ExactTarget(NamedTuple):
    """Stands for a URL whose target ``yarl`` does not keep, while it is sent."""

    raw_path_qs: str


class AttemptRequest(aiohttp.ClientRequest):
    """HTTP client request that records whether any byte may have been sent.

    ``connection_reused`` tells whether its connection carried an earlier request.
    ``used_protocol`` is the protocol of its connection. ``target``, if set, is sent in
    place of that of the URL. ``is_withdrawn``, if set, is asked before the first byte
    is sent.
    """

    may_have_sent = False
    connection_reused = False
    used_protocol: ResponseHandler | None = None
    target: str | None = None
    is_withdrawn: Callable[[], bool] | None = None

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Sends the request on an open connection.

        Raises ``AssignmentWithdrawnError`` if it must not be sent there any more.
        """
        if self.is_withdrawn is not None and self.is_withdrawn():
            raise AssignmentWithdrawnError("withdrawn while connecting")
        protocol = self.used_protocol = conn.protocol
        if protocol is not None and protocol.should_close:
            # The connection received bytes that belong to no request while idle.
            self.connection_reused = True
            raise aiohttp.ServerDisconnectedError("unexpected bytes while idle")
        if protocol in USED_PROTOCOLS:
            self.connection_reused = True
        elif protocol is not None:
            USED_PROTOCOLS.add(protocol)
        if conn.transport is not None:
            limit_read_size(conn.transport)
        self.may_have_sent = True
        if self.target is None or self.url.raw_path_qs == self.target:
            return await super().send(conn)
        url = self.url
        self.url = ExactTarget(self.target)  # type: ignore[assignment]
        try:
            return await super().send(conn)
        finally:
            self.url = url
