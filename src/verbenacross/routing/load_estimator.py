"""Estimates how many requests an upstream has in flight over all entries."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from .upstream_state import UpstreamState

MEAN_WEIGHT = 0.05
CONTRADICTION_FACTOR = 2.0
DISTRUST_FACTOR = 0.7
TRUST_RECOVERY = 0.1


class LoadEstimator:
    """Own requests in flight plus what the last report says of other entries'.

    A report loses weight with its age in favour of the mean over all upstreams, since
    load shifts within one service time. ``horizon_s`` is the age, in seconds, at which
    a trusted report weighs 1/e.
    """

    def __init__(self) -> None:
        self.horizon_s = 0.02
        self._mean_others = 0.0
        self._reports_seen = False

    def estimate(self, state: UpstreamState, now: float) -> float:
        """Returns the requests in flight on an upstream over all entries."""
        age_s = now - state.reported_at
        if age_s > 8 * self.horizon_s:
            return state.in_flight + self._mean_others
        weight = state.report_trust * math.exp(-age_s / self.horizon_s)
        others = max(0, state.reported_in_flight - state.in_flight_at_report)
        return state.in_flight + weight * others + (1 - weight) * self._mean_others

    def take_report(self, state: UpstreamState, in_flight: int, now: float) -> None:
        """Takes a report; the answered request still counts in ``state.in_flight``."""
        state.reported_in_flight = in_flight
        state.in_flight_at_report = state.in_flight
        state.reported_at = now
        self._reports_seen = True
        others = state.report_trust * max(0, in_flight - state.in_flight)
        self._mean_others += (
            MEAN_WEIGHT * state.report_trust * (others - self._mean_others)
        )

    def assume_symmetry(self, states: Collection[UpstreamState], peers: int) -> None:
        """Without any report, assumes that other entries send as much as this one."""
        if self._reports_seen or not states:
            return
        own = sum(state.in_flight for state in states) / len(states)
        self._mean_others = own * (peers - 1)

    def judge_report(self, state: UpstreamState, slots: int) -> None:
        """Trusts a report less when it contradicts the latency that the entry sees."""
        waiting = max(0, state.reported_in_flight - slots)
        predicted = 1 + waiting / slots
        seen = max(1.0, state.slowness)
        if seen > CONTRADICTION_FACTOR * predicted or (
            predicted > CONTRADICTION_FACTOR * seen
        ):
            state.report_trust *= DISTRUST_FACTOR
        else:
            state.report_trust += TRUST_RECOVERY * (1 - state.report_trust)
