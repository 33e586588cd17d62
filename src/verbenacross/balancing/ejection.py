"""Ejects upstreams that fail and readmits them one trial request at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tracked_upstream import TrackedUpstream

CONSECUTIVE_FAILURE_LIMIT = 3
FAILURE_RATE_LIMIT = 0.45
# Weight of one attempt in the moving average of the failure rate.
FAILURE_RATE_WEIGHT = 0.25
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0


def record_success(tracked: TrackedUpstream, now: float) -> None:
    """Records a successful attempt.

    Outside an ejection it also shortens the next one by one back-off step.
    """
    tracked.consecutive_failures = 0
    tracked.failure_rate *= 1 - FAILURE_RATE_WEIGHT
    tracked.last_success = now
    if now >= tracked.ejected_until:
        tracked.ejections = max(0, tracked.ejections - 1)


def record_failure(tracked: TrackedUpstream, now: float) -> bool:
    """Records a failed attempt; returns whether it ejects the upstream.

    The ejection time doubles with each ejection, up to ``MAX_EJECTION_S``. A half-open
    upstream is ejected again by a single failure.
    """
    tracked.consecutive_failures += 1
    tracked.failure_rate += FAILURE_RATE_WEIGHT * (1 - tracked.failure_rate)
    is_half_open = tracked.ejections > 0
    is_failing = (
        tracked.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
        or tracked.failure_rate >= FAILURE_RATE_LIMIT
    )
    if now < tracked.ejected_until or not (is_failing or is_half_open):
        return False
    length_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**tracked.ejections)
    tracked.ejections += 1
    tracked.ejected_until = now + length_s
    return True


def has_trial_in_flight(tracked: TrackedUpstream) -> bool:
    """Returns whether a half-open upstream already serves its trial request.

    It gets no other request meanwhile.
    """
    return (
        tracked.ejections > 0
        and tracked.in_flight > 0
        and tracked.consecutive_failures > 0
    )
