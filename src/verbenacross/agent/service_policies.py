"""Effective limits of a service across its active policy versions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..policy import Policy, PolicyTable

# Keeps floating-point error from rounding down a product that is an integer, such as
# 6 * 0.5.
ROUNDING_TOLERANCE = 1e-9


class ServicePolicies:
    """Computes the effective limits of a service across its active policy versions.

    The limits protect the upstreams, which all versions share, so the strictest version
    applies.
    """

    def __init__(self, table: PolicyTable) -> None:
        self._table = table
        self._by_service: dict[str, tuple[Policy, ...]] | None = None
        table.changes.subscribe(lambda record: self._invalidate_index())

    def get_services(self) -> Iterable[str]:
        """Returns the services that have an active policy."""
        return self._get_index().keys()

    def get_probe_interval_s(self, service: str) -> float | None:
        """Returns the seconds between probes of an upstream, ``None`` if disabled."""
        rate = self._find_minimum(service, lambda p: p.measuring.probes_per_second)
        return 1 / rate if rate else None

    def get_long_slots(self, service: str) -> int:
        """Returns the slots of each upstream for long requests, at least 1."""
        slots = self._find_minimum(
            service, lambda p: p.upstreams.slots * p.limits.long_share
        )
        return max(1, int((slots or 0) + ROUNDING_TOLERANCE))

    def get_cold_start_ms(self, service: str) -> int:
        """Returns the warm-up time of a cold upstream in milliseconds."""
        return int(
            self._find_minimum(service, lambda p: p.upstreams.cold_start_ms) or 0
        )

    def _find_minimum(
        self, service: str, read: Callable[[Policy], float]
    ) -> float | None:
        policies = self._get_index().get(service, ())
        return min((read(policy) for policy in policies), default=None)

    def _get_index(self) -> dict[str, tuple[Policy, ...]]:
        if self._by_service is None:
            index: dict[str, tuple[Policy, ...]] = {}
            for policy in self._table.policies.values():
                if policy.state == "active":
                    index[policy.service] = (*index.get(policy.service, ()), policy)
            self._by_service = index
        return self._by_service

    def _invalidate_index(self) -> None:
        self._by_service = None
