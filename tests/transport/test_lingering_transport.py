"""Connections that are closed without a reset."""

import asyncio
import socket

import pytest

from verbenacross.transport import lingering_transport
from verbenacross.transport.lingering_transport import LingeringTransport

LINGER_S = 0.2


class StubProtocol(asyncio.Protocol):
    """Protocol of a server that closes its connections at once."""

    def __init__(self) -> None:
        self.close_count = 0
        self.lost = asyncio.Event()

    def connection_made(self, transport) -> None:
        self.transport = LingeringTransport(transport, self.count_close)
        self.transport.write(b"the last response")
        self.transport.close()
        self.transport.close()

    def connection_lost(self, exc) -> None:
        self.transport.cancel_timer()
        self.lost.set()

    def count_close(self) -> None:
        self.close_count += 1


@pytest.fixture
async def connection(monkeypatch):
    """The protocol of a connection that lingers, and its caller's socket."""
    monkeypatch.setattr(lingering_transport, "LINGER_S", LINGER_S)
    loop = asyncio.get_running_loop()
    protocol = StubProtocol()
    server = await loop.create_server(lambda: protocol, "127.0.0.1", 0)
    async with server:
        with socket.socket() as caller:
            caller.setblocking(False)
            await loop.sock_connect(caller, server.sockets[0].getsockname())
            yield protocol, caller


async def read_all(caller) -> bytes:
    loop = asyncio.get_running_loop()
    received = b""
    while data := await loop.sock_recv(caller, 100):
        received += data
    return received


async def test_bytes_after_the_end_reset_nothing(connection):
    """Guards against a reset that discards what is on its way to the caller."""
    protocol, caller = connection
    await asyncio.get_running_loop().sock_sendall(caller, b"the next request")
    await asyncio.sleep(LINGER_S / 4)

    assert not protocol.lost.is_set()
    assert await read_all(caller) == b"the last response"
    assert protocol.transport.is_closing()
    assert protocol.close_count == 1


async def test_connection_ends_once_the_caller_closes_its_side(connection):
    protocol, caller = connection
    assert await read_all(caller) == b"the last response"
    caller.close()

    async with asyncio.timeout(LINGER_S / 2):
        await protocol.lost.wait()


async def test_connection_ends_though_the_caller_keeps_its_side_open(connection):
    protocol, _ = connection

    async with asyncio.timeout(LINGER_S * 5):
        await protocol.lost.wait()


async def test_connection_ends_though_its_caller_takes_nothing(connection, monkeypatch):
    """Guards against descriptors that callers hold by taking no response."""
    monkeypatch.setattr(lingering_transport, "MAX_LINGER_S", 2 * LINGER_S)
    protocol, caller = connection
    await asyncio.sleep(0)
    protocol.transport._transport.get_write_buffer_size = lambda: 1
    protocol.transport._linger_end = asyncio.get_running_loop().time() + 2 * LINGER_S

    async with asyncio.timeout(LINGER_S * 10):
        await protocol.lost.wait()


async def test_closing_at_once_does_not_wait_for_the_caller(connection):
    protocol, _ = connection
    await asyncio.sleep(0)
    protocol.transport.close_now()

    async with asyncio.timeout(LINGER_S / 2):
        await protocol.lost.wait()
