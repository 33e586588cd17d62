"""Requests of callers whose responses state how long the connection is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from .caller_protocol import CallerProtocol

if TYPE_CHECKING:
    from aiohttp.web import StreamResponse


class CallerRequest(web.BaseRequest):
    """Request on a connection of a ``CallerServer``."""

    async def _prepare_hook(self, response: StreamResponse) -> None:
        """Completes the head of a response; called by the library before it is sent."""
        if isinstance(self.protocol, CallerProtocol):
            self.protocol.announce_persistence(response)


def is_last_received(request: web.BaseRequest) -> bool:
    """Returns whether nothing has arrived behind a request on its connection."""
    protocol = request.protocol
    return not (isinstance(protocol, CallerProtocol) and protocol.has_input_behind())
