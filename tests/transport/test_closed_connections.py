"""What is reported of connections that the process closes itself."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from verbenacross.transport.caller_server import CallerServer
from verbenacross.transport.closed_connection import CloseReason

REQUEST = b"GET / HTTP/1.1\r\nHost: host.example\r\n\r\n"


class Site:
    """A server whose handler waits for ``release``, and the connections it closed."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.closed = []
        self.handled = 0
        self.server = CallerServer(self.handle, access_log=None)
        self.server.closed_connections.subscribe(self.closed.append)

    async def handle(self, request):
        self.handled += 1
        await self.release.wait()
        response = web.Response()
        if request.path == "/last":
            response.force_close()
        return response

    @property
    def connection(self):
        return self.server.connections[0]


@pytest.fixture
async def site():
    site = Site()
    loop = asyncio.get_running_loop()
    async with await loop.create_server(site.server, "127.0.0.1", 0) as server:
        site.port = server.sockets[0].getsockname()[1]
        yield site
        await site.server.shutdown(0.01)


async def wait_for(condition) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


async def test_idle_connection_is_reported_with_its_idle_time(site):
    site.release.set()
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(REQUEST)
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(0.1)

    site.connection.close_if_idle(CloseReason.IDLE)

    (closed,) = site.closed
    assert closed.reason is CloseReason.IDLE
    assert closed.idle_s > 0.09
    assert (closed.requests, closed.unanswered) == (1, 0)
    assert closed.caller == ":".join(map(str, writer.get_extra_info("sockname")))
    writer.close()


async def test_requests_without_a_response_are_counted(site):
    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(REQUEST + REQUEST)
    await wait_for(lambda: site.server.connections and site.connection._request_count)

    site.connection.close_reason = CloseReason.STALLED
    site.connection.force_close()

    assert [(c.reason, c.requests, c.unanswered) for c in site.closed] == [
        (CloseReason.STALLED, 2, 2)
    ]
    writer.close()


async def test_request_on_a_closed_connection_is_not_handled(site):
    """Guards against requests that are sent upstream though nobody gets the answer."""
    late = []
    site.server.late_requests.subscribe(late.append)
    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
    await wait_for(lambda: site.server.connections)
    await asyncio.sleep(0.02)
    connection = site.connection
    connection.data_received(REQUEST.replace(b"Host", b"X-Request-Id: r1\r\nHost"))
    connection.close_reason = CloseReason.STALLED
    connection.force_close()
    await wait_for(lambda: late)

    assert [(r.request_id, r.closed.reason) for r in late] == [
        ("r1", CloseReason.STALLED)
    ]
    assert site.handled == 0
    writer.close()


async def test_connection_that_its_caller_closes_is_not_reported(site):
    site.release.set()
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(REQUEST)
    await reader.readuntil(b"\r\n\r\n")
    writer.close()
    await wait_for(lambda: not site.server.connections)

    assert site.closed == []


async def test_requests_behind_a_closing_response_are_counted(site):
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(REQUEST.replace(b"/ ", b"/last ", 1) + REQUEST)
    await wait_for(lambda: site.server.connections and site.connection._request_count)
    site.release.set()
    await reader.read()

    assert [(c.reason, c.unanswered) for c in site.closed] == [
        (CloseReason.RESPONSE, 1)
    ]
    writer.close()


async def test_reset_within_a_response_is_told_from_a_closing_response(site):
    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(REQUEST)
    await wait_for(lambda: site.server.connections and site.connection._request_count)
    await wait_for(lambda: site.connection._request_in_progress)

    site.connection.transport.abort()

    assert [(c.reason, c.unanswered) for c in site.closed] == [
        (CloseReason.TRUNCATED, 1)
    ]
    writer.close()


async def test_close_of_the_server_is_reported_as_stop(site):
    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
    await wait_for(lambda: site.server.connections)

    await site.server.shutdown(0.01)

    assert [closed.reason for closed in site.closed] == [CloseReason.STOP]
    writer.close()
