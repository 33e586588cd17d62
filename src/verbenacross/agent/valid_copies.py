"""Copies in force that the operators' keys in the store no longer hold."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

import logbook

from ..infrastructure.exceptions import StoreConflictError, StoreUnavailableError
from ..infrastructure.key_value_store import ABSENT_REVISION, MAX_VALUE_BYTES
from ..policy.policy_record import POLICY_PREFIX, PolicyRecord

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import (
        KeyValueStore,
        StoredValue,
        StoreSnapshot,
    )
    from ..policy import PolicyTable

VALID_PREFIX = "valid/"
MAX_SAVES_AT_ONCE = 16

logger = logbook.Logger("verbenacross.agent.valid_copies")


class SavedCopy(NamedTuple):
    """A copy under ``valid/`` and the revision at which it was saved."""

    record: PolicyRecord
    revision: int


class ValidCopies:
    """Saves copies in force under ``valid/``, so that they outlive every instance.

    That concerns records whose latest copy is invalid or revives a retired version,
    records that were deleted, and records that the store lost.
    """

    def __init__(self, store: KeyValueStore, table: PolicyTable) -> None:
        self._store = store
        self._table = table
        self.stored: dict[str, int] = {}
        self._saved: dict[str, SavedCopy] = {}
        self._too_large: set[PolicyRecord] = set()

    def take_saved(self, snapshot: StoreSnapshot) -> None:
        """Takes the copies under ``valid/``."""
        self._saved.clear()
        for entry in snapshot.values:
            self._take_entry(entry)

    def note_stored(self, record: PolicyRecord) -> None:
        """Notes what an operators' key holds."""
        if record.body:
            self.stored[record.key] = record.revision
        else:
            self.stored.pop(record.key, None)

    def is_saved(self, record: PolicyRecord) -> bool:
        """Returns whether this copy or a later one was saved."""
        saved = self._saved.get(record.key)
        return saved is not None and saved.record.revision >= record.revision

    async def save(self) -> None:
        """Saves the copies in force that the store lacks; raises ``StoreError``."""
        missing = [
            record
            for key, record in self._table.valid.items()
            if self.stored.get(key) != record.revision
            and not self.is_saved(record)
            and record not in self._too_large
        ]
        for record in missing[:MAX_SAVES_AT_ONCE]:
            await self._save(record)

    async def _save(self, record: PolicyRecord) -> None:
        key = VALID_PREFIX + record.key.removeprefix(POLICY_PREFIX)
        copy = {"revision": record.revision, "record": record.body.decode()}
        value = json.dumps(copy, ensure_ascii=False).encode()
        if len(value) > MAX_VALUE_BYTES:
            self._too_large.add(record)
            logger.error("valid copy of {} is too large to be saved", record.key)
            return
        expected = ABSENT_REVISION
        current = await self._store.get(key)
        if current is not None:
            self._take_entry(current)
            expected = current.revision
        if self.is_saved(record):
            return
        try:
            revision = await self._store.put(key, value, expected)
        except StoreConflictError:
            return
        except StoreUnavailableError:
            # The write may have taken effect; the next attempt reads it first.
            self._saved.pop(record.key, None)
            raise
        self._saved[record.key] = SavedCopy(record, revision)

    def _take_entry(self, entry: StoredValue) -> None:
        record = read_saved(entry)
        if record is None:
            return
        self._saved[record.key] = SavedCopy(record, entry.revision)
        self._table.put(record)


def read_saved(entry: StoredValue) -> PolicyRecord | None:
    """Returns the copy in a value under ``valid/``, ``None`` if it is malformed."""
    key = POLICY_PREFIX + entry.key.removeprefix(VALID_PREFIX)
    try:
        copy = json.loads(entry.value or b"null")
        return PolicyRecord(key, int(copy["revision"]), str(copy["record"]).encode())
    except (KeyError, TypeError, ValueError) as error:
        logger.error("malformed copy in {}: {!r}", entry.key, error)
        return None
