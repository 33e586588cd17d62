"""Requests that arrive while the process closes their caller's connection.

The sweep runs at chosen moments of the event loop, without a node process: the server
and the limits on its connections are those of the node.
"""

from __future__ import annotations

import asyncio
import contextlib
import re

import pytest
from aiohttp import web

from verbenacross.node.caller_connections import IDLE_MARGIN_S, CallerConnections
from verbenacross.transport.caller_server import CallerServer

REQUEST = b"GET / HTTP/1.1\r\nHost: host.example\r\n\r\n"
ALL_DESCRIPTORS = 10_000


class Site:
    """A server like that of a node, and a connection of a caller with one response."""

    def __init__(self) -> None:
        self.handled = 0
        self.handling_time_s = 0.0
        self.connections = CallerConnections(ALL_DESCRIPTORS)
        self.connections.idle_timeout_s = 15.0
        self.server = CallerServer(
            self.handle,
            get_idle_timeout_s=lambda: self.connections.idle_timeout_s,
            access_log=None,
        )

    async def handle(self, request):
        self.connections.mark_busy(request)
        self.handled += 1
        await asyncio.sleep(self.handling_time_s)
        try:
            return web.Response(text="the response")
        finally:
            self.connections.mark_idle(request)

    async def connect(self, port) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.write(REQUEST)
        assert await self.read_status() == 200
        # The connection waits for its next request.
        await asyncio.sleep(0.02)

    async def read_status(self) -> int:
        """Returns the status of the next response, 0 if the connection ends."""
        try:
            head = await self.reader.readuntil(b"the response")
        except asyncio.IncompleteReadError as error:
            head = error.partial
        except ConnectionResetError:
            return 0
        match = re.match(rb"HTTP/1.1 (\d+) ", head)
        return int(match[1]) if match else 0

    @property
    def connection(self):
        return self.server.connections[0]

    def let_idle_time_pass(self, time_s) -> None:
        self.connection.idle_since -= time_s

    def receive_in_kernel(self, data) -> None:
        """Sends bytes that the server's event loop has yet to read."""
        self.writer.get_extra_info("socket")._sock.send(data)


@pytest.fixture
async def site():
    site = Site()
    loop = asyncio.get_running_loop()
    async with await loop.create_server(site.server, "127.0.0.1", 0) as server:
        await site.connect(server.sockets[0].getsockname()[1])
        yield site
        site.writer.close()
        await site.server.shutdown(0.01)


def exceed_idle_timeout(site) -> None:
    site.let_idle_time_pass(15.0 + IDLE_MARGIN_S + 0.1)


def exceed_number(site) -> None:
    site.connections._max_connections = 0


@pytest.mark.parametrize("exceed_limit", [exceed_idle_timeout, exceed_number])
async def test_request_that_was_read_is_answered_though_its_handler_has_not_begun(
    site, exceed_limit
):
    """Guards against connections that are closed with a request read, LOST."""
    exceed_limit(site)
    site.connection.data_received(REQUEST)
    site.connections.sweep(site.server)

    assert await site.read_status() == 200
    assert site.handled == 2


@pytest.mark.parametrize("exceed_limit", [exceed_idle_timeout, exceed_number])
async def test_request_that_has_arrived_is_answered_though_it_was_not_read(
    site, exceed_limit
):
    """Guards against requests that are read and dropped behind the close."""
    exceed_limit(site)
    site.receive_in_kernel(REQUEST)
    site.connections.sweep(site.server)

    assert await site.read_status() == 200
    assert site.handled == 2


@pytest.mark.parametrize("exceed_limit", [exceed_idle_timeout, exceed_number])
async def test_request_that_crosses_the_close_is_not_read(site, exceed_limit):
    """Guards against requests that are read when they can no longer be answered.

    A caller may repeat what was not read, whatever its method.
    """
    exceed_limit(site)
    connection = site.connection
    site.connections.sweep(site.server)
    await asyncio.sleep(0.02)
    requests_before = connection._request_count
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        site.receive_in_kernel(REQUEST)
    await asyncio.sleep(0.02)

    assert await site.read_status() == 0
    assert connection._request_count == requests_before
    assert site.handled == 1
    assert connection not in site.server.connections


