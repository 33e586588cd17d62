"""Open-loop arrivals, generated before the run."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .scenario import Deployment, Workload

from .scenario import SLOTS

PEAK_START_SHARE = 0.3
PEAK_END_SHARE = 0.7
PEAK_RAMP_S = 2.0
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
    """Returns the arrivals of a run in order of time, reproducible from the seed."""
    generator = random.Random(seed)
    arrivals: list[Arrival] = []
    for service in deployment.services:
        if service.name in workload.services:
            arrivals += iter_arrivals(
                workload, service.name, service.servers, duration_s, generator, 0
            )
    arrivals.sort()
    return [
        arrival._replace(entry=generator.randrange(deployment.entries))
        for arrival in arrivals
    ]


def iter_arrivals(
    workload: Workload,
    service: str,
    servers: int,
    duration_s: float,
    generator: random.Random,
    entry: int,
) -> Iterator[Arrival]:
    """Yields the arrivals of one service: a Poisson process, thinned to demand."""
    mean_factor = 1 + workload.long_share * (workload.long_factor - 1)
    mean_s = workload.short_ms * mean_factor / MS_PER_S
    peak_rate = workload.utilization * servers * SLOTS / mean_s * workload.peak_factor
    due_s = 0.0
    while True:
        due_s += generator.expovariate(peak_rate)
        if due_s >= duration_s:
            return
        if generator.random() * workload.peak_factor < get_demand_factor(
            workload, due_s, duration_s
        ):
            size, work_ms = draw_service_time(workload, generator)
            yield Arrival(due_s, service, size, work_ms, entry)


def get_demand_factor(workload: Workload, due_s: float, duration_s: float) -> float:
    """Returns the factor on demand; it reaches the peak after ``PEAK_RAMP_S``."""
    if workload.peak_factor == 1.0 or due_s > duration_s * PEAK_END_SHARE:
        return 1.0
    rise = (due_s - duration_s * PEAK_START_SHARE + PEAK_RAMP_S) / PEAK_RAMP_S
    return 1.0 + (workload.peak_factor - 1.0) * min(1.0, max(0.0, rise))


def draw_service_time(
    workload: Workload, generator: random.Random
) -> tuple[str, float]:
    """Returns a size class and a log-normal service time in milliseconds."""
    is_long = generator.random() < workload.long_share
    sigma = LONG_SIGMA if is_long else SHORT_SIGMA
    factor = generator.lognormvariate(0, sigma) / math.exp(sigma * sigma / 2)
    if is_long:
        return "long", workload.short_ms * workload.long_factor * factor
    return "short", workload.short_ms * factor
