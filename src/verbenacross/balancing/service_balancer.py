"""Gives the requests of one service their upstreams."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import logbook

from .completion_estimate import (
    HealthBaseline,
    count_efficient_slots,
    estimate_completion,
)
from .ejection import has_trial_in_flight, record_failure, record_success
from .exceptions import BalancingError, DeadlineUnreachableError, NoUpstreamError
from .outcome import Abandoned, Failed, NotRun, Succeeded, Unreachable
from .probe_scheduler import ProbeScheduler
from .service_time_estimator import ServiceTimeEstimator
from .tracked_upstream import TrackedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .balancing_context import BalancingContext
    from .load_report import LoadReport
    from .outcome import Outcome
    from .prober import Prober
    from .upstream import Upstream

# How old a report is on arrival; a round trip takes about 5 ms.
REPORT_AGE_S = 0.004
# Reports up to this age are used, older ones with growing doubt.
USABLE_S = 0.250
# Oldest report that is used when probes are not to be had.
STALE_S = 3.0
# While more requests than this can still meet their target, others are refused.
MAX_TIMELY_WAITERS = 3
# Pause between two rounds while the same requests wait; a free slot turns up somewhere
# about that often at a crest.
ROUND_PAUSE_S = 0.050
# A finish within this share of the time to the target is good enough.
COMFORT_SHARE = 0.85
# Share of upstreams below which suspect or ejected ones are used as well.
MIN_USABLE_SHARE = 0.5
# Longest advice to a refused caller and the least, in seconds.
MAX_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.05
RATE_WINDOW_S = 1.0
# Machines of the users' sites take two to three times as long on average.
TYPICAL_SLOWDOWN = 2.5

logger = logbook.Logger("verbenacross.balancing")


class Waiter(NamedTuple):
    """A request that waits for an upstream."""

    context: BalancingContext
    granted: asyncio.Future[TrackedUpstream]


class ServiceBalancer:
    """Gives the requests of one service their upstreams.

    A request waits in the instance while no upstream can take it in time, those first
    that can still meet their target. Upstreams are probed right before a choice,
    because a report is stale after a few milliseconds. Every upstream that ``acquire``
    returns must be given back with ``release``.
    """

    def __init__(
        self,
        service: str,
        failure_domain: str,
        prober: Prober,
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.service = service
        self.upstreams: dict[str, TrackedUpstream] = {}
        self.service_times = ServiceTimeEstimator()
        self.probes = ProbeScheduler(prober, failure_domain, generator, clock)
        self.refused = 0
        self._instances = 1
        self._failure_domain = failure_domain
        self._generator = generator
        self._clock = clock
        self._waiters: list[Waiter] = []
        self._pump: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._grants: deque[float] = deque()
        self._health_baseline = HealthBaseline()

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiters)

    def set_upstream(self, upstream: Upstream) -> None:
        """Takes an upstream's description."""
        now = self._clock()
        tracked = self.upstreams.get(upstream.id)
        if tracked is None or tracked.upstream.started_ms != upstream.started_ms:
            self.upstreams[upstream.id] = TrackedUpstream(upstream, now)
        else:
            tracked.update_upstream(upstream, now)

    def remove_upstream(self, identifier: str) -> None:
        """Forgets an upstream."""
        self.upstreams.pop(identifier, None)

    def set_probe_rate(self, per_upstream: float, instances: int) -> None:
        """Sets the budget: probes a second on each upstream by all instances."""
        self._instances = max(1, instances)
        self.probes.set_budget(per_upstream, len(self.upstreams), self._instances)

    async def acquire(self, context: BalancingContext) -> TrackedUpstream:
        """Returns an upstream for an attempt; raises ``BalancingError``."""
        self._check_upstreams(context)
        granted: asyncio.Future[TrackedUpstream]
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(context, granted)
        self._waiters.append(waiter)
        if self._pump is None or self._pump.done():
            self._pump = asyncio.create_task(self._serve_waiters())
        self._wake.set()
        try:
            return await granted
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise

    def has_alternative(
        self, context: BalancingContext, tracked: TrackedUpstream
    ) -> bool:
        """Returns whether a request may be sent to any upstream but this one."""
        return any(
            self._is_possible(other, context)
            for other in self.upstreams.values()
            if other is not tracked
        )

    def release(
        self, tracked: TrackedUpstream, context: BalancingContext, outcome: Outcome
    ) -> None:
        """Gives an upstream back with what the attempt showed."""
        now = self._clock()
        tracked.in_flight -= 1
        self._take_outcome(tracked, context, outcome, now)
        if self._waiters:
            # The slot that is free now is known to nobody else yet.
            self._assign()
            self._wake.set()

    def _take_outcome(
        self,
        tracked: TrackedUpstream,
        context: BalancingContext,
        outcome: Outcome,
        now: float,
    ) -> None:
        match outcome:
            case Succeeded(latency_s, report):
                slowness = tracked.report.slowness if tracked.report else 1.0
                self.service_times.add(context.request_kind, latency_s, slowness)
                record_success(tracked, now)
                if report is not None:
                    tracked.apply_report(report, now - REPORT_AGE_S, now)
            case NotRun(report):
                self._take_shed(tracked, report, now)
            case Failed(reason):
                self._take_failure(tracked, context, reason, now)
            case Unreachable(reason):
                self.probes.record_unresponsive(tracked)
                self._take_failure(tracked, context, reason, now)
            case Abandoned():
                pass

    def close(self) -> None:
        """Ends the work in the background."""
        if self._pump is not None:
            self._pump.cancel()
        for tracked in self.upstreams.values():
            if tracked.probe is not None:
                tracked.probe.cancel()

    def _take_shed(
        self, tracked: TrackedUpstream, report: LoadReport | None, now: float
    ) -> None:
        claimed = report or tracked.report
        if claimed is not None and claimed.running < claimed.slots:
            # It sheds while it claims to have room.
            record_failure(tracked, now)
        if report is not None:
            tracked.apply_report(report, now, now)

    def _take_failure(
        self,
        tracked: TrackedUpstream,
        context: BalancingContext,
        reason: str,
        now: float,
    ) -> None:
        if record_failure(tracked, now):
            logger.info(
                "upstream ejected",
                extra={
                    "upstream": tracked.upstream.id,
                    "service": self.service,
                    "request_id": context.request_id,
                    "reason": reason,
                    "failure_rate": round(tracked.failure_rate, 2),
                    "for_s": round(tracked.ejected_until - now, 2),
                },
            )

    def _check_upstreams(self, context: BalancingContext) -> None:
        if not any(
            self._is_possible(tracked, context) for tracked in self.upstreams.values()
        ):
            message = f"service {self.service!r} has no upstream that takes work"
            raise NoUpstreamError(message, self._spread(MIN_RETRY_AFTER_S * 4))

    @staticmethod
    def _is_possible(tracked: TrackedUpstream, context: BalancingContext) -> bool:
        upstream = tracked.upstream
        gone = upstream.draining or tracked.is_misdirected
        return not gone and upstream.id not in context.excluded

    def _withdraw(self, waiter: Waiter) -> None:
        """Undoes the wait of a request whose caller went away."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        granted = waiter.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            self.release(granted.result(), waiter.context, Abandoned())

    async def _serve_waiters(self) -> None:
        while self._waiters:
            self._wake.clear()
            contexts = [waiter.context for waiter in self._waiters]
            await self.probes.run_round(self._find_usable(), contexts)
            self._assign()
            if not self._waiters:
                break
            try:
                async with asyncio.timeout(ROUND_PAUSE_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _find_usable(self) -> list[TrackedUpstream]:
        """Returns the upstreams that may get work, doubtful ones if few are left."""
        now = self._clock()
        taking = [
            tracked
            for tracked in self.upstreams.values()
            if not tracked.upstream.draining and not tracked.is_misdirected
        ]
        sound = [
            tracked
            for tracked in taking
            if now >= tracked.ejected_until and not tracked.is_suspect
        ]
        if len(sound) < MIN_USABLE_SHARE * len(taking):
            return taking
        return sound

    def _assign(self) -> None:
        """Gives upstreams to waiting requests; refuses those that are too late."""
        now = self._clock()
        self._waiters.sort(key=lambda waiter: self._get_order(waiter.context, now))
        tiers = self._find_tiers(now)
        left: list[Waiter] = []
        for waiter in self._waiters:
            if waiter.granted.done():
                continue
            tier = self._find_tier(waiter.context, tiers, now)
            tracked = self._pick(waiter.context, tier, now)
            if tracked is not None:
                self._grant(waiter, tracked, now)
            elif not self._refuse_late(waiter, len(left), now):
                left.append(waiter)
        self._waiters = left

    def _find_tiers(self, now: float) -> list[list[TrackedUpstream]]:
        """Returns the usable upstreams by how well they are known, best first."""
        usable = self._find_usable()
        self._health_baseline = HealthBaseline.from_upstreams(usable)
        return [
            [tracked for tracked in usable if now - tracked.reported_at <= USABLE_S],
            [tracked for tracked in usable if now - tracked.reported_at <= STALE_S],
            [tracked for tracked in usable if not tracked.probe_backoff_steps],
        ]

    def _find_tier(
        self, context: BalancingContext, tiers: list[list[TrackedUpstream]], now: float
    ) -> list[TrackedUpstream]:
        """Returns the best known upstreams among which a request has a choice.

        A late request may take one that was slow a while ago and not asked since.
        """
        for tier in tiers[1:] if self._is_late(context, now) else tiers:
            if any(tracked.upstream.id not in context.excluded for tracked in tier):
                return tier
        return []

    def _get_order(
        self, context: BalancingContext, now: float
    ) -> tuple[int, bool, float]:
        """Returns the place: urgent ones first, then those that can meet the target."""
        late = self._is_late(context, now)
        return context.priority, late, context.deadline if late else context.target_at

    def _is_late(self, context: BalancingContext, now: float) -> bool:
        """Returns whether a request cannot meet its target any more."""
        service_time_s = self.service_times.get(context.request_kind)
        return service_time_s > (context.target_at - now) * COMFORT_SHARE

    def _pick(
        self,
        context: BalancingContext,
        upstreams: Iterable[TrackedUpstream],
        now: float,
    ) -> TrackedUpstream | None:
        """Returns the upstream that would finish first, if that is worth sending.

        Upstreams at their best load get nothing: one request more makes them do less
        work in all. A request that cannot meet its target any more takes what is left,
        also machines that neighbours slow down.
        """
        service_time_s = self.service_times.get(context.request_kind)
        best: TrackedUpstream | None = None
        best_completion_s = 0.0
        for tracked in upstreams:
            if tracked.upstream.id in context.excluded or has_trial_in_flight(tracked):
                continue
            estimate = estimate_completion(
                tracked,
                service_time_s,
                self._failure_domain,
                now,
                self._health_baseline,
            )
            if estimate.excess:
                continue
            if best is None or estimate.completion_s < best_completion_s:
                best, best_completion_s = tracked, estimate.completion_s
        if best is None or self._is_late(context, now):
            limit_s = context.deadline - now
        else:
            # Otherwise a better upstream may still turn up in time.
            limit_s = (context.target_at - now) * COMFORT_SHARE
        return best if best_completion_s <= limit_s else None

    def _grant(self, waiter: Waiter, tracked: TrackedUpstream, now: float) -> None:
        tracked.record_attempt(now)
        self._grants.append(now)
        waiter.granted.set_result(tracked)

    def _refuse_late(self, waiter: Waiter, before: int, now: float) -> bool:
        """Refuses a request that cannot be answered in time; returns whether it did."""
        context = waiter.context
        try:
            self._check_upstreams(context)
        except NoUpstreamError as error:
            self._refuse(waiter, error)
            return True
        service_time_s = self.service_times.get(context.request_kind)
        wait_s = self._predict_wait(before, service_time_s, now)
        fits = now + wait_s + service_time_s <= context.deadline
        # While many can still meet their targets, those that cannot would wait in vain.
        is_hopeless = before > MAX_TIMELY_WAITERS and self._is_late(context, now)
        if fits and not is_hopeless:
            return False
        message = f"service {self.service!r} cannot answer before the deadline"
        drain_s = self._predict_wait(len(self._waiters), service_time_s, now)
        retry_after_s = self._spread(max(MIN_RETRY_AFTER_S, drain_s))
        self._refuse(waiter, DeadlineUnreachableError(message, retry_after_s))
        return True

    def _refuse(self, waiter: Waiter, error: BalancingError) -> None:
        self.refused += 1
        waiter.granted.set_exception(error)

    def _predict_wait(self, before: int, service_time_s: float, now: float) -> float:
        """Returns how long a request behind others waits.

        Turns come as fast as lately, but at least as this instance's part of the slots
        allows at a pace slowed by neighbours.
        """
        while self._grants and self._grants[0] < now - RATE_WINDOW_S:
            self._grants.popleft()
        slots = sum(
            count_efficient_slots(tracked.upstream.slots)
            for tracked in self._find_usable()
        )
        fair_rate = slots / (self._instances * service_time_s * TYPICAL_SLOWDOWN)
        rate = max(fair_rate, len(self._grants) / RATE_WINDOW_S)
        return before / max(rate, 1.0)

    def _spread(self, wait_s: float) -> float:
        """Returns advice around a wait, so that callers do not return together."""
        spread = wait_s * self._generator.uniform(0.75, 1.5)
        return min(MAX_RETRY_AFTER_S, spread)
