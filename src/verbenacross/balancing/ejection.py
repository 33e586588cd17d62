"""Takes work away from upstreams that fail and gives it back gently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tracked_upstream import TrackedUpstream

FAILURES_IN_ROW = 3
FAILURE_RATE = 0.45
# Weight of one answer in the failure rate.
RATE_WEIGHT = 0.25
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 8.0
# Half-life of the failure rate while no work is sent, in seconds.
FORGET_S = 4.0


def note_success(tracked: TrackedUpstream, now: float) -> None:
    """Takes a good answer."""
    tracked.failures_in_row = 0
    tracked.failure_rate *= 1 - RATE_WEIGHT
    tracked.last_success = now
    if now >= tracked.ejected_until:
        tracked.ejections = max(0, tracked.ejections - 1)


def note_failure(tracked: TrackedUpstream, now: float) -> bool:
    """Takes a failure; returns whether the upstream is ejected now."""
    tracked.failures_in_row += 1
    tracked.failure_rate += RATE_WEIGHT * (1 - tracked.failure_rate)
    on_trial = tracked.ejections > 0
    failing = (
        tracked.failures_in_row >= FAILURES_IN_ROW
        or tracked.failure_rate >= FAILURE_RATE
    )
    if now < tracked.ejected_until or not (failing or on_trial):
        return False
    length_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0**tracked.ejections)
    tracked.ejections += 1
    tracked.ejected_until = now + length_s
    return True


def is_on_trial(tracked: TrackedUpstream) -> bool:
    """Returns whether the upstream may get only one request at a time."""
    return (
        tracked.ejections > 0 and tracked.in_flight > 0 and tracked.failures_in_row > 0
    )
