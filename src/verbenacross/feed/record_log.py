"""Local copy of the store's records, merged from any source."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from reactivex.subject import Subject

from ..infrastructure.key_value_store import (
    NO_POSITION,
    StoredValue,
    StorePosition,
)
from .exceptions import FeedError

if TYPE_CHECKING:
    from collections.abc import Iterable

# A subscriber that was disconnected for longer receives all records, not the changes.
TOMBSTONE_LIFETIME_S = 60.0


class RecordBatch(NamedTuple):
    """Records that were newer than the local copy, and their source.

    ``is_restored`` means that they are all records of a store that has been restored
    from a copy, as far as they were known or exist; others were changed since.
    """

    records: tuple[StoredValue, ...]
    source: str
    era: int
    is_restored: bool = False


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

    ``position`` is the position of the store up to which the copy is complete;
    ``loaded`` is set by the first merge. ``batches`` emits the records that changed the
    copy. An older record never replaces a newer one, and records of an earlier era are
    older than all of the current one. ``ignored_count`` counts those that were merged
    and not newer.
    """

    def __init__(self) -> None:
        self.ignored_count = 0
        self.position = NO_POSITION
        self.loaded = asyncio.Event()
        self.batches: Subject[RecordBatch] = Subject()
        self._records: dict[str, StoredValue] = {}
        self._tombstones: deque[Tombstone] = deque()
        # All deletions after this revision are known.
        self._compacted_revision = 0

    @property
    def revision(self) -> int:
        """The revision of ``position``."""
        return self.position.revision

    def merge(
        self,
        records: Iterable[StoredValue],
        position: StorePosition,
        source: str,
        *,
        is_complete: bool,
    ) -> MergeCounts:
        """Merges records that are complete up to a position.

        With ``is_complete``, ``records`` are all records at that position, so every
        other key is deleted; otherwise they are the changes since an earlier one.
        Raises ``FeedError`` for changes in an era whose other records are unknown.
        """
        candidates = {record.key: record for record in records}
        if position.era < self.position.era:
            self.ignored_count += len(candidates)
            return MergeCounts(0, len(candidates))
        is_restored = position.era > self.position.era
        if is_restored:
            if not is_complete:
                raise FeedError(
                    f"changes of era {position.era} cannot be merged into records of "
                    f"era {self.position.era}"
                )
            self._begin_era(position.era)
        revision = position.revision
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
        self.position = max(self.position, position)
        self.loaded.set()
        self._expire_tombstones()
        ignored = len(candidates) - len(newer)
        self.ignored_count += ignored
        if newer:
            self.batches.on_next(RecordBatch(newer, source, position.era, is_restored))
        return MergeCounts(len(newer), ignored)

    def get_revision(self, key: str) -> int:
        """Returns the revision of a key, 0 if it does not exist."""
        record = self._records.get(key)
        return record.revision if record and record.value is not None else 0

    def get_records_since(
        self, position: StorePosition
    ) -> tuple[tuple[StoredValue, ...], bool]:
        """Returns records changed after a position, and whether these are all records.

        All records are returned for revision 0, for a position of another era, and for
        one after which deletions may be unknown: they have expired, or preceded the
        last complete merge.
        """
        era, revision = position
        if (
            era != self.position.era
            or revision == 0
            or revision < self._compacted_revision
        ):
            existing = (
                record for record in self._records.values() if record.value is not None
            )
            return tuple(existing), True
        changed = (
            record for record in self._records.values() if record.revision > revision
        )
        return tuple(changed), False

    def _begin_era(self, era: int) -> None:
        """Makes the known records older than any record of a new era."""
        self.position = StorePosition(era, 0)
        self._records = {
            key: record._replace(revision=0)
            for key, record in self._records.items()
            if record.value is not None
        }
        self._tombstones.clear()
        self._compacted_revision = 0

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
