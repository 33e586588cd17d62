"""Tells slow and failing upstreams from the others of their service."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from .attempt_outcome import AttemptOutcome
    from .class_latencies import ClassLatencies
    from .upstream_state import UpstreamState

RECENT_WEIGHT = 0.25
# Bounds the effect of one very long request: two in a row are needed for an ejection.
MAX_SLOWNESS_SAMPLE = 8.0
SLOWNESS_TOLERATED = 2.5
SLOWNESS_EJECTED = 3.5
# With 2 s, each entry forgot an answer ten times too slow before the next one: no
# entry ejected, and 1.1% of short work went to the slowed server.
SLOWNESS_HALF_LIFE_S = 10.0
FAILURES_EJECTED = 3
FAILURE_PENALTY = 20.0
FIRST_EJECTION_S = 3.0
MAX_EJECTION_S = 30.0
RECOVERY_S = 5.0
MIN_RAMP = 0.1


class OutlierDetector:
    """Keeps slowness and failure rate of upstreams and ejects outliers.

    An ejection doubles with each one that follows without a recovery between them, up
    to 30 s. Afterwards the upstream's share grows over ``RECOVERY_S``, and one bad
    outcome in that time ejects it again.
    """

    def __init__(self, latencies: ClassLatencies, generator: random.Random) -> None:
        self._latencies = latencies
        self._generator = generator
        self._common_slowness = 1.0

    def compare(self, states: Collection[UpstreamState]) -> None:
        """Takes the median slowness of a service: what is common is no outlier."""
        if states:
            ordered = sorted(state.slowness for state in states)
            self._common_slowness = max(1.0, ordered[len(ordered) // 2])

    def get_relative(self, slowness: float) -> float:
        """Returns slowness as a multiple of what is common in the service."""
        return slowness / self._common_slowness

    def note_outcome(
        self, state: UpstreamState, outcome: AttemptOutcome, ratio: float, now: float
    ) -> bool:
        """Takes an outcome whose latency is ``ratio`` times the typical one.

        Returns whether the upstream was ejected by it.
        """
        failed = float(outcome.failed)
        state.failure_rate += RECENT_WEIGHT * (failed - state.failure_rate)
        state.failures_in_row = state.failures_in_row + 1 if outcome.failed else 0
        if not outcome.failed or ratio > 1:
            sample = min(ratio, MAX_SLOWNESS_SAMPLE)
            state.slowness += RECENT_WEIGHT * (sample - state.slowness)
        if now < state.ejected_until or not self._is_outlier(state, ratio, now):
            return False
        self.eject(state, now)
        return True

    def check_in_flight(self, state: UpstreamState, now: float) -> bool:
        """Ejects an upstream that leaves several requests unanswered for long.

        Two are needed, since one may be a request with much work; while the upstream
        recovers one is enough.
        """
        if now < state.ejected_until:
            return False
        overdue = sum(
            self.get_relative(
                self._latencies.get_ratio(attempt.class_name, now - attempt.started)
            )
            >= SLOWNESS_EJECTED
            for attempt in state.attempts
            if attempt.started > state.ejected_until
        )
        if overdue < 2 and not (overdue and self._is_recovering(state, now)):
            return False
        self.eject(state, now)
        return True

    def eject(self, state: UpstreamState, now: float) -> None:
        """Ejects an upstream; entries spread the ends of their ejections at random."""
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**state.ejections)
        state.ejected_until = now + duration_s * self._generator.uniform(0.75, 1.0)
        state.ejections = min(state.ejections + 1, 10)
        state.slowness = 1.0
        state.failure_rate = 0.0
        state.failures_in_row = 0

    def forgive(self, state: UpstreamState, now: float) -> None:
        """Forgets earlier ejections of an upstream that has recovered."""
        if state.ejections and now > state.ejected_until + RECOVERY_S:
            state.ejections = 0

    def get_penalty(self, state: UpstreamState, now: float) -> float:
        """Returns the factor, at least 1, by which an upstream looks busier."""
        slowness = state.slowness
        for attempt in state.attempts:
            age_s = now - attempt.started
            slowness = max(slowness, self._latencies.get_ratio(attempt[1], age_s))
        penalty = 1 + FAILURE_PENALTY * state.failure_rate
        slowness = self.get_relative(slowness)
        if slowness > SLOWNESS_TOLERATED:
            penalty *= (slowness / SLOWNESS_TOLERATED) ** 2
        return penalty

    def get_recovery(self, state: UpstreamState, now: float) -> float:
        """Returns the share of normal load, 0.1 to 1, after an ejection."""
        if not state.ejections:
            return 1.0
        return max(MIN_RAMP, min(1.0, (now - state.ejected_until) / RECOVERY_S))

    def decay(self, state: UpstreamState, elapsed_s: float) -> None:
        """Lets slowness and failures fade, so that an avoided upstream is tried."""
        factor = 0.5 ** (elapsed_s / SLOWNESS_HALF_LIFE_S)
        state.slowness = 1 + (state.slowness - 1) * factor
        state.failure_rate *= factor

    def _is_outlier(self, state: UpstreamState, ratio: float, now: float) -> bool:
        if state.failures_in_row >= FAILURES_EJECTED:
            return True
        if self.get_relative(state.slowness) >= SLOWNESS_EJECTED:
            return True
        bad = state.failures_in_row > 0 or ratio >= SLOWNESS_EJECTED
        return bad and self._is_recovering(state, now)

    def _is_recovering(self, state: UpstreamState, now: float) -> bool:
        return state.ejections > 0 and now < state.ejected_until + RECOVERY_S
