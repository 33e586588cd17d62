"""Connections to upstreams that record how they ended and how long they are kept."""

from __future__ import annotations

import functools
import math
import re
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader
    from aiohttp.tracing import Trace
    from multidict import CIMultiDictProxy

# A request that is sent this long before an upstream closes its idle connection may
# arrive afterwards, in seconds.
CLOSE_MARGIN_S = 0.5
TIMEOUT_PATTERN = re.compile(r"(?:^|[,\s])timeout\s*=\s*([0-9]{1,6})\b", re.IGNORECASE)


class UpstreamProtocol(ResponseHandler):
    """Protocol of a connection to an upstream that records its orderly end.

    ``has_ended`` tells whether the upstream ended the connection and all that it sent
    before has been read. The exception of the base class does not tell that: it is
    cleared when the client closes the connection, and set when a request body cannot be
    written, also after an orderly end. ``kept_idle_s`` is the time for which the
    upstream keeps the connection idle, by its last response.
    """

    has_ended = False
    kept_idle_s = math.inf
    idle_since = 0.0

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Returns the next response."""
        message, payload = await super().read()
        self.kept_idle_s = parse_idle_timeout_s(message.headers)
        return message, payload

    def is_expired(self) -> bool:
        """Returns whether the upstream may be closing the idle connection."""
        idle_s = self._loop.time() - self.idle_since
        return idle_s > self.kept_idle_s - CLOSE_MARGIN_S

    def eof_received(self) -> None:
        """Records the orderly end; the event loop does not call this for a reset."""
        self.has_ended = True
        super().eof_received()


class UpstreamConnector(aiohttp.TCPConnector):
    """Connector whose connections have an ``UpstreamProtocol``.

    It reuses them only as long as their upstreams state that they keep them.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The client has no public way to choose the protocol of its connections.
        build_protocol: Callable[..., ResponseHandler] = UpstreamProtocol
        self._factory = functools.partial(build_protocol, loop=self._loop)

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while (connection := await super()._get(key, traces)) is not None:
            protocol = connection.protocol
            if not (isinstance(protocol, UpstreamProtocol) and protocol.is_expired()):
                return connection
            connection.close()
        return None

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        if isinstance(protocol, UpstreamProtocol):
            protocol.idle_since = self._loop.time()
        super()._release(key, protocol, should_close=should_close)


def parse_idle_timeout_s(headers: CIMultiDictProxy[str]) -> float:
    """Returns how long an upstream keeps a connection, infinity if it is not stated."""
    match = TIMEOUT_PATTERN.search(headers.get("Keep-Alive", ""))
    return float(match[1]) if match else math.inf
