"""Token bucket that limits the rate of events."""

from __future__ import annotations

import time


class RateLimiter:
    """Token bucket with a rate per second and a burst of one second's worth."""

    __slots__ = ("_burst", "_per_second", "_tokens", "_updated_at")

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._burst = max(1.0, per_second)
        self._tokens = self._burst
        self._updated_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Consumes a token for one event; returns whether one was available."""
        now = time.monotonic()
        refill = (now - self._updated_at) * self._per_second
        self._tokens = min(self._burst, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
