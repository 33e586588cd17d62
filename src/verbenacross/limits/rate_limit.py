"""Limit on a rate of events."""

from __future__ import annotations

import time


class RateLimit:
    """Limit on events per second with a burst of one second's worth."""

    __slots__ = ("_burst", "_per_second", "_tokens", "_updated")

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._burst = max(1.0, per_second)
        self._tokens = self._burst
        self._updated = time.monotonic()

    def try_take(self) -> bool:
        """Returns whether one more event is within the limit."""
        now = time.monotonic()
        gained = (now - self._updated) * self._per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
