"""Keeps the HTTP client from repeating a request by itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from .exceptions import ConnectionBrokenError

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType


class SingleAttemptMiddleware:
    """Middleware of one attempt.

    The HTTP client repeats a request by itself when a connection breaks, for methods
    that HTTP calls idempotent. Errors of another type pass that rule by. ``request``
    tells afterwards whether a byte may have left.
    """

    __slots__ = ("_request",)

    def __init__(self) -> None:
        self._request: aiohttp.ClientRequest | None = None

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Sends the request; raises ``ConnectionBrokenError`` if that breaks."""
        self._request = request
        try:
            return await handler(request)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
            raise ConnectionBrokenError(repr(error)) from error

    def may_have_sent(self) -> bool:
        """Returns whether a byte of the request may have left."""
        return getattr(self._request, "may_have_sent", False)

    def is_connection_reused(self) -> bool:
        """Returns whether the connection carried a request before this one."""
        return getattr(self._request, "connection_reused", False)
