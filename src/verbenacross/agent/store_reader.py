"""Reads and watches the policy records in the store."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import logbook

from ..infrastructure.exceptions import StoreError, StoreUnavailableError
from ..policy.policy_record import POLICY_PREFIX, PolicyRecord, is_key
from ..settings import Finding
from .valid_copies import VALID_PREFIX, ValidCopies

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..infrastructure.key_value_store import KeyValueStore, StoreSnapshot
    from ..policy import TableProgress

WATCH_WAIT_S = 1.0
MIN_ANSWER_MARGIN_S = 0.5
MAX_ANSWER_MARGIN_S = 8.0
MARGIN_DECAY = 0.95
READ_MARGIN_FACTOR = 4
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MS_PER_S = 1_000

logger = logbook.Logger("verbenacross.agent.store_reader")


class StoreReader:
    """Keeps a policy table up to date from the store.

    ``complete`` is called with each store revision that the table is complete up to.
    ``is_first`` tells whether this agent is the one that saves valid copies.
    """

    def __init__(
        self,
        store: KeyValueStore,
        progress: TableProgress,
        complete: Callable[[int], None],
        is_first: Callable[[], bool],
    ) -> None:
        self._store = store
        self._progress = progress
        self._table = progress.table
        self._complete = complete
        self._is_first = is_first
        self._copies = ValidCopies(store, progress.table)
        self._revision = 0
        self._failures = 0
        self._is_behind = False
        self._margin_s = MIN_ANSWER_MARGIN_S
        self.findings: list[Finding] = []
        self.last_answer: float | None = None

    async def run(self) -> None:
        """Reads everything, then watches; retries with full-jitter backoff."""
        while True:
            try:
                await self._read_all()
                while True:
                    await self._watch_once()
            except StoreError as error:
                self._failures += 1
                logger.warning("store read failed: {}", error)
                await asyncio.sleep(draw_backoff_s(self._failures))

    async def _read_all(self) -> None:
        try:
            async with asyncio.timeout(self._margin_s * READ_MARGIN_FACTOR):
                saved = await self._store.read_prefix(VALID_PREFIX)
                snapshot = await self._store.read_prefix(POLICY_PREFIX)
        except TimeoutError as error:
            raise self._widen_margin("the read was not answered") from error
        self._check_revision(snapshot)
        self._copies.take_saved(saved)
        self._find_faults(snapshot)
        self._copies.stored.clear()
        self._take(snapshot)
        self._take_deletions(snapshot)
        await self._finish(snapshot)

    async def _watch_once(self) -> None:
        # The wait is short, so that a connection that went silent delays a change by
        # little; on a slow store the margin grows until answers arrive.
        try:
            async with asyncio.timeout(WATCH_WAIT_S + self._margin_s):
                snapshot = await self._store.watch(
                    POLICY_PREFIX, self._revision, int(WATCH_WAIT_S * MS_PER_S)
                )
        except TimeoutError as error:
            raise self._widen_margin("the watch was not answered") from error
        self._margin_s = max(MIN_ANSWER_MARGIN_S, self._margin_s * MARGIN_DECAY)
        self._take(snapshot)
        await self._finish(snapshot)

    def _widen_margin(self, message: str) -> StoreError:
        self._margin_s = min(MAX_ANSWER_MARGIN_S, self._margin_s * 2)
        return StoreUnavailableError(message)

    def _take(self, snapshot: StoreSnapshot) -> None:
        self._failures = 0
        self.last_answer = time.monotonic()
        for entry in snapshot.values:
            record = PolicyRecord(entry.key, entry.revision, entry.value or b"")
            self._copies.note_stored(record)
            self._table.put(record)

    def _take_deletions(self, snapshot: StoreSnapshot) -> None:
        """Retires records that the store no longer has.

        A snapshot that is older than a record does not retire it, since the merge
        ignores lower revisions. A record whose copy was saved was lost by the store,
        not deleted; after a loss that peers noticed nothing can be told apart.
        """
        if self._progress.lost_after is not None:
            return
        for key, record in list(self._table.latest.items()):
            if key in self._copies.stored or not record.body:
                continue
            if not self._copies.is_saved(record):
                self._table.put(PolicyRecord(key, snapshot.revision, b""))

    async def _finish(self, snapshot: StoreSnapshot) -> None:
        self._revision = snapshot.revision
        self._complete(snapshot.revision)
        if self._is_first():
            await self._copies.save()

    def _find_faults(self, snapshot: StoreSnapshot) -> None:
        self.findings = [
            Finding(entry.key, "$", "the key must be policies/<service>/<version>")
            for entry in snapshot.values
            if not is_key(entry.key)
        ]

    def _check_revision(self, snapshot: StoreSnapshot) -> None:
        """Tells a late answer from a store that lost writes by reading twice."""
        watermark = self._progress.watermark
        was_behind, self._is_behind = self._is_behind, snapshot.revision < watermark
        if not self._is_behind or self._progress.lost_after is not None:
            return
        message = f"the store is at revision {snapshot.revision}, below {watermark}"
        if not was_behind:
            raise StoreUnavailableError(message)
        logger.error(message)
        self._progress.note_loss(snapshot.revision)


def draw_backoff_s(failures: int) -> float:
    """Returns a random delay in seconds before the next attempt."""
    bound = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 10))
    return random.uniform(0, bound)
