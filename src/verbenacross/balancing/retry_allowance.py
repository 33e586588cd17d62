"""Allowance of second attempts for one service in one instance."""

from __future__ import annotations

from collections import deque

# Part of the shared allowance that is used; the rest covers counts that differ between
# instances and upstreams.
USED_SHARE = 0.8


class RetryAllowance:
    """Second attempts that one instance may send to a service in a sliding window.

    The shared allowance over all instances is ``ratio`` times the requests in the
    window plus ``slack``; an instance uses the ratio of its own requests and its part
    of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_take(self, now: float, instances: int) -> bool:
        """Counts a second attempt if it is allowed; returns whether it is."""
        self._expire(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, instances)
        if len(self._retries) + 1 > allowed * USED_SHARE:
            return False
        self._retries.append(now)
        return True

    def give_back(self) -> None:
        """Undoes the latest ``try_take`` of an attempt that was never sent."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
