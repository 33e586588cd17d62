"""Chooses an upstream of one service."""

from __future__ import annotations

import math
import random
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from reactivex.subject import Subject

from .choosers import Chooser, create_chooser, pick_upstream
from .class_latencies import ClassLatencies
from .load_estimator import LoadEstimator
from .outlier_detector import MIN_RAMP, OutlierDetector
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
DRAINING_S = 30.0
HANDOVER_S = 0.02
MIN_LIMIT_FACTOR = 0.5
MAX_LIMIT_FACTOR = 2.0
LIMIT_DECREASE = 0.85
LIMIT_INCREASE = 0.02
SLOWNESS_SHRINKS = 1.6
SLOWNESS_GROWS = 1.2


class Ejection(NamedTuple):
    """An upstream that this entry gives no work for ``duration_ms`` from now."""

    upstream: str
    duration_ms: int


class ServiceRouter:
    """Chooses an upstream of one service and learns from each outcome.

    ``ejections`` emits each ejection by this entry, for other instances.
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
        self._own = ""
        self._peers: frozenset[str] = frozenset()
        self._subset: Subset | None = None
        self._subset_connections = 0
        self._usable: list[UpstreamState] = []
        self._usable_until = -math.inf
        self._usable_policy: Policy | None = None
        self._refreshed = clock()

    def set_instances(self, instances: Iterable[Instance]) -> None:
        """Takes the instances of the service; keeps the state of those that stay.

        An upstream that appears later than the first ones starts cold.
        """
        now = self.clock()
        states = {}
        for instance in instances:
            known = self._states.get(instance.id)
            if known is None or known.instance.address != instance.address:
                known = UpstreamState(instance)
                if self._states:
                    known.ramp_started = now
            known.instance = instance
            known.near = instance.failure_domain == self._failure_domain
            states[instance.id] = known
        self._states = states
        self._subset = None
        self._usable_until = -math.inf

    def set_peers(self, peers: Iterable[str], own: str) -> None:
        """Takes the ids of all instances that run entries, and that of this one."""
        self._peers = frozenset(peers)
        self._own = own
        self._subset = None
        self._usable_until = -math.inf

    def get_states(self) -> Collection[UpstreamState]:
        """Returns what is known of each upstream."""
        return self._states.values()

    def has_upstream(self, excluded: Collection[str] = ()) -> bool:
        """Returns whether any upstream that accepts work is left."""
        return any(
            state.instance.id not in excluded and self.accepts_requests(state)
            for state in self._states.values()
        )

    def find(self, upstream: str) -> UpstreamState | None:
        """Returns an upstream if it accepts work."""
        state = self._states.get(upstream)
        if state is None or not self.accepts_requests(state):
            return None
        return state

    def accepts_requests(self, state: UpstreamState) -> bool:
        """Returns whether the upstream is live and has not announced to leave."""
        return (
            state.instance.state == "live"
            and self.clock() >= state.draining_until
            and self._observations.accepts_requests(state.instance.id)
        )

    def choose(
        self, context: RequestContext, excluded: Collection[str] = ()
    ) -> UpstreamState | None:
        """Returns an upstream for a request, or ``None`` when none has room."""
        now = self.clock()
        policy = context.policy
        if now >= self._usable_until or policy is not self._usable_policy:
            self._refresh(policy, now)
        candidates = self._usable
        pool = self._subset.pool if self._subset else policy.upstreams.connections
        scores = RouterScores(self, policy, now)
        if policy.limits.adaptive_concurrency:
            candidates = self._find_room(policy, scores)
        candidates = [
            state
            for state in candidates
            if state.in_flight < pool and state.instance.id not in excluded
        ]
        if policy.routing.outlier_detection:
            candidates = self._apply_ramps(candidates, policy, now)
        if not candidates:
            return None
        chooser = self._get_chooser(policy)
        return pick_upstream(chooser, candidates, scores, self._generator)

    def start_attempt(self, state: UpstreamState, context: RequestContext) -> None:
        """Counts an attempt that is sent now."""
        self.in_flight += 1
        state.start_attempt(self.clock(), context.request_class.name)

    def finish_attempt(
        self,
        state: UpstreamState,
        outcome: AttemptOutcome,
        policy: Policy | None,
    ) -> None:
        """Takes the outcome of an attempt."""
        now = self.clock()
        self._take_announcements(state, outcome, now)
        self.in_flight -= 1
        latency_s = outcome.latency_s
        attempt = state.end_attempt(now, math.inf if outcome.cancelled else latency_s)
        if outcome.cancelled:
            return
        slots = policy.upstreams.slots if policy else 1
        if outcome.shed:
            self._lower_limit(state)
            self._estimator.take_report(state, max(slots, state.in_flight + 1), now)
            return
        ratio = self.latencies.get_ratio(attempt.class_name, latency_s)
        if not outcome.failed:
            state.note_answer(attempt.started, now)
            self.latencies.add(attempt.class_name, latency_s)
            self._estimator.horizon_s = self.latencies.mean_s
        detects = policy is not None and policy.routing.outlier_detection
        if detects and self._detector.note_outcome(state, outcome, ratio, now):
            self._announce_ejection(state, now)
        if outcome.load is not None:
            self._estimator.judge_report(state, slots)
        if policy is not None and not outcome.failed:
            self._adapt_limit(state, policy, now)

    def discard_attempt(self, state: UpstreamState) -> None:
        """Undoes the latest ``start_attempt`` of an attempt that was never sent."""
        self.in_flight -= 1
        state.end_attempt(self.clock(), 0.0)

    def get_penalty(self, state: UpstreamState, policy: Policy, now: float) -> float:
        """Returns the factor by which slowness and failures add to a score."""
        if not policy.routing.outlier_detection:
            return 1.0
        return self._detector.get_penalty(state, now)

    def describe(self) -> dict[str, Any]:
        """Returns what is known of each upstream as a JSON object."""
        now = self.clock()
        return {
            state.instance.id: {
                "in_flight": state.in_flight,
                "estimated_in_flight": round(self.estimate(state, now), 2),
                "limit_factor": round(state.limit_factor, 2),
                "slowness": round(state.slowness, 2),
                "failure_rate": round(state.failure_rate, 2),
                "report_trust": round(state.report_trust, 2),
                "ejected_ms": max(0, int((state.ejected_until - now) * MS_PER_S))
                if state.ejections
                else 0,
                "ejections": state.ejections,
            }
            for state in self._states.values()
        }

    def estimate(self, state: UpstreamState, now: float) -> float:
        """Returns the requests in flight on an upstream over all entries."""
        return self._estimator.estimate(state, now)

    def is_ejected(self, state: UpstreamState, now: float) -> bool:
        """Returns whether this entry or another instance ejected the upstream."""
        return now < state.ejected_until or self._observations.is_ejected(
            state.instance.id
        )

    def _announce_ejection(self, state: UpstreamState, now: float) -> None:
        self._usable_until = -math.inf
        duration_ms = int((state.ejected_until - now) * MS_PER_S)
        self.ejections.on_next(Ejection(state.instance.id, duration_ms))

    def _get_chooser(self, policy: Policy) -> Chooser:
        name = policy.routing.chooser
        chooser = self._choosers.get(name)
        if chooser is None:
            chooser = self._choosers[name] = create_chooser(name)
        return chooser

    def _refresh(self, policy: Policy, now: float) -> None:
        """Finds the upstreams that may get work; holds for ``REFRESH_INTERVAL_S``."""
        self._update_subset(policy)
        subset = self._subset
        live = [
            state
            for state in self._states.values()
            if self.accepts_requests(state)
            and (subset is None or state.instance.id in subset.upstreams)
        ]
        for state in live:
            if policy.routing.outlier_detection and self._detector.check_in_flight(
                state, now
            ):
                self._announce_ejection(state, now)
            if state.ramp_started < 0 and self._observations.is_cold(state.instance.id):
                state.ramp_started = now
            self._detector.decay(state, now - self._refreshed)
            self._detector.forgive(state, now)
        if policy.routing.outlier_detection:
            live = self._remove_ejected(live, policy, now)
        self._estimator.assume_symmetry(live, max(1, len(self._peers)))
        self._usable = live
        self._usable_policy = policy
        self._usable_until = now + REFRESH_INTERVAL_S
        self._refreshed = now
        self._detector.compare(live)

    def _remove_ejected(
        self, live: list[UpstreamState], policy: Policy, now: float
    ) -> list[UpstreamState]:
        kept = [state for state in live if not self.is_ejected(state, now)]
        most = policy.upstreams.max_ejected_share * len(self._states)
        return kept if len(live) - len(kept) <= most else live

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
            self._subset = select_subset(live, self._peers, self._own, connections)
            self._subset_connections = connections

    def _find_room(self, policy: Policy, scores: RouterScores) -> list[UpstreamState]:
        """Returns the usable upstreams that are below their limits.

        While this entry uses less than its equal share of all slots, its equal share of
        each upstream is open as well, so that wrong estimates never leave slots idle
        while requests wait.
        """
        peers = max(1, len(self._peers))
        below_share = self.in_flight < self._count_share(policy, peers)
        room = []
        for state in self._usable:
            limit = self._get_limit(state, policy)
            if scores.estimate(state) + 1 <= limit or (
                below_share and state.in_flight < math.ceil(limit / peers)
            ):
                room.append(state)
        return room

    def _count_share(self, policy: Policy, peers: int) -> int:
        """Returns this entry's equal share of all slots of the service."""
        slots: float = policy.upstreams.slots * len(self._usable)
        if self._subset is not None and self._states:
            slots = slots * len(self._states) / max(1, len(self._subset.upstreams))
        return math.ceil(slots * self._get_headroom(policy) / peers)

    def _get_limit(self, state: UpstreamState, policy: Policy) -> float:
        start = policy.upstreams.slots * self._get_headroom(policy)
        return state.limit_factor * start

    def _get_headroom(self, policy: Policy) -> float:
        """Returns the requests in flight that keep a slot busy.

        A slot is idle between two requests for the way to and from the entry. More than
        that waits on the upstream, where no other choice is possible.
        """
        needed = 1 + HANDOVER_S / self.latencies.mean_s
        return min(policy.limits.concurrency_headroom, needed)

    def _lower_limit(self, state: UpstreamState) -> None:
        lowered = state.limit_factor * LIMIT_DECREASE
        state.limit_factor = max(MIN_LIMIT_FACTOR, lowered)

    def _adapt_limit(self, state: UpstreamState, policy: Policy, now: float) -> None:
        """Moves the limit of an upstream that is slower than others, or as fast.

        When all become slow together, limits stay: lower ones would leave slots idle.
        """
        slowness = self._detector.get_relative(state.slowness)
        if slowness > SLOWNESS_SHRINKS:
            if now - state.limit_changed >= self.latencies.mean_s:
                state.limit_changed = now
                self._lower_limit(state)
            return
        # An upstream as fast as the others gets back what it lost, used or not.
        in_use = self.estimate(state, now) + 1 >= self._get_limit(state, policy)
        if slowness < SLOWNESS_GROWS and (in_use or state.limit_factor < 1):
            raised = state.limit_factor + LIMIT_INCREASE
            state.limit_factor = min(MAX_LIMIT_FACTOR, raised)

    def _apply_ramps(
        self, candidates: list[UpstreamState], policy: Policy, now: float
    ) -> list[UpstreamState]:
        """Leaves out cold and recovering upstreams at random, by their share of load.

        When none other is left, they are used.
        """
        kept = []
        for state in candidates:
            ramp = self._get_ramp(state, policy, now)
            if ramp == 1.0 or self._generator.random() < ramp:
                kept.append(state)
        return kept or candidates

    def _get_ramp(self, state: UpstreamState, policy: Policy, now: float) -> float:
        """Returns the share of normal load, 0.1 to 1, of a cold upstream."""
        ramp = self._detector.get_recovery(state, now)
        cold_s = policy.upstreams.cold_start_ms / MS_PER_S
        age_s = now - state.ramp_started
        if age_s < cold_s:
            ramp = min(ramp, max(MIN_RAMP, age_s / cold_s))
        return ramp

    def _take_announcements(
        self, state: UpstreamState, outcome: AttemptOutcome, now: float
    ) -> None:
        if outcome.load is not None:
            self._estimator.take_report(state, outcome.load.in_flight, now)
        match outcome.announced_state:
            case "draining":
                state.draining_until = now + DRAINING_S
                self._usable_until = -math.inf
            case "cold":
                if state.ramp_started < 0:
                    state.ramp_started = now
            case _:
                return


class RouterScores:
    """Scores of upstreams for one choice."""

    __slots__ = ("_now", "_policy", "_router")

    def __init__(self, router: ServiceRouter, policy: Policy, now: float) -> None:
        self._router = router
        self._policy = policy
        self._now = now

    def estimate(self, state: UpstreamState) -> float:
        """Returns the requests in flight over all entries."""
        return self._router.estimate(state, self._now)

    def score_own(self, state: UpstreamState) -> float:
        """Returns the score by this entry's requests in flight alone."""
        return self._weigh(state, state.in_flight)

    def score(self, state: UpstreamState) -> float:
        """Returns the score by the estimate over all entries."""
        return self._weigh(state, self.estimate(state))

    def _weigh(self, state: UpstreamState, load: float) -> float:
        penalty = self._router.get_penalty(state, self._policy, self._now)
        weighed = (load + 1) * penalty
        routing = self._policy.routing
        if routing.prefer_near and not state.near:
            weighed += routing.near_bonus_requests
        return weighed
