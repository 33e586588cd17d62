"""Body of a caller's request on its way to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp.web import RequestPayloadError

from .exceptions import CallerBodyError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

MAX_BUFFERED_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBody:
    """Body of a caller's request.

    A body whose announced length is at most ``MAX_BUFFERED_BYTES`` is read before the
    first attempt and can be sent again. Any other body is streamed and can be sent
    again only while nothing of it was read.
    """

    __slots__ = ("_buffered", "_prefix", "_request", "_started", "failed")

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._buffered: bytes | None = None
        self._prefix = b""
        self._started = False
        self.failed = False

    async def buffer_small(self) -> None:
        """Reads a small body; raises ``CallerBodyError`` if it is not whole."""
        request = self._request
        length = request.content_length
        if length is None or length > MAX_BUFFERED_BYTES or not request.body_exists:
            return
        self._invite()
        try:
            self._buffered = await request.content.read()
        except (RequestPayloadError, OSError) as error:
            raise CallerBodyError(repr(error)) from error

    async def buffer_chunked(self, max_bytes: int) -> None:
        """Reads a body of unknown length up to ``max_bytes``, to hold it if it ends.

        Raises ``CallerBodyError`` if it is not whole.
        """
        request = self._request
        if not request.body_exists or request.content_length is not None:
            return
        self._invite()
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
        """Returns what the HTTP client sends."""
        if self._buffered is not None:
            return self._buffered
        if not self._request.body_exists:
            return None
        return self._stream()

    def is_replayable(self) -> bool:
        """Returns whether the whole body can be sent again."""
        return not self._started

    async def _stream(self) -> AsyncIterator[bytes]:
        self._started = True
        self._invite()
        try:
            if self._prefix:
                yield self._prefix
            async for chunk in self._request.content.iter_any():
                yield chunk
        except (RequestPayloadError, OSError) as error:
            self.failed = True
            raise CallerBodyError(repr(error)) from error

    def _invite(self) -> None:
        request = self._request
        if hdrs.EXPECT in request.headers and request.transport is not None:
            request.transport.write(CONTINUE)
