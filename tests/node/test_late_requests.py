"""Requests that reach a node late in the grace period of a planned stop."""

from __future__ import annotations

import asyncio
import re
import signal
import time

import pytest

from .conftest import GRACE_PERIOD_S, HOST, build_rule, wait_until

# Requests are refused from this share of the grace period on.
REFUSED_FROM_S = GRACE_PERIOD_S / 2
BODY = b"x" * 1000
# A request that was sent this long before the end of its connection must be answered.
LOSS_SLACK_S = 0.2


async def open_connection(node):
    host, _, port = node.settings["listen"].rpartition(":")
    return await asyncio.open_connection(host, int(port))


def build_head(path, request_id="r1", deadline_ms=20_000) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(BODY)}\r\n\r\n"
    ).encode()


async def open_request(node, path, part=b""):
    reader, writer = await open_connection(node)
    writer.write(build_head(path) + part)
    return reader, writer


async def read_response(reader):
    """Returns status and head of a response, status 0 if there is none."""
    received = await reader.read()
    match = re.match(rb"HTTP/1.1 (\d+) ", received)
    return int(match[1]) if match else 0, received.lower()


@pytest.fixture
async def slow_site(empty_site):
    rules = [build_rule("/safe/", timeout="20s")]
    rules.append(build_rule("/once/", kind="unsafe", timeout="20s"))
    await empty_site.configure(*rules)
    await empty_site.add_upstream("u1")
    await empty_site.add_upstream("u2")
    node = await empty_site.add_node()
    await node.wait_ready()
    await wait_until(lambda: node.find_lines("upstream discovered", upstream="u2"))
    return empty_site


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
async def test_body_that_ends_late_is_not_passed_on(slow_site, path):
    """Guards against requests that are passed on late and cut without an answer.

    The head arrives while requests are still taken, the end of the body much later.
    """
    for upstream in slow_site.upstreams:
        upstream.service_time_s = 2.5
    node = slow_site.nodes[0]
    node.send_signal(signal.SIGTERM)
    await asyncio.sleep(REFUSED_FROM_S - 0.5)
    reader, writer = await open_request(node, path, BODY[:10])
    await asyncio.sleep(1.5)
    writer.write(BODY[10:])

    status, head = await read_response(reader)
    writer.close()

    assert status == 503
    assert b"retry-after:" in head
    assert await node.wait_exit() == 0
    assert slow_site.find_runs("r1") == []


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
async def test_request_that_cannot_end_before_the_process_is_answered(slow_site, path):
    """Guards against a cut connection where the caller can be told the outcome.

    The upstream must be told how much time is left, so that it stops its work.
    """
    for upstream in slow_site.upstreams:
        upstream.service_time_s = 10.0
    node = slow_site.nodes[0]
    node.send_signal(signal.SIGTERM)
    await asyncio.sleep(REFUSED_FROM_S - 0.5)
    reader, writer = await open_request(node, path, BODY)

    status, _ = await read_response(reader)
    writer.close()

    assert status == 504
    assert await node.wait_exit() == 0
    (run,) = slow_site.find_runs("r1")
    left_s = int(run.headers["x-deadline-ms"]) / 1000
    assert left_s < GRACE_PERIOD_S - REFUSED_FROM_S + 0.5


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
async def test_request_that_may_outlast_the_process_is_refused(slow_site, path):
    """Guards against requests that are taken in a long grace period and broken off.

    They arrive on kept connections once the load balancer sends no new ones, so that
    another instance can serve them. Requests that end in time are still taken.
    """
    slow_site.upstreams[0].service_time_s = slow_site.upstreams[1].service_time_s = 0.2
    node = await slow_site.add_node("node-2", grace_period="10s")
    await node.wait_ready()
    await wait_until(lambda: node.find_lines("upstream discovered", upstream="u2"))
    connections = [await open_connection(node) for _ in range(3)]
    node.send_signal(signal.SIGTERM)
    await asyncio.sleep(2.0)
    connections[2][1].write(build_head(path, "body-ends-late") + BODY[:10])
    await asyncio.sleep(1.4)
    connections[0][1].write(build_head(path, "long") + BODY)
    connections[1][1].write(build_head(path, "short", deadline_ms=4_000) + BODY)
    connections[2][1].write(BODY[10:])

    responses = [await read_response(reader) for reader, _ in connections]
    for _, writer in connections:
        writer.close()

    assert [status for status, _ in responses] == [503, 200, 503]
    assert b"retry-after:" in responses[0][1]
    assert await node.wait_exit(10.0) == 0
    assert slow_site.find_runs("long") == slow_site.find_runs("body-ends-late") == []
    assert len(slow_site.find_runs("short")) == 1


