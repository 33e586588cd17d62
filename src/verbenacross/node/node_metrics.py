"""Metrics of the node program."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry

if TYPE_CHECKING:
    from ..hedging.hedge_policy import HedgeCounts
    from ..routes.route import Route
    from ..transport.closed_connection import ClosedConnection, LateRequest

# Upper bounds of the latency histogram, in seconds.
LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]


class NodeMetrics:
    """Counters, gauges and histograms of the node program."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._latency = Histogram(
            "verbenacross_request_seconds",
            "Time from a request's arrival to its answer",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._requests = Counter(
            "verbenacross_requests_total",
            "Requests by service, repeatability and status",
            registry=self.registry,
        )
        self._refusals = Counter(
            "verbenacross_refusals_total",
            "Requests refused before a choice, by problem",
            registry=self.registry,
        )
        self._closed_connections = Counter(
            "verbenacross_caller_connections_closed_total",
            "Connections of callers that this process closed, by reason",
            registry=self.registry,
        )
        self._unanswered_requests = Counter(
            "verbenacross_unanswered_requests_total",
            "Requests that were read on a connection which this process then closed "
            "without a complete response to them, by reason",
            registry=self.registry,
        )
        self._on_closed_connections = Counter(
            "verbenacross_requests_on_closed_connections_total",
            "Requests that were to begin on a connection which this process had closed",
            registry=self.registry,
        )
        self._over_quota = Counter(
            "verbenacross_over_quota_total",
            "Requests refused because the customer has used up its quota",
            registry=self.registry,
        )
        self._quota_fractions = Gauge(
            "verbenacross_quota_fraction",
            "Share of the requests of a customer with a quota that is admitted",
            registry=self.registry,
        )
        self._reserved_kinds: set[tuple[str, str]] = set()
        self._reserved_slots = Gauge(
            "verbenacross_reserved_slots",
            "Slots that requests of a kind leave free for more urgent ones",
            registry=self.registry,
        )
        self._hedges = Counter(
            "verbenacross_second_attempts_total",
            "Second attempts for slow requests, by service and result",
            registry=self.registry,
        )
        self.gauges = Gauge(
            "verbenacross_state",
            "State of the process by name",
            registry=self.registry,
        )

    def set_reserved_slots(self, counts: dict[tuple[str, str], int]) -> None:
        """Sets the slots that the kinds of requests of each service leave free."""
        # Kinds that are no longer seen would otherwise keep their last value.
        for key in self._reserved_kinds - counts.keys():
            self._set_reserved(key, 0)
        for key, count in counts.items():
            self._set_reserved(key, count)
        self._reserved_kinds = set(counts)

    def _set_reserved(self, key: tuple[str, str], count: int) -> None:
        service, kind = key
        self._reserved_slots.set({"service": service, "kind": kind}, float(count))

    def record_request(
        self, service: str, route: Route, status: int, duration_s: float
    ) -> None:
        """Records a request that reached the balancer of a service."""
        labels = {
            "service": service,
            "kind": "idempotent" if route.idempotent else "once",
            "status": str(status),
        }
        self._requests.inc(labels)
        self._latency.observe({"service": service}, duration_s)

    def record_refusal(self, problem: str) -> None:
        """Records a request that was refused before an upstream was chosen."""
        self._refusals.inc({"problem": problem})

    def record_closed_connection(self, closed: ClosedConnection) -> None:
        """Records a caller's connection that this process closes."""
        labels = {"reason": closed.reason.value}
        self._closed_connections.inc(labels)
        if closed.unanswered:
            self._unanswered_requests.add(labels, closed.unanswered)

    def record_late_request(self, _: LateRequest) -> None:
        """Records a request that was to begin on a connection which was closed."""
        self._on_closed_connections.inc({})

    def record_over_quota(self, customer: str) -> None:
        """Records a request that was refused because of its customer's quota."""
        self._over_quota.inc({"customer": customer})

    def set_quota_fractions(self, fractions: dict[str, float]) -> None:
        """Sets the admitted fractions of the customers that have a quota."""
        for customer, fraction in fractions.items():
            self._quota_fractions.set({"customer": customer}, fraction)

    def set_hedge_counts(self, service: str, counts: HedgeCounts) -> None:
        """Sets how many second attempts were sent, won and not sent."""
        for result, count in asdict(counts).items():
            self._hedges.set({"service": service, "result": result}, count)
