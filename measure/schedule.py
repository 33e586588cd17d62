"""Open-loop arrivals: when each request is due, fixed before the run."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .scenario import Deployment, Workload

from .scenario import SLOTS

CREST_STARTS = 0.3
CREST_ENDS = 0.7
CREST_RAMP_S = 2.0
SHORT_SIGMA = 0.4
LONG_SIGMA = 0.2
MS_PER_S = 1_000


class Arrival(NamedTuple):
    """A request that is due ``due_s`` seconds after the start of the run."""

    due_s: float
    service: str
    size: str
    work_ms: float
    entry: int


def build_schedule(
    workload: Workload, deployment: Deployment, duration_s: float, seed: int
) -> list[Arrival]:
    """Returns the arrivals of a run in order; the same seed gives the same ones."""
    generator = random.Random(seed)
    arrivals: list[Arrival] = []
    for service in deployment.services:
        if service.name in workload.services:
            arrivals += draw_service(
                workload, service.name, service.servers, duration_s, generator, 0
            )
    arrivals.sort()
    return [
        arrival._replace(entry=generator.randrange(deployment.entries))
        for arrival in arrivals
    ]


def draw_service(
    workload: Workload,
    service: str,
    servers: int,
    duration_s: float,
    generator: random.Random,
    entry: int,
) -> Iterator[Arrival]:
    """Yields the arrivals of one service: Poisson, thinned to the demand curve."""
    mean_factor = 1 + workload.long_share * (workload.long_factor - 1)
    mean_s = workload.short_ms * mean_factor / MS_PER_S
    peak_rate = workload.utilization * servers * SLOTS / mean_s * workload.crest
    due_s = 0.0
    while True:
        due_s += generator.expovariate(peak_rate)
        if due_s >= duration_s:
            return
        if generator.random() * workload.crest < get_demand(
            workload, due_s, duration_s
        ):
            size, work_ms = draw_work(workload, generator)
            yield Arrival(due_s, service, size, work_ms, entry)


def get_demand(workload: Workload, due_s: float, duration_s: float) -> float:
    """Returns the factor on demand at a time: a ramp of 2 s up to the crest."""
    if workload.crest == 1.0 or due_s > duration_s * CREST_ENDS:
        return 1.0
    rise = (due_s - duration_s * CREST_STARTS + CREST_RAMP_S) / CREST_RAMP_S
    return 1.0 + (workload.crest - 1.0) * min(1.0, max(0.0, rise))


def draw_work(workload: Workload, generator: random.Random) -> tuple[str, float]:
    """Returns size class and milliseconds of work with the workload's mean."""
    is_long = generator.random() < workload.long_share
    sigma = LONG_SIGMA if is_long else SHORT_SIGMA
    factor = generator.lognormvariate(0, sigma) / math.exp(sigma * sigma / 2)
    if is_long:
        return "long", workload.short_ms * workload.long_factor * factor
    return "short", workload.short_ms * factor
