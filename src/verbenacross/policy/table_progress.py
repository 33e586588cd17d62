"""Tracks the store revision up to which a policy table is complete."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex.subject import Subject

from .policy_record import PolicyRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .policy_table import PolicyTable


class TableProgress:
    """The store revision up to which a policy table is complete.

    A table that is complete up to R holds every record whose last change has a revision
    of at most R. The watermark never decreases; ``changes`` emits each new value.
    ``losses`` emits when the store is first known to have lost writes.
    """

    def __init__(self, table: PolicyTable) -> None:
        self.table = table
        self.synchronized = False
        self.watermark = 0
        self.lost_after: int | None = None
        self.changes: Subject[int] = Subject()
        self.losses: Subject[int] = Subject()

    def advance_to(self, revision: int) -> None:
        """Advances the watermark to a revision that the table is complete up to."""
        if self.synchronized and revision <= self.watermark:
            return
        self.synchronized = True
        self.watermark = max(self.watermark, revision)
        self.changes.on_next(self.watermark)

    def record_loss(self, revision: int) -> None:
        """Records that the store lost its writes after a revision.

        The store then assigns revisions below the watermark to new records.
        """
        if self.lost_after is None:
            self.lost_after = revision
            self.losses.on_next(revision)

    def merge(self, records: Iterable[PolicyRecord]) -> int:
        """Merges copies from a peer or an entry; returns how many changed the table."""
        return self.table.put_all(self._replace_deleted(record) for record in records)

    def _replace_deleted(self, record: PolicyRecord) -> PolicyRecord:
        # If the table is complete and lacks the key, the record has been deleted. The
        # sender missed the deletion, and its copy must not restore the record.
        is_unknown = record.key not in self.table.latest and self.lost_after is None
        if is_unknown and self.synchronized and record.revision <= self.watermark:
            return PolicyRecord(record.key, self.watermark, b"")
        return record
