"""Server protocol of a caller's connection, with problem details for its errors."""

from __future__ import annotations

import asyncio
import math
import uuid
from collections import deque
from typing import TYPE_CHECKING, cast

import logbook
from aiohttp import hdrs, web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from ..refusals import Execution, ProblemDetails
from .closed_connection import ClosedConnection, CloseReason
from .lingering_transport import LingeringTransport
from .read_size import limit_read_size
from .request_ahead import (
    TURN_KEY,
    RequestAhead,
    keeps_connection_usable,
    retrieve_exception,
)
from .response_body import reset_connection
from .unacknowledged_output import count_unacknowledged_bytes
from .unread_input import has_unread_input

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator
    from typing import Any

    from aiohttp.web import BaseRequest

HTTP_SERVER_ERROR = 500
# A connection on which more than 64 KiB wait to be sent is reset if its caller does not
# take most of them within this time, in seconds.
STALL_TIMEOUT_S = 10.0
# Time after which a connection that received bytes as its timer ended is checked again,
# in seconds.
IDLE_RECHECK_S = 1.0
# Time in which a caller acknowledges what it has received, in seconds.
ACKNOWLEDGE_S = 0.25
# Requests of one connection that are handled before earlier ones are answered.
MAX_REQUESTS_AHEAD = 8

MALFORMED = ProblemDetails(
    400, "malformed-request", "The request is not valid HTTP", Execution.NOT_RUN
)
TOO_LARGE = ProblemDetails(
    431, "headers-too-large", "A line of the request is too long", Execution.NOT_RUN
)
SLOW_HEAD = ProblemDetails(
    408, "slow-headers", "The head of the request took too long", Execution.NOT_RUN
)
INTERNAL = ProblemDetails(
    500, "internal-error", "The process failed on this request", Execution.UNKNOWN
)

logger = logbook.Logger("verbenacross.transport")


