"""Probes upstreams in rounds right before one is selected."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import logbook

from .cold_rate_limit import MAX_PROBE_AGE_S
from .completion_estimate import estimate_completion
from .domain_yield import DomainYield
from .load_report import LoadReport
from .token_bucket import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from .balancing_context import BalancingContext
    from .cold_rate_limit import ColdRateLimit
    from .prober import Prober
    from .tracked_upstream import TrackedUpstream

# Time-out of a round in seconds; a round trip takes about 5 ms.
ROUND_TIMEOUT_S = 0.010
# An upstream whose report is not older than this is not probed, in seconds.
FRESH_REPORT_AGE_S = 0.020
# Where a cold rate is set, an upstream is probed again after this time even if it has a
# fresh report, in seconds: it may have become cold.
COLD_CHECK_AGE_S = 0.25
# Reports up to this age, in seconds, are used to rank upstreams for probing.
RANKABLE_REPORT_AGE_S = 0.350
# Upstreams at or above this slowness are probed only after all others.
PROMISING_SLOWNESS = 2.0
PROBES_PER_ROUND = 3
# Local upstreams are probed first unless the share of them that is suitable is below
# this multiple of that in another failure domain.
LOCAL_YIELD_SHARE = 0.5
MAX_PROBES_PER_ROUND = 12
# Seconds of unused budget that may be spent during a load peak.
PROBE_BURST_S = 4.0
# Share of the probe budget that is used; the rest is a margin for membership changes.
PROBE_BUDGET_SHARE = 0.85
# Pause after the first unanswered probe and the longest pause, in seconds.
BASE_PROBE_BACKOFF_S = 0.2
MAX_PROBE_BACKOFF_S = 1.0

logger = logbook.Logger("verbenacross.balancing")


class ProbeScheduler:
    """Probes the most promising upstreams within this instance's part of the budget.

    ``sent`` counts the probes that were sent, ``yields`` tells how many of them found a
    suitable upstream. ``is_exhausted`` is set while the budget does not allow for the
    probes that the waiting requests need.
    """

    def __init__(
        self,
        prober: Prober,
        failure_domain: str,
        generator: random.Random,
        clock: Callable[[], float],
        cold_limit: ColdRateLimit,
    ) -> None:
        self.sent = 0
        self.yields = DomainYield()
        self.is_exhausted = False
        self._cold_limit = cold_limit
        self._prober = prober
        self._failure_domain = failure_domain
        self._generator = generator
        self._clock = clock
        self._budget = TokenBucket(PROBE_BURST_S, clock())

    def set_budget(self, per_upstream: float, upstreams: int, instances: int) -> None:
        """Sets this instance's part of the probe budget.

        ``per_upstream`` is the number of probes per second that all ``instances``
        together may send to each of the ``upstreams``.
        """
        rate = per_upstream * PROBE_BUDGET_SHARE * upstreams / instances
        self._budget.set_rate(rate)
        # With a small budget, requests would wait for probes that cannot be sent.
        round_s = PROBES_PER_ROUND / rate if rate > 0 else math.inf
        self._cold_limit.max_probe_age_s = max(MAX_PROBE_AGE_S, round_s)

    async def run_round(
        self,
        eligible: Sequence[TrackedUpstream],
        waiting: Sequence[BalancingContext],
        *,
        fresh_are_unsuitable: bool = False,
    ) -> None:
        """Probes upstreams on behalf of the waiting requests.

        Upstreams with a fresh report take the place of probes unless
        ``fresh_are_unsuitable``: the requests wait although these are known. Returns
        once enough probes completed or the round timed out; the other probes continue
        in the background.
        """
        now = self._clock()
        running = [tracked.probe for tracked in eligible if tracked.probe is not None]
        targets = self._select_targets(eligible, waiting, now, fresh_are_unsuitable)
        count = self._budget.consume(len(targets), now)
        self.is_exhausted = count < len(targets)
        for tracked in targets[:count]:
            tracked.probe = asyncio.create_task(self._probe(tracked))
            running.append(tracked.probe)
        if running:
            await self._wait(running, enough=PROBES_PER_ROUND)

    async def _wait(self, running: list[asyncio.Task[None]], enough: int) -> None:
        """Waits until enough probes completed, at most for ``ROUND_TIMEOUT_S``."""
        round_end = self._clock() + ROUND_TIMEOUT_S
        pending = set(running)
        completed = 0
        while pending and completed < enough:
            left_s = round_end - self._clock()
            if left_s <= 0:
                return
            done, pending = await asyncio.wait(
                pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                return
            completed += len(done)

    def _select_targets(
        self,
        eligible: Sequence[TrackedUpstream],
        waiting: Sequence[BalancingContext],
        now: float,
        fresh_are_unsuitable: bool,
    ) -> list[TrackedUpstream]:
        """Selects the upstreams to probe, the most important ones first.

        A cold upstream that may get a request comes before all others, as its token is
        lost soon. Up to half of the rest are the most promising by recent reports. The
        others are picked at random, those known to be slow last.
        """
        candidates = [
            tracked
            for tracked in eligible
            if tracked.probe is None
            and now >= tracked.probe_backoff_until
            and self._is_outdated(tracked, now)
            and any(tracked.upstream.id not in context.excluded for context in waiting)
        ]
        # A random order keeps upstreams from being left out of every round while the
        # budget is short.
        self._generator.shuffle(candidates)
        count = PROBES_PER_ROUND + len(waiting) - 1
        if not fresh_are_unsuitable:
            count -= sum(not self._is_outdated(tracked, now) for tracked in eligible)
        count = max(0, min(MAX_PROBES_PER_ROUND, count))
        cold = [
            tracked
            for tracked in candidates
            if self._cold_limit.is_cold(tracked, now)
            and self._cold_limit.has_token(tracked, now)
        ][:1]
        candidates = [tracked for tracked in candidates if tracked not in cold]
        # Local upstreams come first; at a load peak, remote ones are needed too.
        is_local_first = len(waiting) == 1 and self.prefers_local(eligible)
        others = self._rank_targets(candidates, count, now, is_local_first)
        return (cold + others)[:count]

    def _rank_targets(
        self,
        candidates: list[TrackedUpstream],
        count: int,
        now: float,
        is_local_first: bool,
    ) -> list[TrackedUpstream]:
        """Returns the upstreams to probe in a round of ``count`` probes."""
        if len(candidates) <= count:
            return candidates
        ranked = [
            tracked
            for tracked in candidates
            if now - tracked.reported_at <= RANKABLE_REPORT_AGE_S
        ]
        ranked.sort(
            key=lambda tracked: self._estimate_relative_completion(tracked, now)
        )
        promising = [
            tracked for tracked in ranked[: count // 2] if self._is_promising(tracked)
        ]
        slow = {
            tracked.upstream.id for tracked in ranked if not self._is_promising(tracked)
        }
        others = [
            tracked
            for tracked in candidates
            if tracked not in promising and tracked.upstream.id not in slow
        ]
        if is_local_first:
            others.sort(key=self._is_remote)
        rest = [tracked for tracked in candidates if tracked.upstream.id in slow]
        return (promising + others + rest)[:count]

    def _is_outdated(self, tracked: TrackedUpstream, now: float) -> bool:
        """Returns whether an upstream may be probed again.

        The load reports of responses to requests take the place of probes, but only
        responses to probes state whether an upstream is cold.
        """
        if self._cold_limit.is_enabled and now - tracked.probed_at > COLD_CHECK_AGE_S:
            return True
        return now - tracked.reported_at > FRESH_REPORT_AGE_S

    def _estimate_relative_completion(
        self, tracked: TrackedUpstream, now: float
    ) -> float:
        """Returns the estimated completion time for a service time of one second."""
        return estimate_completion(tracked, 1.0, self._failure_domain, now).completion_s

    def prefers_local(self, eligible: Sequence[TrackedUpstream]) -> bool:
        """Returns whether local upstreams are worth probing before the others.

        They are not while far fewer of them turn out to be suitable.
        """
        now = self._clock()
        remote = {
            tracked.upstream.failure_domain
            for tracked in eligible
            if self._is_remote(tracked)
        }
        best = max((self.yields.get(domain, now) for domain in remote), default=0.0)
        return self.yields.get(self._failure_domain, now) >= LOCAL_YIELD_SHARE * best

    def _is_remote(self, tracked: TrackedUpstream) -> bool:
        return tracked.upstream.failure_domain != self._failure_domain

    @staticmethod
    def _is_promising(tracked: TrackedUpstream) -> bool:
        report = tracked.report
        if report is None or report.waiting:
            return False
        return report.slowness < PROMISING_SLOWNESS

    async def _probe(self, tracked: TrackedUpstream) -> None:
        requested_at = self._clock()
        self.sent += 1
        try:
            result = await self._prober.probe(tracked.upstream)
        except LookupError as error:
            tracked.record_misdirection(str(error), self._clock())
            tracked.probed_at = -math.inf
            return
        finally:
            tracked.probe = None
        now = self._clock()
        if result is None:
            self.record_unresponsive(tracked)
            return
        tracked.record_own_response()
        tracked.apply_notice(result.notice, now)
        tracked.probed_at = now
        if tracked.apply_cold_time(result.cold_s, now) and self._cold_limit.is_enabled:
            is_cold = now < tracked.cold_until
            logger.info(
                "upstream states that it is cold"
                if is_cold
                else "upstream states that it is no longer cold",
                extra={"upstream": tracked.upstream.id, "for_s": result.cold_s},
            )
        tracked.probe_backoff_steps = 0
        if tracked.is_unhealthy is result.is_healthy:
            tracked.is_unhealthy = not result.is_healthy
            logger.info(
                "health of upstream changed",
                extra={"upstream": tracked.upstream.id, "is_ill": tracked.is_unhealthy},
            )
        report = result.report
        if report is None:
            report = LoadReport(tracked.in_flight, 0, tracked.upstream.slots, 1.0)
        tracked.apply_report(report, requested_at, now)
        self.yields.record(tracked.upstream.failure_domain, report, now)

    def record_unresponsive(self, tracked: TrackedUpstream) -> None:
        """Records that an upstream did not respond; pauses probing it.

        The pause doubles each time up to ``MAX_PROBE_BACKOFF_S``. The upstream's load
        report is discarded.
        """
        pause_s = min(
            MAX_PROBE_BACKOFF_S, BASE_PROBE_BACKOFF_S * 2.0**tracked.probe_backoff_steps
        )
        tracked.probe_backoff_steps += 1
        tracked.probe_backoff_until = self._clock() + pause_s
        tracked.report = None
        tracked.reported_at = -math.inf
        tracked.probed_at = -math.inf
        if tracked.probe_backoff_steps == 1:
            extra = {"upstream": tracked.upstream.id, "pause_s": pause_s}
            logger.info("upstream does not answer", extra=extra)
