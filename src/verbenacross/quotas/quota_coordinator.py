"""Sums the reports of children and derives the admitted fractions from them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import logbook

from .customer_bucket import CustomerBucket
from .customer_usage import (
    COORDINATOR_TIMEOUT_S,
    FALLBACK_FACTOR,
    RESERVATION_S,
    START_GRACE_S,
)
from .messages import CustomerCount, Fractions, Report
from .quota_limit import WINDOW_S, QuotaLimit
from .rates import RateEstimate, WindowedRate

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

    from .messages import Hello

# Interval between two updates, in seconds.
UPDATE_INTERVAL_S = 0.1
# A child that has sent no message for this time, in seconds, is silent: it sends a
# heartbeat every 0.4 s.
CHILD_TIMEOUT_S = 1.0
# A domain that sent a message within this time, in seconds, and does not report a
# customer has less demand than the threshold. The rates of others stay in force.
RECENT_CHILD_S = 0.6
# Rates that a domain reported are used for this time, in seconds; a domain that
# reports a customer does so at least every CALM_REPORT_INTERVAL_S.
REPORT_LIFETIME_S = 1.6
CALM_REPORT_INTERVAL_S = 1.0
# Interval between two reports to the root, in seconds.
REPORT_INTERVAL_S = 0.2
# Smaller changes of the total demand are reported once a second, in requests per
# second: they are within the slack of the bound.
MIN_RATE_CHANGE = 4.0
# A domain stops to report a customer below this share of the threshold.
THRESHOLD_HYSTERESIS = 0.7
# Fractions are sent once they changed by this share. The level of the bucket makes up
# for smaller changes.
MIN_FRACTION_CHANGE = 0.05
# A new root waits for the other domains for this time, in seconds, before it assumes
# demand in those that are missing, unless the customer was limited already.
MISSING_GRACE_S = 0.6

logger = logbook.Logger("verbenacross.quotas.coordinator")


class Role(enum.Enum):
    """What a coordinator derives the fractions from."""

    ROOT = "root"
    DOMAIN = "domain"
    ORPHAN = "domain without root"


class RemoteUsage:
    """Requests of one customer in another failure domain, as reported by it."""

    def __init__(self, last: CustomerCount | None) -> None:
        self.resume(last)
        self.demand_per_s = 0.0
        self.admitted_per_s = 0.0
        self.expires_at = 0.0

    def resume(self, last: CustomerCount | None) -> None:
        """Counts from the last report on."""
        self.demand = last.demand if last else 0
        self.admitted = last.admitted if last else 0
        # Admitted requests that were assumed since the last report.
        self._assumed = 0.0
        self._correction = 0.0

    def update(self, count: CustomerCount, now: float) -> None:
        """Applies a report."""
        self._correction += count.admitted - self.admitted - self._assumed
        self._assumed = 0.0
        self.demand, self.admitted = count.demand, count.admitted
        self.demand_per_s = count.demand_per_s
        self.admitted_per_s = count.admitted_per_s
        self.expires_at = now + REPORT_LIFETIME_S

    def start_connection(self) -> None:
        """Starts to count from 0, as the counts of each connection do."""
        self.demand = self.admitted = 0
        self._assumed = 0.0

    def consume(self, elapsed_s: float) -> float:
        """Returns the admitted requests of the time since the last call."""
        assumed = self.admitted_per_s * elapsed_s
        self._assumed += assumed
        consumed, self._correction = assumed + self._correction, 0.0
        return consumed

    def expire(self) -> None:
        """Assumes no requests until the next report."""
        self.demand_per_s = self.admitted_per_s = 0.0
        self._assumed = 0.0


class ReportState:
    """What a domain has reported of a customer to the root."""

    def __init__(self) -> None:
        self.is_reported = False
        self.sent_rate = 0.0
        self.sent_demand = 0
        self.sent_admitted = 0
        # Counts that were not reported because the demand was below the threshold.
        self.skipped_demand = 0.0
        self.skipped_admitted = 0.0


class CustomerState:
    """Usage of one customer in the domain, and in the other domains at the root."""

    def __init__(self, limit: QuotaLimit, now: float) -> None:
        self.limit = limit
        self.bucket = CustomerBucket(limit, now, limit.burst + limit.margin)
        self.fallback: CustomerBucket | None = None
        # Totals of the domain; the assumed requests of silent children are fractional.
        self.demand = 0.0
        self.admitted = 0.0
        self.demand_rate = RateEstimate()
        self.admitted_rate = RateEstimate()
        self.window_rate = WindowedRate(WINDOW_S)
        self.remote: dict[str, RemoteUsage] = {}
        self.fraction: float | None = None
        self.total_demand_per_s = 0.0
        self.total_admitted_per_s = 0.0
        # Rates of silent instances of the domain, which no fraction reaches.
        self.silent_demand_per_s = 0.0
        self.silent_admitted_per_s = 0.0
        self.report = ReportState()
        self.sampled_demand = 0.0
        self.sampled_admitted = 0.0
        self._billed = 0.0

    def add(self, demand: float, admitted: float) -> None:
        """Adds requests in the domain."""
        self.demand += demand
        self.admitted += admitted

    def sample(self, elapsed_s: float, now: float) -> None:
        """Updates the rates of the domain."""
        admitted = self.admitted - self.sampled_admitted
        self.demand_rate.update(self.demand - self.sampled_demand, elapsed_s)
        self.admitted_rate.update(admitted, elapsed_s)
        self.window_rate.add(admitted, now)
        self.sampled_demand, self.sampled_admitted = self.demand, self.admitted

    def take_unbilled(self) -> float:
        """Returns the admitted requests of the domain since the last call."""
        unbilled, self._billed = self.admitted - self._billed, self.admitted
        return unbilled

    def set_limit(self, limit: QuotaLimit) -> None:
        """Sets the limit."""
        self.limit = limit
        self.bucket.set_limit(limit)


class Child:
    """A connection of an instance or of the coordinator of another domain."""

    def __init__(self, hello: Hello, now: float) -> None:
        self.hello = hello
        self.is_connected = True
        self.connected_at = now
        self.heard_at = now
        self.sequence = 0
        self.counts: dict[str, CustomerCount] = {}
        self.rates: dict[str, tuple[WindowedRate, WindowedRate]] = {}
        # Requests that were assumed while the child was silent, per customer.
        self.assumed: dict[str, tuple[float, float]] = {}


class QuotaCoordinator:
    """Coordinator of a failure domain and, in the root, of all of them.

    Has the reports of its children, which are the instances of the domain and, in the
    root, the coordinators of the other domains. ``fractions`` are those that the
    children apply; ``version`` changes with them.
    """

    def __init__(self, failure_domain: str, now: float) -> None:
        self.role = Role.DOMAIN
        self.fractions: dict[str, float] = {}
        self.version = 0
        self.customers: dict[str, CustomerState] = {}
        self.children: dict[Hashable, Child] = {}
        self.domains: frozenset[str] = frozenset((failure_domain,))
        self.root_heard_at = now
        self._started_at = now
        # Whether this coordinator has been the root, or has heard of one.
        self._has_known_root = False
        self._failure_domain = failure_domain
        self._role_since = now
        self._updated_at = now
        self._sequence = 0
        self._reported_at = now
        self._reported_all_at = now
        # Customers that had a fraction when this coordinator became the root.
        self._inherited: set[str] = set()

    def set_limits(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Sets the limits; customers without one are forgotten."""
        for name in self.customers.keys() - limits.keys():
            del self.customers[name]
        for child in self.children.values():
            for kept in (child.counts, child.rates, child.assumed):
                for name in kept.keys() - limits.keys():
                    del kept[name]
        for name, limit in limits.items():
            state = self.customers.get(name)
            if state is None:
                self.customers[name] = CustomerState(limit, now)
            elif state.limit != limit:
                state.set_limit(limit)
                self._derive(name, state, now, 0.0)
        self._publish()

    def set_domains(self, domains: frozenset[str]) -> None:
        """Sets the failure domains that have instances."""
        self.domains = domains | {self._failure_domain}

    def lead(self, now: float) -> None:
        """Becomes the root, with buckets that hold little more than nothing."""
        if self.role is Role.ROOT:
            return
        self._has_known_root = True
        self._set_role(Role.ROOT, now)
        self._inherited = {
            name for name, fraction in self.fractions.items() if fraction < 1
        }
        children = {
            child.hello.instance: child.counts for child in self.children.values()
        }
        for name, state in self.customers.items():
            state.take_unbilled()
            state.fallback = None
            # Debt and the last rates of other domains stay in force if this instance
            # was the root shortly before.
            for instance, usage in state.remote.items():
                usage.resume(children.get(instance, {}).get(name))
            # The margin keeps single requests of small customers from being refused.
            level = min(state.limit.margin, state.bucket.level)
            state.bucket = CustomerBucket(state.limit, now, level)

    def follow(self, now: float) -> None:
        """Is no root from now on."""
        if self.role is Role.ROOT:
            # The rates of the last seconds hold until the root sends a message.
            self.root_heard_at = now
            self._set_role(Role.DOMAIN, now)

    def open_root_link(self) -> None:
        """Counts the reports to the root from 0, as a new connection was opened."""
        self._sequence = 0
        for state in self.customers.values():
            state.report = ReportState()
            state.report.skipped_demand = state.demand
            state.report.skipped_admitted = state.admitted

    def connect(self, key: Hashable, hello: Hello, now: float) -> None:
        """Adds a child, which replaces an earlier connection of the same instance."""
        for other_key, other in list(self.children.items()):
            if other.hello.instance == hello.instance:
                del self.children[other_key]
        self.children[key] = Child(hello, now)
        if self._is_remote(hello):
            for state in self.customers.values():
                usage = state.remote.get(hello.instance)
                if usage is not None:
                    usage.start_connection()

    def disconnect(self, key: Hashable) -> None:
        """Keeps the last rates of a child for some time, as it may be running."""
        child = self.children.get(key)
        if child is not None:
            child.is_connected = False

    def receive(self, key: Hashable, report: Report, now: float) -> None:
        """Applies the report of a child."""
        child = self.children.get(key)
        if child is None or report.sequence <= child.sequence:
            return
        child.sequence = report.sequence
        child.heard_at = now
        is_remote = self._is_remote(child.hello)
        for count in report.counts:
            state = self.customers.get(count.customer)
            if state is None:
                continue
            if is_remote and self.role is Role.ROOT:
                usage = state.remote.get(child.hello.instance)
                if usage is None:
                    last = child.counts.get(count.customer)
                    usage = state.remote[child.hello.instance] = RemoteUsage(last)
                usage.update(count, now)
                child.counts[count.customer] = count
            else:
                self._add_counts(child, state, count, now)
        if is_remote and self.role is Role.ROOT and report.counts:
            # Changes are sent on at once, as they take long enough to get here.
            self._derive_all(now)

    def receive_fractions(self, fractions: Mapping[str, float], now: float) -> None:
        """Applies the fractions that the root sent."""
        if self.role is Role.ROOT:
            return
        self.record_root_heartbeat(now)
        for name, state in self.customers.items():
            state.fraction = fractions.get(name)
        self._publish(is_forced=True)

    def record_root_heartbeat(self, now: float) -> None:
        """Records a message of the root that changes no fraction."""
        self.root_heard_at = now
        self._has_known_root = True
        if self.role is Role.ORPHAN:
            self._set_role(Role.DOMAIN, now)
            for state in self.customers.values():
                state.fallback = None

    def update(self, now: float) -> None:
        """Updates rates and fractions; called every ``UPDATE_INTERVAL_S``."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        self._assume_silent(elapsed_s, now)
        for state in self.customers.values():
            state.sample(elapsed_s, now)
        timeout_s = COORDINATOR_TIMEOUT_S if self._has_known_root else START_GRACE_S
        if self.role is Role.DOMAIN and now - self.root_heard_at > timeout_s:
            self._set_role(Role.ORPHAN, now)
        if self.role is not Role.DOMAIN:
            self._derive_all(now)

    def take_report(self, now: float) -> Report | None:
        """Returns the next report to the root, ``None`` if there is nothing to send."""
        if now - self._reported_at < REPORT_INTERVAL_S - 0.01:
            return None
        # All customers above the threshold are reported in one message.
        is_due = now - self._reported_all_at >= CALM_REPORT_INTERVAL_S - 0.01
        counts = [
            count
            for name, state in self.customers.items()
            if (count := self._take_count(name, state, is_due)) is not None
        ]
        if is_due:
            self._reported_all_at = now
        if not counts:
            return None
        self._reported_at = now
        return self.take_heartbeat(tuple(counts))

    def take_heartbeat(self, counts: tuple[CustomerCount, ...] = ()) -> Report:
        """Returns a report to the root."""
        self._sequence += 1
        return Report(self._sequence, counts)

    def get_fractions(self, hello: Hello) -> Fractions:
        """Returns the message with the fractions that a child needs.

        A fraction of 1 concerns the reports of coordinators only.
        """
        fractions = {
            name: fraction
            for name, fraction in self.fractions.items()
            if fraction < 1 or hello.is_coordinator
        }
        return Fractions(self.version, fractions)

    def find_missing_domains(self) -> frozenset[str]:
        """Returns the domains that neither report nor have done so recently."""
        present = {child.hello.failure_domain for child in self.children.values()}
        return self.domains - present - {self._failure_domain}

    def describe_children(self, now: float) -> list[dict[str, Any]]:
        """Returns the children for the state dump."""
        return [
            {
                "instance": child.hello.instance,
                "failure_domain": child.hello.failure_domain,
                "is_coordinator": child.hello.is_coordinator,
                "is_connected": child.is_connected,
                "silent_for_s": round(now - child.heard_at, 2),
            }
            for child in self.children.values()
        ]

    def _is_remote(self, hello: Hello) -> bool:
        return hello.is_coordinator and hello.failure_domain != self._failure_domain

    def _set_role(self, role: Role, now: float) -> None:
        logger.info(
            "quota coordinator has a new role",
            extra={"role": role.value, "previous": self.role.value},
        )
        self.role = role
        self._role_since = now

    def _add_counts(
        self, child: Child, state: CustomerState, count: CustomerCount, now: float
    ) -> None:
        name = count.customer
        last = child.counts.get(name, CustomerCount(name, 0, 0))
        child.counts[name] = count
        assumed = child.assumed.pop(name, (0.0, 0.0))
        demand = count.demand - last.demand
        admitted = count.admitted - last.admitted
        rates = child.rates.get(name)
        if rates is None:
            rates = child.rates[name] = (WindowedRate(WINDOW_S), WindowedRate(WINDOW_S))
        rates[0].add(demand, now)
        rates[1].add(admitted, now)
        state.add(max(0.0, demand - assumed[0]), admitted - assumed[1])

    def _assume_silent(self, elapsed_s: float, now: float) -> None:
        """Adds the last rates of silent children, as if they sent requests on."""
        for customer in self.customers.values():
            customer.silent_demand_per_s = customer.silent_admitted_per_s = 0.0
        for key, child in list(self.children.items()):
            if child.is_connected and now - child.heard_at < CHILD_TIMEOUT_S:
                continue
            if now - child.heard_at > RESERVATION_S:
                if not child.is_connected:
                    self._remove_child(key)
                continue
            if self._is_replaced(child, now):
                self._remove_child(key)
                continue
            if self._is_remote(child.hello) and self.role is Role.ROOT:
                continue
            for name, (demand_rate, admitted_rate) in child.rates.items():
                state = self.customers.get(name)
                if state is None:
                    continue
                demand_per_s = demand_rate.get(child.heard_at)
                admitted_per_s = admitted_rate.get(child.heard_at)
                state.silent_demand_per_s += demand_per_s
                state.silent_admitted_per_s += admitted_per_s
                demand = demand_per_s * elapsed_s
                admitted = admitted_per_s * elapsed_s
                state.add(demand, admitted)
                assumed = child.assumed.get(name, (0.0, 0.0))
                child.assumed[name] = assumed[0] + demand, assumed[1] + admitted

    def _is_replaced(self, child: Child, now: float) -> bool:
        """Returns whether another coordinator reports for the domain of a lost one."""
        return (
            not child.is_connected
            and self._is_remote(child.hello)
            and any(
                other.hello.failure_domain == child.hello.failure_domain
                and other.connected_at > child.heard_at
                and now - other.connected_at > CHILD_TIMEOUT_S
                for other in self.children.values()
            )
        )

    def _remove_child(self, key: Hashable) -> None:
        child = self.children.pop(key)
        for state in self.customers.values():
            state.remote.pop(child.hello.instance, None)

    def _derive_all(self, now: float) -> None:
        missing = self.find_missing_domains() if self.role is Role.ROOT else frozenset()
        is_late = now - self._role_since > MISSING_GRACE_S
        for name, state in self.customers.items():
            is_missing = is_late or name in self._inherited
            factor = len(missing) / max(1, len(self.domains) - len(missing))
            self._derive(name, state, now, factor if is_missing else 0.0)
        self._publish()

    def _derive(
        self, name: str, state: CustomerState, now: float, missing_factor: float
    ) -> None:
        """Derives the fraction of a customer.

        Missing domains have the requests of the others times ``missing_factor``.
        """
        if self.role is Role.DOMAIN:
            return
        if self.role is Role.ORPHAN:
            self._derive_orphan(state, now)
            return
        elapsed_s = state.bucket.get_elapsed(now)
        consumed = state.take_unbilled()
        demand = state.demand_rate.per_s
        admitted = state.admitted_rate.per_s
        silent = self._find_silent(now)
        recent = {
            child.hello.instance
            for child in self.children.values()
            if child.is_connected and now - child.heard_at < RECENT_CHILD_S
        }
        silent_demand = state.silent_demand_per_s
        reserved = state.silent_admitted_per_s
        for instance, usage in state.remote.items():
            if now > usage.expires_at and instance in recent:
                usage.expire()
            if instance in silent:
                silent_demand += usage.demand_per_s
                reserved += usage.admitted_per_s
            consumed += usage.consume(elapsed_s)
            demand += usage.demand_per_s
            admitted += usage.admitted_per_s
        consumed += admitted * missing_factor * elapsed_s
        state.bucket.advance(consumed, now)
        state.total_demand_per_s = demand * (1 + missing_factor)
        state.total_admitted_per_s = admitted * (1 + missing_factor)
        state.fraction = state.bucket.derive_fraction(
            max(0.0, state.total_demand_per_s - silent_demand), state.fraction, reserved
        )

    def _derive_orphan(self, state: CustomerState, now: float) -> None:
        """Limits the domain to the rate that it admitted before it lost the root."""
        share = 1 / len(self.domains)
        if state.fallback is None:
            rate, excess = state.limit.rate_per_s * share, 0.0
            # Soon after a start there are not enough requests to go by.
            if now - self._started_at >= WINDOW_S:
                heard_at = self.root_heard_at
                rate = state.window_rate.get(heard_at) * FALLBACK_FACTOR
                excess = state.window_rate.get_excess(heard_at, now, rate)
            limit = QuotaLimit(min(rate, state.limit.rate_per_s), 0.0)
            level = state.limit.margin * share - excess
            state.fallback = CustomerBucket(limit, now, level)
            state.take_unbilled()
        state.fallback.advance(state.take_unbilled(), now)
        state.fraction = state.fallback.derive_fraction(
            max(0.0, state.demand_rate.per_s - state.silent_demand_per_s),
            state.fraction,
            state.silent_admitted_per_s,
        )

    def _find_silent(self, now: float) -> set[str]:
        """Returns the coordinators of other domains whose last rates are reserved."""
        return {
            child.hello.instance
            for child in self.children.values()
            if self._is_remote(child.hello)
            and CHILD_TIMEOUT_S <= now - child.heard_at <= RESERVATION_S
        }

    def _take_count(
        self, name: str, state: CustomerState, is_due: bool
    ) -> CustomerCount | None:
        """Returns the counts of a customer if the root needs them now."""
        report = state.report
        rate = state.demand_rate.per_s
        limit_share = state.limit.rate_per_s / len(self.domains)
        threshold = limit_share / 2
        if report.is_reported:
            threshold *= THRESHOLD_HYSTERESIS
        if rate <= threshold and state.fraction is None:
            # The last requests before the threshold is reached are counted, as the next
            # call no longer gets here.
            report.skipped_demand = state.demand - report.sent_demand
            report.skipped_admitted = state.admitted - report.sent_admitted
            report.is_reported = False
            return None
        is_limited = state.fraction is not None and state.fraction < 1
        min_change = limit_share / 4 + MIN_RATE_CHANGE / len(self.domains)
        has_changed = abs(rate - report.sent_rate) > min_change
        if report.is_reported and not (is_limited or has_changed or is_due):
            return None
        report.is_reported = True
        report.sent_rate = rate
        report.sent_demand = round(state.demand - report.skipped_demand)
        report.sent_admitted = round(state.admitted - report.skipped_admitted)
        return CustomerCount(
            name,
            report.sent_demand,
            report.sent_admitted,
            rate,
            state.admitted_rate.per_s,
        )

    def _publish(self, *, is_forced: bool = False) -> None:
        """Sets the fractions for the children if they have changed enough."""
        fractions = {
            name: state.fraction
            for name, state in self.customers.items()
            if state.fraction is not None
        }
        has_changed = fractions.keys() != self.fractions.keys() or any(
            abs(fraction - self.fractions[name])
            > MIN_FRACTION_CHANGE * self.fractions[name]
            or (fraction < 1) != (self.fractions[name] < 1)
            for name, fraction in fractions.items()
        )
        if has_changed or (is_forced and fractions != self.fractions):
            self.fractions = fractions
            self.version += 1
