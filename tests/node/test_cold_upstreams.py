"""Cold upstreams of a service with a cold rate, with real node processes."""

from __future__ import annotations

import asyncio
import time

from .conftest import build_configuration, wait_until

RATE = 6.7


async def configure(site, version, rate=RATE) -> None:
    configuration = build_configuration(version=version)
    configuration["clusters"][0]["warmup_per_s"] = rate
    await site.store.put("op/config", configuration)
    node = site.nodes[0]
    await wait_until(lambda: node.find_lines("configuration in force", version=version))


async def call_for(node, seconds) -> list[int]:
    """Calls for a time with four callers; returns the statuses."""
    end = time.monotonic() + seconds
    statuses = []

    async def call() -> None:
        while time.monotonic() < end:
            name = f"c{time.monotonic_ns()}"
            statuses.append((await node.call(request_id=name))[0])
            # More log lines than 200 a second are dropped.
            await asyncio.sleep(0.05)

    await asyncio.gather(*[call() for _ in range(4)])
    return statuses


def count_most(runs) -> int:
    """Returns the largest number of runs within any second."""
    times = sorted(run.started_at for run in runs)
    return max(
        (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
    )


async def test_upstream_that_becomes_cold_gets_its_rate_and_not_more(site):
    """Its entry does not change; its health responses alone tell."""
    node = site.nodes[0]
    cold, other = site.upstreams
    await configure(site, 2)
    cold.warmup_ms = "4000"
    await call_for(node, 0.5)
    settled_at = time.monotonic()

    assert set(await call_for(node, 3.0)) == {200}

    runs = [run for run in cold.runs if run.started_at > settled_at]
    assert len(runs) >= 0.25 * RATE * 3.0
    assert count_most(runs) <= RATE * 1.5 + 8
    assert len(other.runs) > len(runs)
    state = (await node.read_state())["services"]["service-a"]
    assert state["cold_rate"] == RATE
    assert 0 < state["upstreams"]["u1"]["cold_for_s"] <= 4.0
    assert state["upstreams"]["u2"]["cold_for_s"] == 0

    cold.warmup_ms = "0"
    await call_for(node, 0.5)
    assert node.find_lines("upstream states that it is no longer cold", upstream="u1")
    state = (await node.read_state())["services"]["service-a"]
    assert state["upstreams"]["u1"]["cold_for_s"] == 0


async def test_service_whose_upstreams_are_all_cold_refuses_the_rest(site):
    """Requests above the rate are refused with the time after which to return."""
    node = site.nodes[0]
    await configure(site, 2)
    for upstream in site.upstreams:
        upstream.warmup_ms = "60000"
    await call_for(node, 0.5)
    counts = [len(upstream.runs) for upstream in site.upstreams]

    statuses = await call_for(node, 3.0)

    assert set(statuses) <= {200, 503}
    for upstream, count in zip(site.upstreams, counts, strict=True):
        assert count_most(upstream.runs[count:]) <= RATE * 1.5 + 8
        assert upstream.runs[count:]


async def test_rate_that_is_removed_from_the_configuration_limits_no_longer(site):
    node = site.nodes[0]
    await configure(site, 2, rate=0.5)
    for upstream in site.upstreams:
        upstream.warmup_ms = "60000"
    await call_for(node, 0.5)
    await configure(site, 3, rate=0)

    statuses = await call_for(node, 1.0)

    assert set(statuses) == {200}
    assert len(statuses) > 20
