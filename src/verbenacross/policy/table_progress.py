"""Tracks the store revision up to which a policy table is complete."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from reactivex.subject import Subject

from ..infrastructure.key_value_store import StorePosition
from .policy_record import PolicyRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .policy_table import PolicyTable

# How long records that a restored store lost stay in force unless they are written
# again, in seconds: the same time as for configurations.
CARRY_OVER_S = 300.0


class TableProgress:
    """The store revision up to which a policy table is complete.

    A table that is complete up to R holds every record whose last change has a revision
    of at most R. Revisions are packed with their era. The watermark never decreases;
    ``changes`` emits each new value. ``losses`` emits when the store is first known to
    have lost writes in an era.
    """

    def __init__(
        self, table: PolicyTable, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.table = table
        self.synchronized = False
        self.watermark = 0
        self.lost_after: int | None = None
        self.changes: Subject[int] = Subject()
        self.losses: Subject[int] = Subject()
        self._clock = clock
        self._carries_over_until = 0.0

    @property
    def era(self) -> int:
        """The era of the watermark."""
        return StorePosition.unpack(self.watermark).era

    def is_carrying_over(self, era: int) -> bool:
        """Returns whether records of earlier eras may outweigh those of an era.

        They do for ``CARRY_OVER_S`` after this process has learned of the era.
        """
        return era > self.era or self._clock() < self._carries_over_until

    def advance_to(self, revision: int) -> None:
        """Advances the watermark to a revision that the table is complete up to."""
        if self.synchronized and revision <= self.watermark:
            return
        if StorePosition.unpack(revision).era > self.era:
            self._carries_over_until = self._clock() + CARRY_OVER_S
            self.lost_after = None
        self.synchronized = True
        self.watermark = max(self.watermark, revision)
        self.changes.on_next(self.watermark)

    def record_loss(self, revision: int) -> None:
        """Records that the store lost its writes after a revision.

        The store then assigns revisions below the watermark to new records. In a later
        era their order is known again.
        """
        is_earlier = StorePosition.unpack(revision).era < self.era
        if self.lost_after is None and not is_earlier:
            self.lost_after = revision
            self.losses.on_next(revision)

    def merge(self, records: Iterable[PolicyRecord]) -> int:
        """Merges copies from a peer or an entry; returns how many changed the table."""
        return self.table.put_all(
            self._replace_deleted(record)
            for record in records
            if not self.is_older_copy(record)
        )

    def is_older_copy(self, record: PolicyRecord) -> bool:
        """Returns whether a restored store shows a copy that is known to be replaced.

        The copy that replaced it is of an earlier era and is still carried over.
        """
        latest = self.table.latest.get(record.key)
        if latest is None:
            return False
        era = record.position.era
        return (
            latest.position.era < era
            and self.is_carrying_over(era)
            and record in self.table.superseded
        )

    def _replace_deleted(self, record: PolicyRecord) -> PolicyRecord:
        # If the table is complete and lacks the key, the record has been deleted. The
        # sender missed the deletion, and its copy must not restore the record.
        is_unknown = record.key not in self.table.latest and self.lost_after is None
        if not (is_unknown and self.synchronized) or record.revision > self.watermark:
            return record
        is_lost = record.position.era < self.era and self.is_carrying_over(self.era)
        return record if is_lost else PolicyRecord(record.key, self.watermark, b"")
