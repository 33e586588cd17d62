"""Assigns the requests of one service to upstreams."""

from __future__ import annotations

import asyncio
import math
import random
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
from .subset import (
    compute_rank,
    compute_subset_size,
    count_failure_domains,
    select_subset,
)
from .tracked_upstream import TrackedUpstream
from .trial_request import find_fastest, log_trial, needs_trial
from .wait_estimator import WaitEstimator

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .balancing_context import BalancingContext
    from .load_report import LoadReport
    from .outcome import Outcome
    from .prober import Prober
    from .upstream import Upstream
    from .upstream_notice import UpstreamNotice

# Assumed age of a load report on arrival, in seconds; a round trip takes about 5 ms.
REPORT_TRANSIT_S = 0.004
# Upstreams with a load report up to this age, in seconds, are considered first.
RECENT_REPORT_AGE_S = 0.250
# Upstreams with a load report up to this age, in seconds, are considered if no more
# recent one is available, for example because the probe budget is used up.
MAX_REPORT_AGE_S = 3.0
# Pause between two probe rounds while the same requests wait, in seconds. At a load
# peak, a slot becomes free on some upstream about that often.
PROBE_ROUND_PAUSE_S = 0.050
# Local upstreams that are probed at once when those of the subset are unsuitable, in
# multiples of the subset.
SECOND_ROUND_FACTOR = 2
# Share of its latency target that another failure domain must save a request to be
# chosen, because traffic between failure domains is paid for.
CROSSING_SAVING_SHARE = 0.25
# Suspect and ejected upstreams are used as well if the others make up less than this
# share.
PANIC_THRESHOLD = 0.5
# Removed upstreams whose notices are kept, as their entries may return.
MAX_REMOVED_UPSTREAMS = 1_000
# A service counts as overloaded for this time after it refused a request or found no
# upstream for one at once, in seconds. An instance may see few requests per second.
OVERLOAD_MEMORY_S = 1.0
# Longest estimated completion of a request that is assigned at once, in multiples of
# its usual time. A slower upstream would not respond before the first one does.
IMMEDIATE_COST_FACTOR = 3.0
# Bounds of the retry-after time for refused callers, in seconds.
MAX_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.05

logger = logbook.Logger("verbenacross.balancing")


class PendingAssignment(NamedTuple):
    """A waiting request and the future that receives its upstream."""

    context: BalancingContext
    assigned: asyncio.Future[TrackedUpstream]


