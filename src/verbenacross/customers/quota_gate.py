"""Interface of the component that enforces the quotas of customers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .customer import Customer


class QuotaGate(Protocol):
    """Admits requests of customers within their quotas.

    Times are those of the event loop.
    """

    def admit(
        self, customer: Customer, now: float, *, is_repeat: bool = False
    ) -> float | None:
        """Admits a request; returns after how many seconds to retry if it does not.

        ``is_repeat`` states that the caller has probably been refused before.
        """

    def refund(self, customer: Customer, now: float) -> None:
        """Returns the credit of an admitted request that did not run."""


class UnlimitedQuotaGate:
    """Admits all requests; used where no customer has a quota."""

    def admit(
        self, customer: Customer, now: float, *, is_repeat: bool = False
    ) -> float | None:
        """Admits the request."""
        return None

    def refund(self, customer: Customer, now: float) -> None:
        """Does nothing, as no credit was taken."""
