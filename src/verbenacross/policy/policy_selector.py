"""Selects the policy version that applies to a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .policy_record import split_key

if TYPE_CHECKING:
    from .policy import Policy
    from .policy_table import PolicyTable


class SelectedPolicy(NamedTuple):
    """A policy in force with the store revision of its record."""

    policy: Policy
    revision: int


class UnknownService(NamedTuple):
    """No policy serves the service or the caller."""

    service: str


class UnknownVersion(NamedTuple):
    """The caller asked for a version that was never in force."""

    service: str
    version: int


class RetiredVersion(NamedTuple):
    """The caller asked for a version that an operator has retired."""

    service: str
    version: int


Selection = SelectedPolicy | UnknownService | UnknownVersion | RetiredVersion


class PolicySelector:
    """Index of the policies in force by service, highest version first."""

    def __init__(self, table: PolicyTable) -> None:
        self._table = table
        self._by_service: dict[str, list[SelectedPolicy]] = {}
        self._keys: dict[str, set[str]] = {}
        table.changes.subscribe(lambda record: self._reindex(record.key))
        for key in table.valid:
            self._reindex(key)

    def select(self, service: str, caller: str, version: int | None) -> Selection:
        """Selects the policy for a request, or returns why there is none.

        ``version`` is the version that the caller asked for, if any.
        """
        candidates = self._by_service.get(service)
        if not candidates:
            return UnknownService(service)
        if version is not None:
            return select_version(candidates, service, version)
        for candidate in candidates:
            if is_active(candidate) and caller in candidate.policy.callers.names:
                return candidate
        for candidate in candidates:
            if is_active(candidate) and candidate.policy.callers.default:
                return candidate
        return UnknownService(service)

    def get_services(self) -> list[str]:
        """Returns the services that have an active policy."""
        return [
            service
            for service, candidates in self._by_service.items()
            if any(is_active(candidate) for candidate in candidates)
        ]

    def _reindex(self, key: str) -> None:
        if key not in self._table.valid:
            return
        service, _ = split_key(key)
        keys = self._keys.setdefault(service, set())
        keys.add(key)
        selected = [
            SelectedPolicy(
                self._table.policies[other], self._table.valid[other].revision
            )
            for other in keys
        ]
        selected.sort(key=lambda entry: entry.policy.version, reverse=True)
        self._by_service[service] = selected


def is_active(selected: SelectedPolicy) -> bool:
    """Returns whether the policy is active, that is, not retired."""
    return selected.policy.state == "active"


def select_version(
    candidates: list[SelectedPolicy], service: str, version: int
) -> Selection:
    """Selects the candidate of one version, or returns why there is none."""
    for candidate in candidates:
        if candidate.policy.version != version:
            continue
        return candidate if is_active(candidate) else RetiredVersion(service, version)
    return UnknownVersion(service, version)