class CallerProtocol(web.RequestHandler):
    """Server protocol of a caller's connection.

    ``idle_since`` is the event loop's time at which the last response was sent, or
    infinity while a request is handled. ``track_delivery`` moves it to the time at
    which the caller took the response. ``kept_idle_s`` is the time for which the
    caller may expect the connection to be kept idle since then: the one that
    ``get_idle_timeout_s`` returned for the last response, 0 if no limit was known.
    ``head_since`` is the time since which the head of the next request is incomplete,
    or infinity. While ``accepts_ahead`` returns true, requests that were sent ahead are
    handled in parallel; they are answered in order. ``get_max_head_bytes`` returns the
    limit on the size of a head. The connection is reset if its caller takes none of a
    response for ``STALL_TIMEOUT_S``. ``report_close`` is called when this process
    begins to close the connection, with ``close_reason``; ``closed`` is set then.
    ``report_late_request`` is called with a request that was read and whose handler
    would begin after that.
    """

    __slots__ = (
        "_ahead",
        "_answered_count",
        "_connection",
        "_head_bytes",
        "_in_flight",
        "_is_close_announced",
        "_is_head_rejected",
        "_is_input_ended",
        "_is_input_ending",
        "_last_payload",
        "_stall_timer",
        "_track_from",
        "_untaken_bytes",
        "accepts_ahead",
        "close_reason",
        "closed",
        "get_idle_timeout_s",
        "get_max_head_bytes",
        "head_since",
        "idle_since",
        "kept_idle_s",
        "report_close",
        "report_late_request",
    )

    accepts_ahead: Callable[[], bool]
    get_idle_timeout_s: Callable[[], float]
    get_max_head_bytes: Callable[[], float]
    report_close: Callable[[ClosedConnection], None]
    report_late_request: Callable[[BaseRequest, ClosedConnection], None]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts serving a new connection."""
        self.idle_since = asyncio.get_running_loop().time()
        self.kept_idle_s = self._read_idle_timeout_s()
        self.head_since = math.inf
        self._head_bytes = 0
        self._is_close_announced = False
        self._is_input_ending = self._is_input_ended = False
        self._is_head_rejected = False
        self._last_payload: Any = EMPTY_PAYLOAD
        self._in_flight = 0
        self._answered_count = 0
        self._track_from = math.inf
        self._untaken_bytes: float = 0
        self.close_reason = CloseReason.RESPONSE
        self.closed: ClosedConnection | None = None
        self._ahead: deque[RequestAhead] = deque()
        self._stall_timer: asyncio.TimerHandle | None = None
        limit_read_size(transport)
        # Unlike ``transport``, kept while the connection is being closed.
        self._connection = LingeringTransport(
            cast(asyncio.Transport, transport), self._handle_close
        )
        super().connection_made(cast(asyncio.Transport, self._connection))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels all requests of the connection."""
        self._cancel_stall_timer()
        self._connection.cancel_timer()
        super().connection_lost(exc)
        self._cancel_ahead()

    def is_idle(self) -> bool:
        """Returns whether the connection waits for a request and none has arrived.

        ``idle_since`` does not tell that: it is kept until the handler of the next
        request begins, which is later than the event that reads the request.
        """
        is_waiting = self._waiter is not None and not self._waiter.done()
        if not is_waiting or self.is_closing():
            return False
        return self._is_input_ended or not self._has_unread_input()

    def _has_unread_input(self) -> bool:
        return has_unread_input(self._connection.get_extra_info("socket"))

    def close_if_idle(self, reason: CloseReason) -> None:
        """Closes the connection unless a request has arrived.

        A request that arrives afterwards is not read, so its caller may repeat it. If
        the last response is still on its way, the connection lingers to protect it.
        """
        if not self.is_idle():
            return
        self.close_reason = reason
        sock = self._connection.get_extra_info("socket")
        if not self.get_unsent_bytes() and not count_unacknowledged_bytes(sock):
            self._connection.close_now()
        self.force_close()

    def _process_keepalive(self) -> None:
        """Closes the connection at the end of the library's timer if it is idle.

        Called by the library, which would read on and drop what arrives meanwhile.
        """
        if self._loop.time() < self._next_keepalive_close_time:
            super()._process_keepalive()
            return
        self._keepalive_handle = None
        self.close_if_idle(CloseReason.IDLE)
        if not self.is_closing():
            self._keepalive_handle = self._loop.call_later(
                IDLE_RECHECK_S, self._process_keepalive
            )

    def _handle_close(self) -> None:
        """Reports that this process closes the connection."""
        reason = self.close_reason
        if reason is CloseReason.RESPONSE and self._request_in_progress:
            # The connection is closed after a response, not within one.
            reason = CloseReason.TRUNCATED
        is_idle = self.idle_since < math.inf
        caller = self._connection.get_extra_info("peername") or ("",)
        self.closed = ClosedConnection(
            reason,
            ":".join(str(part) for part in caller[:2]),
            round(self._loop.time() - self.idle_since, 3) if is_idle else None,
            self._request_count,
            self._request_count - self._answered_count,
        )
        self._cancel_ahead()
        self.report_close(self.closed)

    def _cancel_ahead(self) -> None:
        """Cancels the requests that were sent ahead; they get no response."""
        while self._ahead:
            self._ahead.popleft().cancel()

    def pause_writing(self) -> None:
        """Limits the time that the caller may take none of what is to be sent."""
        super().pause_writing()
        self._stall_timer = self._loop.call_later(STALL_TIMEOUT_S, self._reset_stalled)

    def resume_writing(self) -> None:
        """Goes on sending after the caller has taken what was to be sent."""
        self._cancel_stall_timer()
        super().resume_writing()

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _reset_stalled(self) -> None:
        self._stall_timer = None
        if self.transport is None:
            return
        self.close_reason = CloseReason.STALLED
        unsent_bytes = self.transport.get_write_buffer_size()
        logger.warning(
            "caller takes no more of a response",
            extra={"unsent_bytes": unsent_bytes, "for_s": STALL_TIMEOUT_S},
        )
        reset_connection(self.transport)

    def data_received(self, data: bytes) -> None:
        """Parses requests and starts those sent ahead."""
        if self._is_head_rejected or self._connection.is_closing():
            return
        if data and self._is_input_ended:
            # The library has resumed reading as its queue of requests emptied.
            self._connection.pause_reading()
            return
        parsed_before = len(self._messages)
        is_head = self._last_payload.is_eof()
        super().data_received(data)
        if len(self._messages) > parsed_before:
            self._last_payload = self._messages[-1][1]
            is_head = False
        self._measure_head(len(data) if is_head and not self._buffer_paused else 0)
        if self._messages and self.connected and self._accepts_ahead():
            for message, payload in self._find_ahead():
                self._start_ahead(message, payload)

    def _accepts_ahead(self) -> bool:
        """Returns whether requests may start before those in front are answered.

        Nothing behind a response that closes the connection is answered.
        """
        return self.accepts_ahead() and not self._is_close_announced

    def _measure_head(self, size: int) -> None:
        """Counts received bytes of an incomplete head; rejects one that is too large.

        The part of a head that arrives with the end of the request before it does not
        count.
        """
        if not size:
            self.head_since = math.inf
            self._head_bytes = 0
            return
        if not self._head_bytes:
            self.head_since = self._loop.time()
        self._head_bytes += size
        max_bytes = self.get_max_head_bytes()
        if self._head_bytes > max_bytes:
            error = LineTooLong(f"the head exceeds {max_bytes} bytes")
            self._reject_head(TOO_LARGE.status, error)

    def refuse_slow_head(self) -> None:
        """Refuses a request whose head takes too long, unless more has arrived."""
        if not self.is_idle():
            return
        self.close_reason = CloseReason.SLOW_HEAD
        received_s = self._loop.time() - self.head_since
        error = TimeoutError(f"{self._head_bytes} bytes arrived in {received_s:.1f} s")
        self._reject_head(SLOW_HEAD.status, error)

    def _reject_head(self, status: int, error: Exception) -> None:
        """Answers an incomplete head in its turn, and ignores what comes after it."""
        self._is_head_rejected = True
        self._request_count += 1
        info = _ErrInfo(status=status, exc=error, message=str(error))
        self._messages.append((info, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def begin_request(self) -> None:
        """Counts a request as in flight on the connection."""
        self._in_flight += 1
        self.idle_since = math.inf

    def end_request(self) -> None:
        """Counts a request as completed."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self.idle_since = self._loop.time()
            self._track_from = self.idle_since + ACKNOWLEDGE_S
            self._untaken_bytes = math.inf

    def track_delivery(self) -> None:
        """Restarts the idle time as the caller takes the last response.

        The caller counts from then, which is later than ``end_request`` on a slow link.
        """
        is_early = self._loop.time() < self._track_from
        if not self._untaken_bytes or is_early or self.is_closing():
            return
        untaken_bytes = self.get_unsent_bytes() + count_unacknowledged_bytes(
            self._connection.get_extra_info("socket")
        )
        is_first = self._untaken_bytes == math.inf
        if untaken_bytes < self._untaken_bytes and (untaken_bytes or not is_first):
            self.idle_since = self._loop.time()
        self._untaken_bytes = min(untaken_bytes, self._untaken_bytes)

    def announce_persistence(self, response: web.StreamResponse) -> None:
        """States in a response how long its connection may stay idle afterwards.

        Callers have no other way to know the limit that is in force. ``Keep-Alive`` has
        whole seconds, so a limit below one second cannot be stated.
        """
        self._is_close_announced = not response.keep_alive
        self.kept_idle_s = self._read_idle_timeout_s()
        if response.keep_alive and self.kept_idle_s >= 1.0:
            response.headers[hdrs.CONNECTION] = "keep-alive"
            response.headers["Keep-Alive"] = f"timeout={int(self.kept_idle_s)}"

    def _read_idle_timeout_s(self) -> float:
        timeout_s = self.get_idle_timeout_s()
        return timeout_s if timeout_s < math.inf else 0.0

    def has_input_behind(self) -> bool:
        """Returns whether anything has arrived behind the request being answered."""
        if self._messages or self._is_input_ended:
            return bool(self._messages)
        is_body_read = self._last_payload.is_eof()
        return is_body_read and not self.is_closing() and self._has_unread_input()

    def end_input(self) -> None:
        """Takes no requests that arrive after the next response.

        Called with each response of a stop behind which something has arrived. A caller
        that always sends ahead would otherwise never be told to close.
        """
        if self._is_input_ending and self._last_payload.is_eof():
            self._is_input_ended = True
            self._connection.pause_reading()
        self._is_input_ending = True

    def get_unsent_bytes(self) -> int:
        """Returns how many bytes of responses the process has yet to send."""
        return int(self._connection.get_write_buffer_size())

    def is_closing(self) -> bool:
        """Returns whether the connection is being closed."""
        return self._connection.is_closing()

    def close_now(self) -> None:
        """Closes the connection without waiting for the caller to close its side."""
        self._connection.close_now()

    def _find_ahead(self) -> Iterator[tuple[Any, Any]]:
        """Yields parsed requests that may start before those in front are answered."""
        queued = iter([*self._messages])
        if self._request_in_progress:
            current = self._current_request
            if current is None or current.body_exists:
                return
        elif not keeps_connection_usable(*next(queued)):
            return
        started = {id(ahead.request._message) for ahead in self._ahead}
        for message, payload in queued:
            if not keeps_connection_usable(message, payload):
                return
            if id(message) in started:
                continue
            if len(self._ahead) >= MAX_REQUESTS_AHEAD:
                return
            yield message, payload

    def _start_ahead(self, message: Any, payload: Any) -> None:
        assert self._request_factory is not None
        assert self._request_handler is not None
        assert self._task_handler is not None
        writer = StreamWriter(self, self._loop)
        request = self._request_factory(
            message, payload, self, writer, self._task_handler
        )
        turn = request[TURN_KEY] = asyncio.Event()
        task = self._loop.create_task(run_handler(self._request_handler, request))
        task.add_done_callback(retrieve_exception)
        self._ahead.append(RequestAhead(request, task, turn))

    async def _handle_request(
        self,
        request: BaseRequest,
        start_time: float | None,
        request_handler: Callable[[BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handles the next request of the connection, unless it was started ahead.

        Raises ``ConnectionAbortedError`` if the connection was closed since the request
        was read: nothing could take the response.
        """
        if self.closed is not None:
            self.report_late_request(request, self.closed)
            raise ConnectionAbortedError("the connection was closed")
        if self._ahead and self._ahead[0].request._message is request._message:
            ahead = self._ahead.popleft()
            ahead.turn.set()
            request, request_handler = ahead.request, ahead.wait_response
        result = await super()._handle_request(request, start_time, request_handler)
        self._answered_count += 1
        return result

    def force_close(self) -> None:
        """Closes the connection; a response that is sent in part ends there."""
        if self._current_request is not None:
            self._reset_if_truncated(self._current_request)
        super().force_close()

    def _reset_if_truncated(self, request: BaseRequest) -> None:
        """Resets the connection if its orderly close would end a response.

        What was sent of the response would look complete.
        """
        writer = request.writer
        assert isinstance(writer, StreamWriter)
        is_partial = writer.output_size > 0 and not writer._eof
        has_marked_end = writer.chunked or writer.length is not None
        if is_partial and not has_marked_end and self.transport is not None:
            reset_connection(self.transport)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = HTTP_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Builds the problem response to a malformed or failed request.

        It closes the connection unless requests behind have started. These start only
        behind requests without a body, so that a response can follow.
        """
        if request.writer.output_size > 0:
            self._reset_if_truncated(request)
            raise ConnectionAbortedError("the answer is sent in part")
        if status >= HTTP_SERVER_ERROR:
            logger.error("request failed: {!r}", exc, extra={"path": request.path})
            details = INTERNAL
        else:
            details = MALFORMED
            if status == SLOW_HEAD.status:
                details = SLOW_HEAD
            elif isinstance(exc, LineTooLong):
                details = TOO_LARGE
            details = details._replace(detail=(message or "").partition("\n")[0])
        response = details.build_response(uuid.uuid4().hex)
        if not self._ahead:
            response.force_close()
        return response


async def run_handler(
    handler: Callable[[BaseRequest], Awaitable[web.StreamResponse]],
    request: BaseRequest,
) -> web.StreamResponse:
    """Runs a request handler as a coroutine."""
    return await handler(request)
