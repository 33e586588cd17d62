"""Demand and upstreams that are spread unevenly over the failure domains.

The demand of one failure domain exceeds what its upstreams can do, and the others have
room. Each instance has the same part of the probe budget, so the instances that need
most probes run out of them first. The bound is the target of docs/design/demand.md: the
callers of no failure domain get less than 0.9 of the mean.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from measure.service_callers import (
    Callers,
    CallProfile,
    CallStatistics,
    build_balancer,
)
from measure.service_model import ServiceModel, ServiceProfile
from measure.virtual_loop import run_in_virtual_time
from verbenacross.balancing.domain_yield import DomainYield
from verbenacross.balancing.load_report import LoadReport

SEEDS = [1, 2, 3]
LENGTH_S = 6.0
PROBES_PER_S = 42.0
LOOKUP = CallProfile(0.081, 0.256, 0.818, retries=1)
PROFILE = ServiceProfile(30, 3, 12, noisy_share=0.3)
# Upstreams, instances and requests per second of each failure domain.
UPSTREAMS = {"a": 13, "b": 9, "c": 8}
INSTANCES = {"a": 12, "b": 14, "c": 12}
REQUESTS_PER_S = {"a": 50.0, "b": 90.0, "c": 160.0}
MIN_SHARE_OF_MEAN = 0.9
MAX_REFUSED_SHARE = 0.01


async def run_uneven(seed, shedding_share=0.0) -> dict[str, CallStatistics]:
    model = ServiceModel(PROFILE, seed)
    domains = [domain for domain, count in UPSTREAMS.items() for _ in range(count)]
    for target, domain in zip(model.upstreams.values(), domains, strict=True):
        target.upstream = target.upstream._replace(failure_domain=domain)
        target.shedding_share = shedding_share
    statistics = {domain: CallStatistics() for domain in UPSTREAMS}
    runs = []
    generator = random.Random(seed)
    for domain, count in INSTANCES.items():
        choosers = [
            build_balancer(
                model,
                sum(INSTANCES.values()),
                generator.getrandbits(32),
                PROBES_PER_S,
                failure_domain=domain,
            )
            for _ in range(count)
        ]
        callers = Callers(model, choosers, generator.getrandbits(32))
        rate = REQUESTS_PER_S[domain]
        runs.append(
            callers.run(LOOKUP, lambda _, rate=rate: rate, LENGTH_S, statistics[domain])
        )
    await asyncio.gather(*runs)
    return statistics


@pytest.mark.parametrize("seed", SEEDS)
def test_overflow_of_a_failure_domain_uses_the_room_of_the_others(seed):
    """Requests waited for local upstreams until it was too late."""
    statistics = run_in_virtual_time(run_uneven(seed))

    shares = [one.in_time_share for one in statistics.values()]
    assert min(shares) >= MIN_SHARE_OF_MEAN * sum(shares) / len(shares)


@pytest.mark.parametrize("seed", SEEDS)
def test_upstreams_without_a_report_are_used_when_the_probes_are_used_up(seed):
    """Rejections cost further probes, and idle upstreams were not found any more."""
    statistics = run_in_virtual_time(run_uneven(seed, shedding_share=0.55))

    total = sum(one.total for one in statistics.values())
    refused = sum(one.refused for one in statistics.values())
    assert refused <= MAX_REFUSED_SHARE * total


IDLE = LoadReport(0, 0, 3, 1.0)
FULL = LoadReport(3, 2, 3, 1.0)
SLOW = LoadReport(0, 0, 3, 7.0)


def test_share_of_suitable_upstreams_follows_recent_reports():
    yields = DomainYield()
    assert yields.get("a", 0.0) == 0.5

    for number in range(20):
        yields.record("a", IDLE, 0.1 * number)
        yields.record("b", FULL, 0.1 * number)
        yields.record("c", SLOW, 0.1 * number)

    assert yields.get("a", 2.0) > 0.8
    assert yields.get("b", 2.0) < 0.2
    assert yields.get("c", 2.0) < 0.2
    for number in range(20):
        yields.record("b", IDLE, 4.0 + 0.1 * number)
    assert yields.get("b", 6.0) > 0.7


def test_share_returns_to_the_prior_without_reports():
    """A failure domain that was full a while ago may have room again."""
    yields = DomainYield()
    for _ in range(20):
        yields.record("a", FULL, 0.0)

    assert yields.get("a", 0.1) < 0.1
    assert yields.get("a", 20.0) == pytest.approx(0.5, abs=0.01)
