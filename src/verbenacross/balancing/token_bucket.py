"""Limits a rate."""

from __future__ import annotations


class TokenBucket:
    """Limits a rate; ``rate`` is in tokens a second and may change.

    The first second's tokens are there from the start.
    """

    def __init__(self, burst_s: float, now: float) -> None:
        self.rate = 0.0
        self._burst_s = burst_s
        self._tokens = 0.0
        self._updated = now

    def set_rate(self, rate: float) -> None:
        """Sets the rate."""
        if self.rate == 0.0:
            self._tokens = rate
        self.rate = rate

    def take(self, wanted: int, now: float) -> int:
        """Takes up to ``wanted`` whole tokens; returns how many."""
        limit = max(1.0, self.rate * self._burst_s)
        grown = self._tokens + (now - self._updated) * self.rate
        self._tokens = min(limit, grown)
        self._updated = now
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken
