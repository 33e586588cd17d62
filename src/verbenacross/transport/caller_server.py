"""HTTP server for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from .caller_protocol import CallerProtocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


# Time for handlers to end when a server closes, in seconds. aiohttp treats 0 as no
# limit.
CLOSE_TIMEOUT_S = 0.05


class CallerServer(web.Server):
    """HTTP server whose connections use ``CallerProtocol``."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True, **options)
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a new connection."""
        return CallerProtocol(self, loop=self._loop, **self._options)
