"""Token bucket for a rate that changes at run time."""

from __future__ import annotations


class TokenBucket:
    """Limits a rate, which is in tokens per second and may change.

    The bucket holds the tokens of up to ``burst_s`` seconds, but at least one. It
    starts with the tokens of one second.
    """

    def __init__(self, burst_s: float, now: float) -> None:
        self.rate = 0.0
        self._burst_s = burst_s
        self._tokens = 0.0
        self._updated = now

    def set_rate(self, rate: float) -> None:
        """Sets the rate in tokens per second."""
        if self.rate == 0.0:
            self._tokens = rate
        self.rate = rate

    def take(self, wanted: int, now: float) -> int:
        """Takes up to ``wanted`` whole tokens; returns how many were available."""
        capacity = max(1.0, self.rate * self._burst_s)
        refilled = self._tokens + (now - self._updated) * self.rate
        self._tokens = min(capacity, refilled)
        self._updated = now
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken
