"""State that an entry keeps of one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..infrastructure.instance_list import Instance


class InFlightAttempt(NamedTuple):
    """An attempt in flight: its start on the monotonic clock and its request class."""

    started_at: float
    class_name: str


class UpstreamState:
    """State that an entry keeps of one upstream; updated on each attempt.

    Times are seconds on the monotonic clock. ``latency_ratio`` is the moving average
    of the latency as a multiple of the median of the request class, ``failure_rate``
    the moving average of failures. ``limit_factor`` is the adaptive factor of the
    limit on requests in flight over all entries. ``latest_answered_start`` is the
    latest start of any attempt that got a complete response.
    """

    __slots__ = (
        "attempts",
        "base_url",
        "consecutive_failures",
        "draining_until",
        "ejected_until",
        "ejections",
        "failure_rate",
        "in_flight",
        "in_flight_at_report",
        "instance",
        "last_response_at",
        "latency_ratio",
        "latest_answered_start",
        "limit_changed_at",
        "limit_factor",
        "report_trust",
        "reported_at",
        "reported_in_flight",
        "same_failure_domain",
        "slow_start_at",
    )

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.base_url = f"http://{instance.address}"
        self.same_failure_domain = True
        self.in_flight = 0
        self.attempts: list[InFlightAttempt] = []
        self.last_response_at = -math.inf
        self.latest_answered_start = -math.inf
        self.reported_in_flight = 0
        self.reported_at = -math.inf
        self.in_flight_at_report = 0
        self.report_trust = 1.0
        self.latency_ratio = 1.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until = -math.inf
        self.ejections = 0
        self.draining_until = -math.inf
        self.slow_start_at = -math.inf
        self.limit_factor = 1.0
        self.limit_changed_at = -math.inf

    def start_attempt(self, now: float, class_name: str) -> None:
        """Adds an attempt that is sent now."""
        self.in_flight += 1
        self.attempts.append(InFlightAttempt(now, class_name))

    def end_attempt(self, now: float, latency_s: float) -> InFlightAttempt:
        """Removes and returns the attempt whose age is closest to ``latency_s``."""
        self.in_flight -= 1
        started_at = now - latency_s
        found = min(
            self.attempts, key=lambda attempt: abs(attempt.started_at - started_at)
        )
        self.attempts.remove(found)
        return found

    def record_response(self, started_at: float, now: float) -> None:
        """Records a complete response to an attempt that started at ``started_at``."""
        self.last_response_at = now
        self.latest_answered_start = max(self.latest_answered_start, started_at)

    def is_attempt_stalled(self, started_at: float) -> bool:
        """Returns whether an unanswered attempt is presumed lost.

        Either the upstream has answered no attempt since this one started, or it has
        answered a later one first. An upstream that is merely busy answers earlier
        attempts in the meantime.
        """
        return (
            self.last_response_at < started_at
            or self.latest_answered_start > started_at
        )
