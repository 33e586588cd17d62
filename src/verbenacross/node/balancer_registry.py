"""Balancers, retry budgets and hedge policies by service."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from ..balancing.service_balancer import ServiceBalancer
from ..balancing.windowed_retry_budget import WindowedRetryBudget
from ..hedging.hedge_policy import HedgePolicy

if TYPE_CHECKING:
    from ..balancing.prober import Prober
    from ..hedging.hedge_policy import HedgeCounts
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
        discovery.upstream_changes.subscribe(self._update_upstream)
        discovery.instance_count_changes.subscribe(self._update_instance_count)

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
            self._update_probe_rate(balancer)
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
        """Applies changed limits on probes, retries and second attempts."""
        self._settings = settings
        for retry_budget in self._retry_budgets.values():
            retry_budget.ratio = settings.retry_ratio
            retry_budget.slack = settings.retry_slack
        for policy in self._hedge_policies.values():
            policy.ratio = settings.hedge_ratio
        for balancer in self._balancers.values():
            self._update_probe_rate(balancer)

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
                "probes": balancer.probes.sent,
                "upstreams": {
                    identifier: {
                        "in_flight": tracked.in_flight,
                        "report": tracked.report,
                        "failure_rate": round(tracked.failure_rate, 2),
                        "draining": tracked.upstream.draining,
                        "leaving": tracked.is_leaving,
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

    def _update_instance_count(self, count: int) -> None:
        if count == self.instance_count:
            return
        self.instance_count = count
        for balancer in self._balancers.values():
            self._update_probe_rate(balancer)

    def _update_probe_rate(self, balancer: ServiceBalancer) -> None:
        rate = self._settings.probes_per_second
        balancer.set_probe_rate(rate, self.instance_count)
