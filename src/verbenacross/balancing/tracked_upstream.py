"""State that this instance keeps about one upstream."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from .load_report import LoadReport

if TYPE_CHECKING:
    import asyncio

    from .upstream import Upstream

# Attempts sent longer ago than this are part of every later load report.
UNREPORTED_S = 0.25


class TrackedUpstream:
    """State that this instance keeps about one upstream.

    Times are those of the event loop.
    """

    __slots__ = (
        "cold_start_until",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "failure_rate",
        "in_flight",
        "is_misdirected",
        "is_suspect",
        "is_unhealthy",
        "last_success",
        "probe",
        "report",
        "reported_at",
        "sends",
        "silent_until",
        "silences",
        "upstream",
    )

    def __init__(self, upstream: Upstream, now: float) -> None:
        self.upstream = upstream
        self.in_flight = 0
        self.report: LoadReport | None = None
        self.reported_at = -math.inf
        self.sends: deque[float] = deque()
        self.cold_start_until = now + upstream.cold_start_s
        self.probe: asyncio.Task[None] | None = None
        # Probes that went unanswered in a row, and until when none is sent.
        self.silences = 0
        self.silent_until = -math.inf
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.last_success = -math.inf
        # The health path says that the upstream is not well, which may be false.
        self.is_unhealthy = False
        # Another upstream answers at this address.
        self.is_misdirected = False
        # The entry lapsed while the store was away, so it may be back soon.
        self.is_suspect = False

    def take_upstream(self, upstream: Upstream, now: float) -> None:
        """Takes a newer description of the same start of the upstream."""
        if upstream.address != self.upstream.address:
            self.is_misdirected = False
        self.upstream = upstream
        self.cold_start_until = now + upstream.cold_start_s
        self.is_suspect = False

    def note_send(self, now: float) -> None:
        """Counts an attempt that is sent now."""
        self.in_flight += 1
        self.sends.append(now)

    def take_report(self, report: LoadReport, asked_at: float, now: float) -> None:
        """Takes a load report that was asked for at ``asked_at``."""
        self.report = report
        self.reported_at = now
        while self.sends and self.sends[0] < asked_at:
            self.sends.popleft()

    def count_unreported(self, now: float) -> int:
        """Returns own sends that the last report may not contain."""
        while self.sends and self.sends[0] < now - UNREPORTED_S:
            self.sends.popleft()
        return len(self.sends)
