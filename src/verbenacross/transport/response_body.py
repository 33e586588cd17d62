"""Streams the bodies of upstreams' responses to callers."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

from aiohttp import hdrs

if TYPE_CHECKING:
    import aiohttp
    from aiohttp import web

    from .buffer_budget import BufferReservation

BODILESS_STATUSES = frozenset({204, 304})
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def is_bodiless(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a response has no body by its method or status."""
    return response.method == hdrs.METH_HEAD or response.status in BODILESS_STATUSES


async def read_limited(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    held: BufferReservation | None = None,
) -> tuple[bytes, bool]:
    """Returns the body and ``True``, or its start and ``False`` if it is larger.

    A body that ``held`` has no room for counts as larger.
    """
    if is_bodiless(response):
        return b"", True
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes or (held is not None and not held.reserve(len(part))):
            return b"".join(parts), False
    return b"".join(parts), True


async def stream_body(
    upstream_response: aiohttp.ClientResponse, response: web.StreamResponse
) -> web.StreamResponse:
    """Streams a body to the caller as it arrives; ``response`` must be prepared."""
    async for chunk in upstream_response.content.iter_any():
        await response.write(chunk)
    await response.write_eof()
    return response


async def stream_body_until(
    upstream_response: aiohttp.ClientResponse,
    response: web.StreamResponse,
    deadline: float,
    *,
    extension_s: float,
    received_bytes: int,
) -> None:
    """Streams a body to the caller as it arrives, until a deadline.

    The end of the response is not written.

    A body of which half of the declared length has arrived by then gets ``extension_s``
    more, since the rest takes no longer at the same rate. A body without a declared
    length may never end. ``received_bytes`` is the size of the part that was sent
    already. Raises ``TimeoutError``.
    """
    length = upstream_response.content_length
    try:
        async with asyncio.timeout_at(deadline) as timeout:
            async for chunk in upstream_response.content.iter_any():
                received_bytes += len(chunk)
                if length is not None and 2 * received_bytes >= length:
                    timeout.reschedule(deadline + extension_s)
                await response.write(chunk)
    except TimeoutError as error:
        raise TimeoutError(
            f"{received_bytes} of {length or 'unknown'} bytes had arrived in time"
        ) from error


def is_closing(request: web.BaseRequest) -> bool:
    """Returns whether the caller's connection is closed or being closed."""
    return request.transport is None or request.transport.is_closing()


def reset_caller_connection(request: web.BaseRequest) -> None:
    """Resets the caller's connection so that a response does not look complete.

    An HTTP/1.0 caller takes an orderly close as the end of the body, so the connection
    is reset.
    """
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
