"""Token bucket from whose level the admitted fraction of a customer is derived."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .quota_limit import QuotaLimit

# A level above or below 0 is used up or made up for within about this time, in seconds.
# The messages take up to 0.4 s; with a time of the same order the fraction oscillates.
SETTLING_S = 1.0
# Debt is forgiven beyond the requests of this time, in seconds. A window is 5 s long,
# so requests before it need not be made up for.
MAX_DEBT_S = 2.5
# While in debt, at least this share of the rate is admitted.
MIN_RATE_SHARE = 0.05
# A fraction ends once the demand is below the admitted rate by this factor.
RELEASE_FACTOR = 1.05
# Domains report a customer whatever its demand in them once the total exceeds this
# share of the limit: the sum of unreported demand may be as much as half of the limit.
# Smaller limits need no such reports, as the slack of the bound covers the unreported
# demand; so does it for the constant part of the thresholds, in requests per second.
WATCH_SHARE = 0.7
UNWATCH_SHARE = 0.64
WATCH_SLACK = 2.0
UNWATCH_SLACK = 0.5
MIN_FRACTION = 1e-6


class CustomerBucket:
    """Token bucket over the admitted requests of a customer; its level may be negative.

    Starts with ``level`` tokens.
    """

    def __init__(self, limit: QuotaLimit, now: float, level: float = 0.0) -> None:
        self.limit = limit
        self.level = min(level, self.capacity)
        self._updated_at = now

    @property
    def capacity(self) -> float:
        """Largest level."""
        return self.limit.burst + self.limit.margin

    def set_limit(self, limit: QuotaLimit) -> None:
        """Sets the limit and keeps the tokens that it allows."""
        self.limit = limit
        self.level = min(self.level, self.capacity)

    def get_elapsed(self, now: float) -> float:
        """Returns the time since the last call of ``advance``, in seconds."""
        return max(0.0, now - self._updated_at)

    def advance(self, consumed: float, now: float) -> None:
        """Adds the tokens of the time since the last call and removes ``consumed``."""
        elapsed_s = self.get_elapsed(now)
        self._updated_at = max(now, self._updated_at)
        rate = self.limit.rate_per_s
        level = self.level + rate * elapsed_s - consumed
        min_level = -(rate * MAX_DEBT_S + self.limit.margin)
        self.level = max(min_level, min(level, self.capacity))

    def derive_fraction(
        self, demand_per_s: float, current: float | None, reserved_per_s: float = 0.0
    ) -> float | None:
        """Returns the fraction to admit of a demand, ``None`` if it is well within.

        ``reserved_per_s`` are requests beside the demand that no fraction reaches.
        1 means that all requests are admitted and all domains report the customer.
        """
        rate = self.limit.rate_per_s
        target = max(
            rate + self.level / SETTLING_S - reserved_per_s, rate * MIN_RATE_SHARE
        )
        if demand_per_s > target:
            return max(MIN_FRACTION, target / demand_per_s)
        is_limited = current is not None and current < 1
        if is_limited and demand_per_s * RELEASE_FACTOR > target:
            return 1 - 1e-3
        threshold = (
            rate * WATCH_SHARE + WATCH_SLACK
            if current is None
            else rate * UNWATCH_SHARE + UNWATCH_SLACK
        )
        return 1.0 if demand_per_s + reserved_per_s > threshold else None
