"""Estimates of request rates from counts."""

from __future__ import annotations

import math

# Time constant of the estimate while the rate is steady, in seconds.
SMOOTHING_S = 1.0
# Counts that differ from the expected one by more standard deviations are a new rate.
JUMP_DEVIATIONS = 3.0


class RateEstimate:
    """Rate of regularly sampled counts that follows jumps within one sample."""

    def __init__(self) -> None:
        self.per_s = 0.0

    def update(self, count: float, duration_s: float) -> None:
        """Adds the count of the time since the last sample."""
        if duration_s <= 0:
            return
        expected = self.per_s * duration_s
        # The larger count gives the deviation, so that a few requests after a pause
        # are not taken for a jump.
        deviation = math.sqrt(max(expected, count, 1.0))
        if abs(count - expected) > JUMP_DEVIATIONS * deviation:
            self.per_s = max(0.0, count / duration_s)
            return
        weight = 1 - math.exp(-duration_s / SMOOTHING_S)
        self.per_s = max(0.0, self.per_s + (count / duration_s - self.per_s) * weight)


class DecayingRate:
    """Mean rate of events, weighted exponentially by their age.

    ``window_s`` is the length of the window with the same mean age of its events.
    """

    def __init__(self, window_s: float) -> None:
        self._decay_s = window_s / 2
        self._value = 0.0
        self._updated_at = -math.inf
        self._started_at: float | None = None

    def add(self, count: float, now: float) -> None:
        """Adds events; a negative count removes some."""
        if self._started_at is None:
            self._started_at = now
        self._value = max(0.0, self._get_value(now) + count / self._decay_s)
        self._updated_at = now

    def get(self, now: float) -> float:
        """Returns the events per second."""
        if self._started_at is None:
            return 0.0
        # While the first window is incomplete, the mean is over the elapsed part of it;
        # at least a tenth of a window, as one event is no rate.
        elapsed_s = max(now - self._started_at, self._decay_s / 5)
        return self._get_value(now) / (1 - math.exp(-elapsed_s / self._decay_s))

    def _get_value(self, now: float) -> float:
        if self._value == 0:
            return 0.0
        age_s = max(0.0, now - self._updated_at)
        return self._value * math.exp(-age_s / self._decay_s)
