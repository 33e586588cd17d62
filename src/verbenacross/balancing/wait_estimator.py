"""Estimates how long waiting requests take to be assigned."""

from __future__ import annotations

from collections import deque

ASSIGNMENT_RATE_WINDOW_S = 1.0
# Average slowdown: upstreams at the users' sites take two to three times as long.
TYPICAL_SLOWDOWN = 2.5


class WaitEstimator:
    """Estimates waits from the recent rate of assignments of this instance."""

    def __init__(self) -> None:
        self._assignment_times: deque[float] = deque()

    def record_assignment(self, now: float) -> None:
        """Records that a request was assigned to an upstream."""
        self._assignment_times.append(now)

    def estimate(
        self, ahead: int, service_time_s: float, slots: float, now: float
    ) -> float:
        """Estimates how long a request waits behind ``ahead`` others, in seconds.

        Assumes the recent rate of assignments, but at least the rate that ``slots``,
        which is this instance's part of them, allow at the typical slowdown.
        """
        while (
            self._assignment_times
            and self._assignment_times[0] < now - ASSIGNMENT_RATE_WINDOW_S
        ):
            self._assignment_times.popleft()
        fair_rate = slots / (service_time_s * TYPICAL_SLOWDOWN)
        rate = max(fair_rate, len(self._assignment_times) / ASSIGNMENT_RATE_WINDOW_S)
        return ahead / max(rate, 1.0)
