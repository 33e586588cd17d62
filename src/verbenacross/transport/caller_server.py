"""HTTP server for callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from aiohttp import web

from .caller_protocol import CallerProtocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


# Time for handlers to end when a server closes, in seconds. aiohttp treats 0 as no
# limit.
CLOSE_TIMEOUT_S = 0.05
# Reading from a caller pauses while twice this is unread.
READ_BUFFER_BYTES = 32_768
# Time for a caller to end the body of a request that has been answered, in seconds.
BODY_END_TIMEOUT_S = 1.0


class CallerServer(web.Server):
    """HTTP server whose connections use ``CallerProtocol``.

    While ``accepts_ahead`` returns true, requests that callers send ahead start before
    the earlier ones on their connection are answered. Their handlers wait for
    ``wait_turn`` before they send anything, or run anything that must not be repeated.
    Request heads are limited to ``max_head_bytes``.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        accepts_ahead: Callable[[], bool] = lambda: False,
        **options: Any,
    ) -> None:
        defaults = {
            "lingering_time": BODY_END_TIMEOUT_S,
            "read_bufsize": READ_BUFFER_BYTES,
        }
        options = defaults | options
        super().__init__(handler, handler_cancellation=True, **options)
        self.max_head_bytes = math.inf
        self._accepts_ahead = accepts_ahead
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a new connection."""
        protocol = CallerProtocol(self, loop=self._loop, **self._options)
        protocol.accepts_ahead = self._accepts_ahead
        protocol.get_max_head_bytes = lambda: self.max_head_bytes
        return protocol
