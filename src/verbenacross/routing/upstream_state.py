"""What an entry knows of one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..infrastructure.instance_list import Instance


class AttemptStart(NamedTuple):
    """An attempt in flight: its start on the monotonic clock and its class."""

    started: float
    class_name: str


class UpstreamState:
    """What an entry knows of one upstream; updated on each request.

    Times are seconds on the monotonic clock. ``slowness`` is the recent latency as a
    multiple of what is typical in the service, ``failure_rate`` the recent share of
    failures. ``limit_factor`` is the adapted part of the limit on requests in flight
    over all entries.
    """

    __slots__ = (
        "answered_at",
        "attempts",
        "draining_until",
        "ejected_until",
        "ejections",
        "failure_rate",
        "failures_in_row",
        "in_flight",
        "in_flight_at_report",
        "instance",
        "limit_changed",
        "limit_factor",
        "near",
        "newest_answered",
        "ramp_started",
        "report_trust",
        "reported_at",
        "reported_in_flight",
        "slowness",
        "base_url",
    )

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.base_url = f"http://{instance.address}"
        self.near = True
        self.in_flight = 0
        self.attempts: list[AttemptStart] = []
        self.answered_at = -math.inf
        self.newest_answered = -math.inf
        self.reported_in_flight = 0
        self.reported_at = -math.inf
        self.in_flight_at_report = 0
        self.report_trust = 1.0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.ejected_until = -math.inf
        self.ejections = 0
        self.draining_until = -math.inf
        self.ramp_started = -math.inf
        self.limit_factor = 1.0
        self.limit_changed = -math.inf

    def start_attempt(self, now: float, class_name: str) -> None:
        """Counts an attempt that is sent now."""
        self.in_flight += 1
        self.attempts.append(AttemptStart(now, class_name))

    def end_attempt(self, now: float, latency_s: float) -> AttemptStart:
        """Removes and returns the attempt whose age is closest to a latency."""
        self.in_flight -= 1
        started = now - latency_s
        found = min(self.attempts, key=lambda attempt: abs(attempt.started - started))
        self.attempts.remove(found)
        return found

    def note_answer(self, started: float, now: float) -> None:
        """Notes a whole answer to an attempt that started at a time."""
        self.answered_at = now
        self.newest_answered = max(self.newest_answered, started)

    def is_attempt_stalled(self, started: float) -> bool:
        """Returns whether an attempt without an answer seems lost.

        Either the upstream has answered nothing since the attempt started, or it has
        answered a later one. A busy upstream answers earlier attempts meanwhile.
        """
        return self.answered_at < started or self.newest_answered > started
