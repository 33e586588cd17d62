"""Evacuated failure domains, with real node processes."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from standins.platform_upstream import PlatformUpstreamStandIn
from tests.balancing.test_choice import FakeProber, build_balancer, build_context
from verbenacross.node.attempt_result import NoUsableResponse
from verbenacross.node.upstream_attempt import UpstreamAttempt
from verbenacross.transport.buffer_budget import BufferBudget
from verbenacross.transport.upstream_client import UpstreamClient

from .conftest import build_rule, wait_until

STARTED = "evacuation of failure domain started"
ENDED = "evacuation of failure domain ended"
KEY = "op/evacuate/a"


def count_arrivals(upstream) -> int:
    return len(upstream.runs) + len(upstream.refused) + upstream.probes


@pytest.fixture
async def two_domains(empty_site):
    """A node in failure domain ``a`` and an upstream in each of two."""
    await empty_site.configure()
    await empty_site.add_upstream("u1", zone="a")
    await empty_site.add_upstream("u2", zone="b")
    node = await empty_site.add_node()
    await node.wait_ready()
    await wait_until(lambda: node.find_lines("upstream discovered", upstream="u2"))
    return empty_site


async def call_for(node, seconds) -> set[int]:
    """Calls for a time with four callers; returns the statuses."""
    end = time.monotonic() + seconds

    async def call() -> set[int]:
        statuses = set()
        while time.monotonic() < end:
            name = f"c{time.monotonic_ns()}"
            statuses.add((await node.call(request_id=name))[0])
            # Above 200 log lines a second, the line that is waited for may be dropped.
            await asyncio.sleep(0.05)
        return statuses

    return set().union(*await asyncio.gather(*[call() for _ in range(4)]))


async def test_evacuated_domain_gets_nothing_until_the_end(two_domains):
    """Neither requests nor probes; callers in it are served by the other domain."""
    node, (local, remote) = two_domains.nodes[0], two_domains.upstreams
    await two_domains.store.put("op/evacuate/nowhere", b"")
    await wait_until(lambda: node.find_lines(STARTED), timeout_s=5.0)
    assert await call_for(node, 0.3) == {200}
    assert local.runs

    await two_domains.store.put(KEY, b"\xff{")
    await wait_until(lambda: len(node.find_lines(STARTED)) == 2, timeout_s=5.0)
    await asyncio.sleep(0.15)
    count = count_arrivals(local)
    assert await call_for(node, 1.0) == {200}
    assert count_arrivals(local) == count
    assert remote.runs
    state = await node.read_state()
    assert state["knowledge"]["evacuated_domains"] == ["a", "nowhere"]
    assert state["services"]["service-a"]["upstreams"]["u1"]["evacuated"] is True

    await two_domains.store.remove(KEY)
    await wait_until(lambda: node.find_lines(ENDED), timeout_s=5.0)
    assert await call_for(node, 1.5) == {200}
    assert count_arrivals(local) > count


async def test_running_request_completes_and_waiting_one_goes_elsewhere(two_domains):
    node, (local, remote) = two_domains.nodes[0], two_domains.upstreams
    local.service_time_s = 1.5
    call = asyncio.create_task(node.call(request_id="running"))
    await wait_until(lambda: two_domains.find_runs("running"))

    await two_domains.store.put(KEY, b"")
    await wait_until(lambda: node.find_lines(STARTED), timeout_s=5.0)
    assert (await node.call(request_id="later"))[0] == 200
    assert [run.headers["x-request-id"] for run in remote.runs] == ["later"]
    assert (await call)[0] == 200
    assert not two_domains.find_runs("running")[0].was_aborted


async def test_retry_does_not_reach_the_evacuated_domain(two_domains):
    """Guards against a retry in a domain that is evacuated after the first attempt."""
    await two_domains.configure(build_rule(timeout="8s"), version=2)
    node, (local, remote) = two_domains.nodes[0], two_domains.upstreams
    await two_domains.store.put("op/evacuate/b", b"")
    await wait_until(lambda: node.find_lines(STARTED), timeout_s=5.0)
    local.service_time_s = 2.0
    local.default_behaviour = "close"
    call = asyncio.create_task(node.call(request_id="first"))
    await wait_until(lambda: two_domains.find_runs("first"))
    await two_domains.store.put(KEY, b"")
    await wait_until(lambda: len(node.find_lines(STARTED)) == 2, timeout_s=5.0)

    status, _, _ = await call

    assert status == 502
    assert len(two_domains.find_runs("first")) == 1
    assert not remote.runs


async def test_instance_that_starts_knows_of_the_evacuation(empty_site):
    """Guards against requests that are served before the evacuation is known.

    They are refused at once when the last failure domain is evacuated as well.
    """
    await empty_site.configure()
    local = await empty_site.add_upstream("u1", zone="a")
    await empty_site.add_upstream("u2", zone="b")
    await empty_site.store.put(KEY, b"")
    node = await empty_site.add_node()
    await node.wait_ready()

    assert await call_for(node, 0.5) == {200}
    assert count_arrivals(local) == 0

    await empty_site.store.put("op/evacuate/b", b"")
    await wait_until(lambda: len(node.find_lines(STARTED)) == 2, timeout_s=5.0)
    started = time.monotonic()
    status, headers, _ = await node.call(request_id="late")
    assert (status, float(headers["Retry-After"]) > 0) == (503, True)
    assert time.monotonic() - started < 0.2
    assert not empty_site.find_runs("late")


@pytest.mark.parametrize("new_connection", [False, True])
async def test_request_is_not_sent_if_evacuated_while_connecting(new_connection):
    """Guards against a request that is sent on a connection opened before."""
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        upstream = await stack.enter_async_context(PlatformUpstreamStandIn("u1"))
        client = await UpstreamClient.from_stack(stack, 65_536)
        balancer = build_balancer(FakeProber(), "u1", address=upstream.address)
        stack.callback(balancer.close)
        context = build_context()
        tracked = await balancer.acquire(context)
        # The evacuation arrives with the next pass of the event loop, when the request
        # waits for its connection.
        loop.call_soon(balancer.set_evacuated_domains, {"a"})
        held = stack.enter_context(BufferBudget(1_000_000).open())
        attempt = UpstreamAttempt(client, balancer, tracked, context, held)
        body = SimpleNamespace(build_payload=lambda: None, failed=False)
        result = await attempt.run(
            "GET", "/x", CIMultiDict(), body, new_connection=new_connection
        )

    assert isinstance(result, NoUsableResponse)
    assert result.is_withdrawn and not result.request_sent
    assert not upstream.runs
    # It does not count against the upstream.
    assert (tracked.in_flight, tracked.failure_rate) == (0, 0.0)
