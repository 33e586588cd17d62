"""Estimates when an upstream would finish a request that is sent now."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .upstream_view import UpstreamView

# Share of slots in use above which upstreams slow down, and by how much when full.
CROWDED_SHARE = 0.8
CROWDED_SLOWDOWN = 1.7
# An upstream that has just started is about this much slower.
COLD_SLOWDOWN = 2.0
# Weight of failures: one that fails always looks this much busier, plus one.
FAILURE_WEIGHT = 4.0
# An upstream that calls itself ill though its answers are good may still be so.
ILL_SLOWDOWN = 3.0
# Round trip to another failure domain and its price, in seconds.
REMOTE_DELAY_S = 0.005


class Estimate(NamedTuple):
    """When a request would end, in seconds from now, and who waits before it."""

    finish_s: float
    ahead: int


def estimate_finish(
    view: UpstreamView, work_s: float, failure_domain: str, now: float
) -> Estimate:
    """Returns when an upstream would finish a request of the given work."""
    upstream = view.upstream
    report = view.report
    if report is None:
        slots, busy, slowness = upstream.slots, view.in_flight, 1.0
    else:
        slots = max(1, report.slots)
        busy = report.running + report.waiting + view.count_unreported(now)
        slowness = report.slowness
    if now < view.cold_until:
        slowness *= COLD_SLOWDOWN
    if (busy + 1) / slots > CROWDED_SHARE:
        slowness *= CROWDED_SLOWDOWN
    ahead = max(0, busy + 1 - slots)
    finish_s = work_s * slowness * (1 + ahead / slots)
    if upstream.failure_domain != failure_domain:
        finish_s += REMOTE_DELAY_S
    if view.is_ill:
        finish_s *= ILL_SLOWDOWN
    return Estimate(finish_s * (1 + FAILURE_WEIGHT * view.failure_rate), ahead)
