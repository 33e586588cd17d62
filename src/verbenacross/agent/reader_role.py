"""Decides whether this agent reads the store."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

import logbook

from ..membership import choose_readers
from ..membership.rendezvous import READER_ROLE, rank_members
from .store_reader import StoreReader

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import KeyValueStore
    from ..peers import AgentNetwork
    from ..policy import TableProgress
    from ..settings import AgentSettings

CHECK_INTERVAL_S = 0.1
MIN_ISOLATION_TIMEOUT_S = 1.0
MAX_ISOLATION_TIMEOUT_S = 2.0
PEER_SYNC_TIMEOUT_S = 2.0

logger = logbook.Logger("verbenacross.agent.reader_role")


class ReaderRole:
    """Runs a ``StoreReader`` while this agent is a reader of its failure domain.

    An isolated agent reads the store too. If peers may exist, it waits for a random
    time first, so that instances that start together do not all read the store.
    """

    def __init__(
        self,
        settings: AgentSettings,
        store: KeyValueStore,
        network: AgentNetwork,
        progress: TableProgress,
    ) -> None:
        self._settings = settings
        self._network = network
        self._progress = progress
        self.reader = StoreReader(
            store, progress, self._on_read_complete, self._is_primary
        )
        self.is_reading = False
        self.is_list_loaded = False
        self._started_at = time.monotonic()
        self._isolated_since: float | None = self._started_at
        self._isolation_timeout_s = random.uniform(
            MIN_ISOLATION_TIMEOUT_S, MAX_ISOLATION_TIMEOUT_S
        )
        self._paused_at = 0.0
        self._readers: set[str] = set()
        self._readers_version = -1
        self._unconfirmed_revision: int | None = None
        network.pauses.subscribe(self._handle_pause)

    async def run(self) -> None:
        """Runs the store reader while this agent has the role, until cancelled."""
        task: asyncio.Task[None] | None = None
        try:
            while True:
                self.is_reading = self._should_read(time.monotonic())
                if self.is_reading and task is None:
                    logger.info("started reading the store")
                    task = asyncio.create_task(self.reader.run())
                if task is not None and (not self.is_reading or task.done()):
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                    task = None
                self._confirm_watermark()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            if task is not None:
                task.cancel()

    def _should_read(self, now: float) -> bool:
        has_heard = self._network.has_received_since(self._paused_at)
        if now < self._paused_at + MAX_ISOLATION_TIMEOUT_S and not has_heard:
            return False
        if not self._network.is_isolated():
            self._isolated_since = None
            return self._is_chosen_reader()
        if self._isolated_since is None:
            self._isolated_since = now
            self._isolation_timeout_s = random.uniform(
                MIN_ISOLATION_TIMEOUT_S, MAX_ISOLATION_TIMEOUT_S
            )
        has_no_peers = self.is_list_loaded and not self._network.has_candidates()
        return has_no_peers or now - self._isolated_since >= self._isolation_timeout_s

    def _is_chosen_reader(self) -> bool:
        version = self._network.members.version
        if self._readers_version != version:
            self._readers_version = version
            alive = self._network.get_live_members()
            count = self._settings.readers_per_failure_domain
            self._readers = choose_readers(alive, count)
        return self._settings.instance in self._readers

    def _is_primary(self) -> bool:
        primary = rank_members(self._network.get_live_members(), READER_ROLE)[0]
        return primary.instance == self._settings.instance

    def _on_read_complete(self, revision: int) -> None:
        self._unconfirmed_revision = revision
        self._confirm_watermark()

    def _confirm_watermark(self) -> None:
        """Raises the watermark to the revision read, once peers could send newer data.

        The first read of a new agent may be older than the records in force elsewhere.
        It is confirmed when a peer has sent its records, when no peer is known, or
        after ``PEER_SYNC_TIMEOUT_S``.
        """
        if self._unconfirmed_revision is None:
            return
        has_timed_out = time.monotonic() - self._started_at >= PEER_SYNC_TIMEOUT_S
        has_no_peers = self.is_list_loaded and not self._network.has_candidates()
        has_peer_records = self._network.records.is_synchronized_with_peer()
        if (
            self._progress.synchronized
            or has_timed_out
            or has_no_peers
            or has_peer_records
        ):
            revision, self._unconfirmed_revision = self._unconfirmed_revision, None
            if not self._progress.synchronized:
                # Until now the table accepted records that peers or entries kept
                # although they are deleted.
                self.reader.retire_missing(revision)
            self._progress.advance_to(revision)

    def _handle_pause(self, now: Any) -> None:
        self._paused_at = float(now)
        self._isolated_since = None
