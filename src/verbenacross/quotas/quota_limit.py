"""Limit of a customer and the tolerance that it is enforced with."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..routes.route_table import RouteTable

WINDOW_S = 5.0
# In any window the admitted requests may exceed the limit by this share and number.
OVERSHOOT = 0.1
SLACK = 20.0
# Share of the tolerance that is added to the burst, so that random variation of a
# demand within the limit is not refused. The rest covers the delay of the messages.
MARGIN_SHARE = 0.15


class QuotaLimit(NamedTuple):
    """Requests per second and burst of a customer over all instances."""

    rate_per_s: float
    burst: float

    @property
    def bound(self) -> float:
        """Largest number of admitted requests in any window."""
        return (self.rate_per_s * WINDOW_S + self.burst) * (1 + OVERSHOOT) + SLACK

    @property
    def margin(self) -> float:
        """Requests by which the burst may be exceeded."""
        allowance = OVERSHOOT * (self.rate_per_s * WINDOW_S + self.burst) + SLACK
        return MARGIN_SHARE * allowance


def get_limits(table: RouteTable) -> dict[str, QuotaLimit]:
    """Returns the limits of the customers that have one, by name."""
    if table.customers is None:
        return {}
    return {
        customer.name: QuotaLimit(customer.rate_per_s, max(0.0, customer.burst))
        for customer in table.customers.by_name.values()
        if customer.rate_per_s > 0
    }
