"""Server protocol of a caller's connection, with problem details for its errors."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import logbook
from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from ..refusals import Execution, ProblemDetails

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

HTTP_SERVER_ERROR = 500

MALFORMED = ProblemDetails(
    400, "malformed-request", "The request is not valid HTTP", Execution.NOT_RUN
)
TOO_LARGE = ProblemDetails(
    431, "headers-too-large", "A line of the request is too long", Execution.NOT_RUN
)
INTERNAL = ProblemDetails(
    500, "internal-error", "The process failed on this request", Execution.UNKNOWN
)

logger = logbook.Logger("verbenacross.transport")


class CallerProtocol(web.RequestHandler):
    """Server protocol of a caller's connection.

    ``idle_since`` is the event loop's time at which the last response was sent, or
    infinity while a request is handled.
    """

    __slots__ = ("idle_since",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts serving a new connection."""
        self.idle_since = asyncio.get_running_loop().time()
        super().connection_made(transport)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = HTTP_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Builds the problem response to a malformed or failed request."""
        if request.writer.output_size > 0:
            raise ConnectionAbortedError("the answer is sent in part")
        if status >= HTTP_SERVER_ERROR:
            logger.error("request failed: {!r}", exc, extra={"path": request.path})
            details = INTERNAL
        else:
            details = TOO_LARGE if isinstance(exc, LineTooLong) else MALFORMED
            details = details._replace(detail=(message or "").partition("\n")[0])
        response = details.build_response(uuid.uuid4().hex)
        response.force_close()
        return response
