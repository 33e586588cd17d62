"""Connections to upstreams that record how they ended."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    from collections.abc import Callable


class UpstreamProtocol(ResponseHandler):
    """Protocol of a connection to an upstream that records its orderly end.

    ``has_ended`` tells whether the upstream ended the connection and all that it sent
    before has been read. The exception of the base class does not tell that: it is
    cleared when the client closes the connection, and set when a request body cannot be
    written, also after an orderly end.
    """

    has_ended = False

    def eof_received(self) -> None:
        """Records the orderly end; the event loop does not call this for a reset."""
        self.has_ended = True
        super().eof_received()


class UpstreamConnector(aiohttp.TCPConnector):
    """Connector whose connections have an ``UpstreamProtocol``."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The client has no public way to choose the protocol of its connections.
        build_protocol: Callable[..., ResponseHandler] = UpstreamProtocol
        self._factory = functools.partial(build_protocol, loop=self._loop)
