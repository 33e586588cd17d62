"""Short urgent requests beside a burst of long ones, with and without reserved slots.

Run ``python -m measure.reservation`` for a table of all loads.
"""

from __future__ import annotations

import argparse
import asyncio
import math
from typing import NamedTuple

from verbenacross.balancing.completion_estimate import count_efficient_slots

from .service_callers import Callers, CallProfile, CallStatistics, build_balancer
from .service_model import ServiceModel, ServiceProfile
from .virtual_loop import run_in_virtual_time

SHORT = CallProfile(0.090, 0.25, 0.8, long_share=0.0, priority=0)
LONG = CallProfile(0.560, 3.0, 6.0, long_share=0.0, priority=2)
NOISY_SHARE = 1 / 3
# Mean of the factor by which ``Callers`` varies service times.
MEAN_FACTOR = math.exp(0.3**2 / 2)
# Share of the capacity that is in use while the instances learn service times.
WARM_UP_LOAD = 0.5
WARM_UP_S = 20.0
BURST_START_S, BURST_END_S, LENGTH_S = 3.0, 8.0, 10.0
# Instances and upstreams.
SIZES = [(13, 15), (119, 40), (119, 128)]
LOADS = [0.6, 0.8, 1.0, 1.2]


class BurstResult(NamedTuple):
    """Statistics of the short and the long requests."""

    short: CallStatistics
    long: CallStatistics


def run_burst(
    load: float,
    *,
    instances: int,
    upstreams: int,
    seed: int,
    slots: int = 6,
    reserves_slots: bool,
    length_s: float = LENGTH_S,
) -> BurstResult:
    """Runs a burst of long requests and returns the statistics.

    ``load`` is the share of the capacity that is asked for during the burst, in which
    the rate of the long requests doubles; before it, both kinds bring the same work.
    The capacity is that of all efficient slots at their mean speed.
    """

    async def scenario() -> BurstResult:
        profile = ServiceProfile(upstreams, slots, noisy_share=NOISY_SHARE)
        model = ServiceModel(profile, seed)
        balancers = [
            build_balancer(model, instances, seed * 1_000 + number)
            for number in range(instances)
        ]
        for balancer in balancers:
            balancer.set_reservation(is_enabled=reserves_slots)
        mean_speed = 1 - NOISY_SHARE * (1 - 1 / profile.noisy_slowdown)
        capacity = upstreams * count_efficient_slots(slots) * mean_speed
        callers = [Callers(model, list(balancers), seed + offset) for offset in (0, 77)]

        async def send(total: float, length_s: float, burst: float) -> BurstResult:
            result = BurstResult(CallStatistics(), CallStatistics())
            work = total / 3
            short_rate = work / (SHORT.service_time_s * MEAN_FACTOR)
            long_rate = work / (LONG.service_time_s * MEAN_FACTOR)

            def rate(now: float) -> float:
                in_burst = BURST_START_S <= now < BURST_END_S
                return long_rate * (burst if in_burst else 1.0)

            await asyncio.gather(
                callers[0].run(SHORT, lambda _: short_rate, length_s, result.short),
                callers[1].run(LONG, rate, length_s, result.long),
            )
            return result

        await send(WARM_UP_LOAD * capacity, WARM_UP_S, 1.0)
        return await send(load * capacity, length_s, 2.0)

    return run_in_virtual_time(scenario())


def main() -> None:
    """Prints the shares of requests within their objectives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--slots", type=int, default=6)
    arguments = parser.parse_args()
    print("instances upstreams slots load | short off on | long off on")
    for instances, upstreams in SIZES:
        for load in LOADS:
            shares: dict[str, list[float]] = {"short": [], "long": []}
            for reserves_slots in (False, True):
                results = [
                    run_burst(
                        load,
                        instances=instances,
                        upstreams=upstreams,
                        seed=seed,
                        slots=arguments.slots,
                        reserves_slots=reserves_slots,
                    )
                    for seed in range(1, arguments.seeds + 1)
                ]
                for name, values in shares.items():
                    kinds = [getattr(result, name) for result in results]
                    in_time = sum(kind.in_time for kind in kinds)
                    values.append(in_time / sum(kind.total for kind in kinds))
            columns = " | ".join(f"{off:.3f} {on:.3f}" for off, on in shares.values())
            print(instances, upstreams, arguments.slots, load, "|", columns, flush=True)


if __name__ == "__main__":
    main()
