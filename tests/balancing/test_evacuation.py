"""Upstreams of evacuated failure domains get neither requests nor probes."""

from __future__ import annotations

import asyncio

import pytest

from verbenacross.balancing.exceptions import NoUpstreamError
from verbenacross.balancing.outcome import Abandoned
from verbenacross.balancing.tracked_upstream import EVACUATION_RAMP_S

from .builders import build_upstream, on_virtual_time
from .test_choice import FakeProber, build_balancer, build_context, build_result

FULL = build_result(running=6, waiting=9)


def build_two_domains(prober):
    """Returns a balancer in failure domain ``a`` with an upstream in each of two."""
    balancer = build_balancer(prober, "u1")
    balancer.set_upstream(build_upstream("u2", failure_domain="b"))
    balancer.set_evacuated_domains({"a"})
    return balancer


@pytest.mark.parametrize("trouble", ["none", "excluded", "ejected", "suspect"])
@on_virtual_time
async def test_evacuated_upstream_is_no_fallback(trouble):
    """Guards against fallbacks to an evacuated upstream when no other is healthy."""
    prober = FakeProber()
    balancer = build_two_domains(prober)
    other = balancer.upstreams["u2"]
    other.ejected_until = 100.0 if trouble == "ejected" else 0.0
    other.is_suspect = trouble == "suspect"
    if trouble == "excluded":
        with pytest.raises(NoUpstreamError):
            await balancer.acquire(build_context(excluded=["u2"]))
    else:
        assert (await balancer.acquire(build_context())) is other
    assert "u1" not in prober.probed


@on_virtual_time
async def test_waiting_request_is_woken_by_the_evacuation():
    """Guards against requests that wait until their deadline for an evacuated one."""
    balancer = build_balancer(FakeProber(u1=FULL), "u1")
    waiting = asyncio.create_task(balancer.acquire(build_context(0.3, 5.0)))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    balancer.set_evacuated_domains({"a"})
    with pytest.raises(NoUpstreamError) as caught:
        await waiting
    assert caught.value.retry_after_s > 0
    assert asyncio.get_running_loop().time() < 0.15


@pytest.mark.parametrize("change", ["none", "restart", "removal"])
@on_virtual_time
async def test_assigned_upstream_is_not_used_after_the_evacuation(change):
    """Holds also if the entry has changed since the assignment."""
    balancer = build_balancer(FakeProber(), "u1")
    tracked = await balancer.acquire(build_context())
    if change == "restart":
        balancer.set_upstream(build_upstream("u1", started_ms=5))
    elif change == "removal":
        balancer.remove_upstream("u1")
    assert balancer.accepts(tracked)
    balancer.set_evacuated_domains({"a"})
    assert not balancer.accepts(tracked)
    balancer.release(tracked, build_context(), Abandoned())


@on_virtual_time
async def test_upstream_that_joins_or_moves_during_the_evacuation():
    balancer = build_balancer(FakeProber())
    balancer.set_evacuated_domains({"a"})
    balancer.set_upstream(build_upstream("u1"))
    with pytest.raises(NoUpstreamError):
        await balancer.acquire(build_context())
    balancer.set_upstream(build_upstream("u1", failure_domain="b"))
    await balancer.acquire(build_context())


@pytest.mark.parametrize("reported_s", [0.0, 5.0])
@on_virtual_time
async def test_upstream_counts_as_cold_after_the_evacuation(reported_s):
    """Guards against a ramp that the entry or a health response cuts short."""
    balancer = build_two_domains(FakeProber())
    balancer.set_evacuated_domains({"unknown"})
    balancer.set_upstream(build_upstream("u1", cold_start_s=reported_s))
    tracked = balancer.upstreams["u1"]
    assert tracked.cold_start_until == max(EVACUATION_RAMP_S, reported_s)
    tracked.apply_cold_time(0.0, 0.0)
    assert tracked.cold_until == EVACUATION_RAMP_S


@on_virtual_time
async def test_remaining_upstreams_get_no_larger_part_of_the_probes():
    """Guards against probes above the limit for each upstream during an evacuation."""
    prober = FakeProber(u1=FULL, u2=FULL)
    balancer = build_two_domains(prober)
    balancer.set_probe_rate(2.0, instances=1)
    contexts = [build_context(20.0, 30.0) for _ in range(3)]
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(10.0):
            await asyncio.gather(*map(balancer.acquire, contexts))
    assert set(prober.probed) == {"u2"}
    # 85% of 2 probes a second, after a burst of those of 4 s.
    assert 10 <= len(prober.probed) <= 0.85 * 2 * (10 + 4)
