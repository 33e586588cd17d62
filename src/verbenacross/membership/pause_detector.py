"""Notices that the process did not run for a while."""

from __future__ import annotations

MAX_LATENESS_S = 1.0


class PauseDetector:
    """Compares the times of a periodic timer with its interval, in seconds."""

    def __init__(self, interval_s: float, now: float) -> None:
        self._interval_s = interval_s
        self._expected = now + interval_s

    def check(self, now: float) -> bool:
        """Returns whether the timer fired so late that the process was paused."""
        is_late = now - self._expected > MAX_LATENESS_S
        self._expected = now + self._interval_s
        return is_late
