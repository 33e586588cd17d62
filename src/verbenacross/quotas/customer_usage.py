"""Demand and admitted requests of customers in one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import CustomerCount, Report
from .quota_limit import WINDOW_S, QuotaLimit
from .rates import WindowedRate

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

# An instance without a message of its coordinator for this time, in seconds, limits
# each customer to the rate that it admitted before.
COORDINATOR_TIMEOUT_S = 0.5
# An instance that has not heard from any coordinator since its start admits all
# requests for this time, in seconds.
START_GRACE_S = 1.0
# After such a loss the fallback lasts for this time from the next message on, in
# seconds: a process that was paused reads old messages and the requests of the whole
# pause before it hears of the current fractions.
RESUME_DELAY_S = 0.2
# The coordinator reserves the rate of a silent instance for this time, in seconds.
RESERVATION_S = 10.0
# Excess over the previous rate that the bound allows to instances on their own.
FALLBACK_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0
# A request of a caller that returns needs this much more credit than a first one. Over
# the quota, a first one can still be answered in time, and as many are admitted.
RETURN_CREDIT = 1.0
MAX_CREDIT = 3.0


class CustomerUsage:
    """Counts and admits the requests of one customer in one instance."""

    def __init__(self, limit: QuotaLimit, generator: random.Random) -> None:
        self.limit = limit
        self.demand = 0
        self.admitted = 0
        self.fraction: float | None = None
        self.admitted_rate = WindowedRate(WINDOW_S)
        self._generator = generator
        # A random start spreads the admitted requests of instances that see few.
        self._credit = generator.random()
        self._fallback_rate: float | None = None
        self._fallback_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether requests may be refused."""
        return self._fallback_rate is not None or (
            self.fraction is not None and self.fraction < 1
        )

    def admit(self, now: float, *, is_repeat: bool = False) -> float | None:
        """Admits a request; returns after how many seconds to retry if it does not."""
        self.demand += 1
        if self._fallback_rate is not None:
            self._refill(self._fallback_rate, now)
        elif self.fraction is None or self.fraction >= 1:
            self._record_admission(1, now)
            return None
        else:
            self._credit = min(MAX_CREDIT, self._credit + self.fraction)
        if self._credit >= 1 + RETURN_CREDIT * is_repeat:
            self._credit -= 1
            self._record_admission(1, now)
            return None
        return self._compute_retry_after()

    def refund(self, now: float) -> None:
        """Returns the credit of an admitted request that did not run."""
        self._record_admission(-1, now)
        if self.is_limited:
            self._credit = min(self._credit + 1, 2.0)

    @property
    def is_in_fallback(self) -> bool:
        """Whether the customer is limited to a rate for lack of a coordinator."""
        return self._fallback_rate is not None

    def start_fallback(self, rate_per_s: float, credit: float, now: float) -> None:
        """Limits the customer to a rate until ``end_fallback``."""
        self._fallback_rate = min(rate_per_s, self.limit.rate_per_s)
        self._fallback_at = now
        self._credit = credit

    def limit_fallback(self, rate_per_s: float) -> None:
        """Lowers the rate of a fallback."""
        if self._fallback_rate is not None:
            self._fallback_rate = min(self._fallback_rate, rate_per_s)

    def end_fallback(self) -> None:
        """Admits by the fraction again."""
        if self._fallback_rate is not None:
            self._fallback_rate = None
            self._credit = self._generator.random()

    def _refill(self, rate_per_s: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._fallback_at)
        self._fallback_at = now
        self._credit = min(self._credit + rate_per_s * elapsed_s, 1 + rate_per_s)

    def _record_admission(self, count: int, now: float) -> None:
        self.admitted += count
        self.admitted_rate.add(count, now)

    def _compute_retry_after(self) -> float:
        if self._fallback_rate is not None:
            delay_s = (1 - self._credit) / max(self._fallback_rate, 1e-3)
        else:
            # The requests that were refused in a window need this time beside the
            # others. Callers that return sooner only take the place of later ones.
            delay_s = (1 / (self.fraction or 1.0) - 1) * WINDOW_S
        jitter = self._generator.uniform(0.8, 1.2)
        return min(max(delay_s * jitter, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


class InstanceUsage:
    """Usage of all limited customers in one instance.

    ``heard_at`` is when the coordinator last sent a message, ``None`` before the first.
    """

    def __init__(self, generator: random.Random, now: float) -> None:
        self.customers: dict[str, CustomerUsage] = {}
        self.instance_count = 1
        self.heard_at: float | None = None
        self._started_at = now
        self._trusted_at = 0.0
        self._generator = generator

    def set_limits(self, limits: Mapping[str, QuotaLimit]) -> None:
        """Sets the limits; customers without one are no longer counted."""
        for name in self.customers.keys() - limits.keys():
            del self.customers[name]
        for name, limit in limits.items():
            usage = self.customers.get(name)
            if usage is None:
                self.customers[name] = CustomerUsage(limit, self._generator)
            else:
                usage.limit = limit
                usage.limit_fallback(limit.rate_per_s)

    def admit(
        self, customer: str, now: float, *, is_repeat: bool = False
    ) -> float | None:
        """Admits a request; returns after how many seconds to retry if it does not."""
        usage = self.customers.get(customer)
        if usage is None:
            return None
        if self.has_coordinator(now) or self._is_starting(now):
            usage.end_fallback()
        else:
            self._start_fallback(usage, now)
        return usage.admit(now, is_repeat=is_repeat)

    def refund(self, customer: str, now: float) -> None:
        """Returns the credit of an admitted request that did not run."""
        usage = self.customers.get(customer)
        if usage is not None and usage.demand:
            usage.refund(now)

    def has_coordinator(self, now: float) -> bool:
        """Returns whether a coordinator has sent a message recently."""
        return (
            self.heard_at is not None
            and now - self.heard_at < COORDINATOR_TIMEOUT_S
            and now >= self._trusted_at
        )

    def record_heartbeat(self, now: float) -> None:
        """Records a message of the coordinator that changes no fraction."""
        if self.heard_at is not None and now - self.heard_at >= COORDINATOR_TIMEOUT_S:
            self._trusted_at = now + RESUME_DELAY_S
        self.heard_at = now

    def set_fractions(self, fractions: Mapping[str, float], now: float) -> None:
        """Sets the fractions of all customers as sent by the coordinator."""
        self.record_heartbeat(now)
        for name, usage in self.customers.items():
            usage.fraction = fractions.get(name)

    def get_counts(self) -> dict[str, CustomerCount]:
        """Returns the counts of all customers that have sent requests, by name."""
        return {
            name: CustomerCount(name, usage.demand, usage.admitted)
            for name, usage in self.customers.items()
            if usage.demand
        }

    def _is_starting(self, now: float) -> bool:
        return self.heard_at is None and now - self._started_at < START_GRACE_S

    def _start_fallback(self, usage: CustomerUsage, now: float) -> None:
        share = usage.limit.rate_per_s / self.instance_count
        if usage.is_in_fallback:
            if self.heard_at is not None and now - self.heard_at > RESERVATION_S:
                usage.limit_fallback(share)
            return
        rate, excess = share, 0.0
        # Soon after a start there are not enough requests to go by.
        if self.heard_at is not None and now - self._started_at >= WINDOW_S:
            rate = usage.admitted_rate.get(self.heard_at) * FALLBACK_FACTOR
            # What a jump of the demand got before the loss was noticed is made up for.
            excess = usage.admitted_rate.get_excess(self.heard_at, now, rate)
            excess = min(excess, rate * WINDOW_S / 2)
        margin = usage.limit.margin / self.instance_count
        credit = self._generator.random() + min(margin, 1 + rate) - excess
        usage.start_fallback(rate, credit, now)


class UsageReporter:
    """Reports the usage of an instance over one connection to its coordinator.

    Counts start from 0 with the connection.
    """

    def __init__(self, usage: InstanceUsage) -> None:
        self._usage = usage
        self._base = usage.get_counts()
        self._sent: dict[str, CustomerCount] = {}
        self._sequence = 0

    def take_report(self, now: float) -> Report | None:
        """Returns the counts that changed, ``None`` if none did."""
        changed: list[CustomerCount] = []
        counts = self._usage.get_counts()
        for kept in (self._base, self._sent):
            for name in kept.keys() - counts.keys():
                del kept[name]
        for name, total in counts.items():
            base = self._base.get(name, CustomerCount(name, 0, 0))
            count = CustomerCount(
                name, total.demand - base.demand, total.admitted - base.admitted
            )
            last = self._sent.get(name)
            if count != last and (last is not None or count.demand or count.admitted):
                self._sent[name] = count
                changed.append(count)
        return self.take_heartbeat(tuple(changed)) if changed else None

    def take_heartbeat(self, counts: tuple[CustomerCount, ...] = ()) -> Report:
        """Returns a report."""
        self._sequence += 1
        return Report(self._sequence, counts)
