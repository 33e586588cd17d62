"""Cold upstreams get their share of the cold rate, and only after a probe."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.balancing.cold_rate_limit import ColdTokenBucket, RecentMaximum
from verbenacross.balancing.exceptions import BalancingError
from verbenacross.balancing.outcome import Abandoned, NotRun, Succeeded, Unreachable
from verbenacross.balancing.prober import ProbeResult

from .builders import build_upstream, on_virtual_time
from .test_choice import IDLE, FakeProber, build_balancer, build_context

RATE = 6.0
COLD = ProbeResult(IDLE, is_healthy=True, cold_s=5.0)
WARM = ProbeResult(IDLE, is_healthy=True, cold_s=0.0)
SUCCESS = Succeeded(0.01, IDLE)


class SlowProber(FakeProber):
    """Probes may take longer than a round waits for them."""

    delay_s = 0.0

    async def probe(self, upstream):
        await asyncio.sleep(self.delay_s)
        return await super().probe(upstream)


def build_cold(prober, *identifiers, rate=RATE, instances=1, **changes):
    """Returns a balancer of a service with a cold rate."""
    balancer = build_balancer(prober, *identifiers, **changes)
    balancer.set_cold_rate(rate, RecentMaximum(60.0, instances))
    return balancer


async def send(balancer, seconds, interval_s=0.02) -> list[str]:
    """Sends a request at each interval; returns the upstreams of those not refused."""
    used = []

    async def call():
        context = build_context(0.3, 0.6)
        try:
            tracked = await balancer.acquire(context)
        except BalancingError:
            return
        used.append(tracked.upstream.id)
        balancer.release(tracked, context, SUCCESS)

    for _ in range(round(seconds / interval_s)):
        task = asyncio.create_task(call())
        await asyncio.sleep(interval_s)
    await task
    return used


def test_number_of_instances_counts_for_a_minute():
    """Guards against a larger part after instances that still send were lost."""
    maximum = RecentMaximum(60.0, 1)
    for value, now in ((119, 10.0), (30, 20.0), (40, 50.0)):
        maximum.record(value, now)

    assert [maximum.get(now) for now in (50.0, 79.0, 81.0)] == [119, 119, 40]


@given(
    rate=st.floats(0.001, 50.0),
    level=st.floats(0.0, 1.0, exclude_max=True),
    steps=st.lists(st.tuples(st.floats(0.0, 30.0), st.booleans()), max_size=60),
)
def test_bucket_never_grants_more_than_its_rate(rate, level, steps):
    """Neither after a pause nor by tokens that were given back."""
    bucket = ColdTokenBucket(level, 0.0)
    now, taken = 0.0, 0
    for pause_s, gives_back in steps:
        now += pause_s
        if bucket.has_token(rate, now):
            bucket.take(rate, now)
            assert not bucket.has_token(rate, now)
            taken += 1
            if gives_back:
                bucket.give_back(rate, now)
                taken -= 1
    assert taken <= level + rate * now + 1e-6


@pytest.mark.parametrize("instances", [1, 4])
@on_virtual_time
async def test_cold_upstream_gets_its_part_while_others_are_idle(instances):
    """Guards against a cold upstream that is never chosen because it looks slow."""
    balancer = build_cold(FakeProber(u1=COLD), "u2", instances=instances)
    balancer.set_upstream(build_upstream("u1", cold_start_s=10.0))
    used = await send(balancer, 10.0)
    part = RATE * 10 / instances
    assert 0.6 * part <= used.count("u1") <= 1 + part
    assert used.count("u2") > 300


@on_virtual_time
async def test_cold_upstream_outside_the_subset_gets_its_part():
    """Guards against a part that is used only where the upstream is in the subset."""
    names = [f"u{number}" for number in range(20)]
    prober = FakeProber()
    balancer = build_cold(prober, *names, rate=60.0, instances=60)
    balancer.set_probe_rate(60.0, instances=60)
    cold = max(names, key=lambda name: balancer.upstreams[name].rank)
    prober.results[cold] = COLD
    balancer.set_upstream(build_upstream(cold, cold_start_s=10.0))
    assert 4 <= (await send(balancer, 10.0, 0.05)).count(cold) <= 11


@on_virtual_time
async def test_requests_are_refused_rather_than_sent_if_all_are_cold():
    """Once the configuration has no cold rate any more, all are sent."""
    balancer = build_cold(FakeProber(u1=COLD, u2=COLD), "u1", "u2", instances=4)
    used = await send(balancer, 10.0)
    assert 0.6 * RATE * 10 / 2 <= len(used) <= 2 + RATE * 10 / 2
    assert balancer.refused + len(used) == 500
    balancer.set_cold_rate(0.0, RecentMaximum(60.0, 4))
    assert len(await send(balancer, 1.0)) == 50


@pytest.mark.parametrize(
    ("cold_s", "expected_s"), [(None, 3.0), (5.0, 5.0), (1.0, 3.0), (0.0, 0.0)]
)
@on_virtual_time
async def test_health_response_may_lengthen_or_end_the_cold_time(cold_s, expected_s):
    tracked = build_cold(FakeProber(), "u1", cold_start_s=3.0).upstreams["u1"]
    tracked.apply_cold_time(cold_s, 0.0)
    assert max(0.0, tracked.cold_until) == expected_s


@pytest.mark.parametrize("trouble", ["unreachable", "broken", "old"])
@on_virtual_time
async def test_first_request_after_trouble_follows_a_probe(trouble):
    """Guards against requests to a restarted upstream whose entry is out of date."""
    prober = SlowProber(u1=WARM)
    balancer = build_cold(prober, "u1", instances=1_000)
    context = build_context()
    tracked = await balancer.acquire(context)
    unreachable = trouble == "unreachable"
    outcome = Unreachable("refused") if unreachable else Abandoned()
    balancer.release(tracked, context, outcome)
    if trouble == "broken":
        balancer.record_broken_connection(tracked)
    prober.results["u1"] = COLD
    prober.delay_s = 0.05
    await asyncio.sleep(5.0 if trouble == "old" else 0.3)
    # Reports of responses do not tell whether it is cold.
    tracked.apply_report(IDLE, 0.0, asyncio.get_running_loop().time())
    with pytest.raises(BalancingError):
        await balancer.acquire(build_context(0.1, 0.3))


@on_virtual_time
async def test_upstream_that_becomes_cold_is_noticed_under_steady_traffic():
    """Guards against fresh reports of responses that take the place of all probes."""
    prober = FakeProber(u1=WARM)
    balancer = build_cold(prober, "u1")
    await send(balancer, 1.0, 0.005)
    prober.results["u1"] = COLD
    await send(balancer, 0.5, 0.005)
    assert len(await send(balancer, 4.0, 0.005)) <= 1 + 4 * RATE


@pytest.mark.parametrize(
    ("outcome", "is_returned"),
    [
        (Abandoned(is_unsent=True), True),
        (NotRun(None, is_misdirected=True), True),
        (Unreachable("refused"), True),
        (Abandoned(), False),
        (NotRun(None), False),
        (SUCCESS, False),
    ],
)
@on_virtual_time
async def test_token_of_a_request_that_was_not_sent_is_returned(outcome, is_returned):
    balancer = build_cold(FakeProber(u1=COLD), "u1")
    context = build_context()
    tracked = await balancer.acquire(context)
    assert balancer.cold_limit.used == 1
    balancer.release(tracked, context, outcome)
    now = asyncio.get_running_loop().time()
    assert balancer.cold_limit.used == (0 if is_returned else 1)
    assert balancer.cold_limit.has_token(tracked, now) is is_returned


@on_virtual_time
async def test_small_probe_budget_does_not_stop_a_service():
    """Guards against requests that wait for probes that the budget does not allow."""
    balancer = build_cold(FakeProber(), "u1", "u2")
    await send(balancer, 0.5)
    balancer.set_probe_rate(0.02, instances=1)
    assert len(await send(balancer, 30.0, 0.1)) >= 290
