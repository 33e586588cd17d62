"""Refused requests with others behind them on the same connection."""

from __future__ import annotations

import asyncio
import re

import pytest

from .conftest import HOST

END = b" HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nX-Request-Id: %s\r\n\r\n"


async def open_connection(node):
    host, _, port = node.settings["listen"].rpartition(":")
    return await asyncio.open_connection(host, int(port))


@pytest.mark.parametrize("start", [b"OPTIONS *", b"GET /safe/x#fragment"])
async def test_requests_behind_a_malformed_target_are_answered(site, start):
    """Guards against requests that run for nobody as the response before them closes.

    Requests that were sent ahead may be at an upstream by then.
    """
    reader, writer = await open_connection(site.nodes[0])
    for upstream in site.upstreams:
        upstream.service_time_s = 0.2
    names = (b"behind-1", b"behind-2")
    heads = [b"GET /safe/x" + END % b"first", start + END % b"refused"]
    writer.write(b"".join(heads + [b"GET /safe/x" + END % name for name in names]))
    received = b""
    async with asyncio.timeout(5.0):
        while received.count(b"HTTP/1.1 ") < 4:
            if not (data := await reader.read(65_536)):
                break
            received += data
    writer.close()

    statuses = re.findall(rb"HTTP/1.1 (\d+) ", received)
    assert statuses == [b"200", b"400", b"200", b"200"]
    for name in names:
        assert len(site.find_runs(name.decode())) == 1
