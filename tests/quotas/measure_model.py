"""Prints accuracy and traffic of the quotas on virtual time.

Run with ``python -m tests.quotas.measure_model``.
"""

from __future__ import annotations

import sys

from tests.quotas.fleet import Fleet
from verbenacross.quotas.quota_limit import QuotaLimit

SIZES = ((13, 3), (119, 4), (311, 5))
CUSTOMERS = 79


def measure(count, domain_count, factor, seed=1):
    """Runs calm customers and one that jumps to several times its demand."""
    limits = {
        f"customer-{index}": QuotaLimit(5.0 + index * 45 / CUSTOMERS, 5.0)
        for index in range(CUSTOMERS)
    }
    fleet = Fleet(count, domain_count, limits, seed)
    calm = {name: limit.rate_per_s / 1.6 for name, limit in limits.items()}
    hot = f"customer-{CUSTOMERS - 1}"
    fleet.run(5, calm)
    figures = {}
    for phase, rates, duration_s in (
        ("calm", calm, 10),
        ("hot", {**calm, hot: calm[hot] * factor}, 15),
    ):
        before = [
            Counter.copy()
            for Counter in (fleet.demand, fleet.admitted, fleet.messages, fleet.bytes)
        ]
        fleet.largest.clear()
        fleet.run(duration_s, rates)
        demand, admitted = fleet.demand - before[0], fleet.admitted - before[1]
        limit = limits[hot]
        others = [name for name in limits if name != hot]
        refused = sum(demand[name] - admitted[name] for name in others)
        figures[phase] = {
            "calm_refused_pct": round(100 * refused / sum(map(demand.get, others)), 3),
            "hot_demand_per_s": round(demand[hot] / duration_s, 1),
            "hot_admitted_per_s": round(admitted[hot] / duration_s, 1),
            "limit_per_s": limit.rate_per_s,
            "largest_5s_of_bound": round(
                max(fleet.largest[name] / limits[name].bound for name in limits), 3
            ),
            "remote_msg_s": round(
                (fleet.messages - before[2])["remote"] / duration_s, 1
            ),
            "remote_B_s": round((fleet.bytes - before[3])["remote"] / duration_s),
            "local_msg_s": round((fleet.messages - before[2])["local"] / duration_s),
            "local_B_s": round((fleet.bytes - before[3])["local"] / duration_s),
        }
    return figures


if __name__ == "__main__":
    for size in SIZES:
        for factor in (3.0, 8.0):
            for phase, figures in measure(*size, factor).items():
                print(size[0], size[1], factor, phase, figures)
                sys.stdout.flush()
