"""Idle connections that the HTTP library closes by its own timer."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web

from verbenacross.transport.caller_server import CallerServer
from verbenacross.transport.closed_connection import CloseReason

REQUEST = b"GET / HTTP/1.1\r\nHost: host.example\r\n\r\n"


async def handle(request):
    return web.Response(text="the response")


@contextlib.asynccontextmanager
async def open_connection(keepalive_timeout):
    """Yields a server, and a connection of a caller with one response."""
    server = CallerServer(handle, access_log=None, keepalive_timeout=keepalive_timeout)
    loop = asyncio.get_running_loop()
    async with await loop.create_server(server, "127.0.0.1", 0) as listening:
        port = listening.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await reader.readuntil(b"the response")
        await asyncio.sleep(0.02)
        yield server, reader, writer
        writer.close()
        await server.shutdown(0.01)


async def test_request_that_has_arrived_as_the_timer_ends_is_answered():
    """Guards against requests that are read and dropped behind the close."""
    async with open_connection(60.0) as (server, reader, writer):
        (connection,) = server.connections
        connection._next_keepalive_close_time = 0.0
        writer.get_extra_info("socket")._sock.send(REQUEST)
        connection._process_keepalive()

        response = await asyncio.wait_for(reader.readuntil(b"the response"), 5.0)
    assert response.startswith(b"HTTP/1.1 200 OK")


async def test_request_that_crosses_the_end_of_the_timer_is_not_read():
    """Guards against requests that are read when they can no longer be answered."""
    async with open_connection(0.2) as (server, reader, writer):
        closed = []
        server.closed_connections.subscribe(closed.append)
        (connection,) = server.connections
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        await asyncio.sleep(0.02)
        assert not server.connections

    assert connection._request_count == 1
    assert [close.reason for close in closed] == [CloseReason.IDLE]
