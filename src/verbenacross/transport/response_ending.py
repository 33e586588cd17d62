"""Checks how a response ended that has no length."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Self

from aiohttp import hdrs

from .exceptions import UnusableAnswerError
from .response_body import is_bodiless
from .upstream_protocol import UpstreamProtocol

if TYPE_CHECKING:
    import aiohttp
    from aiohttp.client_proto import ResponseHandler


class ResponseEnding(NamedTuple):
    """The connection whose end marks the end of a body, ``None`` if a length does.

    The HTTP client takes any loss of the connection for that end. Only the end of the
    stream that the reader receives from the upstream is one. It completes the response
    also if the request body was not sent or read completely: an upstream may respond
    without it, and nothing else marks the end of such a response.
    """

    protocol: UpstreamProtocol | None

    @classmethod
    def from_response(
        cls, response: aiohttp.ClientResponse, protocol: ResponseHandler | None
    ) -> Self:
        """Returns the ending of a response that arrives on a connection.

        Raises ``UnusableAnswerError`` if the end of the connection marks that of the
        body and is not recorded.
        """
        if not is_close_delimited(response):
            return cls(None)
        if not isinstance(protocol, UpstreamProtocol):
            raise UnusableAnswerError("the end of the response cannot be checked")
        return cls(protocol)

    def check(self) -> None:
        """Raises ``UnusableAnswerError`` if the body that was read may be truncated."""
        if self.protocol is not None and not self.protocol.has_ended:
            raise UnusableAnswerError("the connection was lost within the response")


def is_close_delimited(response: aiohttp.ClientResponse) -> bool:
    """Returns whether the body ends only where its connection closes."""
    if is_bodiless(response):
        return False
    codings = response.headers.getall(hdrs.TRANSFER_ENCODING, ())
    if codings:
        # Only chunks mark the end of a body, if they are the last coding.
        return codings[-1].rpartition(",")[2].strip().lower() != "chunked"
    return hdrs.CONTENT_LENGTH not in response.headers
