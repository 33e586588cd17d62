"""Estimates when an upstream would finish a request that is sent now."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .tracked_upstream import TrackedUpstream

# Share of slots in use above which upstreams slow down, and by how much. Five of six
# slots do less work than four then.
CROWDED_SHARE = 0.8
CROWDED_SLOWDOWN = 1.7
# Weight of slots in use, so that work spreads over upstreams that are equally fast.
LOAD_WEIGHT = 0.2
# An upstream that has just started is about this much slower.
COLD_SLOWDOWN = 2.0
# Growth of an estimate with the age of its report: machines change their pace about
# every half second.
DOUBT_PER_S = 2.5
# Above this age, another request has likely arrived since, in seconds.
RECENT_S = 0.06
# Weight of failures beyond the usual: one that fails always while others do not looks
# this much busier, plus one.
FAILURE_WEIGHT = 4.0
# An upstream that calls itself ill though its answers are good may still be so.
ILL_SLOWDOWN = 3.0
# Round trip to another failure domain, in seconds.
REMOTE_DELAY_S = 0.003
# Part of its work by which a request must end earlier in another failure domain than in
# the own one, because bytes between failure domains are paid for.
REMOTE_SHARE = 0.25


class Estimate(NamedTuple):
    """When a request would end, in seconds from now.

    ``excess`` is by how many requests the upstream would be above the load at which it
    does most work.
    """

    finish_s: float
    excess: int


def count_useful_slots(slots: int) -> int:
    """Returns how many slots may be in use before an upstream slows down."""
    return max(1, int(CROWDED_SHARE * slots))


class CommonTroubles(NamedTuple):
    """What is wrong with at least half of the upstreams.

    It does not count against one of them: waiting for a better one is in vain.
    """

    failure_rate: float = 0.0
    is_unhealthy: bool = False

    @classmethod
    def from_upstreams(cls, upstreams: Sequence[TrackedUpstream]) -> CommonTroubles:
        """Returns what the upstreams have in common."""
        if not upstreams:
            return cls()
        rates = sorted(tracked.failure_rate for tracked in upstreams)
        ill = sum(tracked.is_unhealthy for tracked in upstreams)
        return cls(rates[(len(rates) - 1) // 2], 2 * ill > len(upstreams))


NO_TROUBLES = CommonTroubles()


def estimate_finish(
    tracked: TrackedUpstream,
    work_s: float,
    failure_domain: str,
    now: float,
    common: CommonTroubles = NO_TROUBLES,
) -> Estimate:
    """Returns when an upstream would finish a request of the given work."""
    upstream = tracked.upstream
    report = tracked.report
    doubt = 1.0
    if report is None:
        slots, busy, slowness = upstream.slots, tracked.in_flight, 1.0
    else:
        slots = max(1, report.slots)
        busy = report.running + report.waiting + tracked.count_unreported(now)
        slowness = report.slowness
        age_s = now - tracked.reported_at
        doubt += DOUBT_PER_S * age_s
        if age_s > RECENT_S:
            busy = max(busy + 1, tracked.in_flight)
    if now < tracked.cold_start_until:
        slowness *= COLD_SLOWDOWN
    excess = max(0, busy + 1 - count_useful_slots(slots))
    if excess:
        slowness *= CROWDED_SLOWDOWN
    ahead = max(0, busy + 1 - slots)
    finish_s = work_s * slowness * (1 + (ahead + LOAD_WEIGHT * busy) / slots)
    finish_s *= doubt
    if upstream.failure_domain != failure_domain:
        finish_s += REMOTE_DELAY_S + REMOTE_SHARE * work_s
    if tracked.is_unhealthy and not common.is_unhealthy:
        finish_s *= ILL_SLOWDOWN
    failure_excess = max(0.0, tracked.failure_rate - common.failure_rate)
    return Estimate(finish_s * (1 + FAILURE_WEIGHT * failure_excess), excess)
