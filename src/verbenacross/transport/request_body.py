"""Buffers or streams the body of a caller's request to upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp.web import RequestPayloadError

from .exceptions import CallerBodyError, CallerBodyTooLargeError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

MAX_BUFFERED_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBody:
    """Body of a caller's request.

    A body whose ``Content-Length`` is at most ``MAX_BUFFERED_BYTES`` is buffered before
    the first attempt and can be sent again. Any other body is streamed and can be sent
    again only until the stream is read. ``failed`` tells whether reading from the
    caller failed in a stream, ``is_too_large`` whether the reason was a body of more
    than ``max_bytes``.
    """

    __slots__ = (
        "_buffered",
        "_max_bytes",
        "_prefix",
        "_request",
        "_stream_started",
        "failed",
        "is_too_large",
    )

    def __init__(self, request: web.BaseRequest, max_bytes: float = math.inf) -> None:
        self._request = request
        self._max_bytes = max_bytes
        self._buffered: bytes | None = None
        self._prefix = b""
        self._stream_started = False
        self.failed = False
        self.is_too_large = False

    async def buffer_small(self) -> None:
        """Buffers a small body; raises ``CallerBodyError`` if it is incomplete."""
        request = self._request
        length = request.content_length
        if length is None or length > MAX_BUFFERED_BYTES or not request.body_exists:
            return
        self._send_continue()
        try:
            self._buffered = await request.content.read()
        except (RequestPayloadError, OSError) as error:
            raise CallerBodyError(repr(error)) from error

    async def buffer_chunked(self, max_bytes: int) -> None:
        """Buffers a body of unknown length if it has at most ``max_bytes``.

        The part of a larger body that was read is sent first when it is streamed.
        Raises ``CallerBodyError`` if the body is incomplete.
        """
        request = self._request
        if not request.body_exists or request.content_length is not None:
            return
        self._send_continue()
        parts: list[bytes] = []
        size = 0
        try:
            while size <= max_bytes:
                part = await request.content.readany()
                if not part and request.content.at_eof():
                    self._buffered = b"".join(parts)
                    return
                parts.append(part)
                size += len(part)
        except (RequestPayloadError, OSError) as error:
            raise CallerBodyError(repr(error)) from error
        self._prefix = b"".join(parts)

    def build_payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body to be sent by the HTTP client."""
        if self._buffered is not None:
            return self._buffered
        if not self._request.body_exists:
            return None
        return self._stream()

    def is_replayable(self) -> bool:
        """Returns whether the complete body can be sent again."""
        return not self._stream_started

    def is_buffered(self) -> bool:
        """Returns whether two attempts may send the complete body at the same time."""
        return self._buffered is not None or not self._request.body_exists

    async def _stream(self) -> AsyncIterator[bytes]:
        self._stream_started = True
        self._send_continue()
        size = len(self._prefix)
        try:
            if self._prefix:
                yield self._prefix
            async for chunk in self._request.content.iter_any():
                size += len(chunk)
                if size > self._max_bytes:
                    self.failed = self.is_too_large = True
                    raise CallerBodyTooLargeError(
                        f"the body exceeds {self._max_bytes} bytes"
                    )
                yield chunk
        except (RequestPayloadError, OSError) as error:
            self.failed = True
            raise CallerBodyError(repr(error)) from error

    def _send_continue(self) -> None:
        request = self._request
        if hdrs.EXPECT in request.headers and request.transport is not None:
            request.transport.write(CONTINUE)
