"""Callers that stop reading a response and keep their connection open."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest

from .conftest import HOST, build_rule, wait_until

ROUTE_TIMEOUT_S = 1.0
# A caller that takes nothing for 10 s is reset; it gets its requests out before.
MAX_S_UNTIL_RESET = 15.0
# A response of this size is held until it is complete, one of the other is streamed.
HELD_BYTES = 1_800_000
STREAMED_BYTES = 12_000_000
RECEIVE_BUFFER_BYTES = 8_192


@pytest.fixture
async def site_of_one(empty_site):
    await empty_site.configure(
        build_rule("/safe/", timeout=f"{int(ROUTE_TIMEOUT_S * 1000)}ms")
    )
    await empty_site.add_upstream("u1")
    node = await empty_site.add_node()
    await node.wait_ready()
    await wait_until(lambda: node.find_lines("upstream discovered", upstream="u1"))
    return empty_site


@contextlib.asynccontextmanager
async def open_stalled_call(node, *request_ids):
    """Sends requests on one connection and reads nothing; yields the socket."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setblocking(False)
        host, _, port = node.settings["listen"].rpartition(":")
        await loop.sock_connect(caller, (host, int(port)))
        start = f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: "
        heads = "".join(f"{start}{request_id}\r\n\r\n" for request_id in request_ids)
        await loop.sock_sendall(caller, heads.encode())
        yield caller


async def read_gauge(node, name) -> float:
    url = f"http://{node.settings['metrics_listen']}/metrics"
    async with node._session.get(url) as response:
        lines = (await response.text()).splitlines()
    (line,) = [line for line in lines if f'name="{name}"' in line]
    return float(line.split()[-1])


async def read_until_reset(caller) -> int:
    """Returns how many bytes arrive before the connection is reset."""
    loop = asyncio.get_running_loop()
    size = 0
    with pytest.raises(ConnectionResetError):
        while data := await loop.sock_recv(caller, 65_536):
            size += len(data)
        pytest.fail("the connection ended in order")
    return size


async def test_memory_of_a_held_response_is_given_back(site_of_one):
    """Guards against held responses that stay until their callers disconnect."""
    node = site_of_one.nodes[0]
    site_of_one.upstreams[0].body = b"x" * HELD_BYTES
    started = time.monotonic()
    # The kernel takes the first ones on the way to the caller.
    request_ids = [f"stalled-{number}" for number in range(6)]
    async with open_stalled_call(node, *request_ids) as caller:
        await wait_until(lambda: read_gauge(node, "buffered_bytes"))
        status, _, _ = await node.call(request_id="other")
        assert status == 200
        await wait_until(
            lambda: read_gauge(node, "buffered_bytes"),
            expected=False,
            timeout_s=MAX_S_UNTIL_RESET,
        )
        assert time.monotonic() - started < MAX_S_UNTIL_RESET
        assert await read_until_reset(caller) < len(request_ids) * HELD_BYTES
    await wait_until(lambda: node.find_lines("caller takes no more of a response"))


async def test_upstream_of_a_stalled_caller_is_not_ejected(site_of_one):
    """Guards against a few slow callers that make all of them lose an upstream."""
    node = site_of_one.nodes[0]
    site_of_one.upstreams[0].body = b"x" * STREAMED_BYTES
    for number in range(4):
        async with open_stalled_call(node, f"stalled-{number}") as caller:
            await wait_until(
                lambda number=number: node.find_lines(
                    "response truncated", request_id=f"stalled-{number}"
                ),
                timeout_s=3 * ROUTE_TIMEOUT_S,
            )
            assert await read_until_reset(caller) < STREAMED_BYTES
    site_of_one.upstreams[0].body = b"small"

    status, _, body = await node.call(request_id="other")

    assert (status, body) == (200, b"small")
    assert not node.find_lines("upstream ejected")
    assert not site_of_one.upstreams[0].running


async def test_slow_caller_gets_the_whole_response(site_of_one):
    """A caller that reads slowly, but does read, is not cut off."""
    node = site_of_one.nodes[0]
    site_of_one.upstreams[0].body = b"x" * HELD_BYTES
    loop = asyncio.get_running_loop()
    async with open_stalled_call(node, "slow") as caller:
        received = b""
        while len(received) < HELD_BYTES:
            received += await loop.sock_recv(caller, 65_536)
            await asyncio.sleep(0.02)
        while not received.endswith(b"x" * HELD_BYTES):
            received += await loop.sock_recv(caller, 65_536)
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