class ServiceBalancer:
    """Assigns the requests of one service to upstreams.

    Requests are queued in the instance while no upstream can complete them in time.
    Those that can still meet their latency target are assigned first. Upstreams are
    probed right before one is selected, because a load report is stale after a few
    milliseconds. Every upstream that ``acquire`` returns must be passed to ``release``.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        failure_domain: str,
        prober: Prober,
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.service = service
        self._instance = instance
        self.upstreams: dict[str, TrackedUpstream] = {}
        self._removed: dict[str, TrackedUpstream] = {}
        self.service_times = ServiceTimeEstimator()
        self.probes = ProbeScheduler(prober, failure_domain, generator, clock)
        self.refused = 0
        self._last_overload_at = -math.inf
        self._instances = 1
        self._failure_domain = failure_domain
        self._generator = generator
        self._clock = clock
        self._pending: list[PendingAssignment] = []
        self._dispatch_task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._waits = WaitEstimator()
        self._health_baseline = HealthBaseline()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an upstream."""
        return len(self._pending)

    def set_upstream(self, upstream: Upstream) -> None:
        """Adds an upstream or updates its description.

        State that was recorded before a restart of the upstream is discarded. What an
        upstream stated about itself holds also if its entry was removed meanwhile.
        """
        now = self._clock()
        removed = self._removed.pop(upstream.id, None)
        tracked = self.upstreams.get(upstream.id, removed)
        if tracked is None or tracked.upstream.started_ms != upstream.started_ms:
            rank = compute_rank(self._instance, upstream.id)
            self.upstreams[upstream.id] = TrackedUpstream(upstream, now, rank)
        else:
            tracked.update_upstream(upstream, now)
            self.upstreams[upstream.id] = tracked

    def remove_upstream(self, identifier: str) -> None:
        """Removes an upstream."""
        tracked = self.upstreams.pop(identifier, None)
        if tracked is None or not tracked.has_notice(self._clock()):
            return
        self._removed[identifier] = tracked
        if len(self._removed) > MAX_REMOVED_UPSTREAMS:
            del self._removed[next(iter(self._removed))]

    def set_probe_rate(self, per_upstream: float, instances: int) -> None:
        """Sets the probes per second to each upstream from all instances."""
        self._instances = max(1, instances)
        self.probes.set_budget(per_upstream, len(self.upstreams), self._instances)

    async def acquire(self, context: BalancingContext) -> TrackedUpstream:
        """Waits for an upstream to send an attempt to; raises ``BalancingError``."""
        try:
            self._check_candidates(context)
        except NoUpstreamError:
            self._last_overload_at = self._clock()
            raise
        assigned: asyncio.Future[TrackedUpstream]
        assigned = asyncio.get_running_loop().create_future()
        pending = PendingAssignment(context, assigned)
        self._pending.append(pending)
        if self._dispatch_task is None or self._dispatch_task.done():
            self._dispatch_task = asyncio.create_task(self._dispatch_loop())
        self._wake.set()
        try:
            return await assigned
        except asyncio.CancelledError:
            self._cancel(pending)
            raise

    async def try_acquire(self, context: BalancingContext) -> TrackedUpstream | None:
        """Returns an upstream that is free now, ``None`` if there is none.

        Waits for one round of probes at most, and not at all if reports are fresh. The
        request is never queued, and no upstream is assigned to it while others wait.
        """
        if self.is_overloaded():
            return None
        eligible = self._get_eligible()
        local = [
            tracked
            for tracked in eligible
            if self._is_local(tracked) and tracked.upstream.id not in context.excluded
        ]
        probed: Sequence[TrackedUpstream] = eligible
        if local:
            domains = count_failure_domains(self.upstreams.values())
            size = compute_subset_size(len(local), self._instances / domains)
            probed = select_subset(local, size)
        await self.probes.run_round(probed, [context])
        if self.is_overloaded():
            return None
        now = self._clock()
        max_cost_s = IMMEDIATE_COST_FACTOR * self.service_times.get(
            context.request_kind
        )
        if not local:
            max_cost_s = self._add_crossing_cost(context, max_cost_s)
        recent = self._group_by_report_age(now)[0]
        tracked = self._select_upstream(context, recent, now, max_cost_s)
        if tracked is not None:
            self._record_assignment(tracked, now)
        return tracked

    def is_overloaded(self) -> bool:
        """Returns whether requests waited for an upstream or were refused lately.

        A request that only waited for the probes of its first round does not count.
        """
        return self._clock() - self._last_overload_at < OVERLOAD_MEMORY_S

    def has_alternative(
        self, context: BalancingContext, tracked: TrackedUpstream
    ) -> bool:
        """Returns whether a request may be sent to any upstream but this one."""
        return any(
            self._is_candidate(other, context)
            for other in self.upstreams.values()
            if other is not tracked
        )

    def apply_notice(self, tracked: TrackedUpstream, notice: UpstreamNotice) -> None:
        """Applies what an upstream stated about itself in a response to a request."""
        tracked.apply_notice(notice, self._clock())
        # Requests that wait for it look for another one, or are refused.
        self._wake.set()

    def accepts(self, tracked: TrackedUpstream) -> bool:
        """Returns whether an upstream that ``acquire`` returned may still be used."""
        return tracked.accepts_requests(self._clock())

    def release(
        self, tracked: TrackedUpstream, context: BalancingContext, outcome: Outcome
    ) -> None:
        """Releases an upstream after an attempt and records the outcome."""
        now = self._clock()
        tracked.in_flight -= 1
        self._record_outcome(tracked, context, outcome, now)
        if self._pending:
            # Other instances are not aware of the free slot yet.
            self._dispatch_pending()
            self._wake.set()

    def _record_outcome(
        self,
        tracked: TrackedUpstream,
        context: BalancingContext,
        outcome: Outcome,
        now: float,
    ) -> None:
        match outcome:
            case Succeeded(latency_s, report):
                slowness = tracked.report.slowness if tracked.report else 1.0
                self.service_times.add(context.request_kind, latency_s, slowness, now)
                record_success(tracked, now)
                if now >= tracked.misdirected_until:
                    tracked.record_own_response()
                if report is not None:
                    tracked.apply_report(report, now - REPORT_TRANSIT_S, now)
            case NotRun(report):
                self._handle_rejection(tracked, report, now)
            case Failed(reason):
                self._handle_failure(tracked, context, reason, now)
            case Unreachable(reason):
                self.probes.record_unresponsive(tracked)
                self._handle_failure(tracked, context, reason, now)
            case Abandoned():
                pass

    def close(self) -> None:
        """Cancels the background tasks."""
        if self._dispatch_task is not None:
            self._dispatch_task.cancel()
        for tracked in self.upstreams.values():
            if tracked.probe is not None:
                tracked.probe.cancel()

    def _handle_rejection(
        self, tracked: TrackedUpstream, report: LoadReport | None, now: float
    ) -> None:
        latest_report = report or tracked.report
        is_busy = now < tracked.busy_until
        if (
            not is_busy
            and latest_report is not None
            and latest_report.running < latest_report.slots
        ):
            # The upstream rejects requests although it reports free slots.
            record_failure(tracked, now)
        if report is not None:
            tracked.apply_report(report, now, now)

    def _handle_failure(
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

    def _check_candidates(self, context: BalancingContext) -> None:
        if not any(
            self._is_candidate(tracked, context) for tracked in self.upstreams.values()
        ):
            message = f"service {self.service!r} has no available upstream"
            raise NoUpstreamError(message, self._estimate_return())

    def _is_candidate(
        self, tracked: TrackedUpstream, context: BalancingContext
    ) -> bool:
        if tracked.upstream.id in context.excluded:
            return False
        return tracked.accepts_requests(self._clock())

    def _estimate_return(self) -> float:
        """Returns in how many seconds an upstream may be available again."""
        now = self._clock()
        busy_s = [
            tracked.busy_until - now
            for tracked in self.upstreams.values()
            if now < tracked.busy_until and tracked.accepts_requests(math.inf)
        ]
        if not busy_s:
            return self._add_jitter(MIN_RETRY_AFTER_S * 4)
        return min(busy_s) + self._add_jitter(MIN_RETRY_AFTER_S * 4)

    def _cancel(self, pending: PendingAssignment) -> None:
        """Removes a request that was cancelled and releases its upstream, if any."""
        if pending in self._pending:
            self._pending.remove(pending)
        assigned = pending.assigned
        if assigned.done() and not assigned.cancelled() and not assigned.exception():
            self.release(assigned.result(), pending.context, Abandoned())

    async def _dispatch_loop(self) -> None:
        while self._pending:
            self._wake.clear()
            considered = {id(pending.assigned) for pending in self._pending}
            await self._probe_and_dispatch()
            if any(id(pending.assigned) in considered for pending in self._pending):
                self._last_overload_at = self._clock()
            if not self._pending:
                break
            try:
                async with asyncio.timeout(PROBE_ROUND_PAUSE_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _probe_and_dispatch(self) -> None:
        """Probes upstreams and assigns them, those of this failure domain first.

        The others are probed only for requests that no local upstream can complete in
        time, because probes to them are paid for as well. Of many local upstreams, this
        instance probes a subset first: its connections to them are still open. Fresh
        reports of local upstreams no longer take the place of probes to the others once
        a request has waited for as long as another failure domain must save.
        """
        await self._probe_and_assign_local()
        if self._pending:
            waiting = self._get_waiting()
            await self.probes.run_round(
                self._get_eligible(),
                waiting,
                fresh_are_unsuitable=self._has_waited_for_crossing(waiting),
            )
            self._dispatch_pending()

    async def _probe_and_assign_local(self) -> None:
        local = [tracked for tracked in self._get_eligible() if self._is_local(tracked)]
        if not local:
            return
        domains = count_failure_domains(self.upstreams.values())
        size = compute_subset_size(len(local), self._instances / domains)
        await self.probes.run_round(select_subset(local, size), self._get_waiting())
        self._assign_local()
        if self._pending:
            others = select_subset(local, SECOND_ROUND_FACTOR * size)
            await self.probes.run_round(
                others, self._get_waiting(), fresh_are_unsuitable=True
            )
            self._assign_local()

    def _has_waited_for_crossing(self, waiting: list[BalancingContext]) -> bool:
        """Returns whether a request waits longer than a crossing must save."""
        now = self._clock()
        return any(
            now > self._add_crossing_cost(context, context.arrived_at)
            for context in waiting
        )

    def _get_waiting(self) -> list[BalancingContext]:
        return [pending.context for pending in self._pending]

    def _is_local(self, tracked: TrackedUpstream) -> bool:
        return tracked.upstream.failure_domain == self._failure_domain

    def _assign_local(self) -> None:
        """Assigns local upstreams to requests that no other could complete better."""
        now = self._clock()
        self._pending.sort(key=lambda pending: self._get_sort_key(pending.context, now))
        recent = [
            tracked
            for tracked in self._group_by_report_age(now)[0]
            if self._is_local(tracked)
        ]
        remaining: list[PendingAssignment] = []
        for pending in self._pending:
            if pending.assigned.done():
                continue
            context = pending.context
            tracked = None
            if not self._will_miss_target(context, now):
                # The best that an idle upstream of another failure domain could offer.
                remote_cost_s = self._add_crossing_cost(
                    context, self.service_times.get(context.request_kind)
                )
                tracked = self._select_upstream(context, recent, now, remote_cost_s)
            if tracked is None:
                remaining.append(pending)
            else:
                self._assign_upstream(pending, tracked, now)
        self._pending = remaining

    @staticmethod
    def _add_crossing_cost(context: BalancingContext, completion_s: float) -> float:
        target_s = context.target_at - context.arrived_at
        return completion_s + CROSSING_SAVING_SHARE * target_s

    def _get_eligible(self) -> list[TrackedUpstream]:
        """Returns the upstreams that may be assigned.

        Suspect and ejected ones are included if too few others remain, those that want
        no requests never.
        """
        now = self._clock()
        accepting = [
            tracked
            for tracked in self.upstreams.values()
            if tracked.accepts_requests(now)
        ]
        preferred = [
            tracked
            for tracked in accepting
            if now >= tracked.ejected_until and not tracked.is_suspect
        ]
        if len(preferred) < PANIC_THRESHOLD * len(accepting):
            return accepting
        return preferred

    def _dispatch_pending(self) -> None:
        """Assigns upstreams to waiting requests; refuses those that are too late."""
        now = self._clock()
        self._pending.sort(key=lambda pending: self._get_sort_key(pending.context, now))
        tiers = self._group_by_report_age(now)
        remaining: list[PendingAssignment] = []
        for pending in self._pending:
            if pending.assigned.done():
                continue
            tier = self._select_tier(pending.context, tiers, now)
            tracked = self._select_upstream(pending.context, tier, now)
            if tracked is None:
                tracked = self._select_for_trial(pending.context, tier, now)
            if tracked is not None:
                self._assign_upstream(pending, tracked, now)
            elif not self._refuse_if_too_late(pending, len(remaining), now):
                remaining.append(pending)
        self._pending = remaining

    def _group_by_report_age(self, now: float) -> list[list[TrackedUpstream]]:
        """Groups the eligible upstreams by the age of their load reports.

        The tier of the most recent ones comes first; the last tier has those of any age
        that respond to probes.
        """
        eligible = self._get_eligible()
        self._health_baseline = HealthBaseline.from_upstreams(eligible)
        return [
            [
                tracked
                for tracked in eligible
                if now - tracked.reported_at <= RECENT_REPORT_AGE_S
            ],
            [
                tracked
                for tracked in eligible
                if now - tracked.reported_at <= MAX_REPORT_AGE_S
            ],
            [tracked for tracked in eligible if not tracked.probe_backoff_steps],
        ]

    def _select_tier(
        self, context: BalancingContext, tiers: list[list[TrackedUpstream]], now: float
    ) -> list[TrackedUpstream]:
        """Returns the first tier that has an upstream the request may be sent to.

        The tier of recent reports is skipped for a request that will miss its target,
        so that it may also use upstreams that were slow when last probed.
        """
        for tier in tiers[1:] if self._will_miss_target(context, now) else tiers:
            if any(tracked.upstream.id not in context.excluded for tracked in tier):
                return tier
        return []

    def _get_sort_key(
        self, context: BalancingContext, now: float
    ) -> tuple[int, bool, float]:
        """Returns the sort key: priority, then whether the request will be late."""
        is_late = self._will_miss_target(context, now)
        return (
            context.priority,
            is_late,
            context.deadline if is_late else context.target_at,
        )

    def _will_miss_target(self, context: BalancingContext, now: float) -> bool:
        """Returns whether a request can no longer meet its latency target."""
        service_time_s = self.service_times.get(context.request_kind)
        return service_time_s > context.target_at - now

    def _select_upstream(
        self,
        context: BalancingContext,
        upstreams: Iterable[TrackedUpstream],
        now: float,
        max_cost_s: float = math.inf,
    ) -> TrackedUpstream | None:
        """Selects the upstream that would complete a request first, if in time.

        Another failure domain is chosen only if it saves enough time. Upstreams at the
        load of their highest throughput are left out: one more request would lower it.
        A request that will miss its target only has to be completed by its deadline, so
        it may use upstreams that noisy neighbours slow down.
        """
        service_time_s = self.service_times.get(context.request_kind)
        if self._will_miss_target(context, now):
            max_completion_s = context.deadline - now
        else:
            # A faster upstream may still become available in time.
            max_completion_s = context.target_at - now
        best: TrackedUpstream | None = None
        best_cost_s = max_cost_s
        for tracked in upstreams:
            if tracked.upstream.id in context.excluded or has_trial_in_flight(tracked):
                continue
            completion_s, excess = estimate_completion(
                tracked,
                service_time_s,
                self._failure_domain,
                now,
                self._health_baseline,
            )
            if excess or completion_s > max_completion_s:
                continue
            cost_s = completion_s
            if not self._is_local(tracked):
                cost_s = self._add_crossing_cost(context, completion_s)
            if cost_s < best_cost_s:
                best, best_cost_s = tracked, cost_s
        return best

    def _select_for_trial(
        self, context: BalancingContext, upstreams: list[TrackedUpstream], now: float
    ) -> TrackedUpstream | None:
        """Selects an upstream for a trial request, ``None`` if there is no need."""
        if not needs_trial(context, self.service_times):
            return None
        tracked = find_fastest(
            context,
            upstreams,
            self.service_times.get(context.request_kind),
            self._failure_domain,
            self._health_baseline,
            now,
        )
        if tracked is None or not self.service_times.try_start_trial(
            context.request_kind, now
        ):
            return None
        log_trial(context, tracked, self.service_times, now)
        return tracked

    def _assign_upstream(
        self, pending: PendingAssignment, tracked: TrackedUpstream, now: float
    ) -> None:
        self._record_assignment(tracked, now)
        pending.assigned.set_result(tracked)

    def _record_assignment(self, tracked: TrackedUpstream, now: float) -> None:
        tracked.record_attempt(now)
        self._waits.record_assignment(now)

    def _refuse_if_too_late(
        self, pending: PendingAssignment, ahead: int, now: float
    ) -> bool:
        """Refuses a request that cannot complete in time; returns whether it did."""
        context = pending.context
        try:
            self._check_candidates(context)
        except NoUpstreamError as error:
            self._refuse(pending, error)
            return True
        service_time_s = self.service_times.get(context.request_kind)
        wait_s = self._estimate_wait(ahead, service_time_s, now)
        is_in_time = now + wait_s + service_time_s <= context.deadline
        # A slot that it took would be missing for the requests ahead of it, most of
        # which can still meet their targets.
        is_crowded_out = ahead > 0 and self._will_miss_target(context, now)
        if is_in_time and not is_crowded_out:
            return False
        message = f"service {self.service!r} cannot answer before the deadline"
        queue_drain_s = self._estimate_wait(len(self._pending), service_time_s, now)
        retry_after_s = self._add_jitter(max(MIN_RETRY_AFTER_S, queue_drain_s))
        self._refuse(pending, DeadlineUnreachableError(message, retry_after_s))
        return True

    def _refuse(self, pending: PendingAssignment, error: BalancingError) -> None:
        self.refused += 1
        self._last_overload_at = self._clock()
        pending.assigned.set_exception(error)

    def _estimate_wait(self, ahead: int, service_time_s: float, now: float) -> float:
        """Estimates how long a request waits behind others, in seconds."""
        slots = sum(
            count_efficient_slots(tracked.upstream.slots)
            for tracked in self._get_eligible()
        )
        return self._waits.estimate(ahead, service_time_s, slots / self._instances, now)

    def _add_jitter(self, wait_s: float) -> float:
        """Returns a wait with jitter, so that callers do not all retry at once."""
        jittered_s = wait_s * self._generator.uniform(0.75, 1.5)
        return min(MAX_RETRY_AFTER_S, jittered_s)
