"""Compare-and-swap writes of policy records, with resolution of unknown outcomes."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from ..infrastructure.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from ..infrastructure.key_value_store import ABSENT_REVISION
from .exceptions import OutcomeUnknownError, WriteRefusedError

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import KeyValueStore, StoreSnapshot

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
MS_PER_S = 1_000


class CurrentRecord(NamedTuple):
    """A record as it was read from the store.

    ``revision`` is 0 and ``body`` is ``None`` if the key is absent.
    ``store_revision`` is the revision of the whole store at the time of the read.
    """

    key: str
    body: bytes | None
    revision: int
    store_revision: int


class RecordWriter:
    """Writes records by compare-and-swap.

    A write without a response may have taken effect or may still do so. The key is
    therefore read back and, while it is unchanged, the write is retried;
    compare-and-swap lets at most one of these writes take effect. ``timeout_ms`` limits
    the time for this.
    """

    def __init__(self, store: KeyValueStore, timeout_ms: int) -> None:
        self._store = store
        self._timeout_s = timeout_ms / MS_PER_S

    async def read(self, key: str) -> CurrentRecord:
        """Reads the record of a key."""
        return extract_record(key, await self._store.read_prefix(key))

    async def write(self, body: bytes, expected: CurrentRecord) -> int:
        """Writes a body if the key is still at the expected revision.

        Returns the new revision. Raises ``StoreConflictError`` if another write came
        first, ``WriteRefusedError`` if the store refused the write, and
        ``OutcomeUnknownError`` if it cannot be determined whether it took effect.
        """
        try:
            return await self._store.put(expected.key, body, expected.revision)
        except (StoreUnavailableError, StoreConflictError) as error:
            # The HTTP client repeats a PUT when the connection breaks, so a conflict
            # may have been caused by the first copy of this same write.
            return await self._resolve_outcome(body, expected, error)
        except StoreError as error:
            return await self._resolve_outcome(body, expected, error, refused=True)

    async def _resolve_outcome(
        self,
        body: bytes,
        expected: CurrentRecord,
        cause: StoreError,
        refused: bool = False,
    ) -> int:
        deadline = time.monotonic() + self._timeout_s
        while True:
            try:
                revision = await self._find_own_write(body, expected)
                if revision is None and refused:
                    raise WriteRefusedError(str(cause)) from cause
                if revision is None:
                    revision = await self._retry_write(body, expected)
                if revision is not None:
                    return revision
            except StoreConflictError:
                raise
            except StoreError as error:
                cause = error
            if time.monotonic() >= deadline:
                raise OutcomeUnknownError(str(cause)) from cause
            await asyncio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))

    async def _retry_write(self, body: bytes, expected: CurrentRecord) -> int | None:
        try:
            return await self._store.put(expected.key, body, expected.revision)
        except StoreConflictError:
            # The original write may have arrived late; only a read can tell.
            return None

    async def _find_own_write(self, body: bytes, expected: CurrentRecord) -> int | None:
        """Returns the revision of this write, ``None`` while the key is unchanged.

        Raises ``StoreConflictError`` if another write changed the key first.
        """
        current = await self.read(expected.key)
        if current.revision == expected.revision:
            return None
        if current.body == body:
            return current.revision
        history = await self._store.watch(expected.key, expected.store_revision, 0)
        changes = [value for value in history.values if value.key == expected.key]
        if not changes:
            raise StoreError("the store returned no change history for the record")
        # Under compare-and-swap this write can only be the first change after the read.
        if changes[0].value == body:
            return changes[0].revision
        raise StoreConflictError(expected.key, expected.revision, current.revision)


def extract_record(key: str, snapshot: StoreSnapshot) -> CurrentRecord:
    """Returns the record of a key from a snapshot of the keys with that prefix."""
    for value in snapshot.values:
        if value.key == key:
            return CurrentRecord(key, value.value, value.revision, snapshot.revision)
    return CurrentRecord(key, None, ABSENT_REVISION, snapshot.revision)
