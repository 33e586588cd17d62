"""Router that chooses among the upstreams of one service."""

from __future__ import annotations

import math
import random
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from reactivex.subject import Subject

from .choosers import Chooser, create_chooser, pick_upstream
from .class_latencies import ClassLatencies
from .load_estimator import LoadEstimator
from .outlier_detector import MIN_LOAD_SHARE, OutlierDetector
from .subset import Subset, select_subset
from .upstream_observations import NoObservations, UpstreamObservations
from .upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ..infrastructure.instance_list import Instance
    from ..policy.policy import Policy
    from .attempt_outcome import AttemptOutcome
    from .request_context import RequestContext

MS_PER_S = 1_000
REFRESH_INTERVAL_S = 0.01
DRAINING_PERIOD_S = 30.0
SLOT_TURNAROUND_S = 0.02
MIN_LIMIT_FACTOR = 0.5
MAX_LIMIT_FACTOR = 2.0
LIMIT_DECREASE_FACTOR = 0.85
LIMIT_INCREASE_STEP = 0.02
DECREASE_LATENCY_RATIO = 1.6
INCREASE_LATENCY_RATIO = 1.2


class Ejection(NamedTuple):
    """An upstream that this entry sends no requests to for ``duration_ms`` from now."""

    upstream: str
    duration_ms: int


