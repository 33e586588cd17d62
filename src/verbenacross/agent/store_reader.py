"""Reads and watches the policy records in the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook

from ..platform.exceptions import StoreError
from ..policy.policy_record import POLICY_PREFIX, PolicyRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..platform import KeyValueStore, StoreSnapshot
    from ..policy import PolicyTable

WATCH_WAIT_MS = 30_000
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

logger = logbook.Logger("verbenacross.agent.store_reader")


class StoreReader:
    """Keeps a policy table up to date from the store.

    ``complete`` is called with each store revision that the table is complete up to.
    """

    def __init__(
        self, store: KeyValueStore, table: PolicyTable, complete: Callable[[int], None]
    ) -> None:
        self._store = store
        self._table = table
        self._complete = complete
        self._failures = 0

    async def run(self) -> None:
        """Reads everything, then watches; retries with full-jitter backoff."""
        while True:
            try:
                await self._read_and_watch()
            except StoreError as error:
                self._failures += 1
                logger.warning("store read failed: {}", error)
                await asyncio.sleep(self._draw_backoff_s())

    async def _read_and_watch(self) -> None:
        snapshot = await self._store.read_prefix(POLICY_PREFIX)
        self._take(snapshot)
        while True:
            snapshot = await self._store.watch(
                POLICY_PREFIX, snapshot.revision, WATCH_WAIT_MS
            )
            self._take(snapshot)

    def _take(self, snapshot: StoreSnapshot) -> None:
        self._failures = 0
        self._table.put_all(
            PolicyRecord(entry.key, entry.revision, entry.value or b"")
            for entry in snapshot.values
        )
        self._complete(snapshot.revision)

    def _draw_backoff_s(self) -> float:
        bound = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self._failures, 10))
        return random.uniform(0, bound)
