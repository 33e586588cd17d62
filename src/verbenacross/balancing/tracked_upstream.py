"""State that this instance keeps about one upstream."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Any

import logbook

from .load_report import LoadReport

if TYPE_CHECKING:
    import asyncio

    from .cold_rate_limit import ColdTokenBucket
    from .upstream import Upstream
    from .upstream_notice import UpstreamNotice

# Every load report includes the attempts that were sent longer ago than this, in
# seconds.
MAX_UNREPORTED_AGE_S = 0.25
# An upstream that was busy counts as slow for this time afterwards, in seconds.
RETURN_RAMP_S = 1.0
# An upstream counts as cold for this time after the evacuation of its failure domain,
# in seconds. Otherwise all requests that waited would be sent there at one moment, when
# its connections are closed and its caches may be empty.
EVACUATION_RAMP_S = 1.0
# Pause after another upstream responded at the address, doubled each time up to the
# maximum, in seconds. The entry of an upstream that is gone expires within the first.
BASE_MISDIRECTION_PAUSE_S = 5.0
MAX_MISDIRECTION_PAUSE_S = 60.0

logger = logbook.Logger("verbenacross.balancing")


class TrackedUpstream:
    """State that this instance keeps about one upstream.

    Times are those of the event loop.
    """

    __slots__ = (
        "busy_until",
        "cold_start_until",
        "cold_tokens",
        "cold_until",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "evacuation_ramp_until",
        "failure_rate",
        "in_flight",
        "is_evacuated",
        "is_leaving",
        "is_suspect",
        "is_unhealthy",
        "last_success",
        "misdirected_until",
        "misdirections",
        "probe",
        "probe_backoff_steps",
        "probe_backoff_until",
        "probed_at",
        "rank",
        "report",
        "reported_at",
        "unreported_attempts",
        "upstream",
    )

    def __init__(self, upstream: Upstream, now: float, rank: bytes = b"") -> None:
        self.upstream = upstream
        # Upstreams of low rank are probed first.
        self.rank = rank
        self.in_flight = 0
        self.report: LoadReport | None = None
        self.reported_at = -math.inf
        # Send times of attempts that the latest load report may not include.
        self.unreported_attempts: deque[float] = deque()
        self.cold_start_until = now + upstream.cold_start_s
        # Until then the cold rate of the service applies, if it has one.
        self.cold_until = self.cold_start_until
        self.cold_tokens: ColdTokenBucket | None = None
        self.probe: asyncio.Task[None] | None = None
        # Latest successful probe since the upstream was unreachable.
        self.probed_at = -math.inf
        # Consecutive probes and connection attempts without a response, and the time
        # until which no probe is sent because of them.
        self.probe_backoff_steps = 0
        self.probe_backoff_until = -math.inf
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        # Steps of the ejection back-off; the upstream is half-open while it is above 0.
        self.ejections = 0
        self.ejected_until = -math.inf
        self.last_success = -math.inf
        # The health path reports the upstream as unhealthy, which may be wrong.
        self.is_unhealthy = False
        # Consecutive responses of another upstream at this address, and the time until
        # which the address is not used because of them. A faulty upstream may answer
        # once in the name of another, so the address is tried again.
        self.misdirections = 0
        self.misdirected_until = -math.inf
        # The registration expired while the store was unavailable, so the upstream may
        # return.
        self.is_suspect = False
        # The upstream states in its responses that it leaves.
        self.is_leaving = False
        # The failure domain is evacuated, and until when the return after that takes.
        self.is_evacuated = False
        self.evacuation_ramp_until = -math.inf
        # Until then the upstream wants no requests from this instance.
        self.busy_until = -math.inf

    def update_upstream(self, upstream: Upstream, now: float) -> None:
        """Updates the description of the upstream, which has not been restarted."""
        if upstream.address != self.upstream.address:
            self.record_own_response()
        self.upstream = upstream
        self.cold_start_until = max(
            now + upstream.cold_start_s, self.evacuation_ramp_until
        )
        # The entry may be older than what the upstream stated in responses to probes.
        self.cold_until = max(self.cold_until, now + upstream.cold_start_s)
        self.is_suspect = False

    def apply_cold_time(self, cold_s: float | None, now: float) -> bool:
        """Applies for how long an upstream states that it is still cold.

        0 ends the time, except for that after an evacuation; ``None`` changes nothing.
        Returns whether the upstream became cold or is no longer cold.
        """
        was_cold = now < self.cold_until
        if cold_s is None:
            return False
        if cold_s > 0:
            self.cold_until = max(self.cold_until, now + cold_s)
        else:
            self.cold_until = self.evacuation_ramp_until
        return was_cold is not (now < self.cold_until)

    def apply_notice(self, notice: UpstreamNotice, now: float) -> None:
        """Applies what the upstream stated about itself in a response.

        A later response cannot shorten the time that an earlier one asked for.
        """
        if notice.is_leaving and not self.is_leaving:
            self.is_leaving = True
            logger.info("upstream states that it leaves", extra=self._describe())
        if notice.busy_for_s <= 0:
            return
        if now >= self.busy_until:
            extra = self._describe() | {"for_s": round(notice.busy_for_s, 3)}
            logger.info("upstream states that it is busy", extra=extra)
        self.busy_until = max(self.busy_until, now + notice.busy_for_s)
        # Requests that waited for it must not all be sent at once.
        self.cold_start_until = max(
            self.cold_start_until, self.busy_until + RETURN_RAMP_S
        )

    def set_evacuated(self, is_evacuated: bool, now: float) -> None:
        """Sets whether the failure domain is evacuated; traffic returns in a ramp."""
        if self.is_evacuated and not is_evacuated:
            self.evacuation_ramp_until = now + EVACUATION_RAMP_S
            self.cold_start_until = max(
                self.cold_start_until, self.evacuation_ramp_until
            )
            self.cold_until = max(self.cold_until, self.evacuation_ramp_until)
        self.is_evacuated = is_evacuated

    def record_misdirection(self, reason: str, now: float) -> None:
        """Records that another upstream responded at the address."""
        pause_s = min(
            MAX_MISDIRECTION_PAUSE_S,
            BASE_MISDIRECTION_PAUSE_S * 2.0**self.misdirections,
        )
        self.misdirections += 1
        self.misdirected_until = now + pause_s
        extra = self._describe() | {"reason": reason, "for_s": pause_s}
        logger.info("upstream replaced at its address", extra=extra)

    def record_own_response(self) -> None:
        """Records that the upstream itself responded at the address."""
        self.misdirections = 0
        self.misdirected_until = -math.inf

    def has_notice(self, now: float) -> bool:
        """Returns whether the upstream stated that it wants no requests now."""
        return self.is_leaving or now < self.busy_until

    def accepts_requests(self, now: float) -> bool:
        """Returns whether the upstream may get a new request or a probe."""
        is_paused = now < self.busy_until or now < self.misdirected_until
        is_ending = self.upstream.draining or self.is_leaving
        return not (is_ending or is_paused or self.is_evacuated)

    def _describe(self) -> dict[str, Any]:
        return {"upstream": self.upstream.id, "service": self.upstream.service}

    def record_attempt(self, now: float) -> None:
        """Records an attempt that is sent now."""
        self.in_flight += 1
        self.unreported_attempts.append(now)

    def apply_report(self, report: LoadReport, requested_at: float, now: float) -> None:
        """Applies a load report that was requested at ``requested_at``.

        Attempts that were sent before that time are included in the report.
        """
        self.report = report
        self.reported_at = now
        while self.unreported_attempts and self.unreported_attempts[0] < requested_at:
            self.unreported_attempts.popleft()

    def count_unreported_attempts(self, now: float) -> int:
        """Returns how many attempts the latest load report may not include."""
        while (
            self.unreported_attempts
            and self.unreported_attempts[0] < now - MAX_UNREPORTED_AGE_S
        ):
            self.unreported_attempts.popleft()
        return len(self.unreported_attempts)
