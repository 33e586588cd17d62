"""Checks how a response ended that has no length."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Self

import aiohttp
from aiohttp import hdrs

from .exceptions import UnusableAnswerError
from .response_body import is_bodiless

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler


class ResponseEnding(NamedTuple):
    """The connection whose end marks the end of a body, ``None`` if a length does.

    The HTTP client takes a reset for that end as well.
    """

    protocol: ResponseHandler | None

    @classmethod
    def from_response(cls, response: aiohttp.ClientResponse) -> Self:
        """Returns the ending of a response whose body is still to be read."""
        connection = response.connection
        if connection is None or not is_close_delimited(response):
            return cls(None)
        return cls(connection.protocol)

    def check(self) -> None:
        """Raises ``UnusableAnswerError`` if the body that was read may be truncated."""
        error = self.protocol.exception() if self.protocol is not None else None
        if isinstance(error, aiohttp.ClientOSError):
            raise UnusableAnswerError("the connection was reset within the response")


def is_close_delimited(response: aiohttp.ClientResponse) -> bool:
    """Returns whether the body ends only where its connection closes."""
    has_length = (
        hdrs.CONTENT_LENGTH in response.headers
        or hdrs.TRANSFER_ENCODING in response.headers
    )
    return not has_length and not is_bodiless(response)
