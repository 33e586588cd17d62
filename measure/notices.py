"""Requests at an upstream that states that it leaves or is busy: ``python -m
measure.notices``.

A simulated service on virtual time. In the arm ``ignored``, choosers do not learn what
upstreams state, in ``heard`` each learns it from the responses that it gets itself.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
from typing import TYPE_CHECKING, NamedTuple

from .service_callers import Callers, CallProfile, CallStatistics, build_balancer
from .service_model import ServiceModel, ServiceProfile
from .virtual_loop import run_in_virtual_time

if TYPE_CHECKING:
    from typing import Literal

    Notice = Literal["leaving", "busy"]

WARM_UP_S = 2.0
OBSERVED_S = 4.0
BUSY_S = 2.0
SETTLING_S = 0.5
# Requests a second to each upstream, about 30% of its slots.
RATE_PER_UPSTREAM = 15.0
CALL = CallProfile(service_time_s=0.076, target_s=0.25, deadline_s=0.8, retries=1)


class NoticeResult(NamedTuple):
    """Arrivals at the upstream after its statement, and results of all requests.

    ``arrivals`` counts until the end of the busy time, or of the observed time for one
    that leaves. ``late_arrivals`` counts those from choosers that had been answered
    more than ``SETTLING_S`` before, ``most_from_one`` the most of them from one.
    """

    instances: int
    notice: str
    heard: bool
    arrivals: int
    late_arrivals: int
    most_from_one: int
    in_time_share: float
    refused: int
    failed: int


def run_notice(
    notice: Notice, instances: int, upstreams: int, *, heard: bool, seed: int = 1
) -> NoticeResult:
    """Runs one arm and returns its result."""

    async def scenario() -> NoticeResult:
        loop = asyncio.get_running_loop()
        model = ServiceModel(ServiceProfile(upstreams), seed)
        choosers = [
            build_balancer(model, instances, seed * 1_000 + number, hears_notices=heard)
            for number in range(instances)
        ]
        callers = Callers(model, [*choosers], seed, hears_notices=heard)
        statistics = CallStatistics()
        stated_at = loop.time() + WARM_UP_S
        target = model.upstreams["u0"]

        def state() -> None:
            target.is_leaving = notice == "leaving"
            if notice == "busy":
                target.busy_until = loop.time() + BUSY_S

        loop.call_at(stated_at, state)
        length_s = WARM_UP_S + OBSERVED_S
        await callers.run(
            CALL, lambda _: RATE_PER_UPSTREAM * upstreams, length_s, statistics
        )
        end = stated_at + (BUSY_S if notice == "busy" else OBSERVED_S)
        told_at: dict[int, float] = {}
        arrivals, late = 0, collections.Counter[int]()
        for arrival in callers.arrivals:
            if arrival.upstream != "u0" or not stated_at <= arrival.at < end:
                continue
            arrivals += 1
            told = told_at.setdefault(arrival.chooser, arrival.at)
            late[arrival.chooser] += arrival.at > told + SETTLING_S
        return NoticeResult(
            instances,
            notice,
            heard,
            arrivals,
            late.total(),
            max(late.values(), default=0),
            round(statistics.in_time_share, 3),
            statistics.refused,
            statistics.failed,
        )

    return run_in_virtual_time(scenario())


def main() -> None:
    """Runs all arms and prints each result as a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[13, 311])
    parser.add_argument("--upstreams", type=int, nargs="+", default=[15, 60])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for instances, upstreams in zip(options.instances, options.upstreams, strict=True):
        notices: tuple[Notice, ...] = ("leaving", "busy")
        for notice in notices:
            for heard in (False, True):
                result = run_notice(
                    notice, instances, upstreams, heard=heard, seed=options.seed
                )
                print(json.dumps(result._asdict()), flush=True)


if __name__ == "__main__":
    main()
