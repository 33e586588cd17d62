"""The store's records as this instance knows them."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from reactivex.subject import Subject

from ..infrastructure.key_value_store import StoredValue

if TYPE_CHECKING:
    from collections.abc import Iterable

# A subscriber that was away for longer gets all records instead of the changes.
KEEP_DELETIONS_S = 60.0


class RecordBatch(NamedTuple):
    """Records that are new to this instance, and where they were learned."""

    records: tuple[StoredValue, ...]
    source: str


class Deletion(NamedTuple):
    """A deletion that is kept for subscribers."""

    deleted_at: float
    key: str
    revision: int


class RecordLog:
    """The store's records as this instance knows them, whoever told it.

    ``revision`` is that of the store up to which nothing is missing; ``known`` is set
    with the first records. ``batches`` emits what is new; an older record never
    replaces a newer one.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.known = asyncio.Event()
        self.batches: Subject[RecordBatch] = Subject()
        self._records: dict[str, StoredValue] = {}
        self._deletions: deque[Deletion] = deque()
        self._forgotten_revision = 0

    def take(
        self,
        records: Iterable[StoredValue],
        revision: int,
        source: str,
        *,
        is_complete: bool,
    ) -> None:
        """Takes records that are complete up to a revision."""
        offered = {record.key: record for record in records}
        if is_complete:
            for key, known in self._records.items():
                is_older = known.value is not None and known.revision <= revision
                if is_older and key not in offered:
                    offered[key] = StoredValue(key, None, revision)
        new = tuple(record for record in offered.values() if self._is_new(record))
        for record in new:
            self._records[record.key] = record
            if record.value is None:
                self._note_deletion(record)
        self.revision = max(self.revision, revision)
        self.known.set()
        self._forget_deletions()
        if new:
            self.batches.on_next(RecordBatch(new, source))

    def get_revision(self, key: str) -> int:
        """Returns the revision of a key, 0 if it does not exist."""
        record = self._records.get(key)
        return record.revision if record and record.value is not None else 0

    def find_since(self, revision: int) -> tuple[tuple[StoredValue, ...], bool]:
        """Returns the records after a revision and whether these are all records."""
        if revision == 0 or revision < self._forgotten_revision:
            existing = (
                record for record in self._records.values() if record.value is not None
            )
            return tuple(existing), True
        changed = (
            record for record in self._records.values() if record.revision > revision
        )
        return tuple(changed), False

    def _is_new(self, record: StoredValue) -> bool:
        known = self._records.get(record.key)
        # Everything up to the log's revision is known, also what was deleted since.
        newest = self.revision if known is None else max(self.revision, known.revision)
        return record.revision > newest

    def _note_deletion(self, record: StoredValue) -> None:
        self._deletions.append(Deletion(time.monotonic(), record.key, record.revision))

    def _forget_deletions(self) -> None:
        oldest = time.monotonic() - KEEP_DELETIONS_S
        while self._deletions and self._deletions[0].deleted_at < oldest:
            _, key, revision = self._deletions.popleft()
            if self._records[key].revision == revision:
                del self._records[key]
                self._forgotten_revision = max(self._forgotten_revision, revision)
