"""Typical work of each kind of request."""

from __future__ import annotations

# Before the first answers; about the work of a short request, in seconds.
INITIAL_WORK_S = 0.08
# Weight of a new answer; 20 answers make up most of the average.
WEIGHT = 0.1
MIN_WORK_S = 0.001


class WorkEstimator:
    """Typical work of each kind of request on an upstream of usual pace, in seconds."""

    def __init__(self) -> None:
        self._work: dict[str, float] = {}

    def get(self, kind: str) -> float:
        """Returns the typical work of a kind."""
        return self._work.get(kind, INITIAL_WORK_S)

    def add(self, kind: str, latency_s: float, slowness: float) -> None:
        """Takes the latency of an answer from an upstream of the given slowness."""
        sample = max(MIN_WORK_S, latency_s / max(slowness, 1.0))
        known = self._work.get(kind)
        # A single long piece of work must not make all others look long.
        if known is not None:
            sample = known + WEIGHT * (min(sample, 4 * known) - known)
        self._work[kind] = sample
