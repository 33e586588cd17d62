"""Median latency of each request class of a service."""

from __future__ import annotations

BASE_STEP = 0.05
MAX_STEP = 0.5
# Consecutive samples on one side of the estimate after which steps grow, as the median
# has then moved away.
RUN_BEFORE_GROWTH = 4
MEAN_WEIGHT = 0.05
MIN_LATENCY_S = 0.0005
DEFAULT_LATENCY_S = 0.02


class MedianTracker:
    """Estimates a running median in constant space.

    Each sample moves the estimate one step towards it; steps grow while samples fall on
    the same side.
    """

    def __init__(self, value: float) -> None:
        self.value = value
        self._run_length = 0

    def add(self, sample: float) -> None:
        """Moves the estimate one step towards a sample."""
        above = sample > self.value
        same_side = above == (self._run_length > 0)
        length = abs(self._run_length) + 1 if same_side else 1
        self._run_length = length if above else -length
        step = 1 + min(MAX_STEP, BASE_STEP * max(1, length - RUN_BEFORE_GROWTH))
        self.value = self.value * step if above else self.value / step


class ClassLatencies:
    """Median latency of each class over all upstreams, and the mean over all classes.

    A single slow upstream shifts a median little; a change in the requests themselves
    shifts it within about twenty samples.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_LATENCY_S
        self._medians: dict[str, MedianTracker] = {}

    def add(self, class_name: str, latency_s: float) -> None:
        """Records the latency of an answered request, in seconds."""
        latency_s = max(latency_s, MIN_LATENCY_S)
        median = self._medians.get(class_name)
        if median is None:
            if not self._medians:
                self.mean_s = latency_s
            self._medians[class_name] = MedianTracker(latency_s)
            return
        median.add(latency_s)
        self.mean_s += MEAN_WEIGHT * (latency_s - self.mean_s)

    def get_median_latency_s(self, class_name: str) -> float:
        """Returns the median latency of a class, in seconds.

        A class without samples has the mean over all classes.
        """
        median = self._medians.get(class_name)
        return self.mean_s if median is None else median.value

    def get_ratio(self, class_name: str, latency_s: float) -> float:
        """Returns a latency as a multiple of the median of its class.

        The ratio is 1 for a class without samples.
        """
        median = self._medians.get(class_name)
        return 1.0 if median is None else latency_s / median.value
