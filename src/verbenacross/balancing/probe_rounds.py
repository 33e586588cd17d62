"""Rounds of probes right before upstreams are chosen."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import logbook

from .completion_estimate import estimate_completion
from .load_report import LoadReport
from .token_bucket import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from .balancing_context import BalancingContext
    from .prober import Prober
    from .tracked_upstream import TrackedUpstream

# How long a round is waited for; a round trip takes about 5 ms.
PROBE_WAIT_S = 0.010
# Reports younger than this need no new probe, in seconds.
FRESH_S = 0.020
# A report this old still tells which upstreams are worth a probe.
HINT_S = 0.350
# A machine above this slowness is not worth a probe while others are.
GOOD_SLOWNESS = 2.0
PROBES_PER_ROUND = 3
MAX_PROBES_PER_ROUND = 12
# Quiet seconds whose probes may be used at a crest.
PROBE_BURST_S = 4.0
# Part of the probe budget that is used; the rest covers changes of membership.
PROBE_SHARE = 0.85
# First pause after an unanswered probe and the longest, in seconds.
FIRST_SILENCE_S = 0.2
LONGEST_SILENCE_S = 1.0

logger = logbook.Logger("verbenacross.balancing")


class ProbeRounds:
    """Probes the most promising upstreams, within this instance's part of the budget.

    ``sent`` counts the probes.
    """

    def __init__(
        self,
        prober: Prober,
        failure_domain: str,
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.sent = 0
        self._prober = prober
        self._failure_domain = failure_domain
        self._generator = generator
        self._clock = clock
        self._budget = TokenBucket(PROBE_BURST_S, clock())

    def set_budget(self, per_upstream: float, upstreams: int, instances: int) -> None:
        """Sets the budget: probes a second on each upstream by all instances."""
        self._budget.set_rate(per_upstream * PROBE_SHARE * upstreams / instances)

    async def run(
        self, usable: Sequence[TrackedUpstream], waiting: Sequence[BalancingContext]
    ) -> None:
        """Asks upstreams for their load on behalf of the waiting requests."""
        now = self._clock()
        running = [tracked.probe for tracked in usable if tracked.probe is not None]
        wanted = self._choose(usable, waiting, now)
        count = self._budget.take(len(wanted), now)
        for tracked in wanted[:count]:
            tracked.probe = asyncio.create_task(self._probe(tracked))
            running.append(tracked.probe)
        if running:
            await self._wait(running, enough=PROBES_PER_ROUND)

    async def _wait(self, running: list[asyncio.Task[None]], enough: int) -> None:
        """Waits until enough probes ended, or for ``PROBE_WAIT_S``."""
        end = self._clock() + PROBE_WAIT_S
        pending = set(running)
        ended = 0
        while pending and ended < enough:
            left = end - self._clock()
            if left <= 0:
                return
            done, pending = await asyncio.wait(
                pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                return
            ended += len(done)

    def _choose(
        self,
        usable: Sequence[TrackedUpstream],
        waiting: Sequence[BalancingContext],
        now: float,
    ) -> list[TrackedUpstream]:
        """Returns the upstreams to ask: half of them lately good ones, half any."""
        candidates = [
            tracked
            for tracked in usable
            if tracked.probe is None
            and now >= tracked.probe_backoff_until
            and now - tracked.reported_at > FRESH_S
            and any(tracked.upstream.id not in context.excluded for context in waiting)
        ]
        # When probes are short, no upstream is always the one left out.
        self._generator.shuffle(candidates)
        fresh = sum(1 for tracked in usable if now - tracked.reported_at <= FRESH_S)
        count = PROBES_PER_ROUND + len(waiting) - 1 - fresh
        count = max(0, min(MAX_PROBES_PER_ROUND, count))
        if len(candidates) <= count:
            return candidates
        hinted = [
            tracked for tracked in candidates if now - tracked.reported_at <= HINT_S
        ]
        hinted.sort(key=lambda tracked: self._get_order(tracked, now))
        good = [
            tracked for tracked in hinted[: count // 2] if self._looks_good(tracked)
        ]
        slow = {
            tracked.upstream.id for tracked in hinted if not self._looks_good(tracked)
        }
        others = [
            tracked
            for tracked in candidates
            if tracked not in good and tracked.upstream.id not in slow
        ]
        if len(waiting) == 1:
            # At a crest, all are needed.
            others.sort(key=self._is_remote)
        rest = [tracked for tracked in candidates if tracked.upstream.id in slow]
        return (good + others + rest)[:count]

    def _get_order(self, tracked: TrackedUpstream, now: float) -> float:
        """Returns how long an upstream would take, relative to the usual pace."""
        return estimate_completion(tracked, 1.0, self._failure_domain, now).completion_s

    def _is_remote(self, tracked: TrackedUpstream) -> bool:
        return tracked.upstream.failure_domain != self._failure_domain

    @staticmethod
    def _looks_good(tracked: TrackedUpstream) -> bool:
        report = tracked.report
        if report is None or report.waiting:
            return False
        return report.slowness < GOOD_SLOWNESS

    async def _probe(self, tracked: TrackedUpstream) -> None:
        asked_at = self._clock()
        self.sent += 1
        try:
            answer = await self._prober.probe(tracked.upstream)
        except LookupError as error:
            tracked.is_misdirected = True
            extra = {"upstream": tracked.upstream.id, "reason": str(error)}
            logger.info("upstream replaced at its address", extra=extra)
            return
        finally:
            tracked.probe = None
        now = self._clock()
        if answer is None:
            self.record_unresponsive(tracked)
            return
        tracked.probe_backoff_steps = 0
        if tracked.is_unhealthy is answer.is_healthy:
            tracked.is_unhealthy = not answer.is_healthy
            logger.info(
                "health of upstream changed",
                extra={"upstream": tracked.upstream.id, "is_ill": tracked.is_unhealthy},
            )
        report = answer.report
        if report is None:
            report = LoadReport(tracked.in_flight, 0, tracked.upstream.slots, 1.0)
        tracked.apply_report(report, asked_at, now)

    def record_unresponsive(self, tracked: TrackedUpstream) -> None:
        """Stops asking an upstream that does not answer, for longer each time."""
        pause_s = min(
            LONGEST_SILENCE_S, FIRST_SILENCE_S * 2.0**tracked.probe_backoff_steps
        )
        tracked.probe_backoff_steps += 1
        tracked.probe_backoff_until = self._clock() + pause_s
        tracked.report = None
        tracked.reported_at = -math.inf
        if tracked.probe_backoff_steps == 1:
            extra = {"upstream": tracked.upstream.id, "pause_s": pause_s}
            logger.info("upstream does not answer", extra=extra)
