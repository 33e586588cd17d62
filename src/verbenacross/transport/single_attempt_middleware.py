"""Client middleware that prevents automatic retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from .attempt_request import AttemptRequest
from .exceptions import ConnectionBrokenError

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientHandlerType
    from aiohttp.client_proto import ResponseHandler


class SingleAttemptMiddleware:
    """Client middleware of one attempt that prevents automatic retries.

    aiohttp retries a request by itself when its connection breaks, if its method is
    idempotent in HTTP. It does not do so for errors of another type. Afterwards,
    ``may_have_sent`` tells whether a byte of the request may have been sent.
    ``target``, if set, is sent in place of that of the URL. ``is_withdrawn``, if set,
    is asked before the first byte is sent.
    """

    __slots__ = ("_request", "is_withdrawn", "target")

    def __init__(self) -> None:
        self._request: aiohttp.ClientRequest | None = None
        self.target: str | None = None
        self.is_withdrawn: Callable[[], bool] | None = None

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Sends the request; raises ``ConnectionBrokenError`` if the connection breaks.

        Errors and timeouts in connecting are raised unchanged.
        """
        self._request = request
        if isinstance(request, AttemptRequest):
            request.target = self.target
            request.is_withdrawn = self.is_withdrawn
        try:
            return await handler(request)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
            raise ConnectionBrokenError(repr(error)) from error

    def may_have_sent(self) -> bool:
        """Returns whether a byte of the request may have been sent."""
        return getattr(self._request, "may_have_sent", False)

    def is_connection_reused(self) -> bool:
        """Returns whether the connection carried an earlier request."""
        return getattr(self._request, "connection_reused", False)

    def get_protocol(self) -> ResponseHandler | None:
        """Returns the protocol of the connection, ``None`` if there was none.

        It is known even after the client has released the connection.
        """
        return getattr(self._request, "used_protocol", None)

    def close_connection(self) -> None:
        """Closes the connection, even if the client has released it for reuse.

        The client does so with the head of a response that has no body.
        """
        protocol = self.get_protocol()
        if protocol is not None:
            protocol.close()
