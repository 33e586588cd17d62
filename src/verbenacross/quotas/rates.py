"""Estimates of request rates from counts."""

from __future__ import annotations

import math
from collections import deque

# Time constant of the estimate while the rate is steady, in seconds.
SMOOTHING_S = 1.0
# Counts that differ from the expected ones by more standard deviations are a new rate.
JUMP_DEVIATIONS = 2.5
# Number of samples in which a jump is looked for. With a single one, a jump of some
# requests per second was followed after 2 s only.
JUMP_SAMPLES = 5
BUCKET_S = 0.5
# Counts are kept for this time beyond the window, in seconds: the rate before the loss
# of a coordinator is asked for when the loss is noticed.
SPARE_S = 1.5
MIN_WINDOW_S = 1.0


class RateEstimate:
    """Rate of regularly sampled counts that follows jumps within a few samples."""

    def __init__(self) -> None:
        self.per_s = 0.0
        self._samples: deque[tuple[float, float]] = deque(maxlen=JUMP_SAMPLES)

    def update(self, count: float, duration_s: float) -> None:
        """Adds the count of the time since the last sample."""
        if duration_s <= 0:
            return
        self._samples.append((count, duration_s))
        total_count = total_s = 0.0
        for sample_count, sample_s in reversed(self._samples):
            total_count += sample_count
            total_s += sample_s
            expected = self.per_s * total_s
            # The larger count gives the deviation, so that a few requests after a
            # pause are not taken for a jump.
            deviation = math.sqrt(max(expected, total_count, 1.0))
            if abs(total_count - expected) > JUMP_DEVIATIONS * deviation:
                self.per_s = max(0.0, total_count / total_s)
                self._samples.clear()
                return
        weight = 1 - math.exp(-duration_s / SMOOTHING_S)
        self.per_s = max(0.0, self.per_s + (count / duration_s - self.per_s) * weight)


class WindowedRate:
    """Mean rate of events over a window that ends now or shortly before.

    Counts are kept per half second for the window and ``SPARE_S`` more.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: dict[int, float] = {}
        self._started_at: float | None = None

    def add(self, count: float, now: float) -> None:
        """Adds events; a negative count removes some."""
        if self._started_at is None:
            self._started_at = now
        index = int(now / BUCKET_S)
        if index not in self._counts:
            first = index - (self._window_s + SPARE_S) / BUCKET_S
            for old in [old for old in self._counts if old < first]:
                del self._counts[old]
        self._counts[index] = self._counts.get(index, 0.0) + count

    def get(self, end: float) -> float:
        """Returns the events per second of the window that ends at a time."""
        if self._started_at is None:
            return 0.0
        stop = self._get_stop(end)
        first = stop - int(self._window_s / BUCKET_S)
        counted = sum(
            count for index, count in self._counts.items() if first <= index < stop
        )
        elapsed_s = stop * BUCKET_S - max(self._started_at, first * BUCKET_S)
        # One event after the start is no rate.
        return max(0.0, counted / max(elapsed_s, MIN_WINDOW_S))

    def get_excess(self, end: float, now: float, rate_per_s: float) -> float:
        """Returns by how many events a rate was exceeded since the window's end."""
        if self._started_at is None:
            return 0.0
        stop = self._get_stop(end)
        counted = sum(count for index, count in self._counts.items() if index >= stop)
        return max(0.0, counted - rate_per_s * max(0.0, now - stop * BUCKET_S))

    def _get_stop(self, end: float) -> int:
        # The last half second is complete, as later events must not count.
        return max(int(end / BUCKET_S), int((self._started_at or 0.0) / BUCKET_S) + 1)
