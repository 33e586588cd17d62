"""Model of the platform's store with copies that it may be restored from."""

from __future__ import annotations

from typing import NamedTuple

from verbenacross.feed.record_log import RecordLog
from verbenacross.infrastructure.exceptions import HistoryLostError
from verbenacross.infrastructure.key_value_store import StoredValue, StoreSnapshot


class StoreCopy(NamedTuple):
    """The history and what is compacted of it at some moment."""

    history: tuple[StoredValue, ...]
    compacted: int


class ModelStore:
    """A store whose history holds a record per revision, deletions included.

    ``base_revision`` is the revision at which the current era began: later records were
    written after the store was restored.
    """

    def __init__(self) -> None:
        self.era = 1
        self.base_revision = 0
        self.compacted = 0
        self.history: list[StoredValue] = []

    @property
    def revision(self) -> int:
        return len(self.history)

    def write(self, key: str, value: bytes | None) -> StoredValue:
        record = StoredValue(key, value, self.revision + 1)
        self.history.append(record)
        return record

    def compact(self) -> None:
        self.compacted = self.revision

    def copy(self) -> StoreCopy:
        return StoreCopy(tuple(self.history), self.compacted)

    def restore(self, saved: StoreCopy) -> None:
        self.history = [*saved.history]
        self.compacted = saved.compacted
        self.base_revision = self.revision
        self.era += 1

    def get_content(self, revision: int | None = None) -> dict[str, StoredValue]:
        """Returns the existing records as of a revision."""
        latest = {record.key: record for record in self.history[:revision]}
        return {key: r for key, r in latest.items() if r.value is not None}

    def read(self) -> StoreSnapshot:
        records = tuple(self.get_content().values())
        return StoreSnapshot(self.revision, records, self.era)

    def watch(self, revision: int) -> StoreSnapshot:
        if not self.compacted <= revision <= self.revision:
            raise HistoryLostError(f"revision {revision}")
        return StoreSnapshot(self.revision, tuple(self.history[revision:]), self.era)

    def synchronize(self, log: RecordLog) -> tuple[StoredValue, ...]:
        """Brings a log up to date as a reader does; returns the records it was sent."""
        snapshot = None
        if log.position.era == self.era:
            try:
                snapshot = self.watch(log.revision)
            except HistoryLostError:
                snapshot = None
        is_complete = snapshot is None
        snapshot = snapshot or self.read()
        log.merge(snapshot.values, snapshot.position, "store", is_complete=is_complete)
        return snapshot.values
