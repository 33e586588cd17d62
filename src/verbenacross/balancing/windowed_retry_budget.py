"""Retry budget of one service in one instance."""

from __future__ import annotations

from collections import deque

# Share of the budget that is spent; the rest is a margin for counts that differ between
# instances and upstreams.
USED_SHARE = 0.8


class WindowedRetryBudget:
    """Limits the retries of one instance to a service within a sliding window.

    All instances together may send ``ratio`` times the requests of the window plus
    ``slack`` retries. Each instance applies the ratio to its own requests and adds an
    equal part of the slack; ``window_s`` is in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Records a caller's request, which raises the budget."""
        self._requests.append(now)
        self._expire(now)

    def try_spend(self, now: float, instances: int) -> bool:
        """Records a retry if the budget allows it; returns whether it does."""
        self._expire(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, instances)
        if len(self._retries) + 1 > allowed * USED_SHARE:
            return False
        self._retries.append(now)
        return True

    def refund(self) -> None:
        """Reverts the latest ``try_spend`` for a retry that was never sent."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now: float) -> None:
        window_start = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < window_start:
                times.popleft()
