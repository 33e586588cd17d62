"""Estimates how many requests an upstream has in flight over all entries."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from .upstream_state import UpstreamState

MEAN_WEIGHT = 0.05
MAX_LATENCY_MISMATCH = 2.0
TRUST_DECREASE_FACTOR = 0.7
TRUST_RECOVERY_RATE = 0.1


class LoadEstimator:
    """Estimates the load of an upstream from local attempts and load reports.

    The estimate is the entry's own requests in flight plus those of other entries
    according to the latest load report. A report loses weight with its age in favour of
    the mean over all upstreams, since load shifts within one service time.
    ``report_decay_s`` is the age, in seconds, at which a trusted report weighs 1/e.
    """

    def __init__(self) -> None:
        self.report_decay_s = 0.02
        self._mean_remote_load = 0.0
        self._has_reports = False

    def estimate_in_flight(self, state: UpstreamState, now: float) -> float:
        """Returns the estimated requests in flight on an upstream over all entries."""
        age_s = now - state.reported_at
        if age_s > 8 * self.report_decay_s:
            return state.in_flight + self._mean_remote_load
        weight = state.report_trust * math.exp(-age_s / self.report_decay_s)
        others = max(0, state.reported_in_flight - state.in_flight_at_report)
        return state.in_flight + weight * others + (1 - weight) * self._mean_remote_load

    def apply_report(self, state: UpstreamState, in_flight: int, now: float) -> None:
        """Records a load report of ``in_flight`` requests on an upstream.

        The request whose response carried the report still counts in
        ``state.in_flight``.
        """
        state.reported_in_flight = in_flight
        state.in_flight_at_report = state.in_flight
        state.reported_at = now
        self._has_reports = True
        others = state.report_trust * max(0, in_flight - state.in_flight)
        self._mean_remote_load += (
            MEAN_WEIGHT * state.report_trust * (others - self._mean_remote_load)
        )

    def assume_equal_load(self, states: Collection[UpstreamState], peers: int) -> None:
        """Assumes that other entries send as much as this one.

        Has no effect once any upstream has reported its load.
        """
        if self._has_reports or not states:
            return
        own = sum(state.in_flight for state in states) / len(states)
        self._mean_remote_load = own * (peers - 1)

    def update_report_trust(self, state: UpstreamState, slots: int) -> None:
        """Lowers the trust in reports that contradict the measured latency.

        Trust recovers while report and latency agree. ``slots`` is the number of
        requests that the upstream runs at a time.
        """
        queued = max(0, state.reported_in_flight - slots)
        predicted = 1 + queued / slots
        measured = max(1.0, state.latency_ratio)
        if measured > MAX_LATENCY_MISMATCH * predicted or (
            predicted > MAX_LATENCY_MISMATCH * measured
        ):
            state.report_trust *= TRUST_DECREASE_FACTOR
        else:
            state.report_trust += TRUST_RECOVERY_RATE * (1 - state.report_trust)
