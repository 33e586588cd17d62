"""Reads the store's records and then watches them for changes."""

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
from ..infrastructure.key_value_store import NO_POSITION

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..infrastructure.key_value_store import CheckedStore, StoreSnapshot
    from .record_log import MergeCounts, RecordLog

# Each long poll is one billed call. Its duration also bounds how long a connection that
# no longer delivers data goes undetected.
WATCH_WAIT_MS = 3_000
# Delay before the next call after changes, in seconds. Changes in quick succession
# share a call, and an instance that finds a source meanwhile needs no further call.
BATCH_DELAY_S = 0.25
# The same while changes go on, for example as servers join one after the other. It is
# part of the time until a configuration is in force or a server is drained.
LONG_BATCH_DELAY_S = 0.5
# A health check costs a tenth of a call; it runs if the store has not answered for this
# time, in seconds.
CHECK_INTERVAL_S = 0.5
# Subscribers are told to use another source if the store has not answered for this
# time, in seconds.
FRESHNESS_TIMEOUT_S = 1.0
# Delay after the first failed call, doubled up to the maximum, in seconds.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
STORE_SOURCE = "store"

logger = logbook.Logger("verbenacross.feed.store_reader")


class StoreReader:
    """Reads the store's records into a log and then watches them for changes.

    ``on_connected`` is called when the store answers again, before its records are
    merged, ``on_lost`` when it no longer does. ``is_failing`` is set while the last
    call failed.
    """

    def __init__(self, store: CheckedStore, prefix: str, log: RecordLog) -> None:
        self.call_count = 0
        self.check_count = 0
        self.is_connected = False
        self.is_failing = False
        self._last_contact_at = -FRESHNESS_TIMEOUT_S
        self._store = store
        self._prefix = prefix
        self._log = log
        self._lost_at = 0.0
        self._position = NO_POSITION
        self.on_connected: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None

    def is_fresh(self) -> bool:
        """Returns whether the store answered within ``FRESHNESS_TIMEOUT_S``."""
        idle_s = time.monotonic() - self._last_contact_at
        return self.is_connected and idle_s < FRESHNESS_TIMEOUT_S

    async def run(self) -> None:
        """Reads and watches the store until cancelled; retries with backoff."""
        self._position = self._log.position
        backoff_s = INITIAL_BACKOFF_S
        try:
            while True:
                try:
                    await self._catch_up()
                    backoff_s = INITIAL_BACKOFF_S
                    await self._watch_until_lost()
                except HistoryLostError as error:
                    extra = {"at": str(error)}
                    logger.info("store history lost, reading all records", extra=extra)
                    self._handle_lost_history()
                except StoreError as error:
                    self._record_loss(error)
                    await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                    backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        finally:
            self._last_contact_at = -FRESHNESS_TIMEOUT_S
            self.is_connected = False
            self.is_failing = False

    def _handle_lost_history(self) -> None:
        """Continues from the records of a peer in a later era, else reads all."""
        if self._log.position.era > self._position.era:
            self._position = self._log.position
        else:
            self._position = NO_POSITION

    async def _catch_up(self) -> None:
        """Merges what changed since the local position, without waiting for changes."""
        if self._position == NO_POSITION:
            self.call_count += 1
            previous = self._log.position
            snapshot = await self._store.read_prefix(self._prefix)
            counts = self._merge_snapshot(snapshot, is_complete=True)
            logger.info(
                "read all records",
                extra={
                    "era": snapshot.era,
                    "revision": snapshot.revision,
                    "previous_era": previous.era,
                    "previous_revision": previous.revision,
                    "taken": counts.taken,
                    "ignored": counts.ignored,
                },
            )
            await asyncio.sleep(BATCH_DELAY_S)
            return
        # While the store is unavailable, a check costs less than a watch. A watch that
        # waits would delay the moment at which subscribers learn that this instance is
        # connected.
        await self._check()
        if await self._watch(wait_ms=0):
            await asyncio.sleep(BATCH_DELAY_S)

    async def _watch_until_lost(self) -> None:
        """Watches for changes until the store fails; raises ``StoreError``."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch_continuously())
                group.create_task(self._monitor_connection())
        except ExceptionGroup as group:
            raise group.exceptions[0] from None

    async def _watch_continuously(self) -> None:
        delay_s = BATCH_DELAY_S
        while True:
            started = time.monotonic()
            if not await self._watch(WATCH_WAIT_MS):
                continue
            waited_s = time.monotonic() - started
            delay_s = LONG_BATCH_DELAY_S if waited_s < delay_s else BATCH_DELAY_S
            await asyncio.sleep(delay_s)

    async def _watch(self, wait_ms: int) -> bool:
        """Merges the next changes; returns whether there were any."""
        self.call_count += 1
        revision = self._position.revision
        snapshot = await self._store.watch(self._prefix, revision, wait_ms)
        self._compare_era(snapshot.era)
        self._merge_snapshot(snapshot, is_complete=False)
        return bool(snapshot.values)

    async def _monitor_connection(self) -> None:
        """Detects within ``FRESHNESS_TIMEOUT_S`` that the store became unreachable.

        Raises ``StoreUnavailableError`` when the store is reachable again but the
        watch, which uses another connection, has not been answered since the outage.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            idle_s = time.monotonic() - self._last_contact_at
            if self.is_connected and idle_s < CHECK_INTERVAL_S:
                continue
            if await self._is_reachable() or await self._is_reachable():
                if not self.is_connected:
                    raise StoreUnavailableError("watch connection no longer responds")
                self._last_contact_at = time.monotonic()

    async def _check(self) -> None:
        """Checks that the store responds; raises ``HistoryLostError`` in a new era."""
        self.check_count += 1
        self._compare_era(await self._store.check())

    def _compare_era(self, era: int) -> None:
        if era > self._position.era:
            raise HistoryLostError(
                f"the store was restored from a copy: era {era}, "
                f"records are of era {self._position.era}"
            )

    async def _is_reachable(self) -> bool:
        """Returns whether the store answers; the check after a failure reconnects."""
        try:
            await self._check()
        except HistoryLostError:
            raise
        except StoreError as error:
            self._record_loss(error)
            return False
        return True

    def _merge_snapshot(
        self, snapshot: StoreSnapshot, *, is_complete: bool
    ) -> MergeCounts:
        era = self._log.position.era
        if snapshot.era < era:
            raise StoreUnavailableError(
                f"response of era {snapshot.era}, a peer has sent records of era {era}"
            )
        self._record_contact()
        self._position = snapshot.position
        return self._log.merge(
            snapshot.values, snapshot.position, STORE_SOURCE, is_complete=is_complete
        )

    def _record_contact(self) -> None:
        if not self.is_connected:
            self.on_connected()
        self.is_failing = False
        self._last_contact_at = time.monotonic()
        if self.is_connected:
            return
        self.is_connected = True
        outage_s = time.monotonic() - self._lost_at if self._lost_at else 0.0
        logger.info("store reached", extra={"away_s": round(outage_s, 3)})

    def _record_loss(self, error: StoreError) -> None:
        self.is_failing = True
        if not self.is_connected:
            return
        self.is_connected = False
        self._lost_at = time.monotonic()
        logger.warning("store lost", extra={"reason": str(error)})
        self.on_lost()
