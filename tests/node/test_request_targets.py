"""Request targets that URL libraries change: they arrive as sent, or are rejected."""

from __future__ import annotations

import asyncio

import pytest

from .conftest import HOST, build_rule, wait_until

# As the caller sends them, and as the upstream must receive them.
PASSED_ON = {
    b"/p?": b"/p?",
    b"/p??": b"/p??",
    b"/p?a=b+c%20d&&": b"/p?a=b+c%20d&&",
    b"/a/../b/./c": b"/a/../b/./c",
    b"//x//y": b"//x//y",
    b"/%7e%2F%zz%": b"/%7e%2F%zz%",
    b"/p;x?y;z=|[]{}\\^`": b"/p;x?y;z=|[]{}\\^`",
    b"/?http://other/x": b"/?http://other/x",
    f"http://{HOST}/p?".encode(): b"/p?",
    f"http://{HOST}?x=1".encode(): b"/?x=1",
    f"http://{HOST}?x=/1".encode(): b"/?x=/1",
    f"http://{HOST}".encode(): b"/",
}
REJECTED = [
    b"/p#f",
    b"/p?#",
    f"http://{HOST}/p#f".encode(),
    f"{HOST}:80".encode(),
    b"*",
    b"p",
    b"/\xff",
    b"/\xc3\xa9",
]


@pytest.fixture
async def root_site(empty_site):
    await empty_site.configure(build_rule("/"))
    await empty_site.add_upstream("u1")
    node = await empty_site.add_node()
    await node.wait_ready()
    await wait_until(lambda: node.find_lines("upstream discovered", upstream="u1"))
    return empty_site


async def call_raw(node, target: bytes, method: bytes = b"GET") -> int:
    """Sends a request on a connection of its own; returns the status."""
    host, _, port = node.settings["listen"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = f"Host: {HOST}\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\n"
        writer.write(method + b" " + target + b" HTTP/1.1\r\n" + fields.encode())
        status_line = await asyncio.wait_for(reader.readline(), 10.0)
        return int(status_line.split()[1])
    finally:
        writer.close()


@pytest.mark.parametrize("target", PASSED_ON)
async def test_target_is_passed_on_as_received(root_site, target):
    """Guards against requests that run with another target than their callers sent."""
    status = await call_raw(root_site.nodes[0], target)

    assert status == 200
    (run,) = root_site.find_runs("r1")
    assert run.target.encode() == PASSED_ON[target]


@pytest.mark.parametrize("target", REJECTED)
async def test_other_target_is_rejected(root_site, target):
    status = await call_raw(root_site.nodes[0], target)

    assert status == 400
    assert not root_site.find_runs("r1")


@pytest.mark.parametrize(
    ("method", "target"),
    [
        (b"CONNECT", f"{HOST}:80".encode()),
        (b"OPTIONS", b"*"),
    ],
)
async def test_request_without_a_path_is_not_passed_on(root_site, method, target):
    status = await call_raw(root_site.nodes[0], target, method)

    assert status in (400, 501)
    assert not root_site.upstreams[0].runs
