"""Detects that the process did not run for a while."""

from __future__ import annotations

MAX_LATENESS_S = 1.0


class PauseDetector:
    """Detects pauses by a periodic timer that fires late; all times are in seconds."""

    def __init__(self, interval_s: float, now: float) -> None:
        self._interval_s = interval_s
        self._expected_at = now + interval_s

    def check(self, now: float) -> bool:
        """Returns whether the timer fired more than ``MAX_LATENESS_S`` late."""
        was_paused = now - self._expected_at > MAX_LATENESS_S
        self._expected_at = now + self._interval_s
        return was_paused
