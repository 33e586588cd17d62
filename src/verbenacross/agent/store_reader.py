"""Reads and watches the policy records in the store."""

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
from ..infrastructure.key_value_store import NO_POSITION, PositionStep, StorePosition
from ..policy.policy_record import POLICY_PREFIX, PolicyRecord, is_key
from ..settings import Finding
from .valid_copies import VALID_PREFIX, ValidCopies

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..infrastructure.key_value_store import KeyValueStore, StoreSnapshot
    from ..policy import TableProgress

WATCH_DURATION_S = 1.0
MIN_RESPONSE_TIMEOUT_S = 0.5
MAX_RESPONSE_TIMEOUT_S = 8.0
TIMEOUT_DECAY_FACTOR = 0.95
READ_TIMEOUT_FACTOR = 4
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MS_PER_S = 1_000

logger = logbook.Logger("verbenacross.agent.store_reader")


class StoreReader:
    """Keeps a policy table in sync with the store.

    ``on_complete`` is called with each store revision that the table is complete up to,
    packed with its era. ``is_primary`` returns whether this agent is the one that saves
    valid copies. While records are carried over into an era, the reader keeps those
    that the restored store lost; ``is_settled`` is set by the first complete read after
    that.
    """

    def __init__(
        self,
        store: KeyValueStore,
        progress: TableProgress,
        on_complete: Callable[[int], None],
        is_primary: Callable[[], bool],
    ) -> None:
        self._store = store
        self._progress = progress
        self._table = progress.table
        self._on_complete = on_complete
        self._is_primary = is_primary
        self._valid_copies = ValidCopies(store, progress.table)
        self._position = NO_POSITION
        self.is_settled = True
        self._failure_count = 0
        self._is_below_watermark = False
        self._response_timeout_s = MIN_RESPONSE_TIMEOUT_S
        self.findings: list[Finding] = []
        self.last_response_at: float | None = None

    async def run(self) -> None:
        """Reads all records, then watches for changes; retries with full jitter."""
        while True:
            try:
                await self._read_all()
                while True:
                    await self._watch_once()
                    await self._settle_if_due()
            except StoreError as error:
                self._failure_count += 1
                logger.warning("store read failed: {}", error)
                await asyncio.sleep(draw_backoff_s(self._failure_count))

    def retire_missing(self, revision: int) -> None:
        """Retires the records that are missing from the store at a revision.

        A newer record is not retired, since the merge ignores lower revisions. A record
        with a saved copy was lost by the store rather than deleted. Once the store is
        known to have lost writes, lost and deleted records cannot be told apart, so
        that none is retired. Records of an earlier era are retired once they are no
        longer carried over.
        """
        if self._progress.lost_after is not None:
            return
        era = StorePosition.unpack(revision).era
        for key, record in list(self._table.latest.items()):
            if key in self._valid_copies.stored_revisions or not record.body:
                continue
            if record.position.era < era:
                is_lost = not self.is_settled
            else:
                is_lost = self._valid_copies.is_saved(record)
            if not is_lost:
                self._table.put(PolicyRecord(key, revision, b""))

    async def _read_all(self) -> None:
        try:
            async with asyncio.timeout(self._response_timeout_s * READ_TIMEOUT_FACTOR):
                saved = await self._store.read_prefix(VALID_PREFIX)
                snapshot = await self._store.read_prefix(POLICY_PREFIX)
        except TimeoutError as error:
            raise self._increase_timeout("the read timed out") from error
        if saved.era != snapshot.era:
            raise HistoryLostError("the store was restored from a copy during the read")
        self._check_revision(snapshot)
        self.is_settled = not self._progress.is_carrying_over(snapshot.era)
        self._valid_copies.load_saved(saved)
        self._check_keys(snapshot)
        self._valid_copies.stored_revisions.clear()
        self._apply(snapshot, is_complete=True)
        self.retire_missing(snapshot.position.pack())
        if snapshot.era > self._position.era:
            self._log_return(snapshot.position)
        await self._finish_read(snapshot)

    async def _watch_once(self) -> None:
        # The watch is short, so that a connection that went silent delays a change only
        # briefly. On a slow store the time-out grows until responses arrive in time.
        try:
            async with asyncio.timeout(WATCH_DURATION_S + self._response_timeout_s):
                snapshot = await self._store.watch(
                    POLICY_PREFIX,
                    self._position.revision,
                    int(WATCH_DURATION_S * MS_PER_S),
                )
        except TimeoutError as error:
            raise self._increase_timeout("the watch timed out") from error
        self._response_timeout_s = max(
            MIN_RESPONSE_TIMEOUT_S, self._response_timeout_s * TIMEOUT_DECAY_FACTOR
        )
        if snapshot.era != self._position.era:
            raise HistoryLostError(
                f"the store was restored from a copy: era {snapshot.era}, records are "
                f"of era {self._position.era}"
            )
        self._apply(snapshot, is_complete=False)
        await self._finish_read(snapshot)

    async def _settle_if_due(self) -> None:
        """Reads all records again once none is carried over any longer."""
        is_carrying_over = self._progress.is_carrying_over(self._position.era)
        if not self.is_settled and not is_carrying_over:
            logger.info("records of earlier eras are no longer carried over")
            await self._read_all()

    def _increase_timeout(self, message: str) -> StoreError:
        self._response_timeout_s = min(
            MAX_RESPONSE_TIMEOUT_S, self._response_timeout_s * 2
        )
        return StoreUnavailableError(message)

    def _apply(self, snapshot: StoreSnapshot, *, is_complete: bool) -> None:
        self._failure_count = 0
        self.last_response_at = time.monotonic()
        # Of several changes of a key, the last one decides what is carried over. The
        # others still count: a version that was retired once stays retired.
        last = {entry.key: entry for entry in snapshot.values}
        for entry in snapshot.values:
            position = StorePosition(snapshot.era, entry.revision)
            record = PolicyRecord(entry.key, position.pack(), entry.value or b"")
            if self._progress.is_older_copy(record):
                if entry is not last[entry.key]:
                    continue
                self._carry_over(record, snapshot)
            elif is_complete and self.is_settled:
                record = self._replace_lost(record, snapshot)
            self._valid_copies.record_stored(record)
            self._table.put(record)

    def _log_return(self, position: StorePosition) -> None:
        extra = {
            "era": position.era,
            "revision": position.revision,
            "watermark": str(StorePosition.unpack(self._progress.watermark)),
            "carried_over": self._table.count_before_era(position.era),
        }
        logger.info("read all records of a new era", extra=extra)

    def _carry_over(self, record: PolicyRecord, snapshot: StoreSnapshot) -> None:
        """Keeps the copy that replaced an older one, which the store shows again."""
        known = self._table.latest[record.key]
        revision = snapshot.position.pack(PositionStep.CARRIED_OVER)
        self._table.put(known._replace(revision=revision))

    def _replace_lost(
        self, record: PolicyRecord, snapshot: StoreSnapshot
    ) -> PolicyRecord:
        """Returns a stored record with a revision above that of a lost one.

        A read that is complete up to the known revision of a key and shows a lower one
        proves that the store lost the known copy.
        """
        known = self._table.latest.get(record.key)
        revision = snapshot.position.pack(PositionStep.SETTLED)
        if known is None or not record.revision < known.revision <= revision:
            return record
        if known.body == record.body:
            return known
        if snapshot.era == 0 and record in self._table.superseded:
            return record
        return record._replace(revision=revision)

    async def _finish_read(self, snapshot: StoreSnapshot) -> None:
        self._position = snapshot.position
        self._on_complete(snapshot.position.pack())
        if self._is_primary():
            await self._valid_copies.save()

    def _check_keys(self, snapshot: StoreSnapshot) -> None:
        self.findings = [
            Finding(entry.key, "$", "the key must be policies/<service>/<version>")
            for entry in snapshot.values
            if not is_key(entry.key)
        ]

    def _check_revision(self, snapshot: StoreSnapshot) -> None:
        """Detects a store that lost writes: two reads in a row below the watermark.

        A single one may be a late response, so it raises ``StoreUnavailableError``, as
        does any of an earlier era.
        """
        watermark = StorePosition.unpack(self._progress.watermark)
        if snapshot.era < watermark.era:
            raise StoreUnavailableError(
                f"the store is in era {snapshot.era}, a peer in era {watermark.era}"
            )
        was_below, self._is_below_watermark = (
            self._is_below_watermark,
            snapshot.position < watermark,
        )
        if not self._is_below_watermark or self._progress.lost_after is not None:
            return
        message = (
            f"the store is at revision {snapshot.position}, below watermark {watermark}"
        )
        if not was_below:
            raise StoreUnavailableError(message)
        logger.error(message)
        self._progress.record_loss(snapshot.position.pack())


def draw_backoff_s(failure_count: int) -> float:
    """Returns a full-jitter backoff in seconds after consecutive failures."""
    bound = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failure_count, 10))
    return random.uniform(0, bound)
