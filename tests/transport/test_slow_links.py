"""Connections whose callers take a response long after it was handed to the kernel."""

from __future__ import annotations

import asyncio
import socket

import pytest
from aiohttp import web

from verbenacross.node.caller_connections import IDLE_MARGIN_S, CallerConnections
from verbenacross.transport.caller_protocol import ACKNOWLEDGE_S
from verbenacross.transport.caller_server import CallerServer
from verbenacross.transport.closed_connection import CloseReason
from verbenacross.transport.lingering_transport import LINGER_S

REQUEST = b"GET / HTTP/1.1\r\nHost: host.example\r\n\r\n"
IDLE_TIMEOUT_S = 15.0
BODY = b"x" * 1_000_000
ALL_DESCRIPTORS = 10_000


class Site:
    """A server like that of a node, and a caller that has yet to take its response."""

    def __init__(self) -> None:
        self.connections = CallerConnections(ALL_DESCRIPTORS)
        self.connections.idle_timeout_s = IDLE_TIMEOUT_S
        self.server = CallerServer(
            self.handle, get_idle_timeout_s=lambda: IDLE_TIMEOUT_S, access_log=None
        )

    async def handle(self, request):
        self.connections.mark_busy(request)
        try:
            response = web.Response(body=BODY)
            await response.prepare(request)
            await response.write_eof()
            return response
        finally:
            self.connections.mark_idle(request)

    @property
    def connection(self):
        return self.server.connections[0]

    async def let_idle_time_pass(self) -> None:
        """Makes the connection exceed its idle timeout at the next sweep."""
        await asyncio.sleep(ACKNOWLEDGE_S + 0.05)
        self.connection.idle_since -= IDLE_TIMEOUT_S + IDLE_MARGIN_S + 0.1
        self.connections.sweep(self.server)
        await asyncio.sleep(0.02)

    async def send(self) -> None:
        await asyncio.get_running_loop().sock_sendall(self.caller, REQUEST)

    async def take(self, size) -> None:
        """Takes bytes of the response; raises ``EOFError`` if the connection ends."""
        loop = asyncio.get_running_loop()
        while size:
            data = await loop.sock_recv(self.caller, min(size, 65_536))
            if not data:
                raise EOFError
            size -= len(data)

    async def take_head(self) -> int:
        """Takes the head of the response and some more; returns the rest's size."""
        data = await asyncio.get_running_loop().sock_recv(self.caller, 4_096)
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK")
        return len(BODY) - len(body)


@pytest.fixture
async def site():
    site = Site()
    loop = asyncio.get_running_loop()
    with socket.socket() as listener, socket.socket() as site.caller:
        listener.bind(("127.0.0.1", 0))
        # The kernel takes the whole response at once.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(BODY))
        site.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        site.caller.setblocking(False)
        async with await loop.create_server(site.server, sock=listener):
            await loop.sock_connect(site.caller, listener.getsockname())
            await site.send()
            async with asyncio.timeout(5.0):
                while (
                    not site.server.connections or not site.connection._answered_count
                ):
                    await asyncio.sleep(0.01)
            assert site.connection.get_unsent_bytes() == 0
            yield site
            await site.server.shutdown(0.01)


async def test_connection_is_kept_while_its_caller_takes_the_response(site):
    """Guards against requests of callers that could not know the time to be over.

    They count it from when they have received the response.
    """
    rest = await site.take_head()
    for _ in range(4):
        await site.let_idle_time_pass()
        await site.take(100_000)
    await site.take(rest - 400_000)
    await site.send()

    await site.take_head()


async def test_request_behind_a_close_does_not_discard_the_response(site):
    """Guards against a reset by a request that crosses the close of its connection."""
    rest = await site.take_head()
    site.connection.close_if_idle(CloseReason.TOO_MANY)
    await site.send()

    await site.take(rest)


async def test_idle_time_begins_when_the_caller_has_taken_the_response(site):
    """Guards against the same, for a response that was taken between two sweeps."""
    rest = await site.take_head()
    await site.let_idle_time_pass()
    await site.take(rest)
    await site.let_idle_time_pass()
    await site.send()
    await site.take(await site.take_head())
    await site.let_idle_time_pass()

    assert not site.server.connections


async def test_connection_is_closed_if_its_caller_takes_nothing(site):
    await site.let_idle_time_pass()
    await site.let_idle_time_pass()

    assert site.connection.is_closing()
    # It lingers, as the response is still on its way.
    async with asyncio.timeout(2 * LINGER_S):
        while site.server.connections:
            await asyncio.sleep(0.01)


async def test_connection_is_closed_once_its_caller_has_been_idle(site):
    await site.take(await site.take_head())
    await site.let_idle_time_pass()

    assert not site.server.connections
