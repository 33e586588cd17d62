"""Runs load patterns on a simulated service, on virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from measure.baseline_choosers import (
    CentralQueue,
    TwoChoicesInFlight,
    TwoChoicesReportedLoad,
)
from measure.service_callers import Callers, CallProfile, CallStatistics, build_balancer
from measure.service_model import ServiceModel, ServiceProfile
from measure.virtual_loop import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Literal

    from measure.service_callers import Chooser

    ChooserName = Literal["balancer", "own-count", "reported-load", "central"]

INSTANCES = 13
SHORT_CALL = CallProfile(service_time_s=0.076, target_s=0.25, deadline_s=0.8)


def build_choosers(name: ChooserName, model: ServiceModel, seed: int) -> list[Chooser]:
    """Builds the choosers of all instances; the central queue is a single one."""
    match name:
        case "balancer":
            return [
                build_balancer(model, INSTANCES, seed * 100 + number)
                for number in range(INSTANCES)
            ]
        case "own-count":
            return [TwoChoicesInFlight(model, number) for number in range(INSTANCES)]
        case "reported-load":
            return [
                TwoChoicesReportedLoad(model, number) for number in range(INSTANCES)
            ]
        case "central":
            return [CentralQueue(model)]


def run_pattern(
    name: ChooserName,
    rate: Callable[[float], float],
    *,
    seed: int,
    length_s: float = 10.0,
    profile: ServiceProfile | None = None,
    call: CallProfile = SHORT_CALL,
    prepare: Callable[[ServiceModel], None] | None = None,
) -> CallStatistics:
    """Runs a load pattern and returns the statistics of its requests.

    ``rate`` maps the seconds since the start to requests per second. ``prepare``
    changes the simulated service before the start.
    """

    async def scenario() -> CallStatistics:
        model = ServiceModel(profile or ServiceProfile(upstreams=15), seed)
        if prepare is not None:
            prepare(model)
        statistics = CallStatistics()
        callers = Callers(model, build_choosers(name, model, seed), seed)
        await callers.run(call, rate, length_s, statistics)
        return statistics

    return run_in_virtual_time(scenario())
