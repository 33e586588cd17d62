"""Recent latencies of one kind of request."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

# A quantile of fewer latencies than this is not used.
MIN_SAMPLES = 20
# An instance that sees a request of a kind every second still has enough samples, and
# a busy one adapts within seconds.
MAX_SAMPLES = 100
MAX_SAMPLE_AGE_S = 60.0
LATE_QUANTILE = 0.95


class Quantiles(NamedTuple):
    """The median and the 0.95 quantile of recent latencies, in seconds."""

    median_s: float
    late_s: float


class LatencySamples:
    """The latest latencies of first attempts of one kind of request."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._quantiles: Quantiles | None = None

    def add(self, latency_s: float, now: float) -> None:
        """Adds a latency."""
        self._samples.append((now, latency_s))
        self._quantiles = None

    def compute_quantiles(self, now: float) -> Quantiles | None:
        """Returns the quantiles, ``None`` while there are too few recent latencies."""
        samples = self._samples
        while samples and samples[0][0] < now - MAX_SAMPLE_AGE_S:
            samples.popleft()
            self._quantiles = None
        if len(samples) < MIN_SAMPLES:
            return None
        if self._quantiles is None:
            ordered = sorted(latency_s for _, latency_s in samples)
            self._quantiles = Quantiles(
                get_quantile(ordered, 0.5), get_quantile(ordered, LATE_QUANTILE)
            )
        return self._quantiles


def get_quantile(ordered: list[float], share: float) -> float:
    """Returns the smallest value that ``share`` of the ordered values do not exceed."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
