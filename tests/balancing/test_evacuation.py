"""Upstreams of evacuated failure domains get neither requests nor probes."""

from __future__ import annotations

import asyncio

import pytest

from verbenacross.balancing.exceptions import NoUpstreamError
from verbenacross.balancing.outcome import Abandoned
from verbenacross.balancing.tracked_upstream import EVACUATION_RAMP_S

from .builders import build_upstream
from .test_choice import FakeProber, build_balancer, build_context, build_result, run


def build_two_domains(prober, **changes):
    """Returns a balancer in failure domain ``a`` with an upstream in each of two."""
    balancer = build_balancer(prober, "u1", **changes)
    balancer.set_upstream(build_upstream("u2", failure_domain="b"))
    return balancer


@pytest.mark.parametrize("trouble", ["none", "excluded", "ejected", "suspect"])
def test_evacuated_upstream_is_no_fallback(trouble):
    """Guards against fallbacks to an evacuated upstream when no other is healthy."""

    async def scenario():
        prober = FakeProber()
        balancer = build_two_domains(prober)
        balancer.set_evacuated_domains({"a"})
        other = balancer.upstreams["u2"]
        if trouble == "ejected":
            other.ejected_until = 100.0
        other.is_suspect = trouble == "suspect"
        if trouble == "excluded":
            with pytest.raises(NoUpstreamError):
                await balancer.acquire(build_context(excluded=["u2"]))
        else:
            assert (await balancer.acquire(build_context())) is other
        return prober.probed

    assert "u1" not in run(scenario)


def test_request_is_refused_at_once_if_all_are_evacuated():
    async def scenario():
        balancer = build_two_domains(FakeProber())
        balancer.set_evacuated_domains({"a", "b", "unknown"})
        with pytest.raises(NoUpstreamError) as caught:
            await balancer.acquire(build_context())
        return asyncio.get_running_loop().time(), caught.value.retry_after_s

    refused_at, retry_after_s = run(scenario)
    assert refused_at == 0
    assert retry_after_s > 0


def test_waiting_request_is_woken_by_the_evacuation():
    """Guards against requests that wait until their deadline for an evacuated one."""

    async def scenario():
        full = build_result(running=6, waiting=9)
        balancer = build_balancer(FakeProber(u1=full), "u1")
        waiting = asyncio.create_task(balancer.acquire(build_context(0.3, 5.0)))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        balancer.set_evacuated_domains({"a"})
        with pytest.raises(NoUpstreamError):
            await waiting
        return asyncio.get_running_loop().time()

    assert run(scenario) < 0.15


@pytest.mark.parametrize("change", ["none", "restart", "removal"])
def test_assigned_upstream_is_not_used_after_the_evacuation(change):
    """Holds also if the entry has changed since the assignment."""

    async def scenario():
        balancer = build_balancer(FakeProber(), "u1")
        tracked = await balancer.acquire(build_context())
        if change == "restart":
            balancer.set_upstream(build_upstream("u1", started_ms=5))
        elif change == "removal":
            balancer.remove_upstream("u1")
        assert balancer.accepts(tracked)
        balancer.set_evacuated_domains({"a"})
        accepted = balancer.accepts(tracked)
        balancer.release(tracked, build_context(), Abandoned())
        return accepted

    assert not run(scenario)


def test_upstream_that_joins_during_the_evacuation_is_evacuated():
    async def scenario():
        balancer = build_balancer(FakeProber())
        balancer.set_evacuated_domains({"a"})
        balancer.set_upstream(build_upstream("u1"))
        with pytest.raises(NoUpstreamError):
            await balancer.acquire(build_context())
        # It moves to a failure domain that is not evacuated.
        balancer.set_upstream(build_upstream("u1", failure_domain="b"))
        return (await balancer.acquire(build_context())).upstream.id

    assert run(scenario) == "u1"


@pytest.mark.parametrize("reported_s", [0.0, 5.0])
def test_upstream_counts_as_cold_after_the_evacuation(reported_s):
    """Guards against a ramp that the next renewal of the entry cuts short."""

    async def scenario():
        balancer = build_balancer(FakeProber(), "u1")
        balancer.set_evacuated_domains({"a"})
        balancer.set_evacuated_domains({"unknown"})
        balancer.set_upstream(build_upstream("u1", cold_start_s=reported_s))
        return balancer.upstreams["u1"].cold_start_until

    assert run(scenario) == max(EVACUATION_RAMP_S, reported_s)


def test_remaining_upstreams_get_no_larger_part_of_the_probes():
    """Guards against probes above the limit for each upstream during an evacuation."""

    async def scenario():
        full = build_result(running=6, waiting=9)
        prober = FakeProber(u1=full, u2=full)
        balancer = build_two_domains(prober)
        balancer.set_evacuated_domains({"a"})
        balancer.set_probe_rate(2.0, instances=1)
        tasks = [
            asyncio.create_task(balancer.acquire(build_context(20.0, 30.0)))
            for _ in range(3)
        ]
        await asyncio.sleep(10.0)
        for task in tasks:
            task.cancel()
        return prober.probed

    probed = run(scenario)
    assert set(probed) == {"u2"}
    # 85% of 2 probes a second, after a burst of those of 4 s.
    assert 10 <= len(probed) <= 0.85 * 2 * (10 + 4)