async def test_head_that_takes_too_long_is_refused(site):
    """Guards against a caller that cannot know whether its request was read."""
    site.connections.header_timeout_s = 3.0
    site.writer.write(REQUEST[:20])
    await asyncio.sleep(0.02)
    site.connection.head_since -= 3.1
    site.connections.sweep(site.server)

    received = (await site.reader.read()).lower()

    # The library does not know the version of a request that it has not parsed.
    assert received.startswith(b"http/1.0 408 ")
    assert b"\r\nexecution-status: not-run\r\n" in received
    assert site.handled == 1


async def test_head_whose_end_has_arrived_is_not_too_slow(site):
    site.connections.header_timeout_s = 3.0
    site.writer.write(REQUEST[:20])
    await asyncio.sleep(0.02)
    site.connection.head_since -= 3.1
    site.receive_in_kernel(REQUEST[20:])
    site.connections.sweep(site.server)

    assert await site.read_status() == 200


async def test_request_whose_head_has_begun_is_not_cut_off_as_idle(site):
    """Guards against requests of which only the first packet was read in time."""
    site.connections.header_timeout_s = 3.0
    site.writer.write(REQUEST[:20])
    await asyncio.sleep(0.02)
    exceed_idle_timeout(site)
    site.connections.sweep(site.server)
    await asyncio.sleep(0.02)
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        site.receive_in_kernel(REQUEST[20:])

    assert await site.read_status() == 200
    assert site.handled == 2


async def test_lower_idle_timeout_does_not_close_what_callers_may_use(site):
    """Guards against requests on connections whose callers go by the limit before.

    They can know the new one from the next response, not while the connection is idle.
    """
    site.let_idle_time_pass(9.0)
    site.connections.idle_timeout_s = 3.0
    site.connections.sweep(site.server)
    await asyncio.sleep(0.02)

    site.writer.write(REQUEST)

    assert await site.read_status() == 200
    assert site.handled == 2


async def test_lower_idle_timeout_applies_from_the_next_response_on(site):
    site.connections.idle_timeout_s = 3.0
    site.connections.sweep(site.server)
    site.writer.write(REQUEST)
    head = await site.reader.readuntil(b"the response")
    assert b"\r\nConnection: keep-alive\r\n" in head
    assert b"\r\nKeep-Alive: timeout=3\r\n" in head
    await asyncio.sleep(0.02)
    site.let_idle_time_pass(3.0 + IDLE_MARGIN_S + 0.1)
    site.connections.sweep(site.server)

    assert await site.read_status() == 0


async def test_higher_idle_timeout_applies_to_idle_connections(site):
    """Callers may also go by the operator's configuration."""
    site.connections.idle_timeout_s = 30.0
    site.let_idle_time_pass(20.0)
    site.connections.sweep(site.server)
    await asyncio.sleep(0.02)

    site.writer.write(REQUEST)

    assert await site.read_status() == 200


async def test_idle_timeout_that_is_raised_briefly_applies_to_idle_connections(site):
    """Guards against a raised limit that is forgotten when it is lowered again."""
    site.let_idle_time_pass(20.0)
    site.connections.idle_timeout_s = 30.0
    site.connections.idle_timeout_s = 3.0
    for _ in range(2):
        site.connections.sweep(site.server)
    await asyncio.sleep(0.02)

    site.writer.write(REQUEST)

    assert await site.read_status() == 200


async def test_request_read_as_the_server_closes_is_answered(site):
    """Guards against requests that are read at the end of a stop and dropped."""
    site.connection.data_received(REQUEST)
    closing = asyncio.create_task(site.server.shutdown(1.0))

    assert await site.read_status() == 200
    await closing


