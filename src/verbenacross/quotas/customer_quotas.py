"""Enforces the quotas of customers over all instances."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import logbook

from .coordinator_choice import list_coordinators, list_roots
from .customer_usage import InstanceUsage, UsageReporter
from .exceptions import QuotaError
from .link_selector import LinkSelector
from .messages import Fractions, Heartbeat, Hello
from .quota_coordinator import UPDATE_INTERVAL_S, QuotaCoordinator, Role
from .quota_limit import get_limits
from .quota_link import QuotaLink
from .quota_server import QuotaServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.server import ServerConnection

    from ..customers.customer import Customer
    from ..feed.members import Member
    from ..routes.route_table import RouteTable
    from .link_selector import MessageHandler
    from .quota_limit import QuotaLimit

# A coordinator that lost the root becomes the root itself after this time, in seconds,
# if others come before it: the others may not have noticed the loss yet.
LEAD_DELAY_S = 1.0
LOCAL = "local"

logger = logbook.Logger("verbenacross.quotas")


class CustomerQuotas:
    """Admits requests of customers within their limits over all instances.

    Opens no link and does no work while no customer has a limit. The instance reports
    to the coordinator of its failure domain, or is that coordinator and reports to the
    root, or is the root.
    """

    def __init__(
        self,
        own: Member,
        get_members: Callable[[], list[Member]],
        count_instances: Callable[[], int],
    ) -> None:
        self._own = own
        self._get_members = get_members
        self._count_instances = count_instances
        self._loop = asyncio.get_running_loop()
        self._generator = random.Random()
        self._limits: dict[str, QuotaLimit] = {}
        self._has_limits = asyncio.Event()
        self._usage = InstanceUsage(self._generator, self._loop.time())
        self._coordinator: QuotaCoordinator | None = None
        self._local_reporter: UsageReporter | None = None
        self._limited: set[str] = set()
        self._sent_messages = 0
        self._sent_bytes = 0
        self.server = QuotaServer(own.failure_domain, self._may_accept)
        self._domain_link = LinkSelector(
            "domain",
            own.instance,
            self._create_domain_link,
            self._handle_domain_message,
        )
        self._root_link = LinkSelector(
            "root", own.instance, self._create_root_link, self._handle_root_message
        )

    def admit(
        self, customer: Customer, now: float, *, is_repeat: bool = False
    ) -> float | None:
        """Admits a request; returns after how many seconds to retry if it does not."""
        return self._usage.admit(customer.name, now, is_repeat=is_repeat)

    def refund(self, customer: Customer, now: float) -> None:
        """Returns the credit of an admitted request that did not run."""
        self._usage.refund(customer.name, now)

    def apply_table(self, table: RouteTable) -> None:
        """Applies the limits of a configuration."""
        limits = get_limits(table)
        if limits == self._limits:
            return
        now = self._loop.time()
        if not self._limits:
            # The time without limits is no time without a coordinator.
            self._usage = InstanceUsage(self._generator, now)
        self._limits = limits
        self._usage.set_limits(limits)
        logger.info("quotas changed", extra={"customers": len(limits)})
        if self._coordinator is not None:
            self._coordinator.set_limits(limits, now)
            self.server.notify_children()
        if limits:
            self._has_limits.set()
        else:
            self._has_limits.clear()
            self._close()

    async def handle_connection(self, connection: ServerConnection) -> None:
        """Serves a child of the coordinator until the connection ends."""
        await self.server.handle(connection)

    async def run(self) -> None:
        """Exchanges usage and fractions while some customer has a limit."""
        try:
            while True:
                await self._has_limits.wait()
                try:
                    self._update(self._loop.time())
                except Exception:
                    # Without updates, the coordinator's children and this instance
                    # would be limited to their last rates for good.
                    logger.exception("quotas cannot be updated")
                await asyncio.sleep(UPDATE_INTERVAL_S)
        finally:
            self._close()

    def get_gauges(self) -> dict[str, float]:
        """Returns the values of the metrics by name."""
        now = self._loop.time()
        heard_at = self._usage.heard_at
        coordinator = self._coordinator
        is_root = coordinator is not None and coordinator.role is Role.ROOT
        return {
            "quota_customers": float(len(self._limits)),
            "quota_customers_limited": float(len(self._limited)),
            "quota_has_coordinator": float(self._usage.has_coordinator(now)),
            "quota_coordinator_age_s": now - heard_at if heard_at is not None else 0.0,
            "quota_is_coordinator": float(coordinator is not None),
            "quota_is_root": float(is_root),
            "quota_children": float(len(coordinator.children) if coordinator else 0),
            "quota_messages_sent": float(
                self._sent_messages + self.server.sent_messages
            ),
            "quota_bytes_sent": float(self._sent_bytes + self.server.sent_bytes),
        }

    def get_fractions(self) -> dict[str, float]:
        """Returns the fraction of each customer that has a limit."""
        return {
            name: 1.0 if usage.fraction is None else usage.fraction
            for name, usage in self._usage.customers.items()
        }

    def describe(self) -> dict[str, Any]:
        """Returns the content of the state dump."""
        now = self._loop.time()
        usage = self._usage
        coordinator = self._coordinator
        domain_link, root_link = self._domain_link.current, self._root_link.current
        return {
            "limits": len(self._limits),
            "role": self._describe_role(),
            "coordinator": domain_link.peer if domain_link else None,
            "root": root_link.peer if root_link else None,
            "coordinator_age_s": (
                None if usage.heard_at is None else round(now - usage.heard_at, 3)
            ),
            "limited": {
                name: self._describe_customer(name, now)
                for name in sorted(self._limited)
            },
            "children": coordinator.describe_children(now) if coordinator else [],
            "missing_domains": (
                sorted(coordinator.find_missing_domains())
                if coordinator and coordinator.role is Role.ROOT
                else []
            ),
        }

    def _describe_customer(self, name: str, now: float) -> dict[str, Any]:
        usage = self._usage.customers.get(name)
        if usage is None:
            return {}
        described: dict[str, Any] = {
            "rate_per_s": usage.limit.rate_per_s,
            "burst": usage.limit.burst,
            "fraction": usage.fraction,
            "is_in_fallback": usage.is_in_fallback,
            "demand": usage.demand,
            "admitted": usage.admitted,
            "admitted_per_s": round(usage.admitted_rate.get(now), 2),
        }
        state = self._coordinator.customers.get(name) if self._coordinator else None
        if state is not None:
            described["domain"] = {
                "demand_per_s": round(state.demand_rate.per_s, 1),
                "admitted_per_s": round(state.admitted_rate.per_s, 1),
            }
            if self._coordinator and self._coordinator.role is Role.ROOT:
                described["total"] = {
                    "demand_per_s": round(state.total_demand_per_s, 1),
                    "admitted_per_s": round(state.total_admitted_per_s, 1),
                    "level": round(state.bucket.level, 1),
                }
        return described

    def _describe_role(self) -> str:
        if not self._limits:
            return "disabled"
        if self._coordinator is not None:
            return self._coordinator.role.value
        return "instance"

    def _update(self, now: float) -> None:
        members = self._get_members()
        self._usage.instance_count = self._count_instances()
        self._domain_link.update(list_coordinators(members, self._own), now)
        if self._domain_link.is_own:
            self._coordinate(members, now)
        elif self._coordinator is not None:
            self._stop_coordinating()
        self._log_limited()

    def _coordinate(self, members: list[Member], now: float) -> None:
        """Does the work of the domain's coordinator."""
        coordinator = self._coordinator
        if coordinator is None or self._local_reporter is None:
            coordinator = self._start_coordinating(now)
        coordinator.set_domains(frozenset(member.failure_domain for member in members))
        candidates = list_roots(members, self._own)
        self._root_link.update(candidates, now)
        if self._root_link.is_own:
            lost_for_s = now - coordinator.root_heard_at
            if len(candidates) == 1 or lost_for_s > LEAD_DELAY_S:
                coordinator.lead(now)
        else:
            coordinator.follow(now)
        version = coordinator.version
        if self._local_reporter is not None:
            report = self._local_reporter.take_report(now)
            report = report or self._local_reporter.take_heartbeat()
            coordinator.receive(LOCAL, report, now)
        coordinator.update(now)
        self._usage.set_fractions(coordinator.fractions, now)
        if coordinator.version != version:
            self.server.notify_children()

    def _start_coordinating(self, now: float) -> QuotaCoordinator:
        own = self._own
        coordinator = QuotaCoordinator(own.failure_domain, now)
        coordinator.set_limits(self._limits, now)
        # The fractions in force hold until the root or the buckets give others.
        coordinator.receive_fractions(
            {
                name: usage.fraction
                for name, usage in self._usage.customers.items()
                if usage.fraction is not None
            },
            now,
        )
        coordinator.connect(LOCAL, Hello(own.instance, own.failure_domain, False), now)
        self._local_reporter = UsageReporter(self._usage)
        self._coordinator = self.server.coordinator = coordinator
        logger.info("coordinates the quotas of the failure domain")
        return coordinator

    def _stop_coordinating(self) -> None:
        self._coordinator = self.server.coordinator = None
        self._local_reporter = None
        self._root_link.close()
        self.server.notify_children()
        logger.info("no longer coordinates the quotas of the failure domain")

    def _close(self) -> None:
        self._domain_link.close()
        if self._coordinator is not None:
            self._stop_coordinating()

    def _may_accept(self, hello: Hello) -> bool:
        """Returns whether an instance may be a child of this coordinator.

        The coordinator of another domain may be one of the root only, else two could
        report each other's requests.
        """
        if hello.instance == self._own.instance or self._coordinator is None:
            return False
        return not hello.is_coordinator or self._coordinator.role is Role.ROOT

    def _create_domain_link(
        self, member: Member, on_message: MessageHandler
    ) -> QuotaLink:
        hello = Hello(self._own.instance, self._own.failure_domain, False)
        return QuotaLink(
            hello,
            member.instance,
            member.address,
            lambda: UsageReporter(self._usage),
            on_message,
            self._record_sent,
        )

    def _create_root_link(
        self, member: Member, on_message: MessageHandler
    ) -> QuotaLink:
        hello = Hello(self._own.instance, self._own.failure_domain, True)
        return QuotaLink(
            hello,
            member.instance,
            member.address,
            self._open_root_reports,
            on_message,
            self._record_sent,
        )

    def _open_root_reports(self) -> QuotaCoordinator:
        if self._coordinator is None:
            raise QuotaError("this instance does not coordinate its domain")
        self._coordinator.open_root_link()
        return self._coordinator

    def _record_sent(self, size: int) -> None:
        self._sent_messages += 1
        self._sent_bytes += size

    def _handle_domain_message(self, message: Fractions | Heartbeat) -> None:
        now = self._loop.time()
        if isinstance(message, Fractions):
            self._usage.set_fractions(message.fractions, now)
            self._log_limited()
        else:
            self._usage.record_heartbeat(now)

    def _handle_root_message(self, message: Fractions | Heartbeat) -> None:
        coordinator = self._coordinator
        if coordinator is None:
            return
        now = self._loop.time()
        coordinator.follow(now)
        if isinstance(message, Heartbeat):
            coordinator.record_root_heartbeat(now)
            return
        version = coordinator.version
        coordinator.receive_fractions(message.fractions, now)
        self._usage.set_fractions(coordinator.fractions, now)
        if coordinator.version != version:
            self.server.notify_children()

    def _log_limited(self) -> None:
        limited = {
            name for name, usage in self._usage.customers.items() if usage.is_limited
        }
        for name in sorted(limited - self._limited):
            extra = {"customer": name, "fraction": self._usage.customers[name].fraction}
            logger.info("customer is limited", extra=extra)
        for name in sorted(self._limited - limited):
            logger.info("customer is no longer limited", extra={"customer": name})
        self._limited = limited
