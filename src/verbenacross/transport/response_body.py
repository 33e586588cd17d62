"""Streams the bodies of upstreams' responses to callers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING

from aiohttp import hdrs

from .exceptions import ConnectionBrokenError, SlowCallerError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp
    from aiohttp import web

    from .buffer_budget import BufferReservation

BODILESS_STATUSES = frozenset({204, 304})
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A connection copies what its caller does not take at once, so large bodies are sent in
# pieces of this size.
PIECE_BYTES = 65_536


def is_bodiless(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a response has no body by its method or status."""
    return response.method == hdrs.METH_HEAD or response.status in BODILESS_STATUSES


async def read_chunk(response: aiohttp.ClientResponse) -> bytes:
    """Returns the next part of a body as it arrives, empty at its end.

    Raises ``aiohttp.ClientError`` if the body is incomplete.
    """
    try:
        return await response.content.readany()
    except RuntimeError as error:
        # The client closes the connection itself when it cannot write the end of the
        # request body, and raises this error in the reader.
        raise ConnectionBrokenError(repr(error)) from error


async def read_limited(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    held: BufferReservation | None = None,
) -> tuple[bytes, bool]:
    """Returns the body and ``True``, or its start and ``False`` if it is larger.

    A body that ``held`` has no room for counts as larger.
    """
    parts, is_complete = await read_parts(response, max_bytes, held)
    return b"".join(parts), is_complete


async def read_parts(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    held: BufferReservation | None = None,
) -> tuple[deque[bytes], bool]:
    """As ``read_limited``, but returns the parts of the body as they arrived."""
    parts: deque[bytes] = deque()
    if is_bodiless(response):
        return parts, True
    size = 0
    while part := await read_chunk(response):
        parts.append(part)
        size += len(part)
        if size > max_bytes or (held is not None and not held.reserve(len(part))):
            return parts, False
    return parts, True


async def iterate_pieces(body: bytes) -> AsyncIterator[memoryview]:
    """Yields a body in pieces, each after the caller has taken most of the one before.

    The HTTP server waits for that between the pieces of an iterable.
    """
    view = memoryview(body)
    for start in range(0, len(body), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]


async def stream_body(
    upstream_response: aiohttp.ClientResponse, response: web.StreamResponse
) -> web.StreamResponse:
    """Streams a body to the caller as it arrives; ``response`` must be prepared."""
    while chunk := await read_chunk(upstream_response):
        await response.write(chunk)
    await response.write_eof()
    return response


async def stream_body_until(
    upstream_response: aiohttp.ClientResponse,
    response: web.StreamResponse,
    deadline: float,
    *,
    extension_s: float,
    body_start: deque[bytes],
) -> None:
    """Streams a body to the caller as it arrives, until a deadline.

    ``body_start`` holds the parts that were read already; they are sent first and
    removed. The end of the response is not written.

    A body of which half of the declared length has arrived by then gets ``extension_s``
    more, since the rest takes no longer at the same rate. A body without a declared
    length may never end. Raises ``TimeoutError``, or ``SlowCallerError`` if the time
    ended while the caller had yet to take what had arrived.
    """
    length = upstream_response.content_length
    received_bytes = sum(map(len, body_start))
    is_writing = True
    try:
        async with asyncio.timeout_at(deadline) as timeout:
            if length is not None and 2 * received_bytes >= length:
                timeout.reschedule(deadline + extension_s)
            while body_start:
                await response.write(body_start.popleft())
            is_writing = False
            while chunk := await read_chunk(upstream_response):
                received_bytes += len(chunk)
                if length is not None and 2 * received_bytes >= length:
                    timeout.reschedule(deadline + extension_s)
                is_writing = True
                await response.write(chunk)
                is_writing = False
    except TimeoutError as error:
        progress = f"{received_bytes} of {length or 'unknown'} bytes had arrived"
        if is_writing:
            raise SlowCallerError(
                f"the caller did not take the response in time; {progress}"
            ) from error
        raise TimeoutError(f"{progress} in time") from error


def is_closing(request: web.BaseRequest) -> bool:
    """Returns whether the caller's connection is closed or being closed."""
    return request.transport is None or request.transport.is_closing()


def reset_caller_connection(request: web.BaseRequest) -> None:
    """Resets the caller's connection so that a response does not look complete.

    An HTTP/1.0 caller takes an orderly close as the end of the body, so the connection
    is reset.
    """
    if request.transport is not None:
        reset_connection(request.transport)


def reset_connection(transport: asyncio.Transport) -> None:
    """Resets a connection; what was written and not sent yet is discarded."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
