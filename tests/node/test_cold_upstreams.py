"""Cold upstreams of a service with a cold rate, with real node processes."""

from __future__ import annotations

import time

from .conftest import build_configuration, wait_until
from .test_evacuation import call_for

RATE = 6.7


async def configure(site) -> None:
    configuration = build_configuration(version=2)
    configuration["clusters"][0]["warmup_per_s"] = RATE
    await site.store.put("op/config", configuration)
    node = site.nodes[0]
    await wait_until(lambda: node.find_lines("configuration in force", version=2))


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
    await configure(site)
    cold.warmup_ms = "4000"
    await call_for(node, 0.5)
    settled_at = time.monotonic()

    assert await call_for(node, 3.0) == {200}

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
