"""Assigns the requests of one service to upstreams."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import logbook

from .cold_rate_limit import (
    INSTANCE_COUNT_WINDOW_S,
    ColdRateLimit,
    RecentMaximum,
)
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
from .slot_reservation import (
    SlotReservation,
    compute_typical_slowness,
    count_reserved_slots,
    is_reserved,
)
from .subset import (
    compute_rank,
    compute_subset_size,
    count_failure_domains,
    select_subset,
)
from .tracked_upstream import TrackedUpstream
from .trial_request import find_fastest, log_trial, needs_trial
from .wait_estimator import TYPICAL_SLOWDOWN, WaitEstimator

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .balancing_context import BalancingContext
    from .load_report import LoadReport
    from .outcome import Outcome
    from .prober import Prober
    from .slot_reservation import ClassDemand
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
# Upstreams without a recent report are used only in failure domains in which at least
# this share was suitable lately.
MIN_UNPROBED_YIELD = 0.4
# Share of its estimated time that counts in the choice of a cold upstream with a token.
# A cold upstream looks up to several times as slow as the others and would never be
# chosen; the tokens limit how many requests that concerns.
COLD_COST_SHARE = 0.2
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
    ``refused`` counts the refused requests, ``unprobed`` those that were assigned
    without a recent report.
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
        self.cold_limit = ColdRateLimit(
            generator, RecentMaximum(INSTANCE_COUNT_WINDOW_S, 1)
        )
        self.probes = ProbeScheduler(
            prober, failure_domain, generator, clock, self.cold_limit
        )
        self.refused = 0
        self.unprobed = 0
        self._last_overload_at = -math.inf
        self._instances = 1
        self._failure_domain = failure_domain
        self._evacuated_domains: frozenset[str] = frozenset()
        self._generator = generator
        self._clock = clock
        self._pending: list[PendingAssignment] = []
        self._dispatch_task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._waits = WaitEstimator()
        self._health_baseline = HealthBaseline()
        # ``None`` while no slots are reserved for more urgent requests.
        self.reservation: SlotReservation | None = None
        self._typical_slowness = 1.0

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
        self.upstreams[upstream.id].set_evacuated(
            upstream.failure_domain in self._evacuated_domains, now
        )

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
        # Evacuated upstreams get no probes, and the others not their part of them.
        probed = sum(not tracked.is_evacuated for tracked in self.upstreams.values())
        self.probes.set_budget(per_upstream, probed, self._instances)

    def set_cold_rate(self, rate: float, instances: RecentMaximum) -> None:
        """Sets the requests per second to each cold upstream from all instances.

        0 means no limit.
        """
        self.cold_limit.instances = instances
        if rate != self.cold_limit.rate:
            self.cold_limit.rate = rate
            self._wake.set()

    def record_broken_connection(self, tracked: TrackedUpstream) -> None:
        """Records that a connection to an upstream broke, perhaps by a restart.

        Where a cold rate is set, the next request follows a probe.
        """
        tracked.probed_at = -math.inf

    def set_evacuated_domains(self, failure_domains: Iterable[str]) -> None:
        """Sets the failure domains whose upstreams get neither requests nor probes."""
        self._evacuated_domains = frozenset(failure_domains)
        now = self._clock()
        for tracked in self.upstreams.values():
            tracked.set_evacuated(self.is_evacuated(tracked), now)
        # Waiting requests look for another upstream, or are refused.
        self._wake.set()

    def is_evacuated(self, tracked: TrackedUpstream) -> bool:
        """Returns whether the failure domain of an upstream is evacuated.

        Holds also for an upstream whose entry was removed after its assignment.
        """
        return tracked.upstream.failure_domain in self._evacuated_domains

    def set_reservation(self, *, is_enabled: bool) -> None:
        """Sets whether slots are reserved for more urgent requests."""
        if is_enabled is (self.reservation is not None):
            return
        self.reservation = SlotReservation(self.service_times) if is_enabled else None
        # Requests that were held back may be assigned now.
        self._wake.set()

    def describe_reservation(self) -> list[tuple[ClassDemand, int]]:
        """Returns each class and the slots of all upstreams that it leaves free."""
        if self.reservation is None:
            return []
        slots = Counter(
            tracked.report.slots if tracked.report else tracked.upstream.slots
            for tracked in self.upstreams.values()
        )
        return [
            (
                demand,
                sum(
                    upstreams * count_reserved_slots(count, demand.urgent_share)
                    for count, upstreams in slots.items()
                ),
            )
            for demand in self.reservation.get_demand(self._clock())
        ]

    async def acquire(self, context: BalancingContext) -> TrackedUpstream:
        """Waits for an upstream to send an attempt to; raises ``BalancingError``."""
        if self.reservation is not None:
            self.reservation.record_request(context, self._clock())
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
            self._record_assignment(context, tracked, now)
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
        return tracked.accepts_requests(self._clock()) and not self.is_evacuated(
            tracked
        )

    def release(
        self, tracked: TrackedUpstream, context: BalancingContext, outcome: Outcome
    ) -> None:
        """Releases an upstream after an attempt and records the outcome."""
        now = self._clock()
        tracked.in_flight -= 1
        self._return_cold_token(tracked, context, outcome, now)
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
                    domain = tracked.upstream.failure_domain
                    self.probes.yields.record(domain, report, now)
            case NotRun(report):
                self._handle_rejection(tracked, report, now)
            case Failed(reason):
                self._handle_failure(tracked, context, reason, now)
            case Unreachable(reason):
                self.probes.record_unresponsive(tracked)
                self._handle_failure(tracked, context, reason, now)
            case Abandoned():
                pass

    def _return_cold_token(
        self,
        tracked: TrackedUpstream,
        context: BalancingContext,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Returns the token of a request that did not reach the cold upstream."""
        if context.cold_token != tracked.upstream.id:
            return
        context.cold_token = ""
        match outcome:
            case Abandoned(is_unsent=True) | NotRun(is_misdirected=True):
                self.cold_limit.give_back(tracked, now)
            case Unreachable():
                self.cold_limit.give_back(tracked, now)

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
            unsent = Abandoned(is_unsent=True)
            self.release(assigned.result(), pending.context, unsent)

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
        if self._pending and self.probes.is_exhausted:
            self._assign_unprobed()

    def _assign_unprobed(self) -> None:
        """Assigns upstreams without a recent report to requests that would wait.

        Once the probe budget is used up, nothing is learned about upstreams of other
        failure domains, and the requests would be refused although these may be idle.
        The share of suitable upstreams in the domain stands in for a report.
        """
        now = self._clock()
        unprobed = [
            tracked
            for tracked in self._get_eligible()
            if now - tracked.reported_at > RECENT_REPORT_AGE_S
            and not tracked.in_flight
            and not tracked.probe_backoff_steps
            and now >= tracked.cold_start_until
            and self.cold_limit.allows(tracked, now)
            and self.probes.yields.get(tracked.upstream.failure_domain, now)
            >= MIN_UNPROBED_YIELD
        ]
        self._generator.shuffle(unprobed)
        remaining: list[PendingAssignment] = []
        for pending in self._pending:
            if pending.assigned.done():
                continue
            context = pending.context
            tracked = None
            # It is not known whether an upstream without a report has slots beyond
            # those reserved for more urgent requests.
            if not (
                self._will_miss_target(context, now)
                or self._get_urgent_share(context, now)
            ):
                tracked = self._pop_candidate(unprobed, context)
            if tracked is None:
                remaining.append(pending)
            else:
                self.unprobed += 1
                self._last_overload_at = now
                self._assign_upstream(pending, tracked, now)
        self._pending = remaining

    def _pop_candidate(
        self, upstreams: list[TrackedUpstream], context: BalancingContext
    ) -> TrackedUpstream | None:
        for tracked in upstreams:
            if tracked.upstream.id not in context.excluded:
                upstreams.remove(tracked)
                return tracked
        return None

    async def _probe_and_assign_local(self) -> None:
        local = [tracked for tracked in self._get_eligible() if self._is_local(tracked)]
        if not local:
            return
        domains = count_failure_domains(self.upstreams.values())
        size = compute_subset_size(len(local), self._instances / domains)
        subset = self._add_cold(select_subset(local, size), local)
        await self.probes.run_round(subset, self._get_waiting())
        self._assign_local()
        if self._pending and self.probes.prefers_local(self._get_eligible()):
            others = select_subset(local, SECOND_ROUND_FACTOR * size)
            await self.probes.run_round(
                others, self._get_waiting(), fresh_are_unsuitable=True
            )
            self._assign_local()

    def _add_cold(
        self, subset: Sequence[TrackedUpstream], local: list[TrackedUpstream]
    ) -> Sequence[TrackedUpstream]:
        """Adds cold upstreams with a token to those that are probed first.

        Each instance may send them only its small part of the rate, so the instances
        that have them in their subset would not use most of it.
        """
        now = self._clock()
        known = {tracked.upstream.id for tracked in subset}
        cold = [
            tracked
            for tracked in local
            if self.cold_limit.is_cold(tracked, now)
            and tracked.upstream.id not in known
            and self.cold_limit.has_token(tracked, now)
        ]
        return [*subset, *cold] if cold else subset

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
                continue
            self._record_held_back(pending.context, tier, now)
            if not self._refuse_if_too_late(pending, len(remaining), now):
                remaining.append(pending)
        self._pending = remaining

    def _group_by_report_age(self, now: float) -> list[list[TrackedUpstream]]:
        """Groups the eligible upstreams by the age of their load reports.

        The tier of the most recent ones comes first; the last tier has those of any age
        that respond to probes.
        """
        eligible = self._get_eligible()
        self._health_baseline = HealthBaseline.from_upstreams(eligible)
        if self.reservation is not None:
            self._typical_slowness = compute_typical_slowness(eligible)
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
            if any(self._is_assignable(tracked, context, now) for tracked in tier):
                return tier
        return []

    def _is_assignable(
        self, tracked: TrackedUpstream, context: BalancingContext, now: float
    ) -> bool:
        """Returns whether a request may be assigned to an eligible upstream now."""
        if tracked.upstream.id in context.excluded:
            return False
        return self.cold_limit.allows(tracked, now)

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
        *,
        uses_reserved_slots: bool = False,
    ) -> TrackedUpstream | None:
        """Selects the upstream that would complete a request first, if in time.

        Another failure domain is chosen only if it saves enough time. Upstreams at the
        load of their highest throughput are left out: one more request would lower it.
        A request that will miss its target only has to be completed by its deadline, so
        it may use upstreams that noisy neighbours slow down. Slots that are reserved
        for more urgent requests are left free unless ``uses_reserved_slots`` is set.
        """
        urgent_share = 0.0
        if not uses_reserved_slots:
            urgent_share = self._get_urgent_share(context, now)
        service_time_s = self.service_times.get(context.request_kind)
        will_miss_target = self._will_miss_target(context, now)
        if will_miss_target:
            max_completion_s = context.deadline - now
        else:
            # A faster upstream may still become available in time.
            max_completion_s = context.target_at - now
        best: TrackedUpstream | None = None
        best_cost_s = max_cost_s
        for tracked in upstreams:
            if not self._is_assignable(tracked, context, now) or has_trial_in_flight(
                tracked
            ):
                continue
            estimate = estimate_completion(
                tracked,
                service_time_s,
                self._failure_domain,
                now,
                self._health_baseline,
            )
            completion_s = estimate.completion_s
            if estimate.excess or completion_s > max_completion_s:
                continue
            if urgent_share and is_reserved(
                tracked,
                estimate,
                urgent_share,
                self._typical_slowness,
                will_miss_target=will_miss_target,
            ):
                continue
            cost_s = completion_s
            if self.cold_limit.is_cold(tracked, now):
                cost_s *= COLD_COST_SHARE
            if not self._is_local(tracked):
                cost_s = self._add_crossing_cost(context, cost_s)
            if cost_s < best_cost_s:
                best, best_cost_s = tracked, cost_s
        return best

    def _get_urgent_share(self, context: BalancingContext, now: float) -> float:
        """Returns the share of the work that more urgent requests bring."""
        if self.reservation is None:
            return 0.0
        return self.reservation.get_urgent_share(context, now)

    def _record_held_back(
        self, context: BalancingContext, tier: list[TrackedUpstream], now: float
    ) -> None:
        """Records a request that waits only because of reserved slots."""
        if self.reservation is None or context.is_held_back:
            return
        if self._select_upstream(context, tier, now, uses_reserved_slots=True):
            context.is_held_back = True
            self.reservation.record_held_back(context)

    def _select_for_trial(
        self, context: BalancingContext, upstreams: list[TrackedUpstream], now: float
    ) -> TrackedUpstream | None:
        """Selects an upstream for a trial request, ``None`` if there is no need."""
        if not needs_trial(context, self.service_times):
            return None
        tracked = find_fastest(
            context,
            [
                tracked
                for tracked in upstreams
                if self._is_assignable(tracked, context, now)
            ],
            self.service_times.get(context.request_kind),
            self._failure_domain,
            self._health_baseline,
            now,
            self._get_urgent_share(context, now),
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
        self._record_assignment(pending.context, tracked, now)
        pending.assigned.set_result(tracked)

    def _record_assignment(
        self, context: BalancingContext, tracked: TrackedUpstream, now: float
    ) -> None:
        is_cold = self.cold_limit.take(tracked, now)
        context.cold_token = tracked.upstream.id if is_cold else ""
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
            self._count_usable_slots(tracked, service_time_s, now)
            for tracked in self._get_eligible()
        )
        return self._waits.estimate(ahead, service_time_s, slots / self._instances, now)

    def _count_usable_slots(
        self, tracked: TrackedUpstream, service_time_s: float, now: float
    ) -> float:
        """Returns how many slots of an upstream all instances can use."""
        slots = count_efficient_slots(tracked.upstream.slots)
        if not self.cold_limit.is_cold(tracked, now):
            return slots
        # The number that the cold rate keeps in use.
        return min(slots, self.cold_limit.rate * service_time_s * TYPICAL_SLOWDOWN)

    def _add_jitter(self, wait_s: float) -> float:
        """Returns a wait with jitter, so that callers do not all retry at once."""
        jittered_s = wait_s * self._generator.uniform(0.75, 1.5)
        return min(MAX_RETRY_AFTER_S, jittered_s)
