"""Local copy of the store's records, merged from any source."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from reactivex.subject import Subject

from ..infrastructure.key_value_store import StoredValue

if TYPE_CHECKING:
    from collections.abc import Iterable

# A subscriber that was disconnected for longer receives all records, not the changes.
TOMBSTONE_LIFETIME_S = 60.0


class RecordBatch(NamedTuple):
    """Records that were newer than the local copy, and the source they came from."""

    records: tuple[StoredValue, ...]
    source: str


class MergeCounts(NamedTuple):
    """How many records of a merge changed the copy, and how many it already had."""

    taken: int
    ignored: int


class Tombstone(NamedTuple):
    """A deleted key, kept so that subscribers receive the deletion."""

    deleted_at: float
    key: str
    revision: int


class RecordLog:
    """Local copy of the store's records, merged from the store and from peers.

    ``revision`` is the store revision up to which the copy is complete; ``loaded`` is
    set by the first merge. ``batches`` emits the records that changed the copy. An
    older record never replaces a newer one. ``ignored_count`` counts those that were
    merged and not newer.
    """

    def __init__(self) -> None:
        self.ignored_count = 0
        self.revision = 0
        self.loaded = asyncio.Event()
        self.batches: Subject[RecordBatch] = Subject()
        self._records: dict[str, StoredValue] = {}
        self._tombstones: deque[Tombstone] = deque()
        # All deletions after this revision are known.
        self._compacted_revision = 0

    def merge(
        self,
        records: Iterable[StoredValue],
        revision: int,
        source: str,
        *,
        is_complete: bool,
    ) -> MergeCounts:
        """Merges records that are complete up to a revision.

        With ``is_complete``, ``records`` are all records at that revision, so every
        other key is deleted; otherwise they are the changes since an earlier one.
        """
        candidates = {record.key: record for record in records}
        if is_complete:
            for key, known in self._records.items():
                is_older = known.value is not None and known.revision <= revision
                if is_older and key not in candidates:
                    candidates[key] = StoredValue(key, None, revision)
        newer = tuple(record for record in candidates.values() if self._is_new(record))
        for record in newer:
            self._records[record.key] = record
            if record.value is None:
                self._add_tombstone(record)
        if is_complete and revision > self.revision:
            # Records that were written and deleted since the previous revision are not
            # among these.
            self._compacted_revision = revision
        self.revision = max(self.revision, revision)
        self.loaded.set()
        self._expire_tombstones()
        ignored = len(candidates) - len(newer)
        self.ignored_count += ignored
        if newer:
            self.batches.on_next(RecordBatch(newer, source))
        return MergeCounts(len(newer), ignored)

    def get_revision(self, key: str) -> int:
        """Returns the revision of a key, 0 if it does not exist."""
        record = self._records.get(key)
        return record.revision if record and record.value is not None else 0

    def get_records_since(self, revision: int) -> tuple[tuple[StoredValue, ...], bool]:
        """Returns records changed after a revision, and whether these are all records.

        All records are returned for revision 0, and for a revision after which
        deletions may be unknown: they have expired, or preceded the last complete
        merge.
        """
        if revision == 0 or revision < self._compacted_revision:
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
        # The copy is complete up to its revision, so an older record of an absent key
        # has been deleted since.
        newest = self.revision if known is None else max(self.revision, known.revision)
        return record.revision > newest

    def _add_tombstone(self, record: StoredValue) -> None:
        self._tombstones.append(
            Tombstone(time.monotonic(), record.key, record.revision)
        )

    def _expire_tombstones(self) -> None:
        oldest = time.monotonic() - TOMBSTONE_LIFETIME_S
        while self._tombstones and self._tombstones[0].deleted_at < oldest:
            _, key, revision = self._tombstones.popleft()
            if self._records[key].revision == revision:
                del self._records[key]
                self._compacted_revision = max(self._compacted_revision, revision)
