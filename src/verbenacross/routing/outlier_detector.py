"""Detects and ejects upstreams that are slower or fail more than the others."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from .attempt_outcome import AttemptOutcome
    from .class_latencies import ClassLatencies
    from .upstream_state import UpstreamState

EWMA_WEIGHT = 0.25
# Caps the effect of a single very long request: an ejection takes two in a row.
MAX_LATENCY_RATIO_SAMPLE = 8.0
PENALTY_LATENCY_RATIO = 2.5
EJECTION_LATENCY_RATIO = 3.5
# With 2 s, each entry forgot a response that took ten times too long before the next
# one arrived: no entry ejected the slow upstream, and it got 1.1% of short requests.
DECAY_HALF_LIFE_S = 10.0
EJECTION_FAILURES = 3
FAILURE_PENALTY = 20.0
BASE_EJECTION_S = 3.0
MAX_EJECTION_S = 30.0
RECOVERY_PERIOD_S = 5.0
MIN_LOAD_SHARE = 0.1


class OutlierDetector:
    """Tracks latency ratio and failure rate of upstreams and ejects outliers.

    The duration of an ejection doubles with each one that follows without a recovery in
    between, up to ``MAX_EJECTION_S``. Afterwards the upstream's share of load grows
    over ``RECOVERY_PERIOD_S``, and one failed or slow attempt in that time ejects it
    again.
    """

    def __init__(self, latencies: ClassLatencies, generator: random.Random) -> None:
        self._latencies = latencies
        self._generator = generator
        self._baseline_ratio = 1.0

    def update_baseline(self, states: Collection[UpstreamState]) -> None:
        """Updates the baseline to the median latency ratio of a service's upstreams.

        When all upstreams slow down together, none of them is an outlier.
        """
        if states:
            ordered = sorted(state.latency_ratio for state in states)
            self._baseline_ratio = max(1.0, ordered[len(ordered) // 2])

    def normalize_ratio(self, latency_ratio: float) -> float:
        """Returns a latency ratio as a multiple of the service's baseline."""
        return latency_ratio / self._baseline_ratio

    def record_outcome(
        self, state: UpstreamState, outcome: AttemptOutcome, ratio: float, now: float
    ) -> bool:
        """Records an outcome whose latency is ``ratio`` times the median of its class.

        Returns whether the outcome led to an ejection of the upstream.
        """
        failed = float(outcome.failed)
        state.failure_rate += EWMA_WEIGHT * (failed - state.failure_rate)
        state.consecutive_failures = (
            state.consecutive_failures + 1 if outcome.failed else 0
        )
        if not outcome.failed or ratio > 1:
            sample = min(ratio, MAX_LATENCY_RATIO_SAMPLE)
            state.latency_ratio += EWMA_WEIGHT * (sample - state.latency_ratio)
        if now < state.ejected_until or not self._is_outlier(state, ratio, now):
            return False
        self.eject(state, now)
        return True

    def eject_if_overdue(self, state: UpstreamState, now: float) -> bool:
        """Ejects an upstream with several overdue attempts; returns whether it did.

        Two are required, since a single one may be an expensive request. One is enough
        while the upstream recovers from an earlier ejection.
        """
        if now < state.ejected_until:
            return False
        overdue = sum(
            self.normalize_ratio(
                self._latencies.get_ratio(attempt.class_name, now - attempt.started_at)
            )
            >= EJECTION_LATENCY_RATIO
            for attempt in state.attempts
            if attempt.started_at > state.ejected_until
        )
        if overdue < 2 and not (overdue and self._is_recovering(state, now)):
            return False
        self.eject(state, now)
        return True

    def eject(self, state: UpstreamState, now: float) -> None:
        """Ejects an upstream for a duration with random jitter.

        The jitter keeps entries from returning to the upstream all at once.
        """
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**state.ejections)
        state.ejected_until = now + duration_s * self._generator.uniform(0.75, 1.0)
        state.ejections = min(state.ejections + 1, 10)
        state.latency_ratio = 1.0
        state.failure_rate = 0.0
        state.consecutive_failures = 0

    def reset_ejections(self, state: UpstreamState, now: float) -> None:
        """Resets the ejection count of an upstream that has recovered."""
        if state.ejections and now > state.ejected_until + RECOVERY_PERIOD_S:
            state.ejections = 0

    def get_penalty(self, state: UpstreamState, now: float) -> float:
        """Returns the factor, at least 1, that multiplies an upstream's load score.

        Attempts still in flight count with their age so far.
        """
        latency_ratio = state.latency_ratio
        for attempt in state.attempts:
            age_s = now - attempt.started_at
            latency_ratio = max(
                latency_ratio, self._latencies.get_ratio(attempt.class_name, age_s)
            )
        penalty = 1 + FAILURE_PENALTY * state.failure_rate
        latency_ratio = self.normalize_ratio(latency_ratio)
        if latency_ratio > PENALTY_LATENCY_RATIO:
            penalty *= (latency_ratio / PENALTY_LATENCY_RATIO) ** 2
        return penalty

    def get_recovery_share(self, state: UpstreamState, now: float) -> float:
        """Returns the share of normal load, 0.1 to 1, after an ejection."""
        if not state.ejections:
            return 1.0
        return max(
            MIN_LOAD_SHARE, min(1.0, (now - state.ejected_until) / RECOVERY_PERIOD_S)
        )

    def decay(self, state: UpstreamState, elapsed_s: float) -> None:
        """Decays latency ratio and failure rate over ``elapsed_s`` seconds.

        Without it, an upstream that is avoided would never be tried again.
        """
        factor = 0.5 ** (elapsed_s / DECAY_HALF_LIFE_S)
        state.latency_ratio = 1 + (state.latency_ratio - 1) * factor
        state.failure_rate *= factor

    def _is_outlier(self, state: UpstreamState, ratio: float, now: float) -> bool:
        if state.consecutive_failures >= EJECTION_FAILURES:
            return True
        if self.normalize_ratio(state.latency_ratio) >= EJECTION_LATENCY_RATIO:
            return True
        bad = state.consecutive_failures > 0 or ratio >= EJECTION_LATENCY_RATIO
        return bad and self._is_recovering(state, now)

    def _is_recovering(self, state: UpstreamState, now: float) -> bool:
        return state.ejections > 0 and now < state.ejected_until + RECOVERY_PERIOD_S
