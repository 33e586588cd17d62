"""Policy records ordered by revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex.subject import Subject

from .exceptions import PolicyError
from .parser import parse_record_body

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..settings import Finding
    from .policy import Policy
    from .policy_record import PolicyRecord


class PolicyTable:
    """The latest copy and the latest valid copy of each policy record.

    Both are the copies with the highest revision, so the merge is commutative,
    associative and idempotent: late, duplicated and reordered copies have no effect.
    The latest valid copy is in force; a later invalid one is only reported. ``changes``
    emits each copy that was taken.
    """

    def __init__(self) -> None:
        self.latest: dict[str, PolicyRecord] = {}
        self.valid: dict[str, PolicyRecord] = {}
        self.policies: dict[str, Policy] = {}
        self.findings: dict[str, tuple[Finding, ...]] = {}
        self.changes: Subject[PolicyRecord] = Subject()

    def put(self, record: PolicyRecord) -> bool:
        """Takes a copy that is newer than the latest or the latest valid copy."""
        taken_latest = self._put_latest(record)
        taken_valid = self._put_valid(record)
        if not taken_latest and not taken_valid:
            return False
        self.changes.on_next(record)
        return True

    def put_all(self, records: Iterable[PolicyRecord]) -> int:
        """Takes copies and returns how many were new."""
        return sum(self.put(record) for record in records)

    def get_copies(self) -> Iterator[PolicyRecord]:
        """Yields every copy that another table needs to reach the same state."""
        yield from self.valid.values()
        for key, record in self.latest.items():
            if self.valid.get(key) != record:
                yield record

    def _put_latest(self, record: PolicyRecord) -> bool:
        known = self.latest.get(record.key)
        if known is not None and known.revision >= record.revision:
            return False
        self.latest[record.key] = record
        self.findings.pop(record.key, None)
        return True

    def _put_valid(self, record: PolicyRecord) -> bool:
        known = self.valid.get(record.key)
        if known is not None and known.revision >= record.revision:
            return False
        if record.body:
            try:
                self.policies[record.key] = parse_record_body(record.body, record.key)
            except PolicyError as error:
                if self.latest[record.key] == record:
                    self.findings[record.key] = error.findings
                return False
        else:
            self._retire(record.key)
        self.valid[record.key] = record
        return True

    def _retire(self, key: str) -> None:
        policy = self.policies.get(key)
        if policy is not None:
            self.policies[key] = policy._replace(state="retired")
