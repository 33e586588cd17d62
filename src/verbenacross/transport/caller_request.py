"""Requests of callers whose responses state how long the connection is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs, web
from aiohttp.helpers import must_be_empty_body

from .caller_protocol import CallerProtocol

if TYPE_CHECKING:
    from aiohttp.web import StreamResponse


class CallerRequest(web.BaseRequest):
    """Request on a connection of a ``CallerServer``."""

    async def _prepare_hook(self, response: StreamResponse) -> None:
        """Completes the head of a response; called by the library before it is sent."""
        if self._ends_by_close(response):
            # The library leaves this out if the caller asks for a kept connection.
            response.force_close()
        if isinstance(self.protocol, CallerProtocol):
            self.protocol.announce_persistence(response)

    def _ends_by_close(self, response: StreamResponse) -> bool:
        """Returns whether only the close of the connection marks a response's end.

        Callers of HTTP/1.0 know no chunks.
        """
        if must_be_empty_body(self.method, response.status):
            return False
        is_chunked = hdrs.TRANSFER_ENCODING in response.headers
        return not is_chunked and response.content_length is None


def end_input(request: web.BaseRequest) -> bool:
    """Ends the input of a request's connection, after what has arrived already.

    Returns whether nothing has arrived behind the request.
    """
    protocol = request.protocol
    if not isinstance(protocol, CallerProtocol) or not protocol.has_input_behind():
        return True
    protocol.end_input()
    return False
