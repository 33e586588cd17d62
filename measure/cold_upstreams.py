"""Requests per second to cold upstreams from independent choosers: ``python -m
measure.cold_upstreams``.

A model on virtual time. Each chooser is an instance with its own limit; requests wait
at all of them and take whatever the limits allow.
"""

from __future__ import annotations

import bisect
import itertools
import random
from typing import NamedTuple

from verbenacross.balancing.cold_rate_limit import ColdRateLimit, RecentMaximum
from verbenacross.balancing.tracked_upstream import TrackedUpstream
from verbenacross.balancing.upstream import Upstream

RATE = 6.7
BOUND = RATE * 1.5 + 8
COLD_S = 20.0
# Requests a second at each chooser.
DEMAND = 5.0
# Choosers learn of changes of the store at different times within this time, in
# seconds.
NEWS_S = 0.5
INSTANCES = (13, 119, 311, 4_783)


class Case(NamedTuple):
    """A case; ``idle_s`` is a time without demand after the upstreams became cold.

    ``toggle_s`` is how often they become cold again.
    """

    upstreams: int = 1
    idle_s: float = 0.0
    news_s: float = 0.0
    toggle_s: float = COLD_S


CASES = {
    "one cold upstream": Case(),
    "demand returns after a pause": Case(idle_s=10.0),
    "failure domain returns": Case(upstreams=20, news_s=NEWS_S, idle_s=1.0),
    "all upstreams cold": Case(upstreams=5),
    "cold again and again": Case(toggle_s=0.7),
}


def run_case(case: Case, instances: int, seed: int) -> list[list[float]]:
    """Returns the times of the requests to each upstream."""
    generator = random.Random(seed)
    arrivals: list[list[float]] = [[] for _ in range(case.upstreams)]
    for _ in range(instances):
        limit = ColdRateLimit(generator, RecentMaximum(60.0, instances))
        limit.rate = RATE
        noticed_at = generator.uniform(0.0, case.news_s)
        upstreams = [
            TrackedUpstream(
                Upstream(str(number), "service", "", "a", 6, False, 0.0, 0), noticed_at
            )
            for number in range(case.upstreams)
        ]
        now = noticed_at
        cold_since = -1.0
        while now < COLD_S:
            if now - cold_since >= case.toggle_s or cold_since < 0:
                cold_since = now
                for tracked in upstreams:
                    tracked.apply_cold_time(0.0, now)
                    tracked.apply_cold_time(COLD_S, now)
            for tracked in upstreams:
                tracked.probed_at = now
            # Waiting requests take whatever the upstreams allow.
            allowed = [tracked for tracked in upstreams if limit.allows(tracked, now)]
            if allowed and now >= noticed_at + case.idle_s:
                chosen = generator.choice(allowed)
                assert limit.take(chosen, now)
                arrivals[int(chosen.upstream.id)].append(now)
            now += generator.expovariate(DEMAND)
    return [sorted(times) for times in arrivals]


def count_most(times: list[float]) -> int:
    """Returns the largest number of requests within any second."""
    return max(
        (bisect.bisect_left(times, at + 1.0) - i for i, at in enumerate(times)),
        default=0,
    )


def main() -> None:
    """Runs all cases and prints the figures of each."""
    for (name, case), instances in itertools.product(CASES.items(), INSTANCES):
        if instances > 1_000:
            case = case._replace(upstreams=min(3, case.upstreams))
        seeds = range(10 if instances < 1_000 else 2)
        counts: list[int] = []
        total = 0
        for seed in seeds:
            arrivals = run_case(case, instances, seed)
            counts += map(count_most, arrivals)
            total += sum(map(len, arrivals))
        mean = total / len(counts) / (COLD_S - case.idle_s - case.news_s)
        above = sum(count > BOUND for count in counts)
        print(
            f"{name}; {instances} choosers; {len(counts)} upstreams observed; most in "
            f"a second {max(counts)}, bound {BOUND:.2f}, above it {above}; "
            f"mean {mean:.2f}/s",
            flush=True,
        )


if __name__ == "__main__":
    main()
