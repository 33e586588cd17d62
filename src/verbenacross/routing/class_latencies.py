"""Typical latency of each class of requests of a service."""

from __future__ import annotations

CALM_STEP = 0.05
WAITING_STEP = 0.002
MEAN_WEIGHT = 0.02
MIN_LATENCY_S = 0.0005
DEFAULT_LATENCY_S = 0.02


class ClassLatencies:
    """Median latency of each class, tracked by steps, and the mean over all.

    The median is taken over all upstreams, so a slow one does not shift it. It follows
    slowly while requests wait in the entry: otherwise latency under overload would
    become the norm and slowness could no longer be told.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_LATENCY_S
        self._medians: dict[str, float] = {}

    def add(self, class_name: str, latency_s: float, calm: bool) -> None:
        """Takes the latency of an answered request, in seconds."""
        latency_s = max(latency_s, MIN_LATENCY_S)
        median = self._medians.get(class_name)
        if median is None:
            self._medians[class_name] = latency_s
            self.mean_s = latency_s if len(self._medians) == 1 else self.mean_s
            return
        step = 1 + (CALM_STEP if calm else WAITING_STEP)
        self._medians[class_name] = (
            median * step if latency_s > median else median / step
        )
        self.mean_s += MEAN_WEIGHT * (latency_s - self.mean_s)

    def get_typical_s(self, class_name: str) -> float:
        """Returns the median latency of a class, in seconds."""
        return self._medians.get(class_name, self.mean_s)

    def get_ratio(self, class_name: str, latency_s: float) -> float:
        """Returns a latency as a multiple of the typical one of its class."""
        median = self._medians.get(class_name)
        return 1.0 if median is None else latency_s / median
