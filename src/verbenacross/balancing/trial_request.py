"""Trial requests of a kind that is estimated to take longer than it may.

Only responses correct the estimate, and without trials there would be none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from .completion_estimate import estimate_completion
from .ejection import has_trial_in_flight
from .slot_reservation import takes_reserved_slot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .balancing_context import BalancingContext
    from .completion_estimate import HealthBaseline
    from .service_time_estimator import ServiceTimeEstimator
    from .tracked_upstream import TrackedUpstream

# A trial request is allowed if the estimated service time is at least this share of the
# time that a request has in all.
TRIAL_TIME_SHARE = 0.8

logger = logbook.Logger("verbenacross.balancing")


def needs_trial(context: BalancingContext, service_times: ServiceTimeEstimator) -> bool:
    """Returns whether the estimate alone keeps a request from being served."""
    total_s = context.deadline - context.arrived_at
    return service_times.get(context.request_kind) >= TRIAL_TIME_SHARE * total_s


def find_fastest(
    context: BalancingContext,
    upstreams: Iterable[TrackedUpstream],
    service_time_s: float,
    failure_domain: str,
    baseline: HealthBaseline,
    now: float,
    urgent_share: float = 0.0,
) -> TrackedUpstream | None:
    """Returns the upstream with a free slot that would complete a request first."""
    candidates = []
    for tracked in upstreams:
        if tracked.upstream.id in context.excluded or has_trial_in_flight(tracked):
            continue
        estimate = estimate_completion(
            tracked, service_time_s, failure_domain, now, baseline
        )
        if not estimate.excess and not takes_reserved_slot(estimate, urgent_share):
            candidates.append((estimate.completion_s, tracked))
    if not candidates:
        return None
    return min(candidates, key=lambda candidate: candidate[0])[1]


def log_trial(
    context: BalancingContext,
    tracked: TrackedUpstream,
    service_times: ServiceTimeEstimator,
    now: float,
) -> None:
    """Logs a trial request and the estimate that it may correct."""
    logger.info(
        "trial request",
        extra={
            "request_id": context.request_id,
            "service": tracked.upstream.service,
            "upstream": tracked.upstream.id,
            "service_time_s": round(service_times.get(context.request_kind), 3),
            "left_s": round(context.deadline - now, 3),
        },
    )
