"""Estimates the typical service time of each kind of request."""

from __future__ import annotations

import math
from typing import NamedTuple

# Estimate before the first responses, in seconds; about that of a short request.
INITIAL_SERVICE_TIME_S = 0.08
# Weight of a new sample in the moving average, which is dominated by the last 20.
SAMPLE_WEIGHT = 0.1
# The same for the response to a trial request: the average is out of date.
TRIAL_SAMPLE_WEIGHT = 0.5
# A kind of request without samples gets a trial request this often, in seconds.
TRIAL_INTERVAL_S = 1.0
MIN_SERVICE_TIME_S = 0.001


class Estimate(NamedTuple):
    """The average service time in seconds, and when its last sample arrived."""

    service_time_s: float
    sampled_at: float


class ServiceTimeEstimator:
    """Typical service time of each kind of request at normal speed, in seconds.

    Only responses correct an estimate. If it is too long, requests are refused because
    of it and there is no response, so a trial request is allowed now and then.
    """

    def __init__(self) -> None:
        self._estimates: dict[str, Estimate] = {}
        self._trials: dict[str, float] = {}

    def get(self, request_kind: str) -> float:
        """Returns the typical service time of a kind of request, in seconds."""
        estimate = self._estimates.get(request_kind)
        return INITIAL_SERVICE_TIME_S if estimate is None else estimate.service_time_s

    def add(
        self, request_kind: str, latency_s: float, slowness: float, now: float
    ) -> None:
        """Adds the latency of a response from an upstream of the given slowness."""
        sample = max(MIN_SERVICE_TIME_S, latency_s / max(slowness, 1.0))
        estimate = self._estimates.get(request_kind)
        if estimate is not None:
            average, sampled_at = estimate
            is_trial = self._trials.get(request_kind, -math.inf) >= sampled_at
            weight = TRIAL_SAMPLE_WEIGHT if is_trial else SAMPLE_WEIGHT
            # Samples are capped so that one long request does not distort the estimate.
            sample = average + weight * (min(sample, 4 * average) - average)
        self._estimates[request_kind] = Estimate(sample, now)

    def try_start_trial(self, request_kind: str, now: float) -> bool:
        """Returns whether a trial request may be sent now; starts it if so."""
        estimate = self._estimates.get(request_kind)
        sampled_at = -math.inf if estimate is None else estimate.sampled_at
        latest = max(sampled_at, self._trials.get(request_kind, -math.inf))
        if now - latest < TRIAL_INTERVAL_S:
            return False
        self._trials[request_kind] = now
        return True
