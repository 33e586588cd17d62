"""Slots that less urgent requests leave free for more urgent ones.

An instance sees only a few requests per second, so the order of its own queue has
little effect: what matters is whether a slot is free when an urgent request arrives.
The rule has two parts. Both apply to a request only while more urgent classes brought
work within the last ``DEMAND_WINDOW_S``.

- Of the ``n`` efficient slots of an upstream, it leaves ``sqrt(share * n)`` free,
  rounded down, but at least one if ``share * n`` is a quarter or more, and at most
  half. ``share`` is the more urgent classes' share of the work (rate times service
  time). Their mean need, ``share * n``, is served by slots that become free in turn;
  only its fluctuation, which is the square root of a Poisson mean, has to be kept
  free. In a Markov model of one upstream with four efficient slots and a third of the
  work urgent, at 1.2 of its capacity, the first reserved slot lowers the share of
  blocked urgent requests from 0.38 to 0.23 and the second one to 0.14, while that of
  the others rises from 0.38 to 0.57 and 0.74: the first slot brings the most.
- While it can still meet its latency objective, it is not sent to an upstream that is
  much slower than the fastest quarter. It would hold its slot for as many times longer,
  and this work is lost to all. The estimates of service times alone do not prevent it:
  for requests that outlast a change of the upstream's speed, they are often too short.

Upstreams with two or three slots have two efficient ones, of which one is reserved
unless the urgent share is below an eighth. An upstream with one slot has none to
reserve.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from .completion_estimate import count_efficient_slots

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .balancing_context import BalancingContext
    from .completion_estimate import CompletionEstimate
    from .service_time_estimator import ServiceTimeEstimator
    from .tracked_upstream import TrackedUpstream

# Time for which the demand of a class counts, in seconds. An instance sees only a few
# requests per second.
DEMAND_WINDOW_S = 10.0
# Demand expires in steps of this length, in seconds.
INTERVAL_S = 0.5
# Requests of the same priority differ in urgency if the shorter latency objective is at
# most this share of the other.
OBJECTIVE_RATIO = 0.25
# Highest share of the efficient slots of an upstream that is reserved.
MAX_RESERVED_SHARE = 0.5
# Mean number of slots in use by urgent requests from which on a slot is reserved.
MIN_NEED = 0.25
# Upstreams at this multiple of the typical slowness get no less urgent requests.
SLOW_FACTOR = 2.0


class RequestClass(NamedTuple):
    """Requests of one kind with the same urgency; the objective is in seconds."""

    kind: str
    priority: int
    objective_s: float

    @classmethod
    def from_context(cls, context: BalancingContext) -> RequestClass:
        """Returns the class of a request."""
        # Differences of clock values are inexact; unrounded, each request would be in a
        # class of its own.
        objective_s = round(context.target_at - context.arrived_at, 3)
        return cls(context.request_kind, context.priority, objective_s)

    def is_more_urgent_than(self, other: RequestClass) -> bool:
        """Returns whether slots are reserved for this class against the other."""
        if self.priority != other.priority:
            return self.priority < other.priority
        return self.objective_s <= OBJECTIVE_RATIO * other.objective_s


class ClassDemand(NamedTuple):
    """Demand of a class, in seconds of work per second, and what is reserved from it.

    ``urgent_share`` is the share of the work that more urgent classes bring.
    """

    request_class: RequestClass
    work_per_s: float
    urgent_share: float


def count_reserved_slots(slots: int, urgent_share: float) -> int:
    """Returns how many of an upstream's efficient slots must be left free.

    ``urgent_share`` is the share of the work that more urgent classes bring.
    """
    efficient = count_efficient_slots(slots)
    need = urgent_share * efficient
    if need < MIN_NEED:
        return 0
    return min(int(MAX_RESERVED_SHARE * efficient), max(1, int(math.sqrt(need))))


def takes_reserved_slot(estimate: CompletionEstimate, urgent_share: float) -> bool:
    """Returns whether a request would take a slot that it must leave free."""
    return estimate.unused < count_reserved_slots(estimate.slots, urgent_share)


def is_reserved(
    tracked: TrackedUpstream,
    estimate: CompletionEstimate,
    urgent_share: float,
    typical_slowness: float,
    *,
    will_miss_target: bool,
) -> bool:
    """Returns whether an upstream is left to more urgent requests."""
    if takes_reserved_slot(estimate, urgent_share):
        return True
    if will_miss_target or tracked.report is None:
        return False
    return tracked.report.slowness >= SLOW_FACTOR * typical_slowness


def compute_typical_slowness(upstreams: Iterable[TrackedUpstream]) -> float:
    """Returns the lower quartile of the upstreams' slowness, at least normal speed.

    If nearly all upstreams are slow, waiting for a faster one does not help. The median
    would be too high: upstreams that were slow are probed last, so that their reports
    are kept after they have become fast again.
    """
    reported = sorted(
        tracked.report.slowness for tracked in upstreams if tracked.report
    )
    return max(1.0, reported[len(reported) // 4]) if reported else 1.0


class SlotReservation:
    """Demand of the request classes of one service, as this instance sees it.

    ``held_back`` counts, by kind, the requests that had to wait or were refused because
    of reserved slots.
    """

    def __init__(self, service_times: ServiceTimeEstimator) -> None:
        self.held_back: Counter[str] = Counter()
        self._service_times = service_times
        self._totals: Counter[RequestClass] = Counter()
        # Start times of the intervals and the requests that arrived in them.
        self._intervals: deque[tuple[float, Counter[RequestClass]]] = deque()

    def record_request(self, context: BalancingContext, now: float) -> None:
        """Records a request that needs an upstream."""
        if not self._intervals or now >= self._intervals[-1][0] + INTERVAL_S:
            self._expire(now)
            self._intervals.append((now, Counter()))
        request_class = RequestClass.from_context(context)
        self._intervals[-1][1][request_class] += 1
        self._totals[request_class] += 1

    def record_held_back(self, context: BalancingContext) -> None:
        """Records a request that waits only because of reserved slots."""
        self.held_back[context.request_kind] += 1

    def get_urgent_share(self, context: BalancingContext, now: float) -> float:
        """Returns the share of the work that more urgent classes bring."""
        return self._get_share(RequestClass.from_context(context), now)

    def count_reserved(self, context: BalancingContext, slots: int, now: float) -> int:
        """Returns how many efficient slots of an upstream a request leaves free."""
        return count_reserved_slots(slots, self.get_urgent_share(context, now))

    def get_demand(self, now: float) -> list[ClassDemand]:
        """Returns the demand of all classes."""
        self._expire(now)
        return [
            ClassDemand(
                request_class,
                count * self._service_times.get(request_class.kind) / DEMAND_WINDOW_S,
                self._get_share(request_class, now),
            )
            for request_class, count in self._totals.items()
        ]

    def _get_share(self, request_class: RequestClass, now: float) -> float:
        self._expire(now)
        urgent_s = total_s = 0.0
        for other, count in self._totals.items():
            work_s = count * self._service_times.get(other.kind)
            total_s += work_s
            if other.is_more_urgent_than(request_class):
                urgent_s += work_s
        return urgent_s / total_s if urgent_s else 0.0

    def _expire(self, now: float) -> None:
        """Forgets requests that are older than the window."""
        while self._intervals and self._intervals[0][0] <= now - DEMAND_WINDOW_S:
            self._totals -= self._intervals.popleft()[1]
