"""Passes the bodies of upstreams' answers on to callers."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from aiohttp import hdrs

if TYPE_CHECKING:
    import aiohttp
    from aiohttp import web

BODILESS_STATUSES = frozenset({204, 304})
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def is_bodiless(answer: aiohttp.ClientResponse) -> bool:
    """Returns whether an answer never has a body."""
    return answer.method == hdrs.METH_HEAD or answer.status in BODILESS_STATUSES


async def stream_body(
    answer: aiohttp.ClientResponse, response: web.StreamResponse
) -> web.StreamResponse:
    """Passes a body on as it arrives; the response must be prepared."""
    async for chunk in answer.content.iter_any():
        await response.write(chunk)
    await response.write_eof()
    return response


def reset_caller_connection(request: web.BaseRequest) -> None:
    """Breaks the caller's connection so that no answer on it looks whole.

    The reset also tells an HTTP/1.0 caller, whose body ends with the connection.
    """
    transport = request.transport
    if transport is None:
        return
    opened = transport.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
