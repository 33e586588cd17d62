"""Estimates the typical service time of each kind of request."""

from __future__ import annotations

# Estimate before the first responses, in seconds; about that of a short request.
INITIAL_SERVICE_TIME_S = 0.08
# Weight of a new sample in the moving average, which is dominated by the last 20.
SAMPLE_WEIGHT = 0.1
MIN_SERVICE_TIME_S = 0.001


class ServiceTimeEstimator:
    """Typical service time of each kind of request at normal speed, in seconds."""

    def __init__(self) -> None:
        self._service_times: dict[str, float] = {}

    def get(self, request_kind: str) -> float:
        """Returns the typical service time of a kind of request, in seconds."""
        return self._service_times.get(request_kind, INITIAL_SERVICE_TIME_S)

    def add(self, request_kind: str, latency_s: float, slowness: float) -> None:
        """Adds the latency of a response from an upstream of the given slowness."""
        sample = max(MIN_SERVICE_TIME_S, latency_s / max(slowness, 1.0))
        average = self._service_times.get(request_kind)
        # Samples are capped so that one long request does not distort the estimate.
        if average is not None:
            sample = average + SAMPLE_WEIGHT * (min(sample, 4 * average) - average)
        self._service_times[request_kind] = sample
