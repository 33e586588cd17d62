"""Balancers, retry budgets and hedge policies by service."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from ..balancing.cold_rate_limit import INSTANCE_COUNT_WINDOW_S, RecentMaximum
from ..balancing.service_balancer import ServiceBalancer
from ..balancing.windowed_retry_budget import WindowedRetryBudget
from ..hedging.hedge_policy import HedgePolicy

if TYPE_CHECKING:
    from ..balancing.prober import Prober
    from ..hedging.hedge_policy import HedgeCounts
    from ..routes.route_table import RouteTable
    from .discovery_state import DiscoveryState
    from .settings import NodeSettings


class BalancerRegistry:
    """Balancers, retry budgets and hedge policies by service.

    Creates them on first use and keeps them up to date with the upstreams and members
    of the discovery state. ``instance_count`` is the number of instances that share the
    limits.
    """

    def __init__(
        self, settings: NodeSettings, discovery: DiscoveryState, prober: Prober
    ) -> None:
        self.instance_count = 1
        self._settings = settings
        self._discovery = discovery
        self._prober = prober
        self._generator = random.Random()
        self._loop = asyncio.get_running_loop()
        self._balancers: dict[str, ServiceBalancer] = {}
        self._retry_budgets: dict[str, WindowedRetryBudget] = {}
        self._hedge_policies: dict[str, HedgePolicy] = {}
        self._services_by_upstream: dict[str, str] = {}
        self._instance_maximum = RecentMaximum(INSTANCE_COUNT_WINDOW_S, 1)
        discovery.upstream_changes.subscribe(self._update_upstream)
        discovery.instance_count_changes.subscribe(self._update_instance_count)
        discovery.evacuation_changes.subscribe(self._update_evacuations)
        discovery.table_changes.subscribe(self._update_cold_rates)

    def get_balancer(self, service: str) -> ServiceBalancer:
        """Returns the balancer of a service."""
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = self._balancers[service] = ServiceBalancer(
                service,
                self._settings.instance,
                self._settings.failure_domain,
                self._prober,
                self._generator,
                self._loop.time,
            )
            balancer.set_evacuated_domains(self._discovery.evacuated_domains)
            self._update_cold_rate(balancer, self._discovery.table)
            self._update_probe_rate(balancer)
            balancer.set_reservation(is_enabled=self._settings.reserve_slots)
        return balancer

    def record_request(self, service: str, now: float) -> WindowedRetryBudget:
        """Records a request for a service and returns the service's retry budget."""
        retry_budget = self._retry_budgets.get(service)
        if retry_budget is None:
            settings = self._settings
            retry_budget = self._retry_budgets[service] = WindowedRetryBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
        retry_budget.record_request(now)
        return retry_budget

    def get_hedge_policy(self, service: str) -> HedgePolicy:
        """Returns the policy for second attempts of a service's requests."""
        policy = self._hedge_policies.get(service)
        if policy is None:
            policy = self._hedge_policies[service] = HedgePolicy(
                self._settings.hedge_ratio, self._generator
            )
        return policy

    def apply_settings(self, settings: NodeSettings) -> None:
        """Applies changed limits, and slot reservation."""
        self._settings = settings
        for retry_budget in self._retry_budgets.values():
            retry_budget.ratio = settings.retry_ratio
            retry_budget.slack = settings.retry_slack
        for policy in self._hedge_policies.values():
            policy.ratio = settings.hedge_ratio
        for balancer in self._balancers.values():
            self._update_probe_rate(balancer)
            balancer.set_reservation(is_enabled=settings.reserve_slots)

    def close(self) -> None:
        """Cancels the background tasks of all balancers."""
        for balancer in self._balancers.values():
            balancer.close()

    def count_waiting(self) -> int:
        """Returns how many requests wait for an upstream."""
        return sum(balancer.waiting for balancer in self._balancers.values())

    def count_probes(self) -> int:
        """Returns how many probes were sent since the start of the process."""
        return sum(balancer.probes.sent for balancer in self._balancers.values())

    def count_unprobed(self) -> int:
        """Returns how many requests were assigned without a recent report."""
        return sum(balancer.unprobed for balancer in self._balancers.values())

    def count_leaving(self) -> int:
        """Returns how many upstreams state that they leave."""
        return sum(
            tracked.is_leaving
            for balancer in self._balancers.values()
            for tracked in balancer.upstreams.values()
        )

    def count_busy(self) -> int:
        """Returns how many upstreams want no requests for a time."""
        now = self._loop.time()
        return sum(
            now < tracked.busy_until
            for balancer in self._balancers.values()
            for tracked in balancer.upstreams.values()
        )

    def count_cold(self) -> int:
        """Returns how many upstreams the cold rate of their service applies to."""
        now = self._loop.time()
        return sum(
            balancer.cold_limit.is_cold(tracked, now)
            for balancer in self._balancers.values()
            for tracked in balancer.upstreams.values()
        )

    def count_cold_requests(self) -> int:
        """Returns how many requests took a token of a cold upstream."""
        return sum(balancer.cold_limit.used for balancer in self._balancers.values())

    def count_evacuated(self) -> int:
        """Returns how many upstreams are in evacuated failure domains."""
        return sum(
            tracked.is_evacuated
            for balancer in self._balancers.values()
            for tracked in balancer.upstreams.values()
        )

    def count_held_back(self) -> int:
        """Returns how many requests waited because of reserved slots."""
        return sum(
            balancer.reservation.held_back.total()
            for balancer in self._balancers.values()
            if balancer.reservation is not None
        )

    def count_reserved_slots(self) -> dict[tuple[str, str], int]:
        """Returns the slots that each service's kinds of requests leave free.

        A kind of requests with several priorities counts with the highest number.
        """
        counts: Counter[tuple[str, str]] = Counter()
        for name, balancer in self._balancers.items():
            for demand, reserved in balancer.describe_reservation():
                key = (name, demand.request_class.kind)
                counts[key] = max(counts[key], reserved)
        return counts

    def get_hedge_counts(self) -> dict[str, HedgeCounts]:
        """Returns what became of the second attempts of each service."""
        return {
            service: policy.counts for service, policy in self._hedge_policies.items()
        }

    def describe_hedging(self) -> dict[str, Any]:
        """Returns the second attempts of each service for the state dump."""
        now = self._loop.time()
        return {
            service: policy.describe(now)
            for service, policy in self._hedge_policies.items()
        }

    def describe(self) -> dict[str, Any]:
        """Returns the content of the state dump."""
        return {
            name: {
                "waiting": balancer.waiting,
                "refused": balancer.refused,
                "unprobed": balancer.unprobed,
                "probes": balancer.probes.sent,
                "suitable_shares": balancer.probes.yields.describe(self._loop.time()),
                "cold_rate": balancer.cold_limit.rate,
                "cold_requests": balancer.cold_limit.used,
                "reservation": self._describe_reservation(balancer),
                "upstreams": {
                    identifier: {
                        "in_flight": tracked.in_flight,
                        "report": tracked.report,
                        "failure_rate": round(tracked.failure_rate, 2),
                        "draining": tracked.upstream.draining,
                        "leaving": tracked.is_leaving,
                        "evacuated": tracked.is_evacuated,
                        "cold_for_s": round(
                            max(0.0, tracked.cold_until - self._loop.time()), 3
                        ),
                        "busy_for_s": round(
                            max(0.0, tracked.busy_until - self._loop.time()), 3
                        ),
                        "misdirected_for_s": round(
                            max(0.0, tracked.misdirected_until - self._loop.time()), 3
                        ),
                    }
                    for identifier, tracked in balancer.upstreams.items()
                },
            }
            for name, balancer in self._balancers.items()
        }

    @staticmethod
    def _describe_reservation(balancer: ServiceBalancer) -> dict[str, Any] | None:
        if balancer.reservation is None:
            return None
        return {
            "held_back": dict(balancer.reservation.held_back),
            "classes": [
                {
                    "kind": demand.request_class.kind,
                    "priority": demand.request_class.priority,
                    "objective_s": demand.request_class.objective_s,
                    "work_per_s": round(demand.work_per_s, 3),
                    "urgent_share": round(demand.urgent_share, 3),
                    "reserved_slots": reserved,
                }
                for demand, reserved in balancer.describe_reservation()
            ],
        }

    def _update_upstream(self, identifier: str) -> None:
        entry = self._discovery.entries[identifier]
        upstream = entry.upstream
        previous = self._services_by_upstream.get(identifier)
        if previous is not None and (upstream is None or upstream.service != previous):
            del self._services_by_upstream[identifier]
            self.get_balancer(previous).remove_upstream(identifier)
            self._update_probe_rate(self.get_balancer(previous))
        if upstream is None:
            return
        self._services_by_upstream[identifier] = upstream.service
        balancer = self.get_balancer(upstream.service)
        balancer.set_upstream(upstream)
        balancer.upstreams[identifier].is_suspect = entry.is_suspect
        self._update_probe_rate(balancer)

    def _update_cold_rates(self, table: RouteTable) -> None:
        for balancer in self._balancers.values():
            self._update_cold_rate(balancer, table)

    def _update_cold_rate(
        self, balancer: ServiceBalancer, table: RouteTable | None
    ) -> None:
        service = table.services.get(balancer.service) if table is not None else None
        rate = service.cold_rate if service is not None else 0.0
        balancer.set_cold_rate(rate, self._instance_maximum)

    def _update_evacuations(self, failure_domains: set[str]) -> None:
        for balancer in self._balancers.values():
            balancer.set_evacuated_domains(failure_domains)
            self._update_probe_rate(balancer)

    def _update_instance_count(self, count: int) -> None:
        if count == self.instance_count:
            return
        self.instance_count = count
        self._instance_maximum.record(count, self._loop.time())
        for balancer in self._balancers.values():
            self._update_probe_rate(balancer)

    def _update_probe_rate(self, balancer: ServiceBalancer) -> None:
        rate = self._settings.probes_per_second
        balancer.set_probe_rate(rate, self.instance_count)