class ServiceRouter:
    """Chooses an upstream for each attempt and updates its state from each outcome.

    ``ejections`` emits each ejection by this entry, to be shared with other instances.
    """

    def __init__(
        self,
        generator: random.Random,
        failure_domain: str = "",
        observations: UpstreamObservations | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.latencies = ClassLatencies()
        self.in_flight = 0
        self.ejections: Subject[Ejection] = Subject()
        self._generator = generator
        self._failure_domain = failure_domain
        self._observations: UpstreamObservations = observations or NoObservations()
        self._estimator = LoadEstimator()
        self._detector = OutlierDetector(self.latencies, generator)
        self._choosers: dict[str, Chooser] = {}
        self._states: dict[str, UpstreamState] = {}
        self._own_id = ""
        self._peers: frozenset[str] = frozenset()
        self._subset: Subset | None = None
        self._subset_connections = 0
        self._eligible: list[UpstreamState] = []
        self._eligible_until = -math.inf
        self._eligible_policy: Policy | None = None
        self._refreshed_at = clock()

    def set_instances(self, instances: Iterable[Instance]) -> None:
        """Replaces the instances of the service; keeps the state of those that remain.

        An upstream that is added after the first call goes through a slow start.
        """
        now = self.clock()
        states = {}
        for instance in instances:
            known = self._states.get(instance.id)
            if known is None or known.instance.address != instance.address:
                known = UpstreamState(instance)
                if self._states:
                    known.slow_start_at = now
            known.instance = instance
            known.same_failure_domain = instance.failure_domain == self._failure_domain
            states[instance.id] = known
        self._states = states
        self._subset = None
        self._eligible_until = -math.inf

    def set_peers(self, peers: Iterable[str], own_id: str) -> None:
        """Sets the ids of all instances that run entries, and the id of this one."""
        self._peers = frozenset(peers)
        self._own_id = own_id
        self._subset = None
        self._eligible_until = -math.inf

    def get_states(self) -> Collection[UpstreamState]:
        """Returns the state of each upstream."""
        return self._states.values()

    def has_available_upstream(self, excluded: Collection[str] = ()) -> bool:
        """Returns whether any upstream outside ``excluded`` accepts requests."""
        return any(
            state.instance.id not in excluded and self.accepts_requests(state)
            for state in self._states.values()
        )

    def find_available(self, upstream: str) -> UpstreamState | None:
        """Returns the state of an upstream, ``None`` unless it accepts requests."""
        state = self._states.get(upstream)
        if state is None or not self.accepts_requests(state):
            return None
        return state

    def accepts_requests(self, state: UpstreamState) -> bool:
        """Returns whether the upstream is live and not draining."""
        return (
            state.instance.state == "live"
            and self.clock() >= state.draining_until
            and self._observations.accepts_requests(state.instance.id)
        )

    def choose(
        self, context: RequestContext, excluded: Collection[str] = ()
    ) -> UpstreamState | None:
        """Returns an upstream for a request, ``None`` when all are at their limits."""
        now = self.clock()
        policy = context.policy
        if now >= self._eligible_until or policy is not self._eligible_policy:
            self._refresh_eligible(policy, now)
        candidates = self._eligible
        pool_size = (
            self._subset.pool_size if self._subset else policy.upstreams.connections
        )
        scorer = RouterScorer(self, policy, now)
        if policy.limits.adaptive_concurrency:
            candidates = self._find_below_limit(policy, scorer)
        candidates = [
            state
            for state in candidates
            if state.in_flight < pool_size and state.instance.id not in excluded
        ]
        if policy.routing.outlier_detection:
            candidates = self._apply_slow_start(candidates, policy, now)
        if not candidates:
            return None
        chooser = self._get_chooser(policy)
        return pick_upstream(chooser, candidates, scorer, self._generator)

    def start_attempt(self, state: UpstreamState, context: RequestContext) -> None:
        """Records an attempt that is sent now."""
        self.in_flight += 1
        state.start_attempt(self.clock(), context.request_class.name)

    def finish_attempt(
        self,
        state: UpstreamState,
        outcome: AttemptOutcome,
        policy: Policy | None,
    ) -> None:
        """Records the outcome of an attempt and updates the state of its upstream."""
        now = self.clock()
        self._record_signals(state, outcome, now)
        self.in_flight -= 1
        latency_s = outcome.latency_s
        attempt = state.end_attempt(now, math.inf if outcome.cancelled else latency_s)
        if outcome.cancelled:
            return
        slots = policy.upstreams.slots if policy else 1
        if outcome.shed:
            self._decrease_limit(state)
            self._estimator.apply_report(state, max(slots, state.in_flight + 1), now)
            return
        ratio = self.latencies.get_ratio(attempt.class_name, latency_s)
        if not outcome.failed:
            state.record_response(attempt.started_at, now)
            self.latencies.add(attempt.class_name, latency_s)
            self._estimator.report_decay_s = self.latencies.mean_s
        detect_outliers = policy is not None and policy.routing.outlier_detection
        if detect_outliers and self._detector.record_outcome(
            state, outcome, ratio, now
        ):
            self._publish_ejection(state, now)
        if outcome.load is not None:
            self._estimator.update_report_trust(state, slots)
        if policy is not None and not outcome.failed:
            self._adapt_limit(state, policy, now)

    def discard_attempt(self, state: UpstreamState) -> None:
        """Reverts the latest ``start_attempt`` for an attempt that was never sent."""
        self.in_flight -= 1
        state.end_attempt(self.clock(), 0.0)

    def get_penalty(self, state: UpstreamState, policy: Policy, now: float) -> float:
        """Returns the factor by which latency and failures raise a load score."""
        if not policy.routing.outlier_detection:
            return 1.0
        return self._detector.get_penalty(state, now)

    def describe(self) -> dict[str, Any]:
        """Returns the state of each upstream as a JSON object."""
        now = self.clock()
        return {
            state.instance.id: {
                "in_flight": state.in_flight,
                "estimated_in_flight": round(self.estimate_in_flight(state, now), 2),
                "limit_factor": round(state.limit_factor, 2),
                "slowness": round(state.latency_ratio, 2),
                "failure_rate": round(state.failure_rate, 2),
                "report_trust": round(state.report_trust, 2),
                "ejected_ms": max(0, int((state.ejected_until - now) * MS_PER_S))
                if state.ejections
                else 0,
                "ejections": state.ejections,
            }
            for state in self._states.values()
        }

    def estimate_in_flight(self, state: UpstreamState, now: float) -> float:
        """Returns the estimated requests in flight on an upstream over all entries."""
        return self._estimator.estimate_in_flight(state, now)

    def is_ejected(self, state: UpstreamState, now: float) -> bool:
        """Returns whether this entry or another instance ejected the upstream."""
        return now < state.ejected_until or self._observations.is_ejected(
            state.instance.id
        )

    def _publish_ejection(self, state: UpstreamState, now: float) -> None:
        self._eligible_until = -math.inf
        duration_ms = int((state.ejected_until - now) * MS_PER_S)
        self.ejections.on_next(Ejection(state.instance.id, duration_ms))

    def _get_chooser(self, policy: Policy) -> Chooser:
        name = policy.routing.chooser
        chooser = self._choosers.get(name)
        if chooser is None:
            chooser = self._choosers[name] = create_chooser(name)
        return chooser

    def _refresh_eligible(self, policy: Policy, now: float) -> None:
        """Updates the eligible upstreams, valid for ``REFRESH_INTERVAL_S``."""
        self._update_subset(policy)
        subset = self._subset
        live = [
            state
            for state in self._states.values()
            if self.accepts_requests(state)
            and (subset is None or state.instance.id in subset.upstreams)
        ]
        for state in live:
            if policy.routing.outlier_detection and self._detector.eject_if_overdue(
                state, now
            ):
                self._publish_ejection(state, now)
            if state.slow_start_at < 0 and self._observations.is_cold(
                state.instance.id
            ):
                state.slow_start_at = now
            self._detector.decay(state, now - self._refreshed_at)
            self._detector.reset_ejections(state, now)
        if policy.routing.outlier_detection:
            live = self._remove_ejected(live, policy, now)
        self._estimator.assume_equal_load(live, max(1, len(self._peers)))
        self._eligible = live
        self._eligible_policy = policy
        self._eligible_until = now + REFRESH_INTERVAL_S
        self._refreshed_at = now
        self._detector.update_baseline(live)

    def _remove_ejected(
        self, live: list[UpstreamState], policy: Policy, now: float
    ) -> list[UpstreamState]:
        kept = [state for state in live if not self.is_ejected(state, now)]
        max_ejected = policy.upstreams.max_ejected_share * len(self._states)
        return kept if len(live) - len(kept) <= max_ejected else live

    def _update_subset(self, policy: Policy) -> None:
        connections = policy.upstreams.connections
        if not self._peers:
            return
        if self._subset is None or connections != self._subset_connections:
            live = [
                state.instance.id
                for state in self._states.values()
                if state.instance.state == "live"
            ]
            self._subset = select_subset(live, self._peers, self._own_id, connections)
            self._subset_connections = connections

    def _find_below_limit(
        self, policy: Policy, scorer: RouterScorer
    ) -> list[UpstreamState]:
        """Returns the eligible upstreams that are below their limits.

        While this entry uses less than its equal share of all slots, it may also use
        its equal share of each upstream, so that wrong estimates never leave slots idle
        while requests wait.
        """
        peers = max(1, len(self._peers))
        below_fair_share = self.in_flight < self._get_fair_share(policy, peers)
        below_limit = []
        for state in self._eligible:
            limit = self._get_limit(state, policy)
            if scorer.estimate_in_flight(state) + 1 <= limit or (
                below_fair_share and state.in_flight < math.ceil(limit / peers)
            ):
                below_limit.append(state)
        return below_limit

    def _get_fair_share(self, policy: Policy, peers: int) -> int:
        """Returns this entry's equal share of all slots of the service."""
        slots: float = policy.upstreams.slots * len(self._eligible)
        if self._subset is not None and self._states:
            slots = slots * len(self._states) / max(1, len(self._subset.upstreams))
        return math.ceil(slots * self._get_concurrency_headroom(policy) / peers)

    def _get_limit(self, state: UpstreamState, policy: Policy) -> float:
        initial_limit = policy.upstreams.slots * self._get_concurrency_headroom(policy)
        return state.limit_factor * initial_limit

    def _get_concurrency_headroom(self, policy: Policy) -> float:
        """Returns the number of requests in flight per slot that keeps slots busy.

        Between two requests a slot is idle for the round trip to the entry. Any further
        requests would queue on the upstream, where they can no longer be rerouted.
        """
        needed = 1 + SLOT_TURNAROUND_S / self.latencies.mean_s
        return min(policy.limits.concurrency_headroom, needed)

    def _decrease_limit(self, state: UpstreamState) -> None:
        decreased = state.limit_factor * LIMIT_DECREASE_FACTOR
        state.limit_factor = max(MIN_LIMIT_FACTOR, decreased)

    def _adapt_limit(self, state: UpstreamState, policy: Policy, now: float) -> None:
        """Adjusts the concurrency limit of an upstream to its latency.

        The limit of an upstream slower than the others decreases. That of an upstream
        as fast as the others increases while it is reached or below its initial value.

        When all upstreams slow down together, limits do not change: lower ones would
        leave slots idle.
        """
        latency_ratio = self._detector.normalize_ratio(state.latency_ratio)
        if latency_ratio > DECREASE_LATENCY_RATIO:
            if now - state.limit_changed_at >= self.latencies.mean_s:
                state.limit_changed_at = now
                self._decrease_limit(state)
            return
        # An upstream as fast as the others regains its initial limit even without load.
        in_use = self.estimate_in_flight(state, now) + 1 >= self._get_limit(
            state, policy
        )
        if latency_ratio < INCREASE_LATENCY_RATIO and (
            in_use or state.limit_factor < 1
        ):
            increased = state.limit_factor + LIMIT_INCREASE_STEP
            state.limit_factor = min(MAX_LIMIT_FACTOR, increased)

    def _apply_slow_start(
        self, candidates: list[UpstreamState], policy: Policy, now: float
    ) -> list[UpstreamState]:
        """Drops cold and recovering upstreams at random, according to their load share.

        Returns all candidates if none would remain.
        """
        kept = []
        for state in candidates:
            load_share = self._get_load_share(state, policy, now)
            if load_share == 1.0 or self._generator.random() < load_share:
                kept.append(state)
        return kept or candidates

    def _get_load_share(
        self, state: UpstreamState, policy: Policy, now: float
    ) -> float:
        """Returns an upstream's share of normal load, 0.1 to 1.

        It is below 1 during a slow start and during the recovery from an ejection.
        """
        load_share = self._detector.get_recovery_share(state, now)
        cold_start_s = policy.upstreams.cold_start_ms / MS_PER_S
        age_s = now - state.slow_start_at
        if age_s < cold_start_s:
            load_share = min(load_share, max(MIN_LOAD_SHARE, age_s / cold_start_s))
        return load_share

    def _record_signals(
        self, state: UpstreamState, outcome: AttemptOutcome, now: float
    ) -> None:
        if outcome.load is not None:
            self._estimator.apply_report(state, outcome.load.in_flight, now)
        match outcome.announced_state:
            case "draining":
                state.draining_until = now + DRAINING_PERIOD_S
                self._eligible_until = -math.inf
            case "cold":
                if state.slow_start_at < 0:
                    state.slow_start_at = now
            case _:
                return


class RouterScorer:
    """Scores upstreams by the state of a router at the time of one choice."""

    __slots__ = ("_now", "_policy", "_router")

    def __init__(self, router: ServiceRouter, policy: Policy, now: float) -> None:
        self._router = router
        self._policy = policy
        self._now = now

    def estimate_in_flight(self, state: UpstreamState) -> float:
        """Returns the estimated requests in flight over all entries."""
        return self._router.estimate_in_flight(state, self._now)

    def score_by_local_load(self, state: UpstreamState) -> float:
        """Returns the score by this entry's requests in flight alone."""
        return self._compute_score(state, state.in_flight)

    def score_by_estimated_load(self, state: UpstreamState) -> float:
        """Returns the score by the estimated requests in flight over all entries."""
        return self._compute_score(state, self.estimate_in_flight(state))

    def _compute_score(self, state: UpstreamState, load: float) -> float:
        penalty = self._router.get_penalty(state, self._policy, self._now)
        score = (load + 1) * penalty
        routing = self._policy.routing
        if routing.prefer_near and not state.same_failure_domain:
            score += routing.near_bonus_requests
        return score
