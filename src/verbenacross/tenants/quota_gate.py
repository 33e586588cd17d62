"""Interface of the component that enforces the quotas of tenants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .tenant import Tenant


class QuotaGate(Protocol):
    """Admits requests of tenants within their quotas.

    Times are those of the event loop.
    """

    def admit(
        self, tenant: Tenant, now: float, *, is_repeat: bool = False
    ) -> float | None:
        """Admits a request; returns after how many seconds to retry if it does not.

        ``is_repeat`` states that the caller has probably been refused before.
        """

    def refund(self, tenant: Tenant, now: float) -> None:
        """Returns the credit of an admitted request that did not run."""


class UnlimitedQuotaGate:
    """Admits all requests; used where no tenant has a quota."""

    def admit(
        self, tenant: Tenant, now: float, *, is_repeat: bool = False
    ) -> float | None:
        """Admits the request."""
        return None

    def refund(self, tenant: Tenant, now: float) -> None:
        """Does nothing, as no credit was taken."""
