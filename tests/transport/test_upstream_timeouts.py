"""Connections to upstreams that state how long they keep them idle."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest
from multidict import CIMultiDict

from verbenacross.transport.single_attempt_middleware import SingleAttemptMiddleware
from verbenacross.transport.upstream_client import UpstreamClient

CONNECT_TIMEOUT_MS = 5_000
HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"


class Upstream:
    """A server whose responses have ``header``; it never closes a connection."""

    def __init__(self, header: str) -> None:
        self.response = f"{HEAD}{header}\r\nok".encode()
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.response)
        except asyncio.IncompleteReadError:
            writer.close()


async def count_connections(header, idle_s) -> int:
    """Returns how many connections two requests use, ``idle_s`` apart."""
    upstream = Upstream(header)
    async with AsyncExitStack() as stack:
        client = await UpstreamClient.from_stack(stack, 8_190)
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        await stack.enter_async_context(server)
        port = server.sockets[0].getsockname()[1]
        for pause_s in (idle_s, 0.0):
            response = await client.send(
                "GET",
                f"http://127.0.0.1:{port}",
                "/",
                CIMultiDict(),
                None,
                SingleAttemptMiddleware(),
                CONNECT_TIMEOUT_MS,
                new_connection=False,
            )
            assert await response.read() == b"ok"
            await asyncio.sleep(pause_s)
    return upstream.connections


@pytest.mark.parametrize(
    "header", ["Keep-Alive: timeout=1\r\n", "Keep-Alive: max=9, timeout = 1\r\n"]
)
async def test_connection_is_not_reused_as_the_upstream_may_close_it(header):
    """Guards against requests on connections that their upstreams are closing."""
    assert await count_connections(header, idle_s=0.9) == 2


@pytest.mark.parametrize("header", ["", "Keep-Alive: timeout=x\r\n"])
async def test_connection_without_a_stated_time_is_reused(header):
    assert await count_connections(header, idle_s=0.9) == 1


async def test_connection_is_reused_within_the_stated_time():
    assert await count_connections("Keep-Alive: timeout=5\r\n", idle_s=0.9) == 1


async def test_connection_is_not_reused_if_it_is_not_kept_at_all():
    assert await count_connections("Keep-Alive: timeout=0\r\n", idle_s=0.0) == 2
