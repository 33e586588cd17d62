"""Backups in the store of valid policy records that the policy keys no longer hold."""

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
MAX_SAVES_PER_ROUND = 16

logger = logbook.Logger("verbenacross.agent.valid_copies")


class SavedCopy(NamedTuple):
    """A record saved under ``valid/``; ``revision`` is that of the saved value."""

    record: PolicyRecord
    revision: int


class ValidCopies:
    """Saves records in force under ``valid/``, so that they survive a full restart.

    Saved are records whose latest copy is invalid or reactivates a retired version,
    records that were deleted, and records that the store lost.
    """

    def __init__(self, store: KeyValueStore, table: PolicyTable) -> None:
        self._store = store
        self._table = table
        self.stored_revisions: dict[str, int] = {}
        self._saved: dict[str, SavedCopy] = {}
        self._too_large: set[PolicyRecord] = set()

    def load_saved(self, snapshot: StoreSnapshot) -> None:
        """Replaces the known saved copies by a snapshot of ``valid/``."""
        self._saved.clear()
        for entry in snapshot.values:
            self._load_entry(entry)

    def record_stored(self, record: PolicyRecord) -> None:
        """Records the revision of a policy key, or its deletion."""
        if record.body:
            self.stored_revisions[record.key] = record.revision
        else:
            self.stored_revisions.pop(record.key, None)

    def is_saved(self, record: PolicyRecord) -> bool:
        """Returns whether this revision of the record or a later one was saved."""
        saved = self._saved.get(record.key)
        return saved is not None and saved.record.revision >= record.revision

    async def save(self) -> None:
        """Saves records in force that the store lacks; raises ``StoreError``.

        At most ``MAX_SAVES_PER_ROUND`` records are saved in one call.
        """
        missing = [
            record
            for key, record in self._table.valid.items()
            if self.stored_revisions.get(key) != record.revision
            and not self.is_saved(record)
            and record not in self._too_large
        ]
        for record in missing[:MAX_SAVES_PER_ROUND]:
            await self._save(record)

    async def _save(self, record: PolicyRecord) -> None:
        key = VALID_PREFIX + record.key.removeprefix(POLICY_PREFIX)
        copy = {"revision": record.revision, "record": record.body.decode()}
        value = json.dumps(copy, ensure_ascii=False).encode()
        if len(value) > MAX_VALUE_BYTES:
            self._too_large.add(record)
            logger.error("cannot save the valid copy of {}: too large", record.key)
            return
        expected = ABSENT_REVISION
        current = await self._store.get(key)
        if current is not None:
            self._load_entry(current)
            expected = current.revision
        if self.is_saved(record):
            return
        try:
            revision = await self._store.put(key, value, expected)
        except StoreConflictError:
            return
        except StoreUnavailableError:
            # The write may have taken effect; the next call reads the key first.
            self._saved.pop(record.key, None)
            raise
        self._saved[record.key] = SavedCopy(record, revision)

    def _load_entry(self, entry: StoredValue) -> None:
        record = parse_saved(entry)
        if record is None:
            return
        self._saved[record.key] = SavedCopy(record, entry.revision)
        self._table.put(record)


def parse_saved(entry: StoredValue) -> PolicyRecord | None:
    """Parses the record in a value under ``valid/``; ``None`` if it is malformed."""
    key = POLICY_PREFIX + entry.key.removeprefix(VALID_PREFIX)
    try:
        copy = json.loads(entry.value or b"null")
        return PolicyRecord(key, int(copy["revision"]), str(copy["record"]).encode())
    except (KeyError, TypeError, ValueError) as error:
        logger.error("malformed saved copy in {}: {!r}", entry.key, error)
        return None
