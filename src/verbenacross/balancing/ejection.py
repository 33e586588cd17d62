"""Takes work away from upstreams that fail and gives it back gently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .upstream_view import UpstreamView

FAILURES_IN_ROW = 3
FAILURE_RATE = 0.45
# Weight of one answer in the failure rate.
RATE_WEIGHT = 0.25
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 8.0
# Half-life of the failure rate while no work is sent, in seconds.
FORGET_S = 4.0


def note_success(view: UpstreamView, now: float) -> None:
    """Takes a good answer."""
    view.failures_in_row = 0
    view.failure_rate *= 1 - RATE_WEIGHT
    view.last_success = now
    if now >= view.ejected_until:
        view.ejections = max(0, view.ejections - 1)


def note_failure(view: UpstreamView, now: float) -> bool:
    """Takes a failure; returns whether the upstream is ejected now."""
    view.failures_in_row += 1
    view.failure_rate += RATE_WEIGHT * (1 - view.failure_rate)
    on_trial = view.ejections > 0
    failing = (
        view.failures_in_row >= FAILURES_IN_ROW or view.failure_rate >= FAILURE_RATE
    )
    if now < view.ejected_until or not (failing or on_trial):
        return False
    length_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0**view.ejections)
    view.ejections += 1
    view.ejected_until = now + length_s
    return True


def is_on_trial(view: UpstreamView) -> bool:
    """Returns whether the upstream may get only one request at a time."""
    return view.ejections > 0 and view.in_flight > 0 and view.failures_in_row > 0
