"""Requests sent ahead behind one whose handler fails."""

from __future__ import annotations

import asyncio

from aiohttp import web

from verbenacross.transport.caller_server import CallerServer

REQUEST = b"GET /%s HTTP/1.1\r\nHost: host.example\r\n\r\n"


async def handle(request):
    await asyncio.sleep(0.05)
    if request.path == "/failing":
        raise RuntimeError("a fault in the handler")
    return web.Response(text="the response")


async def test_requests_behind_a_fault_are_answered():
    """Guards against requests that run for nobody as the one before them fails."""
    server = CallerServer(handle, accepts_ahead=lambda: True, access_log=None)
    loop = asyncio.get_running_loop()
    async with await loop.create_server(server, "127.0.0.1", 0) as listening:
        port = listening.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % b"failing" + REQUEST % b"behind")
        head = await reader.readuntil(b"\r\n\r\n")
        received = await asyncio.wait_for(reader.readuntil(b"the response"), 5.0)
        writer.close()
        await server.shutdown(0.01)

    assert head.startswith(b"HTTP/1.1 500 ")
    assert b"HTTP/1.1 200 OK\r\n" in received
