"""Decides when a slow request of one service may be sent a second time."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from .latency_samples import LatencySamples

if TYPE_CHECKING:
    import random

    from .latency_samples import Quantiles

# The limit on second attempts holds for the requests of the last window, in seconds.
HEDGE_WINDOW_S = 10.0
# Kinds of request whose latencies are kept; routes get new names over time.
MAX_KINDS = 1_000
# A losing first attempt without a response head for this many times the usual latency
# counts as a failure of its upstream. Without such a limit, the second attempts would
# hide a silent upstream, which would keep its share of the requests.
SILENCE_FACTOR = 3.0


@dataclass(slots=True)
class HedgeCounts:
    """Second attempts since the start of the process, by what became of them.

    ``unsuitable`` counts those that were not sent because no upstream was free at once,
    or because requests of the service waited or were refused.
    """

    sent: int = 0
    won: int = 0
    over_budget: int = 0
    unsuitable: int = 0


class HedgePolicy:
    """Decides when a slow request of one service may be sent a second time.

    At most ``ratio`` of the requests in a sliding window of ``HEDGE_WINDOW_S`` get a
    second attempt. Each instance applies the ratio to its own requests. What it allows
    is rounded at random, so that the instances together reach the ratio even if each
    of them has too few requests for one second attempt in a window. Unused second
    attempts do not accumulate. Times are those of the event loop, durations are in
    seconds.
    """

    def __init__(self, ratio: float, generator: random.Random) -> None:
        self.ratio = ratio
        self.counts = HedgeCounts()
        self._generator = generator
        self._requests: deque[float] = deque()
        self._hedges: deque[float] = deque()
        self._rounding = 0.0
        # A sliding window alone would allow too many: of its varying number of requests
        # the highest would count. So each fixed window has an allowance as well, from
        # the requests of the one before.
        self._window_end = -math.inf
        self._window_requests = 0
        self._allowance = 0.0
        self._latencies: dict[str, LatencySamples] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether second attempts are allowed at all."""
        return self.ratio > 0

    def record_request(self, now: float) -> None:
        """Records a request that is sent to an upstream, which raises the limit."""
        self._expire(now)
        self._requests.append(now)
        self._window_requests += 1

    def record_latency(self, kind: str, latency_s: float, now: float) -> None:
        """Records the latency of a first attempt.

        That of an attempt that was cancelled because the second one won is the time
        until then. Without these, the quantiles would fall with each second attempt.
        """
        samples = self._latencies.pop(kind, None)
        if samples is None:
            samples = LatencySamples()
            if len(self._latencies) >= MAX_KINDS:
                # The kind that had no response for the longest time.
                del self._latencies[next(iter(self._latencies))]
        self._latencies[kind] = samples
        samples.add(latency_s, now)

    def find_hedge_time(
        self, kind: str, now: float, target_at: float, deadline: float
    ) -> float | None:
        """Returns when a request that is sent now may be sent a second time.

        That is after the 0.95 quantile of the latencies, or sooner if the second
        response would miss the latency objective otherwise, but not before the median.
        Returns ``None`` if there are too few latencies or too little time is left then.
        """
        quantiles = self._find_quantiles(kind, now)
        if quantiles is None:
            return None
        median_s, late_s = quantiles
        hedge_at = min(now + late_s, target_at - median_s)
        hedge_at = max(hedge_at, now + median_s)
        if deadline - hedge_at < median_s:
            return None
        return hedge_at

    def is_silent(
        self, kind: str, waited_s: float, slowness: float, now: float
    ) -> bool:
        """Returns whether a wait without a response head is evidence of a failure.

        An upstream that reports that it is slow has that much more time.
        """
        quantiles = self._find_quantiles(kind, now)
        if quantiles is None:
            return False
        return waited_s >= SILENCE_FACTOR * quantiles.median_s * max(1.0, slowness)

    def try_spend(self, now: float) -> bool:
        """Records a second attempt if the limit allows it; returns whether it does."""
        self._expire(now)
        allowed = math.floor(self.ratio * len(self._requests) + self._rounding)
        if self._allowance <= 0 or len(self._hedges) >= allowed:
            return False
        self._hedges.append(now)
        self._allowance -= 1
        return True

    def refund(self) -> None:
        """Reverts the latest ``try_spend`` for a second attempt that was never sent."""
        if self._hedges:
            self._hedges.pop()
            self._allowance += 1

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the content of the state dump; latencies are in milliseconds."""
        self._expire(now)
        usual = {
            kind: {
                "median_ms": round(quantiles.median_s * 1000, 1),
                "late_ms": round(quantiles.late_s * 1000, 1),
            }
            for kind in self._latencies
            if (quantiles := self._find_quantiles(kind, now)) is not None
        }
        return {
            "ratio": self.ratio,
            "requests_in_window": len(self._requests),
            "sent_in_window": len(self._hedges),
            "latencies": usual,
        } | asdict(self.counts)

    def _find_quantiles(self, kind: str, now: float) -> Quantiles | None:
        samples = self._latencies.get(kind)
        return None if samples is None else samples.compute_quantiles(now)

    def _expire(self, now: float) -> None:
        if now >= self._window_end:
            self._start_window(now)
        window_start = now - HEDGE_WINDOW_S
        for times in (self._requests, self._hedges):
            while times and times[0] < window_start:
                times.popleft()

    def _start_window(self, now: float) -> None:
        """Starts the next fixed window with a new allowance."""
        self._rounding = self._generator.random()
        if now < self._window_end + HEDGE_WINDOW_S:
            self._window_end += HEDGE_WINDOW_S
            share = self.ratio * self._window_requests
            self._allowance = math.floor(share + self._rounding)
        else:
            # There was no request in the window before, so only the sliding one counts.
            self._window_end = now + HEDGE_WINDOW_S * self._generator.random()
            self._allowance = math.inf
        self._window_requests = 0
