"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import logbook
from aiohttp import web
from reactivex.subject import Subject

from .caller_protocol import CallerProtocol
from .caller_request import CallerRequest
from .closed_connection import CloseReason, LateRequest
from .headers import REQUEST_ID_HEADER

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage

    from .closed_connection import ClosedConnection


# Time for handlers to end when a server closes, in seconds. aiohttp treats 0 as no
# limit.
CLOSE_TIMEOUT_S = 0.05
# Reading from a caller pauses while twice this is unread.
READ_BUFFER_BYTES = 32_768
# Time for a caller to end the body of a request that has been answered, in seconds.
BODY_END_TIMEOUT_S = 1.0
# Interval of the checks whether responses have been sent, in seconds.
UNSENT_CHECK_INTERVAL_S = 0.02
# Interval of the checks whether connections are idle, in seconds.
CLOSE_CHECK_INTERVAL_S = 0.01

logger = logbook.Logger("verbenacross.transport")


class CallerServer(web.Server):
    """HTTP server whose connections use ``CallerProtocol``.

    While ``accepts_ahead`` returns true, requests that callers send ahead start before
    the earlier ones on their connection are answered. Their handlers wait for
    ``wait_turn`` before they send anything, or run anything that must not be repeated.
    Request heads are limited to ``max_head_bytes``. Responses state how long their
    connection may stay idle, by ``get_idle_timeout_s``. ``closed_connections`` emits
    each connection that this process closes, ``late_requests`` each request that was to
    begin on one of them; it is not handled.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        accepts_ahead: Callable[[], bool] = lambda: False,
        get_idle_timeout_s: Callable[[], float] = lambda: math.inf,
        request_id_header: str = REQUEST_ID_HEADER,
        **options: Any,
    ) -> None:
        defaults = {
            "lingering_time": BODY_END_TIMEOUT_S,
            "read_bufsize": READ_BUFFER_BYTES,
        }
        options = defaults | options
        super().__init__(handler, handler_cancellation=True, **options)
        self.max_head_bytes = math.inf
        self.closed_connections: Subject[ClosedConnection] = Subject()
        self.closed_connections.subscribe(log_closed_connection)
        self.late_requests: Subject[LateRequest] = Subject()
        self.late_requests.subscribe(log_late_request)
        self._accepts_ahead = accepts_ahead
        self._get_idle_timeout_s = get_idle_timeout_s
        self._request_id_header = request_id_header
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a new connection."""
        protocol = CallerProtocol(self, loop=self._loop, **self._options)
        protocol.accepts_ahead = self._accepts_ahead
        protocol.get_idle_timeout_s = self._get_idle_timeout_s
        protocol.get_max_head_bytes = lambda: self.max_head_bytes
        protocol.report_close = self.closed_connections.on_next
        protocol.report_late_request = self._report_late_request
        return protocol

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> CallerRequest:
        return CallerRequest(message, payload, protocol, writer, task, self._loop)

    @property
    def caller_connections(self) -> list[CallerProtocol]:
        """The open connections."""
        return [
            connection
            for connection in self.connections
            if isinstance(connection, CallerProtocol)
        ]

    def _report_late_request(
        self, request: web.BaseRequest, closed: ClosedConnection
    ) -> None:
        request_id = request.headers.get(self._request_id_header, "")
        self.late_requests.on_next(LateRequest(request_id, closed))

    def count_unsent_bytes(self) -> int:
        """Returns how many bytes of responses have yet to be sent.

        The process holds them until the kernel takes them, also after their requests
        have been handled. They are lost if the process ends.
        """
        return sum(
            connection.get_unsent_bytes() for connection in self.caller_connections
        )

    async def wait_sent(self, timeout_s: float) -> bool:
        """Waits until all responses have been sent; returns ``False`` on a timeout."""
        end = self._loop.time() + timeout_s
        while self.count_unsent_bytes():
            if self._loop.time() >= end:
                return False
            await asyncio.sleep(UNSENT_CHECK_INTERVAL_S)
        return True

    async def close_idle(self, end: float) -> None:
        """Closes all connections once they are idle, until an event loop's time.

        Requests that have arrived are handled. The server should accept no connections
        any more. Idle connections are closed also if that time has passed, as
        ``shutdown`` would read requests on them and drop them.
        """
        is_closed = False
        while not is_closed:
            for connection in self.caller_connections:
                connection.close_if_idle(CloseReason.STOP)
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
            is_closed = self._loop.time() >= end or all(
                connection.is_closing() for connection in self.caller_connections
            )

    async def shutdown(self, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Closes all connections; what has yet to be sent may be lost."""
        connections = self.caller_connections
        for connection in connections:
            connection.close_reason = CloseReason.STOP
        await super().shutdown(timeout)
        for connection in connections:
            connection.close_now()


def log_closed_connection(closed: ClosedConnection) -> None:
    """Logs a connection that this process closes, unless its last response said so."""
    if closed.reason is CloseReason.RESPONSE and not closed.unanswered:
        return
    level = logbook.WARNING if closed.unanswered else logbook.INFO
    fields = {**closed._asdict(), "reason": closed.reason.value}
    logger.log(level, "caller connection closed", extra=fields)


def log_late_request(late: LateRequest) -> None:
    """Logs a request on a connection that this process had closed."""
    closed = late.closed
    fields = {
        "request_id": late.request_id,
        "closed_because": closed.reason.value,
        "caller": closed.caller,
        "idle_s": closed.idle_s,
    }
    logger.error("request on a closed connection", extra=fields)
