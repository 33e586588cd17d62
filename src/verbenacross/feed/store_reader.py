"""Reads the store's records once and then watches what changes."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import logbook

from ..infrastructure.exceptions import (
    HistoryLostError,
    StoreError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..infrastructure.key_value_store import CheckedStore, StoreSnapshot
    from .record_log import RecordLog

# Each wait is one priced call. It also bounds how long a connection that has gone
# silent stays unnoticed.
WATCH_WAIT_MS = 3_000
# Pause after news, so that changes in quick succession share a call, and an instance
# that finds a source by then needs no further one, in seconds.
GATHER_S = 0.25
# A check is a tenth of a call and runs when nothing was heard for so long, in seconds.
CHECK_INTERVAL_S = 0.5
# After this silence, subscribers are told to look elsewhere, in seconds.
FRESH_S = 1.0
# First pause after a failed call and the longest, in seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
SOURCE = "store"

logger = logbook.Logger("verbenacross.feed.store_reader")


class StoreReader:
    """Reads the store's records once and then watches what changes."""

    def __init__(self, store: CheckedStore, prefix: str, log: RecordLog) -> None:
        self.calls = 0
        self.checks = 0
        self.is_connected = False
        self._last_contact = -FRESH_S
        self._store = store
        self._prefix = prefix
        self._log = log
        self._lost_at = 0.0
        self._revision = 0
        # Called when the store is reached again, before its records are taken.
        self.on_contact: Callable[[], None] = lambda: None

    def is_fresh(self) -> bool:
        """Returns whether the store was heard of just now."""
        silent_s = time.monotonic() - self._last_contact
        return self.is_connected and silent_s < FRESH_S

    async def run(self) -> None:
        """Reads and watches until cancelled."""
        self._revision = self._log.revision
        pause_s = FIRST_PAUSE_S
        try:
            while True:
                try:
                    await self._catch_up()
                    pause_s = FIRST_PAUSE_S
                    await self._stay_in_touch()
                except HistoryLostError as error:
                    extra = {"at": str(error)}
                    logger.info("store history lost, reading all", extra=extra)
                    self._revision = 0
                except StoreError as error:
                    self._note_loss(error)
                    await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
                    pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
        finally:
            self._last_contact = -FRESH_S
            self.is_connected = False

    async def _catch_up(self) -> None:
        """Takes what is new; returns at once when the store is away."""
        if self._revision == 0:
            self.calls += 1
            snapshot = await self._store.read_prefix(self._prefix)
            self._take(snapshot, is_complete=True)
            await asyncio.sleep(GATHER_S)
            return
        # A check costs less while the store is away, and only an answer at once lets
        # subscribers know that this instance is in touch.
        self.checks += 1
        await self._store.check()
        await self._watch(wait_ms=0)

    async def _stay_in_touch(self) -> None:
        """Follows what changes until the store is lost; raises ``StoreError``."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow())
                group.create_task(self._check())
        except ExceptionGroup as group:
            raise group.exceptions[0] from None

    async def _follow(self) -> None:
        while True:
            await self._watch(WATCH_WAIT_MS)

    async def _watch(self, wait_ms: int) -> None:
        self.calls += 1
        snapshot = await self._store.watch(self._prefix, self._revision, wait_ms)
        self._take(snapshot, is_complete=False)
        if snapshot.values:
            await asyncio.sleep(GATHER_S)

    async def _check(self) -> None:
        """Notices within ``FRESH_S`` that the store cannot be reached any more.

        Raises ``StoreUnavailableError`` when it can be reached, but a watch on another
        connection has not been answered since it could not.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            silent_s = time.monotonic() - self._last_contact
            if self.is_connected and silent_s < CHECK_INTERVAL_S:
                continue
            if await self._is_reached() or await self._is_reached():
                if not self.is_connected:
                    raise StoreUnavailableError("the connection has gone silent")
                self._last_contact = time.monotonic()

    async def _is_reached(self) -> bool:
        """Returns whether the store answers; a new connection is used after a loss."""
        self.checks += 1
        try:
            await self._store.check()
        except StoreError as error:
            self._note_loss(error)
            return False
        return True

    def _take(self, snapshot: StoreSnapshot, *, is_complete: bool) -> None:
        self._note_contact()
        self._revision = snapshot.revision
        self._log.take(
            snapshot.values, snapshot.revision, SOURCE, is_complete=is_complete
        )

    def _note_contact(self) -> None:
        if not self.is_connected:
            self.on_contact()
        self._last_contact = time.monotonic()
        if self.is_connected:
            return
        self.is_connected = True
        away_s = time.monotonic() - self._lost_at if self._lost_at else 0.0
        logger.info("store reached", extra={"away_s": round(away_s, 3)})

    def _note_loss(self, error: StoreError) -> None:
        if not self.is_connected:
            return
        self.is_connected = False
        self._lost_at = time.monotonic()
        logger.warning("store lost", extra={"reason": str(error)})