async def exchange(reader, writer, head):
    """Sends a request; returns the status and whether the connection stays open."""
    writer.write(head.encode() + b"\r\n")
    received = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = re.search(rb"content-length: (\d+)", received)
    await reader.readexactly(int(length[1]))
    return int(received.split()[1]), b"connection: close" not in received


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_requests_of_all_kinds_until_the_process_is_gone(slow_site, method):
    """Callers keep using open connections, and new ones, until the process has ended.

    Every request that is taken is answered; one that crosses the end of the process
    has not run. Those that may run once run once at most, and none that was refused has
    run.
    """
    for upstream in slow_site.upstreams:
        upstream.service_time_s = 0.4
    node = slow_site.nodes[0]
    host, _, port = node.settings["listen"].rpartition(":")
    path = "/safe/x" if method == "GET" else "/once/x"
    statuses: dict[str, int] = {}
    unanswered_s: dict[str, float] = {}

    async def use_connection(name: str) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        is_open = True
        for part in ("first", "second"):
            request_id = f"{name}-{part}"
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {request_id}\r\n"
                "X-Deadline-Ms: 2500\r\nContent-Length: 0\r\n"
            )
            sent_at = time.monotonic()
            try:
                status, is_open = await exchange(reader, writer, head)
                statuses[request_id] = status
            except (asyncio.IncompleteReadError, OSError):
                unanswered_s[request_id] = time.monotonic() - sent_at
                break
            if not is_open:
                break
        writer.close()

    async def call_until_exit(caller: int) -> None:
        number = 0
        while node._process.returncode is None:
            number += 1
            try:
                await use_connection(f"{caller}-{number}")
            except ConnectionRefusedError:
                return
            await asyncio.sleep(0.02)

    callers = [asyncio.create_task(call_until_exit(number)) for number in range(6)]
    await asyncio.sleep(0.5)
    node.send_signal(signal.SIGTERM)
    assert await node.wait_exit() == 0
    await asyncio.gather(*callers)

    assert set(statuses.values()) == {200, 503}
    assert max(unanswered_s.values(), default=0.0) < LOSS_SLACK_S
    assert node.find_lines("stopped", in_flight=0)
    for name, status in statuses.items():
        assert len(slow_site.find_runs(name)) == (status == 200)
    assert not any(slow_site.find_runs(name) for name in unanswered_s)


async def test_requests_read_behind_others_during_a_stop_are_answered(slow_site):
    """Guards against requests that are dropped behind a response that closes.

    The requests are sent ahead, at once and one by one; only the last response may
    close the connection.
    """
    for upstream in slow_site.upstreams:
        upstream.service_time_s = 0.3
    node = slow_site.nodes[0]
    connections = [await open_connection(node) for _ in range(2)]
    node.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    names = ("first", "second", "third")
    for number, (_, writer) in enumerate(connections):
        for name in names:
            writer.write(build_head("/safe/x", f"{name}-{number}") + BODY)
            await asyncio.sleep(0.1 * number)

    for number, (reader, writer) in enumerate(connections):
        received = (await reader.read()).lower()
        writer.close()

        assert re.findall(rb"http/1.1 (\d+) ", received) == [b"200"] * 3
        ids = re.findall(rb"x-request-id: (\S+)", received)
        assert ids == [f"{name}-{number}".encode() for name in names]
        assert received.count(b"connection: close") == 1
    assert await node.wait_exit() == 0


async def test_caller_that_always_sends_ahead_is_told_to_close(slow_site):
    """Guards against connections that are held until a stop cuts them off."""
    for upstream in slow_site.upstreams:
        upstream.service_time_s = 0.05
    node = slow_site.nodes[0]
    reader, writer = await open_connection(node)
    sent = 0

    async def send_ahead() -> None:
        nonlocal sent
        while True:
            sent += 1
            writer.write(build_head("/safe/x", f"r{sent}") + BODY)
            await writer.drain()
            await asyncio.sleep(0.005)

    sender = asyncio.create_task(send_ahead())
    await asyncio.sleep(0.5)
    node.send_signal(signal.SIGTERM)
    started = time.monotonic()
    received = (await reader.read()).lower()
    duration_s = time.monotonic() - started
    sender.cancel()
    writer.close()

    statuses = re.findall(rb"http/1.1 (\d+) ", received)
    assert set(statuses) == {b"200"}
    assert received.count(b"connection: close") == 1
    assert received.rindex(b"connection: close") > received.rindex(b"http/1.1 200 ")
    assert duration_s < REFUSED_FROM_S
    assert await node.wait_exit() == 0
