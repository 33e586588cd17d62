"""Identifies the customer of a request by its API key and checks its quota."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..platform.headers import API_KEY
from .repeat_detector import RepeatDetector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from aiohttp import web

    from ..customers.customer import Customer
    from ..customers.quota_gate import QuotaGate
    from ..routes.route import Route
    from ..routes.route_table import RouteTable

# Retry-After for an unknown key while the configuration may be out of date, in seconds:
# the retry may reach another instance, which has the current one.
STALE_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent; ``customer`` is ``None`` where no key is needed."""

    customer: Customer | None


@dataclass(frozen=True, slots=True)
class Unauthorized:
    """The request has no valid API key."""


@dataclass(frozen=True, slots=True)
class Unverified:
    """The configuration may be out of date, so the key cannot be judged."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The customer has used up its quota."""

    customer: Customer
    retry_after_s: float


@dataclass(slots=True)
class QuotaCredit:
    """A credit taken for a request; ``is_used`` once the request may have run."""

    is_used: bool = False


AdmissionResult = Admitted | Unauthorized | Unverified | OverQuota


class CustomerAdmission:
    """Identifies the customers of requests and checks their quotas.

    ``get_staleness_s`` returns for how many seconds the configuration has not been
    confirmed by any source, 0 while it is current. Known keys are accepted for
    ``revocation_timeout_s`` in that state, without a limit if it is 0.
    """

    def __init__(
        self,
        get_staleness_s: Callable[[], float],
        quotas: QuotaGate,
        revocation_timeout_s: float = 0.0,
    ) -> None:
        self.revocation_timeout_s = revocation_timeout_s
        self._get_staleness_s = get_staleness_s
        self._quotas = quotas
        self._repeats = RepeatDetector()

    def apply_table(self, table: RouteTable) -> None:
        """Forgets what is known of routes that a configuration no longer has."""
        self._repeats.forget(set(table.routes))

    def admit(
        self,
        request: web.BaseRequest,
        table: RouteTable,
        route: Route,
        remaining_s: float | None,
        now: float,
    ) -> AdmissionResult:
        """Identifies the customer and takes a credit of its quota.

        The caller waits for ``remaining_s``. An admitted request is handled within
        ``hold_credit``.
        """
        if table.customers is None or route.is_public:
            return Admitted(None)
        keys = request.headers.getall(API_KEY, ())
        customer = table.customers.find(keys[0]) if len(keys) == 1 else None
        staleness_s = self._get_staleness_s()
        if customer is None:
            if staleness_s > 0 and len(keys) == 1:
                return Unverified(STALE_RETRY_AFTER_S)
            return Unauthorized()
        if 0 < self.revocation_timeout_s < staleness_s:
            return Unverified(STALE_RETRY_AFTER_S)
        is_repeat = self._repeats.is_repeat(route.key, remaining_s, now)
        retry_after_s = self._quotas.admit(customer, now, is_repeat=is_repeat)
        if retry_after_s is not None:
            return OverQuota(customer, retry_after_s)
        return Admitted(customer)

    @contextmanager
    def hold_credit(
        self, customer: Customer | None, get_time: Callable[[], float]
    ) -> Iterator[QuotaCredit]:
        """Returns the credit of an admitted request on exit unless it is used."""
        credit = QuotaCredit()
        try:
            yield credit
        finally:
            if customer is not None and not credit.is_used:
                self._quotas.refund(customer, get_time())
