"""Estimates when an upstream would complete a request that is sent now."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .tracked_upstream import TrackedUpstream

# Share of busy slots above which upstreams slow down, and the factor by which they do.
SATURATION_SHARE = 0.8
SATURATION_SLOWDOWN = 1.7
# Penalty per busy slot, so that load spreads over upstreams that are equally fast.
LOAD_WEIGHT = 0.2
# Slowdown of an upstream during its cold start.
COLD_START_SLOWDOWN = 2.0
# Growth of an estimate per second of age of its load report: upstreams change their
# speed about every half second.
STALENESS_PENALTY_PER_S = 2.5
# Age of a load report, in seconds, above which another request has probably arrived
# since.
ASSUMED_ARRIVAL_AGE_S = 0.06
# Penalty for a failure rate above the baseline: an upstream that always fails while the
# others never do gets an estimate five times as long.
FAILURE_RATE_PENALTY = 4.0
# Slowdown assumed for an upstream that reports itself unhealthy, which may be true even
# though its responses are good.
UNHEALTHY_SLOWDOWN = 3.0
# Round-trip time to another failure domain, in seconds.
REMOTE_DELAY_S = 0.003


class CompletionEstimate(NamedTuple):
    """Time until an upstream would complete a request, in seconds from now.

    ``excess`` is the number of requests by which the upstream would exceed the load at
    which its throughput is highest; ``unused`` of its ``slots`` would remain free below
    that load.
    """

    completion_s: float
    excess: int
    unused: int
    slots: int


def count_unsaturated_slots(slots: int) -> int:
    """Returns how many of the slots may be in use before an upstream slows down."""
    return max(1, int(SATURATION_SHARE * slots))


def count_efficient_slots(slots: int) -> int:
    """Returns how many slots are in use at the highest throughput of an upstream.

    Four of six busy slots complete more requests per second than five or six, as these
    slow each other down. Both of two complete more than one.
    """
    unsaturated = count_unsaturated_slots(slots)
    return slots if slots / SATURATION_SLOWDOWN > unsaturated else unsaturated


class HealthBaseline(NamedTuple):
    """Median failure rate and majority health of the upstreams of a service.

    Problems that more than half of the upstreams share do not count against a single
    upstream, since waiting for a better one would not help.
    """

    failure_rate: float = 0.0
    is_unhealthy: bool = False

    @classmethod
    def from_upstreams(cls, upstreams: Sequence[TrackedUpstream]) -> HealthBaseline:
        """Returns the baseline of the upstreams; without any, a healthy one."""
        if not upstreams:
            return cls()
        rates = sorted(tracked.failure_rate for tracked in upstreams)
        unhealthy = sum(tracked.is_unhealthy for tracked in upstreams)
        return cls(rates[(len(rates) - 1) // 2], 2 * unhealthy > len(upstreams))


HEALTHY_BASELINE = HealthBaseline()


def estimate_completion(
    tracked: TrackedUpstream,
    service_time_s: float,
    failure_domain: str,
    now: float,
    baseline: HealthBaseline = HEALTHY_BASELINE,
) -> CompletionEstimate:
    """Estimates when an upstream would complete a request.

    ``service_time_s`` is the time that the request takes at normal speed, in seconds;
    ``failure_domain`` is that of this instance.
    """
    upstream = tracked.upstream
    report = tracked.report
    staleness_factor = 1.0
    if report is None:
        slots, busy, slowness = upstream.slots, tracked.in_flight, 1.0
    else:
        slots = max(1, report.slots)
        busy = report.running + report.waiting + tracked.count_unreported_attempts(now)
        slowness = report.slowness
        age_s = now - tracked.reported_at
        staleness_factor += STALENESS_PENALTY_PER_S * age_s
        if age_s > ASSUMED_ARRIVAL_AGE_S:
            busy = max(busy + 1, tracked.in_flight)
    if now < tracked.cold_start_until:
        slowness *= COLD_START_SLOWDOWN
    if busy >= count_unsaturated_slots(slots):
        slowness *= SATURATION_SLOWDOWN
    queued = max(0, busy + 1 - slots)
    completion_s = (
        service_time_s * slowness * (1 + (queued + LOAD_WEIGHT * busy) / slots)
    )
    completion_s *= staleness_factor
    if upstream.failure_domain != failure_domain:
        completion_s += REMOTE_DELAY_S
    if tracked.is_unhealthy and not baseline.is_unhealthy:
        completion_s *= UNHEALTHY_SLOWDOWN
    unused = count_efficient_slots(slots) - busy - 1
    failure_excess = max(0.0, tracked.failure_rate - baseline.failure_rate)
    return CompletionEstimate(
        completion_s * (1 + FAILURE_RATE_PENALTY * failure_excess),
        excess=max(0, -unused),
        unused=max(0, unused),
        slots=slots,
    )
