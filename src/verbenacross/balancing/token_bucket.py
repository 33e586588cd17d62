"""Token bucket for a rate that changes at run time."""

from __future__ import annotations


class TokenBucket:
    """Limits a rate, which is in tokens per second and may change.

    The capacity is the tokens of ``burst_s`` seconds, but at least one token. It
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

    def consume(self, wanted: int, now: float) -> int:
        """Consumes up to ``wanted`` whole tokens; returns how many it consumed."""
        capacity = max(1.0, self.rate * self._burst_s)
        refilled = self._tokens + (now - self._updated) * self.rate
        self._tokens = min(capacity, refilled)
        self._updated = now
        consumed = min(wanted, int(self._tokens))
        self._tokens -= consumed
        return consumed
