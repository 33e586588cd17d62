"""Keeps the knowledge up to date from the store."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import logbook

from ..infrastructure.exceptions import HistoryLostError, StoreError
from .changes import UpstreamChange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..infrastructure.key_value_store import KeyValueStore, StoredValue
    from .changes import Change
    from .knowledge import Knowledge

# One call of the platform for each wait. It also bounds how long a connection that
# has gone silent stays unnoticed.
WATCH_WAIT_MS = 3_000
# First pause after a failed call and the longest, in seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
SOURCE = "store"

logger = logbook.Logger("verbenacross.node.store_feed")


class StoreFeed:
    """Reads everything once, then watches what changes."""

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        read_change: Callable[[StoredValue], Change | None],
        knowledge: Knowledge,
    ) -> None:
        self.is_connected = False
        self.last_contact = 0.0
        self.calls = 0
        self._store = store
        self._prefix = prefix
        self._read_change = read_change
        self._knowledge = knowledge
        self._pause_s = FIRST_PAUSE_S
        self._lost_at = 0.0

    async def run(self) -> None:
        """Reads and watches until cancelled."""
        revision = 0
        while True:
            try:
                if revision == 0:
                    revision = await self._read_all()
                revision = await self._watch(revision)
            except HistoryLostError as error:
                logger.info("store history lost, reading all", extra={"at": str(error)})
                revision = 0
            except StoreError as error:
                self._note_loss(error)
                await asyncio.sleep(self._pause_s * random.uniform(0.5, 1.0))
                self._pause_s = min(LONGEST_PAUSE_S, 2 * self._pause_s)

    async def _read_all(self) -> int:
        self.calls += 1
        snapshot = await self._store.read_prefix(self._prefix)
        self._note_contact()
        present = self._apply(snapshot.values)
        self._knowledge.remove_missing(present, snapshot.revision, SOURCE)
        self._knowledge.revision = max(self._knowledge.revision, snapshot.revision)
        return snapshot.revision

    async def _watch(self, revision: int) -> int:
        self.calls += 1
        snapshot = await self._store.watch(self._prefix, revision, WATCH_WAIT_MS)
        self._note_contact()
        self._apply(snapshot.values)
        self._knowledge.revision = max(self._knowledge.revision, snapshot.revision)
        return snapshot.revision

    def _apply(self, values: Iterable[StoredValue]) -> set[str]:
        """Applies changes; returns the ids of the upstreams among them."""
        present = set()
        for value in values:
            change = self._read_change(value)
            if change is None:
                continue
            if isinstance(change, UpstreamChange):
                present.add(change.id)
            self._knowledge.apply(change, SOURCE)
        return present

    def _note_contact(self) -> None:
        self.last_contact = time.monotonic()
        self._pause_s = FIRST_PAUSE_S
        if self.is_connected:
            return
        self.is_connected = True
        extra = {"away_s": 0.0}
        if self._lost_at:
            extra["away_s"] = round(time.monotonic() - self._lost_at, 3)
            self._knowledge.expect_returns()
        logger.info("store reached", extra=extra)

    def _note_loss(self, error: StoreError) -> None:
        if not self.is_connected:
            return
        self.is_connected = False
        self._lost_at = time.monotonic()
        logger.warning("store lost", extra={"reason": str(error)})
