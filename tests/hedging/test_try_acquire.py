"""Upstreams that are assigned to second attempts at once, on virtual time."""

from __future__ import annotations

import asyncio

import pytest

from tests.balancing.test_choice import (
    FakeProber,
    build_balancer,
    build_context,
    build_result,
    run,
)
from verbenacross.balancing.exceptions import BalancingError


async def try_at_once(prober, *identifiers, excluded=(), balancer=None):
    """Returns the id of the upstream and how long it took."""
    balancer = balancer or build_balancer(prober, *identifiers)
    loop = asyncio.get_running_loop()
    started = loop.time()
    tracked = await balancer.try_acquire(build_context(1.0, 2.0, excluded))
    return tracked and tracked.upstream.id, loop.time() - started


def test_idle_upstream_other_than_the_first():
    """Guards against a second attempt at the upstream of the first one."""
    found, took_s = run(lambda: try_at_once(FakeProber(), "u1", "u2", excluded=["u1"]))
    assert found == "u2"
    assert took_s < 0.011


@pytest.mark.parametrize(
    "results",
    [
        {"u1": build_result(running=6), "u2": build_result(running=4)},
        {"u1": build_result(slowness=5.0), "u2": build_result(slowness=4.0)},
        {"u1": None, "u2": None},
    ],
    ids=["busy", "slow", "silent"],
)
def test_none_is_suitable(results):
    """Guards against second attempts that wait, or that cannot overtake the first."""
    found, took_s = run(lambda: try_at_once(FakeProber(**results), "u1", "u2"))
    assert found is None
    assert took_s < 0.011


def test_none_while_requests_wait_or_for_a_second_after_a_refusal():
    """Guards against second attempts that take the slots of waiting requests."""

    async def scenario():
        prober = FakeProber(u1=build_result(running=6), u2=build_result(running=6))
        balancer = build_balancer(prober, "u1", "u2")
        waiting = asyncio.create_task(balancer.acquire(build_context(1.0, 1.2)))
        await asyncio.sleep(0.03)
        assert balancer.is_overloaded()
        prober.results.clear()
        assert await try_at_once(prober, balancer=balancer) == (None, 0.0)
        await waiting
        await asyncio.sleep(1.1)
        found, _ = await try_at_once(prober, balancer=balancer)
        assert found
        with pytest.raises(BalancingError):
            await balancer.acquire(build_context(excluded=["u1", "u2"]))
        found, _ = await try_at_once(prober, balancer=balancer)
        assert found is None

    run(scenario)


def test_wait_for_the_first_probes_is_no_overload():
    """Guards against a service in normal operation that never gets second attempts."""

    async def scenario():
        balancer = build_balancer(FakeProber(), "u1", "u2")
        for _ in range(5):
            await balancer.acquire(build_context())
            assert not balancer.is_overloaded()

    run(scenario)