async def stop(site) -> None:
    """Closes the connections as at the end of a planned stop."""
    await site.server.close_idle(asyncio.get_running_loop().time() + 5.0)
    site.server.pre_shutdown()
    await site.server.shutdown(0.05)


async def test_request_read_at_the_end_of_a_stop_is_answered(site):
    """Guards against a stop that cuts off a handler which has just begun."""
    site.handling_time_s = 0.2
    site.connection.data_received(REQUEST)
    stopping = asyncio.create_task(stop(site))

    assert await site.read_status() == 200
    await stopping
    assert await site.read_status() == 0


async def test_request_that_arrives_at_the_end_of_a_stop_is_answered(site):
    """Guards against requests that a stop reads and drops."""
    site.receive_in_kernel(REQUEST)
    stopping = asyncio.create_task(stop(site))

    assert await site.read_status() == 200
    await stopping
    assert site.handled == 2


async def test_request_that_crosses_the_end_of_a_stop_is_not_read(site):
    """Guards against requests that a stop reads and drops."""
    connection = site.connection
    await site.server.close_idle(asyncio.get_running_loop().time() + 5.0)
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        site.receive_in_kernel(REQUEST)
    await asyncio.sleep(0.02)

    assert await site.read_status() == 0
    assert connection._request_count == 1


async def stop_after_its_end(site) -> None:
    """Closes the connections as a stop does whose time another request used up."""
    await site.server.close_idle(asyncio.get_running_loop().time())
    site.server.pre_shutdown()
    await site.server.shutdown(0.05)


async def test_request_that_arrives_as_the_time_of_a_stop_ends_is_answered(site):
    """Guards against requests that are read and dropped when a stop has no time left.

    A request in flight on another connection may use up the time.
    """
    site.receive_in_kernel(REQUEST)
    stopping = asyncio.create_task(stop_after_its_end(site))

    assert await site.read_status() == 200
    await stopping
    assert site.handled == 2


async def test_request_that_crosses_a_stop_without_time_left_is_not_read(site):
    """Guards against requests that are read and dropped when a stop has no time left.

    Its other connections are closed only after the last handlers have ended.
    """
    connection = site.connection
    await site.server.close_idle(asyncio.get_running_loop().time())

    assert connection.is_closing()
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        site.receive_in_kernel(REQUEST)
    await asyncio.sleep(0.02)
    assert await site.read_status() == 0
    assert connection._request_count == 1


async def test_end_of_a_stop_does_not_wait_for_a_request_without_end(site):
    site.handling_time_s = 5.0
    site.connection.data_received(REQUEST)
    started = asyncio.get_running_loop().time()

    await site.server.close_idle(started + 0.1)

    assert asyncio.get_running_loop().time() - started < 1.0


async def test_request_behind_that_was_not_read_counts_as_input(site):
    """Guards against requests that have arrived and are dropped during a stop.

    The bytes are in the kernel when the response before them is sent.
    """
    connection = site.connection
    assert not connection.has_input_behind()

    site.receive_in_kernel(REQUEST)

    assert connection.has_input_behind()


async def test_body_that_was_not_read_is_no_request_behind(site):
    """Guards against a stop that takes the rest of a body for a further request."""
    connection = site.connection
    head = b"POST / HTTP/1.1\r\nHost: host.example\r\nContent-Length: 10\r\n\r\n"
    site.handling_time_s = 0.1
    connection.data_received(head)
    await asyncio.sleep(0.02)

    site.receive_in_kernel(b"x" * 10)

    assert not connection.has_input_behind()


async def test_end_of_a_stop_does_not_wait_for_input_that_is_no_longer_read(site):
    """Guards against a stop that lasts until it is cut off, for a streamed response.

    Such a response does not close its connection.
    """
    site.connection.end_input()
    site.connection.end_input()
    site.receive_in_kernel(REQUEST)
    started = asyncio.get_running_loop().time()

    await site.server.close_idle(started + 5.0)

    assert asyncio.get_running_loop().time() - started < 1.0
