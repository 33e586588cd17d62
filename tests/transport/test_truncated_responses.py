"""Responses that end early, or whose end only the close of the connection marks.

A caller of HTTP/1.0 takes an orderly close as the end of a response without a length.
"""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from verbenacross.transport.caller_server import CallerServer

REQUEST = b"GET /%s HTTP/1.0\r\nHost: host.example\r\n"


class Site:
    """A server whose responses have no length, and that fails within some."""

    def __init__(self) -> None:
        self.server = CallerServer(
            self.handle, get_idle_timeout_s=lambda: 15.0, access_log=None
        )

    async def handle(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"a part")
        match request.path:
            case "/failing":
                raise RuntimeError("a fault within a response")
            case "/timeout":
                raise TimeoutError
            case "/endless":
                await asyncio.Event().wait()
        await response.write_eof(b" and the rest")
        return response

    async def call(self, path, headers=b""):
        """Sends a request; returns the caller's side after the first part."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST % path + headers + b"\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(b"a part"))
        return head, reader, writer


@pytest.fixture
async def site():
    site = Site()
    loop = asyncio.get_running_loop()
    async with await loop.create_server(site.server, "127.0.0.1", 0) as server:
        site.port = server.sockets[0].getsockname()[1]
        yield site
        await site.server.shutdown(0.01)


@pytest.mark.parametrize("path", [b"failing", b"timeout"])
async def test_response_that_fails_midway_does_not_look_complete(site, path):
    """Guards against callers that take a part of a response for the whole."""
    with pytest.raises(ConnectionResetError):
        _, reader, _ = await site.call(path)
        await asyncio.wait_for(reader.read(), 5.0)


async def test_response_cut_off_by_a_stop_does_not_look_complete(site):
    """Guards against callers that take a part of a response for the whole."""
    _, reader, _ = await site.call(b"endless")
    await site.server.shutdown(0.01)

    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(), 5.0)


async def test_response_that_only_a_close_ends_is_ended_by_one(site):
    """Guards against kept connections on which a caller waits for an end."""
    keep_alive = b"Connection: keep-alive\r\n"
    head, reader, writer = await site.call(b"whole", keep_alive)

    assert await asyncio.wait_for(reader.read(), 5.0) == b" and the rest"
    assert b"keep-alive" not in head.lower()
    writer.close()
