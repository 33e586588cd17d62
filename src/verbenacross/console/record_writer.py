"""Writes policy records and finds out whether a write took effect."""

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
    """A key of the store as it was read.

    ``revision`` is 0 and ``body`` is ``None`` when the key is absent.
    ``store_revision`` is the revision of the whole store at the time of the read.
    """

    key: str
    body: bytes | None
    revision: int
    store_revision: int


class RecordWriter:
    """Writes a record by compare-and-swap.

    A write without an answer may have taken effect or may still do so, so it is read
    back and, while the key is unchanged, sent again: compare-and-swap lets at most one
    copy of it take effect. ``timeout_ms`` bounds how long that goes on.
    """

    def __init__(self, store: KeyValueStore, timeout_ms: int) -> None:
        self._store = store
        self._timeout_s = timeout_ms / MS_PER_S

    async def read(self, key: str) -> CurrentRecord:
        """Returns what the store holds under a key."""
        return pick_current(key, await self._store.read_prefix(key))

    async def write(self, body: bytes, before: CurrentRecord) -> int:
        """Writes a body if the key is as it was read; returns the new revision.

        Raises ``StoreConflictError`` when another write came first,
        ``WriteRefusedError`` when the store refused the write, and
        ``OutcomeUnknownError`` when it cannot be found out whether it took effect.
        """
        try:
            return await self._store.put(before.key, body, before.revision)
        except (StoreUnavailableError, StoreConflictError) as error:
            # The HTTP client itself sends a PUT twice when the connection breaks, so
            # a conflict may be one with the first copy of this very write.
            return await self._resolve(body, before, error)
        except StoreError as error:
            return await self._resolve(body, before, error, refused=True)

    async def _resolve(
        self,
        body: bytes,
        before: CurrentRecord,
        cause: StoreError,
        refused: bool = False,
    ) -> int:
        deadline = time.monotonic() + self._timeout_s
        while True:
            try:
                revision = await self._find_write(body, before)
                if revision is None and refused:
                    raise WriteRefusedError(str(cause)) from cause
                if revision is None:
                    revision = await self._write_again(body, before)
                if revision is not None:
                    return revision
            except StoreConflictError:
                raise
            except StoreError as error:
                cause = error
            if time.monotonic() >= deadline:
                raise OutcomeUnknownError(str(cause)) from cause
            await asyncio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))

    async def _write_again(self, body: bytes, before: CurrentRecord) -> int | None:
        try:
            return await self._store.put(before.key, body, before.revision)
        except StoreConflictError:
            # The first copy may have arrived in the meantime; only a read can tell.
            return None

    async def _find_write(self, body: bytes, before: CurrentRecord) -> int | None:
        """Returns the revision of the write, ``None`` while the key is unchanged.

        Raises ``StoreConflictError`` when another write took its place.
        """
        now = await self.read(before.key)
        if now.revision == before.revision:
            return None
        if now.body == body:
            return now.revision
        history = await self._store.watch(before.key, before.store_revision, 0)
        changes = [value for value in history.values if value.key == before.key]
        if not changes:
            raise StoreError("the store shows no history of the record")
        # Compare-and-swap admits the write only as the first change after the read.
        if changes[0].value == body:
            return changes[0].revision
        raise StoreConflictError(before.key, before.revision, now.revision)


def pick_current(key: str, snapshot: StoreSnapshot) -> CurrentRecord:
    """Returns the record of a key in a snapshot of the keys that begin with it."""
    for value in snapshot.values:
        if value.key == key:
            return CurrentRecord(key, value.value, value.revision, snapshot.revision)
    return CurrentRecord(key, None, ABSENT_REVISION, snapshot.revision)
