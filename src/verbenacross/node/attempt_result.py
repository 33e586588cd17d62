"""Results of one attempt to send a request to an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import deque

    import aiohttp
    from multidict import CIMultiDict

    from ..transport.response_ending import ResponseEnding


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response of an upstream that ran the request."""

    status: int
    reason: str
    headers: CIMultiDict[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """A response whose body is too large to buffer.

    ``body_start`` holds the parts of the body that were read, and sending removes them;
    the rest is still to be read from ``response``. ``ending`` checks the body once it
    has been read.
    """

    response: aiohttp.ClientResponse
    headers: CIMultiDict[str]
    body_start: deque[bytes]
    ending: ResponseEnding


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream stated that it did not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class NoUsableResponse:
    """The attempt ended without a usable response.

    ``request_sent`` states whether the upstream may have run the request.
    ``stale_connection`` states that a reused connection turned out to be unusable,
    which is no evidence of a failure of the upstream. ``is_withdrawn`` states that the
    failure domain was evacuated while the connection was opened.
    """

    reason: str
    request_sent: bool
    stale_connection: bool = False
    timed_out: bool = False
    is_withdrawn: bool = False


AttemptResult = BufferedResponse | StreamedResponse | Rejected | NoUsableResponse
