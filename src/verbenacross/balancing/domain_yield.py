"""Share of the upstreams of each failure domain that turn out to be suitable."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .completion_estimate import count_efficient_slots

if TYPE_CHECKING:
    from .load_report import LoadReport

# Reports lose half of their weight within this time, in seconds. A crest builds up
# within a few seconds.
HALF_LIFE_S = 1.0
# Assumed share without reports, and the number of reports that it counts as.
PRIOR_SHARE = 0.5
PRIOR_WEIGHT = 2.0
# Upstreams at or above this slowness are not suitable.
SUITABLE_SLOWNESS = 2.0


class DomainYield:
    """Share of load reports of each failure domain that showed a suitable upstream.

    An upstream is suitable if it runs at about normal speed and has room for another
    request below the load of its highest throughput. Recent reports weigh most; without
    any, the share is ``PRIOR_SHARE``.
    """

    def __init__(self) -> None:
        # Weighted numbers of suitable and of all reports, and when they were updated.
        self._counts: dict[str, tuple[float, float, float]] = {}

    def record(self, failure_domain: str, report: LoadReport, now: float) -> None:
        """Records the load report of an upstream."""
        suitable, total = self._get_counts(failure_domain, now)
        suitable += is_suitable(report)
        self._counts[failure_domain] = (suitable, total + 1, now)

    def get(self, failure_domain: str, now: float) -> float:
        """Returns the share of suitable upstreams."""
        suitable, total = self._get_counts(failure_domain, now)
        return (suitable + PRIOR_SHARE * PRIOR_WEIGHT) / (total + PRIOR_WEIGHT)

    def describe(self, now: float) -> dict[str, float]:
        """Returns the shares by failure domain, for the state dump."""
        return {domain: round(self.get(domain, now), 2) for domain in self._counts}

    def _get_counts(self, failure_domain: str, now: float) -> tuple[float, float]:
        suitable, total, updated = self._counts.get(failure_domain, (0.0, 0.0, now))
        remaining = math.exp2((updated - now) / HALF_LIFE_S)
        return suitable * remaining, total * remaining


def is_suitable(report: LoadReport) -> bool:
    """Returns whether an upstream could run another request at about normal speed."""
    has_room = report.running < count_efficient_slots(report.slots)
    return has_room and not report.waiting and report.slowness < SUITABLE_SLOWNESS
