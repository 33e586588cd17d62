"""Merges copies of policy records by era and revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from reactivex.subject import Subject

from ..infrastructure.key_value_store import StorePosition
from ..settings import Finding
from .copy_digests import CopyDigests
from .exceptions import PolicyError
from .parser import parse_record_body
from .policy import Policy
from .policy_record import is_key, split_key
from .superseded_copies import SupersededCopies

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .policy_record import PolicyRecord


class Rank(NamedTuple):
    """Precedence of valid copies: a retired copy outranks every active one."""

    is_retired: bool
    revision: int
    body: bytes


class PolicyTable:
    """The latest copy and the copy in force of each policy record.

    The latest copy is the one with the highest revision, which is packed with its era.
    The copy in force (``valid``) is the latest valid one, except that a record that was
    once ``retired`` stays so. ``superseded`` holds the copies that were latest before.
    Copies of one revision are ordered by their bodies, which differ only after the
    store lost writes. The merge is commutative, associative and idempotent: late,
    duplicate and reordered copies do not affect the result. ``changes`` emits each copy
    that changed the table.
    """

    def __init__(self) -> None:
        self.latest: dict[str, PolicyRecord] = {}
        self.valid: dict[str, PolicyRecord] = {}
        self.policies: dict[str, Policy] = {}
        self.findings: dict[str, tuple[Finding, ...]] = {}
        self.digests = CopyDigests()
        self.superseded = SupersededCopies()
        self.highest_revision = 0
        self.changes: Subject[PolicyRecord] = Subject()
        self._ranks: dict[str, Rank] = {}

    def put(self, record: PolicyRecord) -> bool:
        """Merges a copy; returns whether it became the latest one or is in force."""
        if not is_key(record.key) or self.latest.get(record.key) == record:
            return False
        before = tuple(self.get_copies_of(record.key))
        parsed = self._parse(record)
        replaced_latest = self._put_latest(record, parsed)
        replaced_valid = self._put_valid(record, parsed)
        if not replaced_latest and not replaced_valid:
            return False
        self._report_reactivation(record.key)
        self.digests.replace(before, self.get_copies_of(record.key))
        self.highest_revision = max(self.highest_revision, record.revision)
        self.changes.on_next(record)
        return True

    def put_all(self, records: Iterable[PolicyRecord]) -> int:
        """Merges copies; returns how many changed the table."""
        return sum(self.put(record) for record in records)

    def get_copies(self) -> Iterator[PolicyRecord]:
        """Yields every copy that another table needs to reach the same state."""
        for key in self.latest:
            yield from self.get_copies_of(key)

    def get_copies_of(self, key: str) -> Iterator[PolicyRecord]:
        """Yields the copies of one record, the one in force first."""
        valid = self.valid.get(key)
        if valid is not None:
            yield valid
        latest = self.latest.get(key)
        if latest is not None and latest != valid:
            yield latest

    def count_before_era(self, era: int) -> int:
        """Returns how many active policies have no copy of an era or a later one."""
        return sum(
            policy.state == "active" and self.latest[key].position.era < era
            for key, policy in self.policies.items()
        )

    def get_findings(self) -> list[Finding]:
        """Returns the findings of all records."""
        return [finding for found in self.findings.values() for finding in found]

    def _parse(self, record: PolicyRecord) -> Policy | tuple[Finding, ...]:
        # A restored store shows all records in a new era, most of them unchanged.
        valid = self.valid.get(record.key)
        if valid is not None and valid.body == record.body:
            return self.policies[record.key]
        return parse_copy(record)

    def _put_latest(
        self, record: PolicyRecord, parsed: Policy | tuple[Finding, ...]
    ) -> bool:
        current = self.latest.get(record.key)
        if current is not None and current[1:] >= record[1:]:
            return False
        if current is not None:
            self.superseded.add(current, record)
        self.latest[record.key] = record
        self.findings.pop(record.key, None)
        if not isinstance(parsed, Policy):
            self.findings[record.key] = parsed
        return True

    def _put_valid(
        self, record: PolicyRecord, parsed: Policy | tuple[Finding, ...]
    ) -> bool:
        if not isinstance(parsed, Policy):
            return False
        is_retired = parsed.state == "retired" and bool(record.body)
        rank = Rank(is_retired, record.revision, record.body)
        current = self._ranks.get(record.key)
        if current is not None and current >= rank:
            return False
        self._ranks[record.key] = rank
        self.valid[record.key] = record
        self.policies[record.key] = parsed
        return True

    def _report_reactivation(self, key: str) -> None:
        rank = self._ranks.get(key)
        latest = self.latest[key]
        if rank is None or not rank.is_retired or latest.revision <= rank.revision:
            return
        parsed = parse_copy(latest)
        if isinstance(parsed, Policy) and parsed.state == "active":
            position = StorePosition.unpack(rank.revision)
            message = f"retired at revision {position}, use a new version number"
            self.findings[key] = (Finding(key, "$.state", message),)


def parse_copy(record: PolicyRecord) -> Policy | tuple[Finding, ...]:
    """Parses the policy in a copy; returns the findings if it is invalid.

    A deleted record counts as retired.
    """
    if not record.body:
        service, version = split_key(record.key)
        return Policy(1, service, version, state="retired")
    try:
        return parse_record_body(record.body, record.key)
    except PolicyError as error:
        return error.findings
